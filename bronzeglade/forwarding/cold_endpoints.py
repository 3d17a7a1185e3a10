"""What a node knows of endpoints that are cold, and from where.

An endpoint tells in its registration how long it stays cold. That may be known
too late: an endpoint that refused a connection comes back cold, and so may one
whose failure domain got no requests. These count as cold until their
registration, or time, tells otherwise.
"""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping

from bronzeglade.clock import Clock
from bronzeglade.coordination.membership_view import (
    MembershipView,
    MembershipViewSettings,
)
from bronzeglade.decisions.cold_start import (
    ColdStartLimit,
    ColdStarts,
    ColdStartSettings,
)
from bronzeglade.forwarding.departures import Incarnation
from bronzeglade.forwarding.endpoint import EndpointEntry
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.metrics import Metrics
from bronzeglade.forwarding.route import Service
from bronzeglade.forwarding.settings import ColdBounds

_MILLISECOND = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class _Registration:
    """The part of a registration that tells whether it is news."""

    started: int
    sequence: int
    cold_for: dt.timedelta


class ColdEndpoints:
    """Cold endpoints, as known to one node; empty without `bounds`."""

    def __init__(
        self,
        starts: ColdStarts,
        membership: MembershipView,
        log: Log,
        metrics: Metrics,
    ) -> None:
        """Start without endpoints.

        Args:
          starts: limits on what cold endpoints get.
          membership: the nodes that share these limits.
          log: log of this node.
          metrics: counters of this node.
        """
        self.starts = starts
        self.membership = membership
        self.log = log
        self.metrics = metrics
        self.bounds: ColdBounds | None = None
        self.services: Mapping[str, Service] = {}
        self.entries: dict[str, EndpointEntry] = {}
        self.known: dict[str, _Registration] = {}
        metrics.cold_endpoints.set_function(lambda: len(starts.fractions()))

    def configure(
        self, bounds: ColdBounds | None, services: Mapping[str, Service]
    ) -> None:
        """Set the limits.

        Args:
          bounds: limits for all services; None turns them off.
          services: services of the configuration, by name.
        """
        unlimited = [name for name in self.known if self._limit(name) is None]
        self.bounds = bounds
        self.services = services
        for name in self.known:
            if self._limit(name) is None:
                self.starts.forget(name)
        for name in unlimited:
            # The registration was known before the limits were.
            self._record(name, self.known[name].cold_for, 'registration')

    def update(self, entries: Iterable[EndpointEntry]) -> None:
        """Apply the registrations of all endpoints."""
        self.entries = {entry.name: entry for entry in entries}
        for name in self.known.keys() - self.entries.keys():
            self.known.pop(name)
            self.starts.forget(name)
        for name, entry in self.entries.items():
            news = _Registration(entry.started, entry.sequence, entry.cold_for)
            if _is_news(news, self.known.get(name)):
                self.known[name] = news
                self._record(name, entry.cold_for, 'registration')

    def presume(
        self, name: str, source: str, remaining: dt.timedelta | None = None
    ) -> bool:
        """Record that an endpoint may be cold.

        Args:
          name: name of the endpoint.
          source: reason, or the node that told of it, for the log.
          remaining: how long; by default as long as after a start.

        Returns:
          Whether this was not known.
        """
        limit = self._limit(name)
        if limit is None:
            return False
        # No node may keep an endpoint cold for longer than it can be.
        bounded = min(limit.duration, remaining or limit.duration)
        is_news = self.starts.extend(name, bounded, limit)
        if is_news:
            self._log(name, bounded, source)
        return is_news

    def presume_domain(self, failure_domain: str, source: str) -> None:
        """Record that the endpoints of a failure domain may be cold."""
        for name, entry in self.entries.items():
            if entry.failure_domain == failure_domain:
                self.presume(name, source)

    def is_current(self, incarnation: Incarnation) -> bool:
        """Return whether an endpoint is registered with this start."""
        entry = self.entries.get(incarnation.name)
        return entry is not None and entry.incarnation == incarnation

    def _limit(self, name: str) -> ColdStartLimit | None:
        """Return what an endpoint bears while cold; None if unlimited."""
        entry = self.entries.get(name)
        service = None if entry is None else self.services.get(entry.service)
        if self.bounds is None or service is None or not service.cold_rate:
            return None
        per_second = service.cold_rate * self.bounds.ratio + self.bounds.slack
        return ColdStartLimit(service.cold_start, service.cold_rate, per_second)

    def _record(self, name: str, remaining: dt.timedelta, source: str) -> None:
        limit = self._limit(name)
        if limit is not None and self.starts.record(name, remaining, limit):
            self._log(name, remaining, source)

    def _log(self, name: str, remaining: dt.timedelta, source: str) -> None:
        self.log.event(
            'endpoint_cold',
            endpoint=name,
            remaining_ms=remaining // _MILLISECOND,
            source=source,
        )


def new(node: str, clock: Clock, log: Log, metrics: Metrics) -> ColdEndpoints:
    """Return the knowledge of a node that has just started.

    Args:
      node: name of the node.
      clock: monotonic time.
      log: log of the node.
      metrics: counters of the node.
    """
    return ColdEndpoints(
        ColdStarts(ColdStartSettings(), clock),
        MembershipView(node, MembershipViewSettings(), clock),
        log,
        metrics,
    )


def _is_news(found: _Registration, known: _Registration | None) -> bool:
    """Return whether a registration is newer than the known one.

    A restored store may have an older one of the same process.
    """
    if known is None or found.started != known.started:
        return True
    if found.sequence == known.sequence:
        return found.cold_for != known.cold_for
    return found.sequence > known.sequence
