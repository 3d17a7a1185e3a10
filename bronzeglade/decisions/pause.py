"""Endpoints that asked for a pause without new work."""

import dataclasses
import datetime as dt
from collections.abc import Iterable

from bronzeglade.clock import Clock

_ZERO = dt.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class PauseSettings:
    """A pause is limited to `max_duration`, whatever an endpoint asks for.

    An endpoint that needs a longer pause has to ask again afterwards.
    """

    max_duration: dt.timedelta = dt.timedelta(seconds=60)


class Pauses:
    """Pauses in which this node sends no work to an endpoint."""

    def __init__(self, settings: PauseSettings, clock: Clock) -> None:
        """Create an instance without pauses.

        Args:
          settings: limit of a pause.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.paused_until: dict[str, dt.timedelta] = {}

    def request_pause(
        self, endpoint: str, duration: dt.timedelta
    ) -> dt.timedelta:
        """Start or extend the pause of an endpoint; it is never shortened.

        Args:
          endpoint: name of the endpoint.
          duration: the requested pause; a negative one counts as zero.

        Returns:
          The requested pause, limited to the maximum.
        """
        bounded = min(self.settings.max_duration, max(_ZERO, duration))
        paused_until = self.clock.monotonic() + bounded
        self.paused_until[endpoint] = max(
            paused_until, self.paused_until.get(endpoint, paused_until)
        )
        return bounded

    def is_paused(self, endpoint: str) -> bool:
        """Return whether the pause of an endpoint is in effect."""
        paused_until = self.paused_until.get(endpoint)
        return (
            paused_until is not None and self.clock.monotonic() < paused_until
        )

    def time_until_first_end(
        self, endpoints: Iterable[str]
    ) -> dt.timedelta | None:
        """Return the time until the first of several endpoints accepts work.

        Args:
          endpoints: names of the endpoints.

        Returns:
          Zero if any endpoint accepts work now; None without endpoints.
        """
        now = self.clock.monotonic()
        remaining = (
            self.paused_until.get(endpoint, now) - now for endpoint in endpoints
        )
        first = min(remaining, default=None)
        return None if first is None else max(_ZERO, first)

    def forget(self, endpoint: str) -> None:
        """Discard the pause of an endpoint that was removed."""
        self.paused_until.pop(endpoint, None)
