"""State of a router process that its request handlers share."""

import dataclasses
import datetime as dt
import random
from collections.abc import Sequence

from bronzeglade.clock import Clock
from bronzeglade.decisions.latency import Latencies
from bronzeglade.decisions.placement import Placement
from bronzeglade.decisions.retry import WindowBudget, WindowSettings
from bronzeglade.decisions.sizing import SizingSettings
from bronzeglade.forwarding.endpoint import (
    Endpoint,
    EndpointEntry,
    Registry,
    connection_limit,
)
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.message import Dialect
from bronzeglade.forwarding.metrics import Metrics
from bronzeglade.forwarding.rollouts import Rollouts
from bronzeglade.forwarding.roster import Roster
from bronzeglade.forwarding.route import Kind, RouteTable
from bronzeglade.forwarding.settings import RetryBounds, RouterSettings
from bronzeglade.forwarding.work import Work

# Part of the shared retry bounds that is used. The rest covers requests that a
# restarted node has forgotten, and nodes that are not known yet.
RETRY_PART = 0.85
# Retry-After of a refusal, as a part of the time that the caller has left:
# callers honour up to a third of it.
RETRY_AFTER_PART = 0.3
LONGEST_RETRY_AFTER = dt.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class Router:
    """What one process knows and counts.

    `shortest` is the shortest
    objective of the streams of each service.
    """

    settings: RouterSettings
    clock: Clock
    random: random.Random
    dialect: Dialect
    log: Log
    metrics: Metrics
    placement: Placement
    registry: Registry
    rollouts: Rollouts
    latencies: Latencies
    roster: Roster
    sizing: SizingSettings = SizingSettings()
    table: RouteTable | None = None
    budgets: dict[str, WindowBudget] = dataclasses.field(default_factory=dict)
    shortest: dict[str, dt.timedelta] = dataclasses.field(default_factory=dict)
    in_flight: int = 0
    draining: bool = False

    @property
    def version(self) -> int:
        """Version of the active configuration; 0 when there is none."""
        return 0 if self.table is None else self.table.version

    def adopt(self, table: RouteTable) -> bool:
        """Put a configuration in force unless it is not newer.

        Args:
          table: what the store or a peer has.
        """
        if table.version <= self.version:
            return False
        self.table = table
        self.shortest = shortest_objectives(table)
        self.metrics.configuration.set(table.version)
        self.log.event(
            'configuration',
            version=table.version,
            routes=sum(len(one) for one in table.routes.values()),
            keys=0 if table.teams is None else len(table.teams),
        )
        self.share_connections()
        return True

    def share_connections(self) -> None:
        """Divide the connections of each endpoint among the nodes."""
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
        """Take the registered endpoints.

        Args:
          entries: every readable entry.
        """
        before = {
            name: _state(endpoint.entry)
            for name, endpoint in self.registry.endpoints.items()
        }
        for name in self.registry.update(entries):
            self.placement.forget(name)
        after = {
            name: _state(endpoint.entry)
            for name, endpoint in self.registry.endpoints.items()
        }
        for name in before.keys() | after.keys():
            if before.get(name) != after.get(name):
                self.log.event(
                    'endpoint',
                    endpoint=name,
                    before=before.get(name),
                    after=after.get(name),
                )

    def candidates(self, work: Work) -> list[Endpoint]:
        """Return the endpoints that may run a request now."""
        endpoints = self.registry.serving(work.service)
        return self.rollouts.select(work, endpoints)

    def first_model(self, work: Work) -> str | None:
        """Return the model that is asked first."""
        sizes = work.route.sizes
        if work.route.kind is not Kind.STREAM or not sizes:
            return work.facts.model
        return sizes[0]

    def pressure(self, service: str, model: str) -> float:
        """Return the latency of a model as a part of the shortest objective.

        Args:
          service: whose engines run the model.
          model: the smallest one.
        """
        shortest = self.shortest.get(service)
        if not shortest:
            return 0
        return self.latencies.typical((service, model)) / shortest

    def retries(self, service: str) -> WindowBudget:
        """Return the budget of further tries at a service."""
        budget = self.budgets.get(service)
        if budget is None:
            settings = self._retry_settings()
            budget = WindowBudget(settings, self.clock)
            self.budgets[service] = budget
        return budget

    def share_retries(self) -> None:
        """Divide the shared retry bounds among the nodes."""
        settings = self._retry_settings()
        for budget in self.budgets.values():
            budget.settings = settings

    def _retry_settings(self) -> WindowSettings:
        return retry_settings(self.settings.retry, self.roster.count())

    def retry_after(self, work: Work) -> dt.timedelta:
        """Return when a refused caller should come back."""
        left = work.time_left(self.clock.monotonic())
        if left is None:
            return LONGEST_RETRY_AFTER
        part = max(left, dt.timedelta()) * RETRY_AFTER_PART
        return min(part, LONGEST_RETRY_AFTER)


def shortest_objectives(table: RouteTable) -> dict[str, dt.timedelta]:
    """Return the shortest objective of the streams of each service."""
    shortest: dict[str, dt.timedelta] = {}
    for routes in table.routes.values():
        for route in routes.values():
            if route.kind is not Kind.STREAM:
                continue
            for one in route.services:
                known = shortest.get(one.service, route.objective)
                shortest[one.service] = min(known, route.objective)
    return shortest


def retry_settings(bounds: RetryBounds, nodes: int) -> WindowSettings:
    """Return a node's part of the shared retry bounds.

    Args:
      bounds: of all nodes together.
      nodes: number of nodes.
    """
    return WindowSettings(
        ratio=bounds.ratio * RETRY_PART,
        slack=bounds.slack * RETRY_PART / max(1, nodes),
        window=bounds.window,
    )


def _state(entry: EndpointEntry) -> tuple[str, str, bool]:
    return entry.service, entry.version, entry.draining
