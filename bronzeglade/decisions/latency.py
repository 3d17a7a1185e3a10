"""Moving averages of the time to first byte, with decay over time."""

import dataclasses
import datetime as dt
from collections.abc import Hashable

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySettings:
    """Parameters of the moving average.

    `weight` is that of a new value. An average without new values halves in
    `half_life`, so that a key avoided for its latency is used again.
    """

    weight: float = 0.2
    half_life: dt.timedelta = dt.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, slots=True)
class _Average:
    value: dt.timedelta
    updated_at: dt.timedelta


class Latencies:
    """Typical latency by key, as an exponentially weighted average."""

    def __init__(self, settings: LatencySettings, clock: Clock) -> None:
        """Create an instance without measurements.

        Args:
          settings: weight and decay.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.averages: dict[Hashable, _Average] = {}

    def record(self, key: Hashable, latency: dt.timedelta) -> None:
        """Update the average of a key with a measured latency."""
        now = self.clock.monotonic()
        if key in self.averages:
            previous = self.typical_latency(key)
            latency = previous + (latency - previous) * self.settings.weight
        self.averages[key] = _Average(latency, now)

    def typical_latency(self, key: Hashable) -> dt.timedelta:
        """Return the typical latency of a key, or zero if it is unknown."""
        average = self.averages.get(key)
        if average is None:
            return dt.timedelta()
        age = self.clock.monotonic() - average.updated_at
        halvings = age / self.settings.half_life
        return average.value * float(0.5**halvings)
