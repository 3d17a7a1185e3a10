"""Router state that all request handlers of a process share."""

import dataclasses
import datetime as dt
import math
import random
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from bronzeglade.clock import Clock
from bronzeglade.decisions.crashing_segments import CrashingSegments
from bronzeglade.decisions.escalation import EscalationSettings
from bronzeglade.decisions.latency import Latencies
from bronzeglade.decisions.memory_account import MemoryAccount
from bronzeglade.decisions.pause import Pauses
from bronzeglade.decisions.placement import Placement
from bronzeglade.decisions.rate_limit import RateLimits, Turn
from bronzeglade.decisions.retry import WindowBudget, WindowSettings
from bronzeglade.decisions.shutdown import (
    LongestDurations,
    Shutdown,
    plan_shutdown,
)
from bronzeglade.forwarding.accepted_request import AcceptedRequest
from bronzeglade.forwarding.cold_endpoints import ColdEndpoints
from bronzeglade.forwarding.departures import Departures, Incarnation
from bronzeglade.forwarding.endpoint import (
    Endpoint,
    EndpointEntry,
    Registry,
    connection_limit,
)
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.message import AnswerFacts, Dialect
from bronzeglade.forwarding.metrics import Metrics
from bronzeglade.forwarding.roster import Roster
from bronzeglade.forwarding.route import RouteKind, RouteTable
from bronzeglade.forwarding.service_rollouts import ServiceRollouts
from bronzeglade.forwarding.settings import RetryBounds, RouterSettings
from bronzeglade.outcome import RunState

# Fraction of the cluster-wide retry bounds that nodes may use. The rest covers
# the counts that a node loses when it restarts, and nodes that are not yet in
# the roster.
RETRY_FRACTION = 0.85
# Retry-After of a refusal as a fraction of the caller's remaining time. Callers
# honour at most a third of that time.
RETRY_AFTER_FRACTION = 0.3
MAX_RETRY_AFTER = dt.timedelta(seconds=1)
# Retry-After of callers that wait for a paused endpoint is extended by a random
# fraction of the pause, at most this, so that they don't all return at once.
PAUSE_JITTER = 0.25
# From where this node itself learns that an endpoint may be cold.
LOCAL_SOURCES = frozenset(('answer', 'connection'))


class RunningRequest(Protocol):
    """A request that is being delivered."""

    request: AcceptedRequest
    attempted: list[str]
    events: int
    run_state: RunState

    def interrupt(self) -> None:
        """End the request now, because the process is about to exit."""


