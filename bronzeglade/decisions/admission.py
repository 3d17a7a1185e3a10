"""Admission control: which requests run, wait or are refused."""

import collections
import dataclasses
import datetime as dt
import itertools
import math
import random

from bronzeglade.clock import Clock
from bronzeglade.outcome import Refusal, RunState

# Demands below this number of requests are dropped. Also the minimum rate, in
# requests per second, by which a wait is predicted.
_MIN_DEMAND = 0.01
_MIN_SERVICE_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that asks for admission.

    `rank` is the name of `priority`, for messages; lower numbers are more
    urgent. `weight` is that of the team in fair queueing. `deadline` is a
    monotonic time. After a wait of more than `max_wait` the answer would come
    too late.
    """

    team: str
    weight: float
    rank: str
    priority: int
    model: str
    deadline: dt.timedelta
    max_wait: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A handle of queued or admitted work.

    The caller releases it exactly once, unless it was refused.
    """

    number: int
    team: str
    rank: str
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The work of the ticket may run and holds a slot."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The work of the ticket was refused before it ran.

    The ticket must not be released.
    """

    ticket: Ticket
    refusal: Refusal


Decision = Admitted | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of the queues; times in seconds.

    Work of lower priority leaves up to `reserve_fraction` of the slots free
    for more urgent work. The credit of a rank, in slot-seconds, is limited to
    `max_credit_s` times the number of slots, or to twice the service time if
    that is more. The admission rate of a rank is smoothed with the time
    constant `rate_time_constant_s`. Once the oldest entry has waited for
    `backlog_wait_s`, this rate predicts the wait of new work.
    """

    queue_per_slot: float = 4  # queue entries for each slot
    min_queue_limit: int = 16
    protected_per_rank: int = 2  # entries safe from eviction by urgent work
    reserve_fraction: float = 0.12
    demand_time_constant_s: float = 3  # of the reported demand
    max_credit_s: float = 0.2
    initial_service_s: float = 1  # expected service time until work has ended
    rate_time_constant_s: float = 3
    backlog_wait_s: float = 0.3
    max_retry_after_s: float = 30


@dataclasses.dataclass(slots=True)
class _Entry:
    """Queued or running work.

    `since` is the time of submission or, once the work runs, of admission.
    """

    ticket: Ticket
    request: AdmissionRequest
    since: float
    expires: float


@dataclasses.dataclass(slots=True)
class _Rank:
    """Queues of one priority by team, with the tags of fair queueing.

    `floor` is the fraction of the slots that is guaranteed to the priority.
    """

    floor: float = 0
    teams: dict[str, collections.deque[_Entry]] = dataclasses.field(
        default_factory=dict
    )
    weights: dict[str, float] = dataclasses.field(default_factory=dict)
    finish_tags: dict[str, float] = dataclasses.field(default_factory=dict)
    virtual_time: float = 0
    running: int = 0
    credit: float = 0
    admission_rate: float = 0

    @property
    def waiting(self) -> int:
        """Number of queued entries."""
        return sum(len(queue) for queue in self.teams.values())

    def oldest(self) -> float:
        """Return the submission time of the oldest queued entry."""
        return min(queue[0].since for queue in self.teams.values())

    def next_team(self) -> str:
        """Return the team with the smallest start tag."""
        return min(self.teams, key=lambda team: (self.start_tag(team), team))

    def start_tag(self, team: str) -> float:
        """Return the virtual start time of the team's next work."""
        return max(self.virtual_time, self.finish_tags.get(team, 0))

    def team_with_longest_queue(self) -> str:
        """Return the team with the longest queue relative to its weight."""
        return max(
            self.teams,
            key=lambda team: (len(self.teams[team]) / self.weights[team], team),
        )

    def drop(self, entry: _Entry) -> None:
        """Remove an entry from the queue of its team."""
        team = entry.request.team
        self.teams[team].remove(entry)
        if not self.teams[team]:
            self.teams.pop(team)


