"""State of a router process that its request handlers share."""

import dataclasses
import datetime as dt
import random
from collections.abc import Callable, Sequence

from bronzeglade.clock import Clock
from bronzeglade.decisions.latency import Latencies
from bronzeglade.decisions.pause import Pauses
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
from bronzeglade.forwarding.departures import Incarnation
from bronzeglade.forwarding.message import AnswerFacts, Dialect
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
# Callers that wait for the end of a pause return spread over this part of it
# beyond its end.
RETURN_SPREAD = 0.25


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
    pauses: Pauses
    sizing: SizingSettings = SizingSettings()
    table: RouteTable | None = None
    budgets: dict[str, WindowBudget] = dataclasses.field(default_factory=dict)
    shortest: dict[str, dt.timedelta] = dataclasses.field(default_factory=dict)
    in_flight: int = 0
    draining: bool = False
    # Called with an endpoint that has told this node that it leaves.
    on_departure: Callable[[Incarnation], None] | None = None

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
        before = self._entries()
        for name in self.registry.update(entries):
            self.placement.forget(name)
            self.pauses.forget(name)
        after = self._entries()
        for name in before.keys() | after.keys():
            old, new = before.get(name), after.get(name)
            if _state(old) != _state(new):
                shown = new or old
                self.log.event(
                    'endpoint',
                    endpoint=name,
                    before=_state(old),
                    after=_state(new),
                    started=shown and shown.started,
                    sequence=shown and shown.sequence,
                )

    def _entries(self) -> dict[str, EndpointEntry]:
        return {
            name: endpoint.entry
            for name, endpoint in self.registry.endpoints.items()
        }

    def candidates(self, work: Work) -> list[Endpoint]:
        """Return the endpoints that may run a request now."""
        return [
            one
            for one in self._permitted(work)
            if not self.pauses.is_paused(one.name)
        ]

    def takes_work(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that was chosen still takes work."""
        paused = self.pauses.is_paused(endpoint.name)
        return not paused and self.registry.takes_work(endpoint)

    def note_availability(self, endpoint: Endpoint, facts: AnswerFacts) -> None:
        """Take what an endpoint says of the work that it wants.

        Args:
          endpoint: that answered.
          facts: head of its answer.
        """
        if facts.unreadable:
            self.log.event(
                'unreadable_headers',
                endpoint=endpoint.name,
                headers=facts.unreadable,
            )
        if facts.misdirected:
            # Another endpoint has the address and speaks of itself.
            return
        if facts.leaving:
            self.depart(endpoint.entry.incarnation, 'answer')
        if facts.no_work_for is not None:
            kept = self.pauses.ask(endpoint.name, facts.no_work_for)
            self.log.event(
                'endpoint_pauses',
                endpoint=endpoint.name,
                asked_s=facts.no_work_for.total_seconds(),
                kept_s=kept.total_seconds(),
            )

    def depart(self, incarnation: Incarnation, source: str) -> bool:
        """Note that an endpoint leaves; return whether that was not known.

        Args:
          incarnation: of the endpoint.
          source: who told it.
        """
        if not self.registry.depart(incarnation):
            return False
        self.log.event(
            'endpoint_leaves', endpoint=incarnation.name, source=source
        )
        if source == 'answer' and self.on_departure is not None:
            self.on_departure(incarnation)
        return True

    def _permitted(self, work: Work) -> list[Endpoint]:
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
        names = [one.name for one in self._permitted(work)]
        pause = self.pauses.first_end(names)
        if pause:
            return pause * (1 + RETURN_SPREAD * self.random.random())
        left = work.time_remaining(self.clock.monotonic())
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


def _state(entry: EndpointEntry | None) -> tuple[str, str, bool] | None:
    if entry is None:
        return None
    return entry.service, entry.version, entry.draining
