"""Admission: who runs next, who waits and who is refused at once."""

import collections
import dataclasses
import datetime as dt
import itertools
import math
import random

from bronzeglade.clock import Clock
from bronzeglade.outcome import Refusal, RunState

_LEAST_DEMAND = 0.01  # requests; less is forgotten
_SHORTEST_SERVICE_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A request for leave to run.

    `patience` is the longest useful wait, `deadline` a monotonic time.
    """

    team: str
    weight: float
    rank: str
    priority: int
    model: str
    deadline: dt.timedelta
    patience: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A place in the queue or leave to run; given back exactly once."""

    number: int
    team: str
    rank: str
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The holder of the ticket may run."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The ticket is void; nothing has run."""

    ticket: Ticket
    refusal: Refusal


Decision = Admitted | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of the queues; times in seconds."""

    queue_per_slot: float = 4  # places in the queue for each slot
    shortest_queue: int = 16
    places_per_rank: int = 2  # that more urgent work cannot take
    reserve: float = 0.12  # of the slots, kept from work that is less urgent
    demand_s: float = 3  # time constant of the demand that nodes tell
    credit_s: float = 0.2  # of all slots, to which a rank's credit is bounded
    service_s: float = 1  # until some requests have ended
    rate_s: float = 3  # time constant of a rank's rate
    backlog_s: float = 0.3  # wait from which that rate predicts the next one
    longest_retry_s: float = 30


@dataclasses.dataclass(slots=True)
class _Place:
    """`since` is when it was taken, then when the work began to run."""

    ticket: Ticket
    work: Work
    since: float
    expires: float


@dataclasses.dataclass(slots=True)
class _Rank:
    """Teams of one priority that wait, with the tags of fair queueing."""

    floor: float = 0
    teams: dict[str, collections.deque[_Place]] = dataclasses.field(
        default_factory=dict
    )
    weights: dict[str, float] = dataclasses.field(default_factory=dict)
    finish: dict[str, float] = dataclasses.field(default_factory=dict)
    virtual: float = 0
    running: int = 0
    credit: float = 0
    rate: float = 0

    @property
    def waiting(self) -> int:
        """Number of places taken."""
        return sum(len(queue) for queue in self.teams.values())

    def oldest(self) -> float:
        """Return since when the first place has been taken."""
        return min(queue[0].since for queue in self.teams.values())

    def next_team(self) -> str:
        """Return the team with the smallest start tag."""
        return min(self.teams, key=lambda team: (self.start_tag(team), team))

    def start_tag(self, team: str) -> float:
        """Return the virtual time at which the team is due."""
        return max(self.virtual, self.finish.get(team, 0))

    def longest_team(self) -> str:
        """Return the team with the most places for its weight."""
        return max(
            self.teams,
            key=lambda team: (len(self.teams[team]) / self.weights[team], team),
        )

    def drop(self, place: _Place) -> None:
        """Remove a place."""
        team = place.work.team
        self.teams[team].remove(place)
        if not self.teams[team]:
            self.teams.pop(team)


class Pool:
    """Slots of one model on this node, and who waits for them."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Create a pool without slots.

        Args:
          settings: bounds.
        """
        self.settings = settings
        self.capacity = 0
        self.ranks: dict[int, _Rank] = {}
        self.running: dict[int, _Place] = {}
        self.waiting: dict[int, _Place] = {}
        self.service_s = settings.service_s
        self.updated: float = 0
        self.demands: dict[tuple[int, str], float] = {}
        self.wanted: collections.Counter[tuple[int, str]]
        self.wanted = collections.Counter()

    def limit(self) -> int:
        """Return the number of places in the queue."""
        places = math.ceil(self.settings.queue_per_slot * self.capacity)
        return max(self.settings.shortest_queue, places)

    def advance(self, now: float) -> None:
        """Bring credits, rates and demand up to a time in seconds.

        A rank that waits earns its floor in slot-seconds and pays for the
        slots that it uses; with credit it goes before more urgent ranks.
        """
        passed = now - self.updated
        if passed <= 0:
            return
        self.updated = now
        bound = max(self.settings.credit_s * self.capacity, 2 * self.service_s)
        for rank in self.ranks.values():
            earned = rank.floor * self.capacity - rank.running
            rank.credit = max(-bound, rank.credit + earned * passed)
            rank.credit = min(bound if rank.teams else 0, rank.credit)
            rank.rate *= math.exp(-passed / self.settings.rate_s)
        self._smooth_demand(passed)

    def reserve_from(self, priority: int) -> int:
        """Return the slots that a priority leaves to more urgent ones."""
        urgent = sum(
            amount
            for (other, _team), amount in self.demands.items()
            if other < priority
        )
        most = round(self.settings.reserve * self.capacity)
        return min(most, math.ceil(math.sqrt(urgent)))

    def next_place(self) -> _Place | None:
        """Return who may run now, if any."""
        free = self.capacity - len(self.running)
        if free <= 0:
            return None
        waiting = [
            priority
            for priority in sorted(self.ranks)
            if self.ranks[priority].teams
        ]
        owed = [one for one in waiting if self.ranks[one].credit > 0]
        if owed and owed[-1] != waiting[0]:
            chosen = max(owed, key=lambda one: self.ranks[one].credit)
            return self._first_of(chosen)
        if not waiting or free <= self.reserve_from(waiting[0]):
            return None
        return self._first_of(waiting[0])

    def add(self, place: _Place) -> None:
        """Put a place into the queue."""
        work = place.work
        rank = self.ranks[work.priority]
        rank.weights[work.team] = work.weight
        rank.teams.setdefault(work.team, collections.deque()).append(place)
        self.waiting[place.ticket.number] = place
        self.wanted[work.priority, work.team] += 1

    def remove(self, place: _Place) -> None:
        """Take a place out of the queue."""
        self.waiting.pop(place.ticket.number)
        self.ranks[place.work.priority].drop(place)
        self._count_end(place.work)

    def run(self, place: _Place) -> None:
        """Move a place from the queue to the slots."""
        rank = self.ranks[place.work.priority]
        team = place.work.team
        start = rank.start_tag(team)
        rank.virtual = start
        rank.finish[team] = start + 1 / place.work.weight
        rank.drop(place)
        rank.running += 1
        rank.rate += 1 / self.settings.rate_s
        self.waiting.pop(place.ticket.number)
        self.running[place.ticket.number] = place

    def end(self, place: _Place, now: float) -> None:
        """Free a slot; the team pays for the time that it took."""
        self.running.pop(place.ticket.number)
        rank = self.ranks[place.work.priority]
        rank.running -= 1
        taken = now - place.since
        relative = min(4, taken / max(self.service_s, _SHORTEST_SERVICE_S))
        rank.finish[place.work.team] += (relative - 1) / place.work.weight
        self.service_s += (taken - self.service_s) / 20
        self._count_end(place.work)

    def expected_wait(self, work: Work, now: float) -> float:
        """Return the expected wait of new work in seconds."""
        if not self.capacity:
            return math.inf
        rank = self.ranks[work.priority]
        own = len(rank.teams.get(work.team, ()))
        active = sum(rank.weights[team] for team in rank.teams)
        if work.team not in rank.teams:
            active += work.weight
        ahead = min(rank.waiting, own * active / work.weight)
        rate = self.capacity / self.service_s
        if rank.teams and now - rank.oldest() > self.settings.backlog_s:
            # Its own rate, which other ranks reduce.
            floor = rank.floor * rate
            rate = min(rate, max(rank.rate, floor, _LEAST_DEMAND))
        else:
            ahead += sum(
                other.waiting
                for priority, other in self.ranks.items()
                if priority < work.priority
            )
        if len(self.running) < self.capacity:
            return ahead / rate
        return (ahead + 1) / rate

    def victim(self, work: Work) -> _Place | None:
        """Return whose place new work takes when the queue is full."""
        for priority in sorted(self.ranks, reverse=True):
            rank = self.ranks[priority]
            if priority < work.priority or not rank.teams:
                break
            kept = self.settings.places_per_rank
            if priority > work.priority and rank.waiting <= max(
                kept, rank.floor * self.limit()
            ):
                continue
            team = rank.longest_team()
            longer = len(rank.teams[team]) / rank.weights[team]
            own = len(rank.teams.get(work.team, ())) + 1
            if priority > work.priority or longer > own / work.weight:
                return rank.teams[team][-1]
        return None

    def _first_of(self, priority: int) -> _Place:
        rank = self.ranks[priority]
        return rank.teams[rank.next_team()][0]

    def _count_end(self, work: Work) -> None:
        key = (work.priority, work.team)
        self.wanted[key] -= 1
        if not self.wanted[key]:
            self.wanted.pop(key)

    def _smooth_demand(self, passed: float) -> None:
        kept = math.exp(-passed / self.settings.demand_s)
        demands: dict[tuple[int, str], float] = {}
        keys = {*self.demands, *self.wanted}
        for key in keys:
            past = self.demands.get(key, 0)
            amount = past * kept + self.wanted[key] * (1 - kept)
            if amount > _LEAST_DEMAND:
                demands[key] = amount
        self.demands = demands


class Admission:
    """Queues of one node, a pool for each model."""

    def __init__(
        self, settings: AdmissionSettings, clock: Clock, source: random.Random
    ) -> None:
        """Create an admission without capacity.

        Args:
          settings: bounds.
          clock: monotonic time.
          source: spreads the times at which refused callers retry.
        """
        self.settings = settings
        self.clock = clock
        self.source = source
        self.pools: dict[str, Pool] = {}
        self.floors: dict[int, float] = {}
        self.numbers = itertools.count(1)

    def set_floors(self, floors: dict[int, float]) -> None:
        """Take the part of the slots that each priority keeps."""
        self.floors = floors
        for pool in self.pools.values():
            for priority, rank in pool.ranks.items():
                rank.floor = floors.get(priority, 0)

    def set_capacity(self, model: str, slots: int) -> list[Decision]:
        """Change the slots that this node may use for a model."""
        pool = self._pool(model)
        pool.advance(self._now())
        pool.capacity = slots
        return self._admit(pool)

    def submit(self, work: Work) -> tuple[Ticket, list[Decision]]:
        """Ask for leave to run.

        Args:
          work: the request.

        Returns:
          A ticket and what was decided now: on it, unless it waits, and on
          work that lost its place to it.
        """
        number = next(self.numbers)
        ticket = Ticket(number, work.team, work.rank, work.model)
        pool = self._pool(work.model)
        now = self._now()
        pool.advance(now)
        self._add_rank(pool, work.priority)
        left = work.deadline.total_seconds() - now
        patience = min(left, work.patience.total_seconds())
        wait = pool.expected_wait(work, now)
        if wait > patience or left <= 0:
            return ticket, [self._refuse(ticket, wait)]
        decisions: list[Decision] = []
        if len(pool.waiting) >= pool.limit():
            victim = pool.victim(work)
            if victim is None:
                return ticket, [self._refuse(ticket, wait)]
            decisions.append(self._drop(pool, victim))
        pool.add(_Place(ticket, work, now, now + patience))
        return ticket, [*decisions, *self._admit(pool)]

    def release(self, ticket: Ticket) -> list[Decision]:
        """Give back a ticket, whether it runs or waits.

        Args:
          ticket: one that was not refused or given back.

        Returns:
          Who may run now.

        Raises:
          KeyError: the ticket is not known.
        """
        pool = self.pools[ticket.model]
        now = self._now()
        pool.advance(now)
        place = pool.waiting.get(ticket.number)
        if place is None:
            pool.end(pool.running[ticket.number], now)
        else:
            pool.remove(place)
        return self._admit(pool)

    def due(self) -> list[Decision]:
        """Refuse who waited too long and admit who may run now."""
        now = self._now()
        decisions: list[Decision] = []
        for pool in self.pools.values():
            pool.advance(now)
            late = [
                place for place in pool.waiting.values() if place.expires <= now
            ]
            decisions.extend(self._drop(pool, place) for place in late)
            decisions.extend(self._admit(pool))
        return decisions

    def demand(self, model: str) -> dict[tuple[int, str], float]:
        """Return how many requests want to run, by priority and team.

        The square root is added for the variation of random arrivals: with
        the mean alone a small team waits whenever it has more than its mean.
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
            self.pools[model].updated = self._now()
        return self.pools[model]

    def _add_rank(self, pool: Pool, priority: int) -> None:
        if priority not in pool.ranks:
            pool.ranks[priority] = _Rank(self.floors.get(priority, 0))

    def _admit(self, pool: Pool) -> list[Decision]:
        admitted: list[Decision] = []
        place = pool.next_place()
        while place is not None:
            pool.run(place)
            place.since = self._now()
            admitted.append(Admitted(place.ticket))
            place = pool.next_place()
        return admitted

    def _drop(self, pool: Pool, place: _Place) -> Refused:
        pool.remove(place)
        wait = pool.expected_wait(place.work, self._now())
        return self._refuse(place.ticket, wait)

    def _refuse(self, ticket: Ticket, wait: float) -> Refused:
        seconds = min(self.settings.longest_retry_s, max(1, wait))
        spread = 1 + self.source.random() / 2
        refusal = Refusal(
            503,
            'overloaded',
            f'no capacity for rank {ticket.rank!r} in time',
            RunState.NOT_RUN,
            dt.timedelta(seconds=seconds * spread),
        )
        return Refused(ticket, refusal)
