"""Endpoints that asked to be left without new work for a time."""

import dataclasses
import datetime as dt
from collections.abc import Iterable

from bronzeglade.clock import Clock

_NO_TIME = dt.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class PauseSettings:
    """A pause lasts for `longest` at most, whatever an endpoint asks for.

    An endpoint that still wants no work afterwards says so again.
    """

    longest: dt.timedelta = dt.timedelta(seconds=60)


class Pauses:
    """Until when endpoints get no work of this node."""

    def __init__(self, settings: PauseSettings, clock: Clock) -> None:
        """Know of no pause.

        Args:
          settings: bounds.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.until: dict[str, dt.timedelta] = {}

    def ask(self, endpoint: str, duration: dt.timedelta) -> dt.timedelta:
        """Leave an endpoint without work; a longer pause stays.

        Args:
          endpoint: its name.
          duration: what it asks for; a negative one counts as none.

        Returns:
          The pause that is kept, which is shorter when it asks for too much.
        """
        kept = min(self.settings.longest, max(_NO_TIME, duration))
        until = self.clock.monotonic() + kept
        self.until[endpoint] = max(until, self.until.get(endpoint, until))
        return kept

    def is_paused(self, endpoint: str) -> bool:
        """Return whether an endpoint wants no work now."""
        until = self.until.get(endpoint)
        return until is not None and self.clock.monotonic() < until

    def first_end(self, endpoints: Iterable[str]) -> dt.timedelta | None:
        """Return how long until the first of some endpoints takes work.

        Args:
          endpoints: their names.

        Returns:
          Zero when one takes work now; None when there are no endpoints.
        """
        now = self.clock.monotonic()
        left = (self.until.get(one, now) - now for one in endpoints)
        first = min(left, default=None)
        return None if first is None else max(_NO_TIME, first)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self.until.pop(endpoint, None)
