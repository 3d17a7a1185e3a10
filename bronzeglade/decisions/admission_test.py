"""Tests for lost tickets, starved ranks or teams, and unbounded queues."""

import collections
import datetime as dt
import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.admission import (
    AdmissionQueue,
    AdmissionRequest,
    AdmissionSettings,
    Admitted,
    Decision,
    Refused,
    Ticket,
)
from bronzeglade.outcome import RunState

FLOORS = {0: 0.2, 1: 0.1, 2: 0.05}
WEIGHTS = {'large': 4.0, 'small': 1.0, 'other': 1.0}
MODEL = 'm'


def request(
    clock: ManualClock, team: str, priority: int, max_wait_s: float = 2
) -> AdmissionRequest:
    """Return work of a team."""
    return AdmissionRequest(
        team=team,
        weight=WEIGHTS[team],
        rank=f'r{priority}',
        priority=priority,
        model=MODEL,
        deadline=clock.monotonic() + dt.timedelta(seconds=60),
        max_wait=dt.timedelta(seconds=max_wait_s),
    )


def admission(clock: ManualClock, capacity: int) -> AdmissionQueue:
    """Return the admission control of a node."""
    queue = AdmissionQueue(AdmissionSettings(), clock, random.Random(1))
    queue.set_floors(FLOORS)
    queue.set_capacity(MODEL, capacity)
    return queue


class AdmissionMachine(RuleBasedStateMachine):
    """Submissions, completions, departures and resizes in any order."""

    def __init__(self) -> None:
        """Start with a few slots."""
        super().__init__()
        self.clock = ManualClock()
        self.queue = admission(self.clock, 3)
        self.running: dict[int, Ticket] = {}
        self.waiting: dict[int, Ticket] = {}
        self.max_capacity = 3

    @rule(
        team=st.sampled_from(sorted(WEIGHTS)),
        priority=st.integers(0, 2),
        max_wait_s=st.sampled_from([0.2, 2, 20]),
    )
    def submit(self, team: str, priority: int, max_wait_s: float) -> None:
        """Submit work."""
        ticket, decisions = self.queue.submit(
            request(self.clock, team, priority, max_wait_s)
        )
        self.waiting[ticket.number] = ticket
        self.apply_decisions(decisions)

    @precondition(lambda machine: machine.running)
    @rule(rng=st.randoms(use_true_random=False))
    def finish(self, rng: random.Random) -> None:
        """Complete running work."""
        number = rng.choice(sorted(self.running))
        self.apply_decisions(self.queue.release(self.running.pop(number)))

    @precondition(lambda machine: machine.waiting)
    @rule(rng=st.randoms(use_true_random=False))
    def cancel(self, rng: random.Random) -> None:
        """Release queued work before it runs."""
        number = rng.choice(sorted(self.waiting))
        self.apply_decisions(self.queue.release(self.waiting.pop(number)))

    @rule(milliseconds=st.integers(1, 3000))
    def wait(self, milliseconds: int) -> None:
        """Advance the clock."""
        self.clock.advance(dt.timedelta(milliseconds=milliseconds))
        self.apply_decisions(self.queue.expire_and_admit())

    @rule(slots=st.integers(0, 8))
    def resize(self, slots: int) -> None:
        """Change the capacity."""
        self.max_capacity = max(self.max_capacity, slots)
        self.apply_decisions(self.queue.set_capacity(MODEL, slots))

    def apply_decisions(self, decisions: list[Decision]) -> None:
        """Apply decisions and check that a ticket gets only one."""
        for decision in decisions:
            number = decision.ticket.number
            assert number in self.waiting
            ticket = self.waiting.pop(number)
            if isinstance(decision, Admitted):
                self.running[number] = ticket
            else:
                assert decision.refusal.run_state is RunState.NOT_RUN
                assert decision.refusal.retry_after is not None

    @invariant()
    def pool_matches_tickets(self) -> None:
        """The pool has exactly the tickets that were not ended or refused."""
        pool = self.queue.pools[MODEL]
        assert set(pool.running) == set(self.running)
        assert set(pool.waiting) == set(self.waiting)
        queued = sum(rank.waiting for rank in pool.ranks.values())
        assert queued == len(self.waiting)
        busy = sum(rank.running for rank in pool.ranks.values())
        assert busy == len(self.running)
        assert pool.outstanding.total() == busy + queued

    @invariant()
    def is_bounded(self) -> None:
        """The queue is bounded, and free slots above the reserve are used."""
        pool = self.queue.pools[MODEL]
        settings = self.queue.settings
        max_waiting = max(settings.min_queue_limit, 4 * self.max_capacity)
        assert len(self.waiting) <= max_waiting
        assert len(self.running) <= self.max_capacity
        free = pool.capacity - len(self.running)
        reserve = round(settings.reserve_fraction * pool.capacity)
        assert not self.waiting or free <= reserve


