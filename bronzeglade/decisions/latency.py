"""Recent times to the first byte, which fade when nothing is heard."""

import dataclasses
import datetime as dt
from collections.abc import Hashable

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySettings:
    """How fast old values count less.

    `weight` is that of a new value; a known value halves in `half_life`, so
    that a key that was avoided for its latency is tried again.
    """

    weight: float = 0.2
    half_life: dt.timedelta = dt.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    value: dt.timedelta
    at: dt.timedelta


class Latencies:
    """Typical latency by key."""

    def __init__(self, settings: LatencySettings, clock: Clock) -> None:
        """Know nothing.

        Args:
          settings: weights.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.known: dict[Hashable, _Known] = {}

    def note(self, key: Hashable, latency: dt.timedelta) -> None:
        """Take a latency that was measured."""
        now = self.clock.monotonic()
        if key in self.known:
            before = self.typical(key)
            latency = before + (latency - before) * self.settings.weight
        self.known[key] = _Known(latency, now)

    def typical(self, key: Hashable) -> dt.timedelta:
        """Return the typical latency of a key; zero when it is not known."""
        known = self.known.get(key)
        if known is None:
            return dt.timedelta()
        age = self.clock.monotonic() - known.at
        halvings = age / self.settings.half_life
        return known.value * float(0.5**halvings)
