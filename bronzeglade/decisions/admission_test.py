"""Guards against lost tickets, starved ranks and teams, and long queues."""

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
    Admission,
    AdmissionSettings,
    Admitted,
    Decision,
    Refused,
    Ticket,
    Work,
)
from bronzeglade.outcome import RunState

FLOORS = {0: 0.2, 1: 0.1, 2: 0.05}
WEIGHTS = {'large': 4.0, 'small': 1.0, 'other': 1.0}
MODEL = 'm'


def work(
    clock: ManualClock, team: str, priority: int, patience_s: float = 2
) -> Work:
    """Return work of a team."""
    return Work(
        team=team,
        weight=WEIGHTS[team],
        rank=f'r{priority}',
        priority=priority,
        model=MODEL,
        deadline=clock.monotonic() + dt.timedelta(seconds=60),
        patience=dt.timedelta(seconds=patience_s),
    )


def admission(clock: ManualClock, capacity: int) -> Admission:
    """Return the queues of a node."""
    queue = Admission(AdmissionSettings(), clock, random.Random(1))
    queue.set_floors(FLOORS)
    queue.set_capacity(MODEL, capacity)
    return queue


class AdmissionMachine(RuleBasedStateMachine):
    """Any order of submissions, ends, departures and changes of capacity."""

    def __init__(self) -> None:
        """Start with a few slots."""
        super().__init__()
        self.clock = ManualClock()
        self.queue = admission(self.clock, 3)
        self.running: dict[int, Ticket] = {}
        self.waiting: dict[int, Ticket] = {}
        self.highest = 3

    @rule(
        team=st.sampled_from(sorted(WEIGHTS)),
        priority=st.integers(0, 2),
        patience_s=st.sampled_from([0.2, 2, 20]),
    )
    def submit(self, team: str, priority: int, patience_s: float) -> None:
        """Ask for leave to run."""
        ticket, decided = self.queue.submit(
            work(self.clock, team, priority, patience_s)
        )
        self.waiting[ticket.number] = ticket
        self.take(decided)

    @precondition(lambda machine: machine.running)
    @rule(source=st.randoms(use_true_random=False))
    def finish(self, source: random.Random) -> None:
        """End a request that runs."""
        number = source.choice(sorted(self.running))
        self.take(self.queue.release(self.running.pop(number)))

    @precondition(lambda machine: machine.waiting)
    @rule(source=st.randoms(use_true_random=False))
    def depart(self, source: random.Random) -> None:
        """Give up a place in the queue."""
        number = source.choice(sorted(self.waiting))
        self.take(self.queue.release(self.waiting.pop(number)))

    @rule(milliseconds=st.integers(1, 3000))
    def wait(self, milliseconds: int) -> None:
        """Let time pass."""
        self.clock.advance(dt.timedelta(milliseconds=milliseconds))
        self.take(self.queue.due())

    @rule(slots=st.integers(0, 8))
    def resize(self, slots: int) -> None:
        """Change the capacity."""
        self.highest = max(self.highest, slots)
        self.take(self.queue.set_capacity(MODEL, slots))

    def take(self, decided: list[Decision]) -> None:
        """Follow decisions; each ticket may have one only."""
        for decision in decided:
            number = decision.ticket.number
            assert number in self.waiting
            ticket = self.waiting.pop(number)
            if isinstance(decision, Admitted):
                self.running[number] = ticket
            else:
                assert decision.refusal.run_state is RunState.NOT_RUN
                assert decision.refusal.retry_after is not None

    @invariant()
    def agrees(self) -> None:
        """No ticket is lost, and no slot is used twice."""
        pool = self.queue.pools[MODEL]
        assert set(pool.running) == set(self.running)
        assert set(pool.waiting) == set(self.waiting)
        queued = sum(rank.waiting for rank in pool.ranks.values())
        assert queued == len(self.waiting)
        busy = sum(rank.running for rank in pool.ranks.values())
        assert busy == len(self.running)
        assert pool.wanted.total() == busy + queued

    @invariant()
    def is_bounded(self) -> None:
        """The queue has bounds, and slots are used up to the capacity."""
        pool = self.queue.pools[MODEL]
        settings = self.queue.settings
        most = max(settings.shortest_queue, 4 * self.highest)
        assert len(self.waiting) <= most
        assert len(self.running) <= self.highest
        free = pool.capacity - len(self.running)
        reserve = round(settings.reserve * pool.capacity)
        assert not self.waiting or free <= reserve