TestAdmission = AdmissionMachine.TestCase


def flood(
    capacity: int, arrivals: dict[tuple[str, int], int], seconds: int = 60
) -> collections.Counter[tuple[str, int]]:
    """Return admissions by team and priority under steady arrivals.

    Args:
      capacity: number of slots; each request takes one second.
      arrivals: requests per second by team and priority.
      seconds: duration.
    """
    clock = ManualClock()
    queue = admission(clock, capacity)
    kinds: dict[int, tuple[str, int]] = {}
    ends: list[tuple[dt.timedelta, Ticket]] = []
    admissions: collections.Counter[tuple[str, int]] = collections.Counter()

    def apply_decisions(decisions: list[Decision]) -> None:
        for decision in decisions:
            kind = kinds.pop(decision.ticket.number)
            if isinstance(decision, Admitted):
                admissions[kind] += 1
                end = clock.monotonic() + dt.timedelta(seconds=1)
                ends.append((end, decision.ticket))

    for tick in range(seconds * 20):
        clock.advance(dt.timedelta(milliseconds=50))
        while ends and ends[0][0] <= clock.monotonic():
            apply_decisions(queue.release(ends.pop(0)[1]))
        apply_decisions(queue.expire_and_admit())
        for kind, rate in arrivals.items():
            for _request in range(
                (tick * rate) // 20 - (tick - 1) * rate // 20
            ):
                ticket, decisions = queue.submit(request(clock, *kind))
                kinds[ticket.number] = kind
                apply_decisions(decisions)
    return admissions


def test_lower_ranks_keep_their_floor_in_a_flood_of_urgent_work() -> None:
    """Strict priority would starve all ranks below the overloaded one."""
    admissions = flood(
        20, {('large', 0): 60, ('large', 1): 20, ('large', 2): 20}
    )
    total = admissions.total()
    assert admissions['large', 1] >= 0.9 * FLOORS[1] * total
    assert admissions['large', 2] >= 0.9 * FLOORS[2] * total
    assert admissions['large', 0] >= 0.75 * total


def test_urgent_work_is_not_delayed_by_a_flood_of_patient_work() -> None:
    """In a FIFO queue, urgent work would wait behind all other work."""
    admissions = flood(20, {('large', 2): 60, ('small', 0): 4})
    assert admissions['small', 0] >= 0.98 * 4 * 60


def test_teams_share_a_rank_by_weight() -> None:
    """Teams with equal arrivals get slots in proportion to their weight."""
    admissions = flood(
        20, {('large', 1): 60, ('small', 1): 60, ('other', 1): 60}
    )
    ratio = admissions['large', 1] / admissions['small', 1]
    assert abs(ratio - 4) <= 1
    assert abs(admissions['small', 1] - admissions['other', 1]) <= 20


def test_small_team_beside_a_large_one_completes_its_work() -> None:
    """A team below its share must not be delayed by another's excess."""
    admissions = flood(20, {('large', 1): 60, ('small', 1): 2})
    assert admissions['small', 1] >= 0.95 * 2 * 60


def test_work_that_cannot_start_in_time_is_refused_at_once() -> None:
    """Work held until its deadline leaves the caller no time to retry."""
    clock = ManualClock()
    queue = admission(clock, 1)
    refused: list[Decision] = []
    for _request in range(10):
        _ticket, decisions = queue.submit(request(clock, 'large', 1))
        refused.extend(
            decision for decision in decisions if isinstance(decision, Refused)
        )
    assert len(refused) >= 6


def test_urgent_work_takes_the_place_of_less_urgent_work() -> None:
    """A queue full of less urgent work must not block urgent work."""
    clock = ManualClock()
    queue = admission(clock, 1)
    for _request in range(17):
        queue.submit(request(clock, 'large', 2, max_wait_s=60))
    _ticket, decisions = queue.submit(request(clock, 'small', 0, max_wait_s=60))
    assert [decision.ticket.rank for decision in decisions] == ['r2']
    assert isinstance(decisions[0], Refused)


def test_queue_is_bounded_and_shed_for_small_teams() -> None:
    """One team must neither exceed the queue's bound nor keep all of it."""
    clock = ManualClock()
    queue = admission(clock, 1)
    for _request in range(100):
        queue.submit(request(clock, 'large', 1, max_wait_s=1000))
    waiting = queue.pools[MODEL].waiting
    assert len(waiting) == queue.settings.min_queue_limit
    ticket, _decided = queue.submit(request(clock, 'small', 1, max_wait_s=1000))
    assert ticket.number in waiting
    assert len(waiting) == queue.settings.min_queue_limit
