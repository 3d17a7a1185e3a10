"""Rate limits of the simulated platform services."""

import time


class RateLimit:
    """A token bucket whose capacity is the calls allowed in one second."""

    def __init__(self, per_second: float) -> None:
        """Create a full bucket.

        Args:
          per_second: allowed calls per second; 0 means no limit.
        """
        self.per_second = per_second
        self.tokens = per_second
        self.refilled_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Take a token; return whether the call is allowed now."""
        if not self.per_second:
            return True
        now = time.monotonic()
        refill = (now - self.refilled_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
