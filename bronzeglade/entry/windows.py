"""Counts over sliding windows, kept in a queue of short buckets."""

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
    """Request counts by label set over the last hour."""

    def __init__(self, clock: Clock) -> None:
        """Create empty windows.

        Args:
          clock: assigns each request to a bucket.
        """
        self.clock = clock
        self.started_at = clock.monotonic()
        self.buckets: deque[tuple[int, dict[LabelsT, Count]]] = deque()

    def add(self, labels: LabelsT, missed: bool) -> None:
        """Count one request.

        Args:
          labels: the label set to count it under.
          missed: whether it missed the objective.
        """
        bucket_index = self.clock.monotonic() // BUCKET
        if not self.buckets or self.buckets[-1][0] != bucket_index:
            self._drop_expired(bucket_index)
            self.buckets.append((bucket_index, {}))
        count = self.buckets[-1][1].setdefault(labels, Count())
        count.add(Count(1, int(missed)))

    def counts_over(self, window: dt.timedelta) -> dict[LabelsT, Count]:
        """Return the counts in a window, the current bucket included.

        Args:
          window: length of the window, which ends now; at most one hour.
        """
        oldest = (self.clock.monotonic() - window) // BUCKET
        counts: dict[LabelsT, Count] = {}
        for labels, count in self._since(oldest):
            counts.setdefault(labels, Count()).add(count)
        return counts

    def uptime(self) -> dt.timedelta:
        """Return the time since counting started."""
        return self.clock.monotonic() - self.started_at

    def _since(self, oldest: int) -> Iterator[tuple[LabelsT, Count]]:
        for bucket_index, counts in self.buckets:
            if bucket_index > oldest:
                yield from counts.items()

    def _drop_expired(self, bucket_index: int) -> None:
        oldest_kept = bucket_index - WINDOWS[-1] // BUCKET
        while self.buckets and self.buckets[0][0] < oldest_kept:
            self.buckets.popleft()
