"""Counts over sliding windows, kept in a ring of short buckets."""

import dataclasses
import datetime as dt
from collections import deque
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

from bronzeglade.clock import Clock

BUCKET = dt.timedelta(seconds=10)
WINDOWS = (
    dt.timedelta(minutes=1),
    dt.timedelta(minutes=5),
    dt.timedelta(minutes=30),
    dt.timedelta(hours=1),
)

LabelsT = TypeVar('LabelsT', bound=Hashable)


@dataclasses.dataclass(slots=True)
class Count:
    """Requests that count for the objective, and those that missed it."""

    total: int = 0
    missed: int = 0

    def add(self, other: 'Count') -> None:
        """Add another count to this one."""
        self.total += other.total
        self.missed += other.missed


class WindowedCounts(Generic[LabelsT]):
    """Counts by labels over the last hour."""

    def __init__(self, clock: Clock) -> None:
        """Start empty.

        Args:
          clock: time of each count.
        """
        self.clock = clock
        self.started = clock.monotonic()
        self.buckets: deque[tuple[int, dict[LabelsT, Count]]] = deque()

    def add(self, labels: LabelsT, missed: bool) -> None:
        """Count one request.

        Args:
          labels: what it is counted under.
          missed: whether it missed the objective.
        """
        number = self.clock.monotonic() // BUCKET
        if not self.buckets or self.buckets[-1][0] != number:
            self._drop_old(number)
            self.buckets.append((number, {}))
        count = self.buckets[-1][1].setdefault(labels, Count())
        count.add(Count(1, int(missed)))

    def over(self, window: dt.timedelta) -> dict[LabelsT, Count]:
        """Return the counts of the last full buckets and the present one.

        Args:
          window: how far back; at most an hour.
        """
        oldest = (self.clock.monotonic() - window) // BUCKET
        counts: dict[LabelsT, Count] = {}
        for labels, count in self._since(oldest):
            counts.setdefault(labels, Count()).add(count)
        return counts

    def uptime(self) -> dt.timedelta:
        """Return how long counts have been kept."""
        return self.clock.monotonic() - self.started

    def _since(self, oldest: int) -> Iterator[tuple[LabelsT, Count]]:
        for number, counts in self.buckets:
            if number > oldest:
                yield from counts.items()

    def _drop_old(self, number: int) -> None:
        kept = number - WINDOWS[-1] // BUCKET
        while self.buckets and self.buckets[0][0] < kept:
            self.buckets.popleft()
