"""Rate limits of the platform's services."""

import time


class RateLimit:
    """A token bucket; its size is what is allowed in one second."""

    def __init__(self, per_second: float) -> None:
        """Create a full bucket.

        Args:
          per_second: allowed calls a second; 0 means no limit.
        """
        self.per_second = per_second
        self.tokens = per_second
        self.filled_at = time.monotonic()

    def try_take(self) -> bool:
        """Return whether one more call is allowed now."""
        if not self.per_second:
            return True
        now = time.monotonic()
        gained = (now - self.filled_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
