"""Ejection of endpoints after failures, and their return after a probe."""

import dataclasses
import datetime as dt
import random

from bronzeglade.clock import Clock
from bronzeglade.decisions.retry import Failure

_MAX_DOUBLINGS = 10  # avoids overflow; `max_ejection` bounds the time


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionSettings:
    """Failure detection and ejection times."""

    # Weight of the newest outcome in the moving average of failures.
    failure_weight: float = 0.2
    # Exceeded by three consecutive failures of a healthy endpoint.
    max_failure_rate: float = 0.45
    min_ejection: dt.timedelta = dt.timedelta(seconds=1)
    max_ejection: dt.timedelta = dt.timedelta(seconds=15)


@dataclasses.dataclass(slots=True)
class _Health:
    failure_rate: float = 0
    ejections: int = 0
    ejected_until: dt.timedelta | None = None
    probing: bool = False


class Ejections:
    """Health of the endpoints, from the outcomes of one node's requests.

    A failing endpoint is ejected. When the ejection time is over, one request
    probes it; each failed probe doubles the next ejection time.
    """

    def __init__(
        self, settings: EjectionSettings, clock: Clock, rng: random.Random
    ) -> None:
        """Start with all endpoints healthy.

        Args:
          settings: failure detection and ejection times.
          clock: monotonic time.
          rng: spreads the probes of several nodes over time.
        """
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.health: dict[str, _Health] = {}

    def is_usable(self, endpoint: str) -> bool:
        """Return whether an endpoint is healthy or due for a probe."""
        health = self.health.get(endpoint)
        if health is None or health.ejected_until is None:
            return True
        due = self.clock.monotonic() >= health.ejected_until
        return due and not health.probing

    def started(self, endpoint: str) -> None:
        """Record the start of a request, a probe if the endpoint is ejected."""
        health = self.health.get(endpoint)
        if health is not None and health.ejected_until is not None:
            health.probing = True

    def finished(self, endpoint: str) -> None:
        """Record the end of a request, whatever its outcome."""
        health = self.health.get(endpoint)
        if health is not None:
            health.probing = False

    def succeeded(self, endpoint: str) -> None:
        """Record a successful answer; after a probe the endpoint is healthy."""
        health = self.health.get(endpoint)
        if health is None:
            return
        if health.probing:
            self.health.pop(endpoint)
            return
        health.failure_rate *= 1 - self.settings.failure_weight

    def failed(self, endpoint: str, failure: Failure) -> None:
        """Record a failed attempt; a rejected request is not a failure.

        Args:
          endpoint: endpoint of the attempt.
          failure: kind of failure; without a connection, the endpoint is
            ejected at once.
        """
        if failure is Failure.REJECTED:
            return
        health = self.health.setdefault(endpoint, _Health())
        ejected = health.ejected_until is not None
        if ejected and not health.probing:
            return  # the attempt started before the ejection
        weight = self.settings.failure_weight
        health.failure_rate += (1 - health.failure_rate) * weight
        if failure is Failure.NOT_CONNECTED:
            health.failure_rate = 1
        if ejected or health.failure_rate >= self.settings.max_failure_rate:
            self._eject(health)

    def forget(self, endpoint: str) -> None:
        """Discard the health of a removed endpoint."""
        self.health.pop(endpoint, None)

    def _eject(self, health: _Health) -> None:
        duration = self.settings.min_ejection * 2**health.ejections
        jitter = 0.75 + self.rng.random() / 2
        until = min(self.settings.max_ejection, duration) * jitter
        health.ejected_until = self.clock.monotonic() + until
        health.ejections = min(health.ejections + 1, _MAX_DOUBLINGS)
        health.failure_rate = 0
        health.probing = False
