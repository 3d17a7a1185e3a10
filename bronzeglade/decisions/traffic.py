"""Rate of a service's requests, from a counter that is read now and then."""

import collections
import datetime as dt

# Longer than the interval at which the nodes of a small fleet report counts.
RECENT = dt.timedelta(seconds=2)
_SECOND = dt.timedelta(seconds=1)


class Traffic:
    """Requests of a service since the order of a roll-out."""

    def __init__(self) -> None:
        """Start without requests."""
        self.counted: collections.deque[tuple[dt.timedelta, int]] = (
            collections.deque()
        )

    def record(self, elapsed: dt.timedelta, requests: int) -> None:
        """Record the number of requests.

        Args:
          elapsed: time since the order.
          requests: requests since the order.
        """
        self.counted.append((elapsed, requests))
        while elapsed - self.counted[0][0] > RECENT:
            self.counted.popleft()

    def requests_per_s(self) -> float:
        """Return the rate in the latest seconds, at least the mean rate.

        Returns 0 when nothing is recorded.
        """
        if not self.counted:
            return 0
        elapsed, requests = self.counted[-1]
        mean = requests / max(_SECOND, elapsed).total_seconds()
        began, requests_before = self.counted[0]
        recent = (requests - requests_before) / max(
            _SECOND, elapsed - began
        ).total_seconds()
        return max(mean, recent)
