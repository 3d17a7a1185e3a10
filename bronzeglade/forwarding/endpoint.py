"""Registered endpoints and their connection pools."""

import dataclasses
import datetime as dt
from collections.abc import Iterable

from bronzeglade.clock import Clock
from bronzeglade.forwarding.departures import Departures, Incarnation
from bronzeglade.forwarding.endpoint_connection import ConnectionPool

# Fraction of an endpoint's connections that the known nodes share. The rest is
# reserved for nodes that are starting or not yet in the roster.
CONNECTION_FRACTION = 0.8
MIN_CONNECTIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntry:
    """The registration of an endpoint in the store.

    `started` is the start time of its process; a restart under the same name
    has a different one. `sequence` increases with each write of the process.
    The endpoint stays cold for `cold_for` after this write.
    """

    name: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    version: str
    slots: int
    draining: bool
    started: int = 0
    sequence: int = 0
    cold_for: dt.timedelta = dt.timedelta()

    @property
    def incarnation(self) -> Incarnation:
        """The process that wrote the registration."""
        return Incarnation(self.name, self.started, self.address)


@dataclasses.dataclass(slots=True)
class Endpoint:
    """A registered endpoint and the connections to it.

    `address_reused` is set once another endpoint has answered at its address.
    """

    entry: EndpointEntry
    pool: ConnectionPool
    address_reused: bool = False

    @property
    def name(self) -> str:
        """The unique name of the endpoint."""
        return self.entry.name

    @property
    def failure_domain(self) -> str:
        """The failure domain that the endpoint runs in."""
        return self.entry.failure_domain

    @property
    def slots(self) -> int:
        """Number of requests that the endpoint runs concurrently."""
        return self.entry.slots


class Registry:
    """The endpoints that are registered in the store."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty registry.

        Args:
          clock: source of monotonic time.
        """
        self.clock = clock
        self.departures = Departures()
        self.endpoints: dict[str, Endpoint] = {}
        self.limits: dict[str, int] = {}
        # Failure domains whose endpoints get no work.
        self.evacuated: frozenset[str] = frozenset()

    def update(self, entries: Iterable[EndpointEntry]) -> list[str]:
        """Replace the entries of all endpoints.

        Args:
          entries: all entries that could be decoded.

        Returns:
          Names of the endpoints that were removed or replaced.
        """
        current = {entry.name: entry for entry in entries}
        removed: list[str] = []
        for name, endpoint in list(self.endpoints.items()):
            entry = current.get(name)
            if entry is None or _is_replaced(endpoint.entry, entry):
                removed.append(name)
                self._remove(name)
            else:
                endpoint.entry = entry
        for name, entry in current.items():
            if name not in self.endpoints:
                self.endpoints[name] = Endpoint(entry, self._new_pool(entry))
            if entry.draining:
                # Draining is final for an incarnation: the store may apply an
                # older write of the registration later.
                self.mark_leaving(entry.incarnation)
        return removed

    def set_limits(self, limits: dict[str, int]) -> None:
        """Set how many connections this node may open to each endpoint.

        Args:
          limits: maximum number of connections, by service.
        """
        self.limits = limits
        for endpoint in self.endpoints.values():
            endpoint.pool.limit = limits.get(
                endpoint.entry.service, MIN_CONNECTIONS
            )

    def serving(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that accept new work."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.entry.service == service and self.accepts_work(endpoint)
        ]

    def accepts_work(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get new work.

        Args:
          endpoint: an endpoint of this registry; it may have been removed or
            replaced since it was looked up.
        """
        entry = endpoint.entry
        return (
            self.endpoints.get(entry.name) is endpoint
            and not entry.draining
            and not endpoint.address_reused
            and entry.failure_domain not in self.evacuated
            and not self.departures.includes(entry.incarnation)
        )

    def mark_leaving(self, incarnation: Incarnation) -> bool:
        """Mark an endpoint as leaving; return whether this was unknown before.

        Its idle connections are closed; running requests continue.
        """
        if not self.departures.add(incarnation):
            return False
        endpoint = self.endpoints.get(incarnation.name)
        if endpoint is not None and endpoint.entry.incarnation == incarnation:
            endpoint.pool.drain()
        return True

    def close_idle(self) -> None:
        """Close connections that have exceeded their idle limit."""
        for endpoint in self.endpoints.values():
            endpoint.pool.close_idle()

    def _remove(self, name: str) -> None:
        self.endpoints.pop(name).pool.drain()

    def _new_pool(self, entry: EndpointEntry) -> ConnectionPool:
        limit = self.limits.get(entry.service, MIN_CONNECTIONS)
        return ConnectionPool(entry.address, limit, self.clock)


def connection_limit(max_connections: int, nodes: int) -> int:
    """Return how many connections one node may open to an endpoint.

    Args:
      max_connections: connections that an endpoint accepts from all nodes.
      nodes: number of nodes.
    """
    share = int(max_connections * CONNECTION_FRACTION / max(1, nodes))
    return max(MIN_CONNECTIONS, share)


def _is_replaced(known: EndpointEntry, entry: EndpointEntry) -> bool:
    return (
        known.started != entry.started
        or known.address != entry.address
        or known.service != entry.service
    )
