"""Times of a graceful shutdown, and which requests it still accepts."""

import dataclasses
import datetime as dt
from collections.abc import Hashable

from bronzeglade.clock import Clock

# Fractions of the grace period after which running requests are abandoned, and
# after which the process begins to exit. The time between is for the last
# answers, that after it for the last lines of the log and the interpreter.
ABANDON_FRACTION = 0.92
EXIT_FRACTION = 0.95
# A request whose time limit is too long is accepted if the remaining time is at
# least this multiple of the longest recent duration of such requests: while
# callers may know no other address, and after that.
LISTED_MARGIN = 2
UNLISTED_MARGIN = 10
# Durations older than one to two of these are forgotten.
DURATION_WINDOW = dt.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """Monotonic times of a graceful shutdown.

    Callers may use this node's address until `listed_until`. Running requests
    are abandoned at `abandon_at`; the process begins to exit by `exit_at`.
    """

    started_at: dt.timedelta
    listed_until: dt.timedelta
    abandon_at: dt.timedelta
    exit_at: dt.timedelta

    def accepts(
        self,
        now: dt.timedelta,
        time_limit: dt.timedelta,
        expected: dt.timedelta | None,
    ) -> bool:
        """Return whether a request can be finished before it is abandoned.

        A request that ends in time by its own limit is always accepted, others
        depend on an estimate.

        Args:
          now: monotonic time.
          time_limit: maximum duration of the request from now on.
          expected: longest recent duration of such requests, None if unknown.
        """
        remaining = self.abandon_at - now
        if time_limit <= remaining:
            return True
        if expected is None:
            return False
        listed = now < self.listed_until
        margin = LISTED_MARGIN if listed else UNLISTED_MARGIN
        return expected * margin <= remaining


def plan_shutdown(
    now: dt.timedelta, grace: dt.timedelta, listing: dt.timedelta
) -> Shutdown:
    """Return the times of a shutdown that starts now.

    Args:
      now: monotonic time.
      grace: time until the process is killed.
      listing: maximum time for which callers keep using this node's address.
    """
    abandon_at = now + grace * ABANDON_FRACTION
    return Shutdown(
        started_at=now,
        listed_until=min(now + listing, abandon_at),
        abandon_at=abandon_at,
        exit_at=now + grace * EXIT_FRACTION,
    )


@dataclasses.dataclass(slots=True)
class _Peak:
    """Longest durations of the current window and of the one before."""

    window_start: dt.timedelta
    current: dt.timedelta
    previous: dt.timedelta | None = None


class LongestDurations:
    """Longest recent duration of requests, by key."""

    def __init__(self, clock: Clock) -> None:
        """Create an instance without durations.

        Args:
          clock: monotonic time.
        """
        self.clock = clock
        self.peaks: dict[Hashable, _Peak] = {}

    def record(self, key: Hashable, duration: dt.timedelta) -> None:
        """Record the duration of a request."""
        now = self.clock.monotonic()
        peak = self.peaks.get(key)
        if peak is None or now - peak.window_start >= 2 * DURATION_WINDOW:
            self.peaks[key] = _Peak(now, duration)
        elif now - peak.window_start >= DURATION_WINDOW:
            self.peaks[key] = _Peak(now, duration, peak.current)
        else:
            peak.current = max(peak.current, duration)

    def longest(self, key: Hashable) -> dt.timedelta | None:
        """Return the longest recent duration, or None without any."""
        peak = self.peaks.get(key)
        if peak is None:
            return None
        age = self.clock.monotonic() - peak.window_start
        if age >= 2 * DURATION_WINDOW:
            return None
        return max(peak.current, peak.previous or peak.current)