class Pool:
    """Slots of one model on this node, and the work that waits for them."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Create a pool without slots.

        Args:
          settings: bounds.
        """
        self.settings = settings
        self.capacity = 0
        self.ranks: dict[int, _Rank] = {}
        self.running: dict[int, _Entry] = {}
        self.waiting: dict[int, _Entry] = {}
        self.service_s = settings.initial_service_s
        self.updated_at: float = 0
        self.demands: dict[tuple[int, str], float] = {}
        self.outstanding: collections.Counter[tuple[int, str]]
        self.outstanding = collections.Counter()

    def max_queued(self) -> int:
        """Return the maximum length of the queue."""
        entries = math.ceil(self.settings.queue_per_slot * self.capacity)
        return max(self.settings.min_queue_limit, entries)

    def advance(self, now: float) -> None:
        """Update credits, rates and demand to a time in seconds.

        A rank earns credit, in slot-seconds, for the slots that its floor
        guarantees, and spends it on the slots that it uses. A rank with queued
        work and positive credit may be served before more urgent ranks.
        """
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        self.updated_at = now
        max_credit = max(
            self.settings.max_credit_s * self.capacity, 2 * self.service_s
        )
        for rank in self.ranks.values():
            earned = rank.floor * self.capacity - rank.running
            rank.credit = max(-max_credit, rank.credit + earned * elapsed)
            rank.credit = min(max_credit if rank.teams else 0, rank.credit)
            rank.admission_rate *= math.exp(
                -elapsed / self.settings.rate_time_constant_s
            )
        self._smooth_demand(elapsed)

    def reserved_slots(self, priority: int) -> int:
        """Return the slots that work of a priority must leave free.

        They are reserved for the demand of more urgent priorities.
        """
        urgent = sum(
            amount
            for (other, _team), amount in self.demands.items()
            if other < priority
        )
        max_reserve = round(self.settings.reserve_fraction * self.capacity)
        return min(max_reserve, math.ceil(math.sqrt(urgent)))

    def next_entry(self) -> _Entry | None:
        """Return the entry that may run now, if any."""
        free = self.capacity - len(self.running)
        if free <= 0:
            return None
        waiting = [
            priority
            for priority in sorted(self.ranks)
            if self.ranks[priority].teams
        ]
        with_credit = [
            priority for priority in waiting if self.ranks[priority].credit > 0
        ]
        if with_credit and with_credit[-1] != waiting[0]:
            chosen = max(
                with_credit, key=lambda priority: self.ranks[priority].credit
            )
            return self._head_of_rank(chosen)
        if not waiting or free <= self.reserved_slots(waiting[0]):
            return None
        return self._head_of_rank(waiting[0])

    def add(self, entry: _Entry) -> None:
        """Add an entry to the queue."""
        request = entry.request
        rank = self.ranks[request.priority]
        rank.weights[request.team] = request.weight
        rank.teams.setdefault(request.team, collections.deque()).append(entry)
        self.waiting[entry.ticket.number] = entry
        self.outstanding[request.priority, request.team] += 1

    def remove(self, entry: _Entry) -> None:
        """Remove an entry from the queue."""
        self.waiting.pop(entry.ticket.number)
        self.ranks[entry.request.priority].drop(entry)
        self._decrement_outstanding(entry.request)

    def run(self, entry: _Entry) -> None:
        """Move an entry from the queue to a slot."""
        rank = self.ranks[entry.request.priority]
        team = entry.request.team
        start = rank.start_tag(team)
        rank.virtual_time = start
        rank.finish_tags[team] = start + 1 / entry.request.weight
        rank.drop(entry)
        rank.running += 1
        rank.admission_rate += 1 / self.settings.rate_time_constant_s
        self.waiting.pop(entry.ticket.number)
        self.running[entry.ticket.number] = entry

    def end(self, entry: _Entry, now: float) -> None:
        """Free a slot and charge the team for the time it was used."""
        self.running.pop(entry.ticket.number)
        rank = self.ranks[entry.request.priority]
        rank.running -= 1
        duration = now - entry.since
        # At most 4 typical durations are charged.
        relative_duration = min(
            4, duration / max(self.service_s, _MIN_SERVICE_S)
        )
        rank.finish_tags[entry.request.team] += (
            relative_duration - 1
        ) / entry.request.weight
        # Exponential moving average over about 20 requests.
        self.service_s += (duration - self.service_s) / 20
        self._decrement_outstanding(entry.request)

    def expected_wait(self, request: AdmissionRequest, now: float) -> float:
        """Return the expected wait of new work in seconds."""
        if not self.capacity:
            return math.inf
        rank = self.ranks[request.priority]
        own = len(rank.teams.get(request.team, ()))
        active = sum(rank.weights[team] for team in rank.teams)
        if request.team not in rank.teams:
            active += request.weight
        ahead = min(rank.waiting, own * active / request.weight)
        rate = self.capacity / self.service_s
        if rank.teams and now - rank.oldest() > self.settings.backlog_wait_s:
            # The rank's own admission rate accounts for slots used by others.
            floor = rank.floor * rate
            rate = min(rate, max(rank.admission_rate, floor, _MIN_DEMAND))
        else:
            ahead += sum(
                other.waiting
                for priority, other in self.ranks.items()
                if priority < request.priority
            )
        if len(self.running) < self.capacity:
            return ahead / rate
        return (ahead + 1) / rate

    def entry_to_evict(self, request: AdmissionRequest) -> _Entry | None:
        """Return the entry that new work displaces from a full queue.

        It is the newest entry of the longest queue in the least urgent rank
        that may lose an entry; None when the new work has to be refused.
        """
        for priority in sorted(self.ranks, reverse=True):
            rank = self.ranks[priority]
            if priority < request.priority or not rank.teams:
                break
            protected = self.settings.protected_per_rank
            if priority > request.priority and rank.waiting <= max(
                protected, rank.floor * self.max_queued()
            ):
                continue
            team = rank.team_with_longest_queue()
            relative_length = len(rank.teams[team]) / rank.weights[team]
            own = len(rank.teams.get(request.team, ())) + 1
            if (
                priority > request.priority
                or relative_length > own / request.weight
            ):
                return rank.teams[team][-1]
        return None

    def _head_of_rank(self, priority: int) -> _Entry:
        rank = self.ranks[priority]
        return rank.teams[rank.next_team()][0]

    def _decrement_outstanding(self, request: AdmissionRequest) -> None:
        key = (request.priority, request.team)
        self.outstanding[key] -= 1
        if not self.outstanding[key]:
            self.outstanding.pop(key)

    def _smooth_demand(self, elapsed: float) -> None:
        decay = math.exp(-elapsed / self.settings.demand_time_constant_s)
        demands: dict[tuple[int, str], float] = {}
        keys = {*self.demands, *self.outstanding}
        for key in keys:
            past = self.demands.get(key, 0)
            amount = past * decay + self.outstanding[key] * (1 - decay)
            if amount > _MIN_DEMAND:
                demands[key] = amount
        self.demands = demands


