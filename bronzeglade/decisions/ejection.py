"""Which endpoints are left out after failures, and for how long."""

import dataclasses
import datetime as dt
import random

from bronzeglade.clock import Clock
from bronzeglade.decisions.retry import Failure

_DOUBLINGS = 10  # of an ejection time; the longest one bounds it anyway


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionSettings:
    """Limits of the detection."""

    failure_weight: float = 0.2  # of the last outcome in the failure rate
    failure_limit: float = 0.45  # three failures in a row from a clean state
    shortest: dt.timedelta = dt.timedelta(seconds=1)
    longest: dt.timedelta = dt.timedelta(seconds=15)


@dataclasses.dataclass(slots=True)
class _Health:
    rate: float = 0
    ejections: int = 0
    ejected_until: dt.timedelta | None = None
    probing: bool = False


class Ejections:
    """Outcomes of the requests of one node, by endpoint.

    An endpoint that fails is left out for a time that doubles with each
    failed probe; then one request probes it.
    """

    def __init__(
        self, settings: EjectionSettings, clock: Clock, source: random.Random
    ) -> None:
        """Take every endpoint for healthy.

        Args:
          settings: limits.
          clock: monotonic time.
          source: spreads the probes of several nodes.
        """
        self.settings = settings
        self.clock = clock
        self.source = source
        self.health: dict[str, _Health] = {}

    def is_usable(self, endpoint: str) -> bool:
        """Return whether an endpoint is healthy or due for one probe."""
        health = self.health.get(endpoint)
        if health is None or health.ejected_until is None:
            return True
        due = self.clock.monotonic() >= health.ejected_until
        return due and not health.probing

    def started(self, endpoint: str) -> None:
        """Take note of a request; for an ejected endpoint it is a probe."""
        health = self.health.get(endpoint)
        if health is not None and health.ejected_until is not None:
            health.probing = True

    def finished(self, endpoint: str) -> None:
        """Take note of the end of a request."""
        health = self.health.get(endpoint)
        if health is not None:
            health.probing = False

    def succeeded(self, endpoint: str) -> None:
        """Take note that an endpoint answered."""
        health = self.health.get(endpoint)
        if health is None:
            return
        if health.probing:
            self.health.pop(endpoint)
            return
        health.rate *= 1 - self.settings.failure_weight

    def failed(self, endpoint: str, failure: Failure) -> None:
        """Take note of a failed try; a rejected request is none.

        Args:
          endpoint: where it failed.
          failure: how.
        """
        if failure is Failure.REJECTED:
            return
        health = self.health.setdefault(endpoint, _Health())
        ejected = health.ejected_until is not None
        if ejected and not health.probing:
            return  # started before the ejection
        weight = self.settings.failure_weight
        health.rate += (1 - health.rate) * weight
        if failure is Failure.NOT_CONNECTED:
            health.rate = 1
        if ejected or health.rate >= self.settings.failure_limit:
            self._eject(health)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self.health.pop(endpoint, None)

    def _eject(self, health: _Health) -> None:
        duration = self.settings.shortest * 2**health.ejections
        spread = 0.75 + self.source.random() / 2
        until = min(self.settings.longest, duration) * spread
        health.ejected_until = self.clock.monotonic() + until
        health.ejections = min(health.ejections + 1, _DOUBLINGS)
        health.rate = 0
        health.probing = False