TestAdmission = AdmissionMachine.TestCase


def flood(
    capacity: int, arrivals: dict[tuple[str, int], int], seconds: int = 60
) -> collections.Counter[tuple[str, int]]:
    """Return starts by team and priority under steady arrivals.

    Args:
      capacity: slots; each request takes one second.
      arrivals: requests a second of each team and priority.
      seconds: length.
    """
    clock = ManualClock()
    queue = admission(clock, capacity)
    kinds: dict[int, tuple[str, int]] = {}
    ends: list[tuple[dt.timedelta, Ticket]] = []
    starts: collections.Counter[tuple[str, int]] = collections.Counter()

    def take(decided: list[Decision]) -> None:
        for one in decided:
            kind = kinds.pop(one.ticket.number)
            if isinstance(one, Admitted):
                starts[kind] += 1
                end = clock.monotonic() + dt.timedelta(seconds=1)
                ends.append((end, one.ticket))

    for tick in range(seconds * 20):
        clock.advance(dt.timedelta(milliseconds=50))
        while ends and ends[0][0] <= clock.monotonic():
            take(queue.release(ends.pop(0)[1]))
        take(queue.due())
        for kind, rate in arrivals.items():
            for _request in range(
                (tick * rate) // 20 - (tick - 1) * rate // 20
            ):
                ticket, decided = queue.submit(work(clock, *kind))
                kinds[ticket.number] = kind
                take(decided)
    return starts


def test_lower_ranks_keep_their_floor_in_a_flood_of_urgent_work() -> None:
    """Strict priority starves everything below the flooded rank."""
    starts = flood(20, {('large', 0): 60, ('large', 1): 20, ('large', 2): 20})
    total = starts.total()
    assert starts['large', 1] >= 0.9 * FLOORS[1] * total
    assert starts['large', 2] >= 0.9 * FLOORS[2] * total
    assert starts['large', 0] >= 0.75 * total


def test_urgent_work_is_not_delayed_by_a_flood_of_patient_work() -> None:
    """First come, first served makes urgent work wait behind all others."""
    starts = flood(20, {('large', 2): 60, ('small', 0): 4})
    assert starts['small', 0] >= 0.98 * 4 * 60


def test_teams_share_a_rank_by_weight() -> None:
    """A large team must not take more than its weight from others."""
    starts = flood(20, {('large', 1): 60, ('small', 1): 60, ('other', 1): 60})
    ratio = starts['large', 1] / starts['small', 1]
    assert abs(ratio - 4) <= 1
    assert abs(starts['small', 1] - starts['other', 1]) <= 20


def test_small_team_beside_a_large_one_completes_its_work() -> None:
    """A team below its share must not pay for the flood of another."""
    starts = flood(20, {('large', 1): 60, ('small', 1): 2})
    assert starts['small', 1] >= 0.95 * 2 * 60


def test_work_that_cannot_start_in_time_is_refused_at_once() -> None:
    """A request held until its deadline costs the caller its retry."""
    clock = ManualClock()
    queue = admission(clock, 1)
    refused: list[Decision] = []
    for _request in range(10):
        _ticket, decided = queue.submit(work(clock, 'large', 1))
        refused.extend(one for one in decided if isinstance(one, Refused))
    assert len(refused) >= 6


def test_urgent_work_takes_the_place_of_less_urgent_work() -> None:
    """A full queue of patient work must not turn urgent work away."""
    clock = ManualClock()
    queue = admission(clock, 1)
    for _request in range(17):
        queue.submit(work(clock, 'large', 2, patience_s=60))
    _ticket, decided = queue.submit(work(clock, 'small', 0, patience_s=60))
    assert [one.ticket.rank for one in decided] == ['r2']
    assert isinstance(decided[0], Refused)


def test_queue_is_bounded_and_shed_for_small_teams() -> None:
    """A flood of one team must neither grow the queue nor fill it alone."""
    clock = ManualClock()
    queue = admission(clock, 1)
    for _request in range(100):
        queue.submit(work(clock, 'large', 1, patience_s=1000))
    waiting = queue.pools[MODEL].waiting
    assert len(waiting) == queue.settings.shortest_queue
    ticket, _decided = queue.submit(work(clock, 'small', 1, patience_s=1000))
    assert ticket.number in waiting
    assert len(waiting) == queue.settings.shortest_queue