class AdmissionQueue:
    """Admission control of one node, with a pool for each model."""

    def __init__(
        self, settings: AdmissionSettings, clock: Clock, rng: random.Random
    ) -> None:
        """Create admission control without slots.

        Args:
          settings: bounds.
          clock: monotonic time.
          rng: random generator for the jitter of retry times.
        """
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.pools: dict[str, Pool] = {}
        self.floors: dict[int, float] = {}
        self.ticket_numbers = itertools.count(1)

    def set_floors(self, floors: dict[int, float]) -> None:
        """Set the fraction of the slots that each priority is guaranteed."""
        self.floors = floors
        for pool in self.pools.values():
            for priority, rank in pool.ranks.items():
                rank.floor = floors.get(priority, 0)

    def set_capacity(self, model: str, slots: int) -> list[Decision]:
        """Set the number of slots that this node may use for a model."""
        pool = self._pool(model)
        pool.advance(self._now())
        pool.capacity = slots
        return self._admit(pool)

    def submit(
        self, request: AdmissionRequest
    ) -> tuple[Ticket, list[Decision]]:
        """Admit, queue or refuse a request.

        Args:
          request: the request.

        Returns:
          A ticket and the decisions made now: on the ticket itself, unless it
          is queued, and on a queued ticket that it displaced.
        """
        number = next(self.ticket_numbers)
        ticket = Ticket(number, request.team, request.rank, request.model)
        pool = self._pool(request.model)
        now = self._now()
        pool.advance(now)
        self._add_rank(pool, request.priority)
        remaining = request.deadline.total_seconds() - now
        max_wait = min(remaining, request.max_wait.total_seconds())
        wait = pool.expected_wait(request, now)
        if wait > max_wait or remaining <= 0:
            return ticket, [self._refuse(ticket, wait)]
        decisions: list[Decision] = []
        if len(pool.waiting) >= pool.max_queued():
            entry_to_evict = pool.entry_to_evict(request)
            if entry_to_evict is None:
                return ticket, [self._refuse(ticket, wait)]
            decisions.append(self._evict(pool, entry_to_evict))
        pool.add(_Entry(ticket, request, now, now + max_wait))
        return ticket, [*decisions, *self._admit(pool)]

    def release(self, ticket: Ticket) -> list[Decision]:
        """End the work of a ticket, whether it runs or is queued.

        Args:
          ticket: a ticket that was neither refused nor released before.

        Returns:
          The admissions that this makes possible.

        Raises:
          KeyError: the ticket is not known.
        """
        pool = self.pools[ticket.model]
        now = self._now()
        pool.advance(now)
        entry = pool.waiting.get(ticket.number)
        if entry is None:
            pool.end(pool.running[ticket.number], now)
        else:
            pool.remove(entry)
        return self._admit(pool)

    def expire_and_admit(self) -> list[Decision]:
        """Refuse work that waited too long and admit what may run now."""
        now = self._now()
        decisions: list[Decision] = []
        for pool in self.pools.values():
            pool.advance(now)
            expired = [
                entry for entry in pool.waiting.values() if entry.expires <= now
            ]
            decisions.extend(self._evict(pool, entry) for entry in expired)
            decisions.extend(self._admit(pool))
        return decisions

    def demand(self, model: str) -> dict[tuple[int, str], float]:
        """Return the slots that queued and running work needs.

        The result is keyed by priority and team. The square root allows for
        the variation of random arrivals: with the mean alone, a small team
        has to wait whenever its demand exceeds its mean.
        """
        return {
            key: amount + math.sqrt(amount)
            for key, amount in self._pool(model).demands.items()
        }

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()

    def _pool(self, model: str) -> Pool:
        if model not in self.pools:
            self.pools[model] = Pool(self.settings)
            self.pools[model].updated_at = self._now()
        return self.pools[model]

    def _add_rank(self, pool: Pool, priority: int) -> None:
        if priority not in pool.ranks:
            pool.ranks[priority] = _Rank(self.floors.get(priority, 0))

    def _admit(self, pool: Pool) -> list[Decision]:
        admitted: list[Decision] = []
        entry = pool.next_entry()
        while entry is not None:
            pool.run(entry)
            entry.since = self._now()
            admitted.append(Admitted(entry.ticket))
            entry = pool.next_entry()
        return admitted

    def _evict(self, pool: Pool, entry: _Entry) -> Refused:
        pool.remove(entry)
        wait = pool.expected_wait(entry.request, self._now())
        return self._refuse(entry.ticket, wait)

    def _refuse(self, ticket: Ticket, wait: float) -> Refused:
        seconds = min(self.settings.max_retry_after_s, max(1, wait))
        jitter = 1 + self.rng.random() / 2
        refusal = Refusal(
            503,
            'overloaded',
            f'no capacity for rank {ticket.rank!r} in time',
            RunState.NOT_RUN,
            dt.timedelta(seconds=seconds * jitter),
        )
        return Refused(ticket, refusal)