@dataclasses.dataclass(slots=True)
class Router:
    """State of one router process.

    `stream_objectives` maps each service to the lowest first-byte objective
    of its streaming routes. `running` holds the requests in progress, and
    `shutdown` is set once a graceful shutdown has begun.
    """

    settings: RouterSettings
    clock: Clock
    rng: random.Random
    dialect: Dialect
    log: Log
    metrics: Metrics
    placement: Placement
    registry: Registry
    rollouts: ServiceRollouts
    latencies: Latencies
    roster: Roster
    pauses: Pauses
    rate_limits: RateLimits
    durations: LongestDurations
    crashes: CrashingSegments
    cold: ColdEndpoints
    memory: MemoryAccount
    escalation: EscalationSettings = EscalationSettings()
    table: RouteTable | None = None
    budgets: dict[str, WindowBudget] = dataclasses.field(default_factory=dict)
    stream_objectives: dict[str, dt.timedelta] = dataclasses.field(
        default_factory=dict
    )
    running: set[RunningRequest] = dataclasses.field(default_factory=set)
    shutdown: Shutdown | None = None
    # Processes of endpoints that were found to have ended.
    ended_processes: Departures = dataclasses.field(default_factory=Departures)
    # Called when an endpoint reports in an answer that it is shutting down.
    on_departure: Callable[[Incarnation], None] | None = None
    # Called when this node finds that an endpoint is cold, or will be.
    on_cold: Callable[[Incarnation, dt.timedelta], None] | None = None

    @property
    def version(self) -> int:
        """Version of the active configuration, or 0 without one."""
        return 0 if self.table is None else self.table.version

    @property
    def draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.shutdown is not None

    def begin_shutdown(self) -> Shutdown:
        """Begin a graceful shutdown; return its times."""
        bounds = self.settings.stop
        now = self.clock.monotonic()
        self.shutdown = plan_shutdown(now, bounds.grace, bounds.listing)
        return self.shutdown

    def has_time_for(self, request: AcceptedRequest) -> bool:
        """Return whether a request can be finished before the process exits."""
        if self.shutdown is None:
            return True
        now = self.clock.monotonic()
        ages = (
            now - running.request.received_at
            for running in self.running
            if running.request.route.name == request.route.name
        )
        longest = self.durations.longest(request.route.name)
        expected = None if longest is None else max((longest, *ages))
        return self.shutdown.accepts(now, request.deadline - now, expected)

    def activate(self, table: RouteTable) -> bool:
        """Activate a configuration if it is newer than the active one.

        Args:
          table: configuration received from the store or from a peer.

        Returns:
          Whether the configuration was activated.
        """
        if table.version <= self.version:
            return False
        self.table = table
        self.stream_objectives = min_stream_objectives(table)
        self.metrics.configuration.set(table.version)
        self.log.event(
            'configuration',
            version=table.version,
            routes=sum(len(routes) for routes in table.routes.values()),
            keys=0 if table.teams is None else len(table.teams),
        )
        self.update_connection_limits()
        self.update_cold_limits()
        return True

    def update_cold_limits(self) -> None:
        """Apply the limits on requests to cold endpoints."""
        services = {} if self.table is None else self.table.services
        self.cold.configure(self.settings.cold, services)

    def evacuate(self, domains: frozenset[str]) -> None:
        """Keep new work from the endpoints of some failure domains.

        Requests that run there end in their own time.

        Args:
          domains: all failure domains that are to get no work.
        """
        before = self.registry.evacuated
        if domains == before:
            return
        self.registry.evacuated = domains
        for domain in before - domains:
            # Without requests, the endpoints may have become cold.
            self.cold.presume_domain(domain, 'evacuation')
        self.metrics.evacuated_domains.set(len(domains))
        self.log.event('evacuation', domains=sorted(domains))

    def update_connection_limits(self) -> None:
        """Set this node's share of the connections to each endpoint."""
        if self.table is None:
            return
        nodes = self.roster.count()
        self.registry.set_limits(
            {
                name: connection_limit(service.max_connections, nodes)
                for name, service in self.table.services.items()
            }
        )

    def update_endpoints(self, entries: Sequence[EndpointEntry]) -> None:
        """Replace the registered endpoints and log the changes.

        Args:
          entries: all entries that could be decoded.
        """
        before = self._entries()
        for name in self.registry.update(entries):
            self.placement.forget(name)
            self.pauses.forget(name)
            self.rate_limits.forget(name)
        self.cold.update(entries)
        after = self._entries()
        for name in before.keys() | after.keys():
            old, new = before.get(name), after.get(name)
            if _logged_state(old) != _logged_state(new):
                entry = new or old
                self.log.event(
                    'endpoint',
                    endpoint=name,
                    before=_logged_state(old),
                    after=_logged_state(new),
                    started=entry and entry.started,
                    sequence=entry and entry.sequence,
                )

    def _entries(self) -> dict[str, EndpointEntry]:
        return {
            name: endpoint.entry
            for name, endpoint in self.registry.endpoints.items()
        }

    def eligible_endpoints(
        self, request: AcceptedRequest, attempted: Collection[str] = ()
    ) -> list[Endpoint]:
        """Return the endpoints that a request may be sent to now.

        Args:
          request: the request.
          attempted: names of endpoints that it is not sent to again.
        """
        exhausted: Collection[str] = ()
        if self.rate_limits.rates:
            exhausted = self.rate_limits.exhausted(self._turn())
        if self.cold.starts.cold_until:
            exhausted = {
                *exhausted,
                *self.cold.starts.exhausted(self._cold_turn()),
            }
        available = [
            endpoint
            for endpoint in self._allowed_endpoints(request)
            if endpoint.name not in attempted
            and not self.pauses.is_paused(endpoint.name)
            and endpoint.name not in exhausted
        ]
        healthy = [
            endpoint
            for endpoint in available
            if self.placement.ejections.is_usable(endpoint.name)
        ]
        return self.rollouts.concentrate(request, healthy or available)

    def take_turn(self, endpoint: Endpoint) -> bool:
        """Use a turn of this node at an endpoint; return whether it has one.

        Every request that is sent to an endpoint with a rate limit needs one,
        as does each to a cold endpoint.
        """
        if not self._take_cold_turn(endpoint):
            return False
        if endpoint.name not in self.rate_limits.rates:
            return True
        return self.rate_limits.take(endpoint.name, self._turn())

    def _take_cold_turn(self, endpoint: Endpoint) -> bool:
        if not self.cold.starts.remaining(endpoint.name):
            return True
        taken = self.cold.starts.take(endpoint.name, self._cold_turn())
        outcome = 'sent' if taken else 'no_turn'
        self.metrics.cold_attempts.labels(outcome).inc()
        return taken

    def _cold_turn(self) -> Turn | None:
        rows = self.rollouts.operator_rows
        return self.cold.membership.turn(
            self.rollouts.router_rows.store_time(), rows.confirmed_at
        )

    def _turn(self) -> Turn:
        return Turn(
            self.rollouts.router_rows.store_time(),
            self.roster.rank(),
            self.roster.count(),
        )

    def accepts_work(self, endpoint: Endpoint) -> bool:
        """Return whether a previously chosen endpoint still accepts work."""
        paused = self.pauses.is_paused(endpoint.name)
        return not paused and self.registry.accepts_work(endpoint)

    def set_availability(self, endpoint: Endpoint, facts: AnswerFacts) -> None:
        """Apply the availability that an endpoint reports with an answer.

        Args:
          endpoint: the endpoint that the request was sent to.
          facts: decoded head of the answer.
        """
        if facts.unreadable:
            self.log.event(
                'unreadable_headers',
                endpoint=endpoint.name,
                headers=facts.unreadable,
            )
        if facts.misdirected:
            # Another endpoint now has the address; the headers describe it.
            return
        if facts.leaving:
            self.mark_leaving(endpoint.entry.incarnation, 'answer')
        if facts.cold_for:
            self.mark_cold(endpoint.entry.incarnation, facts.cold_for, 'answer')
        self._set_rate_limit(endpoint, facts)
        if facts.no_work_for is not None:
            granted = self.pauses.request_pause(
                endpoint.name, facts.no_work_for
            )
            self.log.event(
                'endpoint_pauses',
                endpoint=endpoint.name,
                asked_s=facts.no_work_for.total_seconds(),
                kept_s=granted.total_seconds(),
            )

    def _set_rate_limit(self, endpoint: Endpoint, facts: AnswerFacts) -> None:
        rate = facts.rate_limit
        # Only the endpoint itself can withdraw its limit.
        is_own = facts.signed or facts.not_run
        if rate is None or (math.isinf(rate) and not is_own):
            return
        if self.rate_limits.set_rate(endpoint.name, rate):
            self.log.event(
                'endpoint_limit',
                endpoint=endpoint.name,
                per_s=None if math.isinf(rate) else rate,
                nodes=self.roster.count(),
            )

    def mark_leaving(self, incarnation: Incarnation, source: str) -> bool:
        """Mark an endpoint as leaving, so that it gets no new work.

        Args:
          incarnation: the process of the endpoint that is shutting down.
          source: `answer` if the endpoint itself reported it, otherwise the
            name of the peer that did.

        Returns:
          Whether the departure was not known before.
        """
        if not self.registry.mark_leaving(incarnation):
            return False
        self.log.event(
            'endpoint_leaves', endpoint=incarnation.name, source=source
        )
        if source == 'answer' and self.on_departure is not None:
            self.on_departure(incarnation)
        return True

    def mark_cold(
        self,
        incarnation: Incarnation,
        remaining: dt.timedelta | None,
        source: str,
    ) -> bool:
        """Record that an endpoint may be cold.

        Args:
          incarnation: its process.
          remaining: how long; None for as long as after a start.
          source: `answer` or `connection` if this node has found it, otherwise
            the name of the peer that did.

        Returns:
          Whether this was not known before.
        """
        if not self.cold.is_current(incarnation):
            return False
        if not self.cold.presume(incarnation.name, source, remaining):
            return False
        if source in LOCAL_SOURCES and self.on_cold is not None:
            self.on_cold(
                incarnation, self.cold.starts.remaining(incarnation.name)
            )
        return True

    def _allowed_endpoints(self, request: AcceptedRequest) -> list[Endpoint]:
        endpoints = self.registry.serving(request.service)
        return self.rollouts.select(request, endpoints)

    def first_model(self, request: AcceptedRequest) -> str | None:
        """Return the model for the first attempt.

        Streams start with the smallest model size that the route lists.
        """
        sizes = request.route.sizes
        if request.route.kind is not RouteKind.STREAM or not sizes:
            return request.facts.model
        return sizes[0]

    def latency_ratio(self, service: str, model: str) -> float:
        """Return the ratio of a model's latency to the lowest objective.

        That is the lowest first-byte objective of the streaming routes.

        Args:
          service: service whose engines run the model.
          model: smallest model of the route.

        Returns:
          The ratio, or 0 if the service has no streaming route.
        """
        objective = self.stream_objectives.get(service)
        if not objective:
            return 0
        return self.latencies.typical_latency((service, model)) / objective

    def retry_budget(self, service: str) -> WindowBudget:
        """Return the budget for further attempts at a service."""
        budget = self.budgets.get(service)
        if budget is None:
            settings = self._retry_settings()
            budget = WindowBudget(settings, self.clock)
            self.budgets[service] = budget
        return budget

    def update_retry_limits(self) -> None:
        """Apply this node's share of the cluster-wide retry bounds."""
        settings = self._retry_settings()
        for budget in self.budgets.values():
            budget.settings = settings

    def _retry_settings(self) -> WindowSettings:
        return retry_settings(self.settings.retry, self.roster.count())

    def retry_after(self, request: AcceptedRequest) -> dt.timedelta:
        """Return the delay after which a refused caller should retry."""
        names = [endpoint.name for endpoint in self._allowed_endpoints(request)]
        pause = self.pauses.time_until_first_end(names)
        if pause:
            return pause * (1 + PAUSE_JITTER * self.rng.random())
        remaining = request.time_remaining(self.clock.monotonic())
        if remaining is None:
            return MAX_RETRY_AFTER
        delay = max(remaining, dt.timedelta()) * RETRY_AFTER_FRACTION
        return min(delay, MAX_RETRY_AFTER)


def min_stream_objectives(table: RouteTable) -> dict[str, dt.timedelta]:
    """Return the lowest first-byte objective of streams, by service."""
    objectives: dict[str, dt.timedelta] = {}
    for routes in table.routes.values():
        for route in routes.values():
            if route.kind is not RouteKind.STREAM:
                continue
            for weighted in route.services:
                lowest = objectives.get(weighted.service, route.objective)
                objectives[weighted.service] = min(lowest, route.objective)
    return objectives


def retry_settings(bounds: RetryBounds, nodes: int) -> WindowSettings:
    """Return one node's share of the cluster-wide retry bounds.

    The ratio applies to the requests of each node; the slack is divided.

    Args:
      bounds: bounds for all nodes together.
      nodes: number of nodes.
    """
    return WindowSettings(
        ratio=bounds.ratio * RETRY_FRACTION,
        slack=bounds.slack * RETRY_FRACTION / max(1, nodes),
        window=bounds.window,
    )


def _logged_state(entry: EndpointEntry | None) -> tuple[str, str, bool] | None:
    if entry is None:
        return None
    return entry.service, entry.version, entry.draining
