"""Shares the memory that callers can make a node hold among all of them.

Counted are requests, from the end of their heads until they have been answered,
and answers that are held whole. A request that is small is not counted, so
ordinary requests always find room. When there is no room for more,
bodies that have stalled give way, then the largest bodies of the client that
holds most, if the one that asks would hold less. Otherwise the request is
refused. What an endpoint may be working on never gives way.
"""

import collections
import dataclasses
import datetime as dt
import itertools
from collections.abc import Callable, Iterator

from bronzeglade.clock import Clock
from bronzeglade.outcome import Refusal, RunState

NO_ROOM = Refusal(
    503,
    'no_room',
    'the node has no room for the request body',
    RunState.NOT_RUN,
    dt.timedelta(seconds=1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class MemorySettings:
    """Limits of an account.

    Attributes:
      capacity: bytes for all that is counted.
      small: a request or an answer of up to this many bytes is not counted.
      stalled: a body that has not grown for this long gives way first.
    """

    capacity: int = 64 * 1024 * 1024
    small: int = 16 * 1024
    stalled: dt.timedelta = dt.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """Memory that is held for one request.

    `give_way` frees it at once, and ends the connection. `is_kept` is set once
    the memory cannot be given up any more, `ended` once nothing may be added.
    """

    client: str
    give_way: Callable[[], None]
    grown_at: dt.timedelta
    size: int = 0
    is_kept: bool = False
    ended: bool = False


class MemoryAccount:
    """The memory that one node holds for others."""

    def __init__(self, settings: MemorySettings, clock: Clock) -> None:
        """Create an empty account.

        Args:
          settings: limits.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        # Only what is counted, in the order in which it grew beyond `small`.
        self.holdings: dict[Holding, None] = {}
        self.used = 0
        self.gave_way = 0

    def open(self, client: str, give_way: Callable[[], None]) -> Holding:
        """Return an empty holding.

        Args:
          client: whom it is for; all holdings of a client compete.
          give_way: frees the memory; called at most once.
        """
        return Holding(client, give_way, self.clock.monotonic())

    def grow(self, holding: Holding, size: int) -> bool:
        """Add bytes to a holding; return whether there is room.

        If there is none, the holding has ended, and its owner frees it.
        """
        if holding.ended:
            return False
        counted = self._counted(holding)
        holding.size += size
        holding.grown_at = self.clock.monotonic()
        added = self._counted(holding) - counted
        if not added or self._make_room(holding, added):
            self.used += added
            if added:
                self.holdings[holding] = None
            return True
        holding.size -= size
        self.close(holding)
        return False

    def keep(self, holding: Holding) -> None:
        """Keep a holding until its owner closes it."""
        holding.is_kept = True

    def close(self, holding: Holding) -> None:
        """End a holding whose memory is free; further calls do nothing."""
        if not holding.ended:
            holding.ended = True
            self.used -= self._counted(holding)
            self.holdings.pop(holding, None)

    def take_gave_way(self) -> int:
        """Return how many holdings gave way since the last call."""
        count = self.gave_way
        self.gave_way = 0
        return count

    def counts(self, holding: Holding) -> bool:
        """Return whether a holding is too large to be left uncounted."""
        return holding.size > self.settings.small

    def _counted(self, holding: Holding) -> int:
        return holding.size if self.counts(holding) else 0

    def _make_room(self, holding: Holding, size: int) -> bool:
        lacking = self.used + size - self.settings.capacity
        # One request that is alone may exceed the capacity: a body within the
        # configured limit is served when nothing else is held.
        if lacking <= 0 or not self.holdings.keys() - {holding}:
            return True
        chosen: list[Holding] = []
        for candidate in self._candidates(holding):
            chosen.append(candidate)
            lacking -= candidate.size
            if lacking <= 0:
                break
        if lacking > 0:
            return False
        for victim in chosen:
            self.close(victim)
            self.gave_way += 1
            victim.give_way()
        return True

    def _candidates(self, holding: Holding) -> Iterator[Holding]:
        """Yield what may give way to a holding, first what should."""
        now = self.clock.monotonic()
        others = [other for other in self.holdings if other is not holding]
        totals = collections.Counter({holding.client: holding.size})
        for other in others:
            totals[other.client] += other.size
        others = [other for other in others if not other.is_kept]
        stalled = [
            other
            for other in others
            if now - other.grown_at >= self.settings.stalled
        ]
        stalled.sort(key=lambda other: other.grown_at)
        client, largest = totals.most_common(1)[0]
        if largest == totals[holding.client]:
            return iter(stalled)
        moving = [
            other
            for other in others
            if other.client == client and other not in stalled
        ]
        moving.sort(key=lambda other: -other.size)
        return itertools.chain(stalled, moving)
