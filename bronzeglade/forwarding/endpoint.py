"""Endpoints that are registered, and connections to them."""

import dataclasses
from collections.abc import Iterable

from bronzeglade.clock import Clock
from bronzeglade.forwarding.departures import Departures, Incarnation
from bronzeglade.forwarding.upstream import ConnectionPool

# Part of an endpoint's connections that all nodes together may use; the rest
# is left for nodes that are starting or not known yet.
CONNECTION_SHARE = 0.8
LEAST_CONNECTIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An endpoint as it registers itself.

    `started` is when its process began; the same id may begin again.
    `sequence` rises with each write since then.
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

    @property
    def incarnation(self) -> Incarnation:
        """This start of the endpoint."""
        return Incarnation(self.name, self.started, self.address)


@dataclasses.dataclass(slots=True)
class Endpoint:
    """A registered endpoint.

    `elsewhere` once another endpoint has answered at its address.
    """

    entry: EndpointEntry
    pool: ConnectionPool
    elsewhere: bool = False

    @property
    def name(self) -> str:
        """Its id."""
        return self.entry.name

    @property
    def failure_domain(self) -> str:
        """Where it stands."""
        return self.entry.failure_domain

    @property
    def slots(self) -> int:
        """Requests that it runs at the same time."""
        return self.entry.slots


class Registry:
    """Endpoints by service, from the newest entries."""

    def __init__(self, clock: Clock) -> None:
        """Know no endpoint.

        Args:
          clock: monotonic time.
        """
        self.clock = clock
        self.departures = Departures()
        self.endpoints: dict[str, Endpoint] = {}
        self.limits: dict[str, int] = {}

    def update(self, entries: Iterable[EndpointEntry]) -> list[str]:
        """Take the entries of all endpoints.

        Args:
          entries: every readable entry.

        Returns:
          Names of the endpoints that are gone or have started anew.
        """
        current = {entry.name: entry for entry in entries}
        ended: list[str] = []
        for name, endpoint in list(self.endpoints.items()):
            entry = current.get(name)
            if entry is None or _is_other(endpoint.entry, entry):
                ended.append(name)
                self._remove(name)
            else:
                endpoint.entry = entry
        for name, entry in current.items():
            if name not in self.endpoints:
                self.endpoints[name] = Endpoint(entry, self._pool(entry))
            if entry.draining:
                # Final for this start: the store may perform an older write
                # of the registration after it.
                self.depart(entry.incarnation)
        return ended

    def set_limits(self, limits: dict[str, int]) -> None:
        """Take the connections that this node may open to an endpoint.

        Args:
          limits: number by service.
        """
        self.limits = limits
        for endpoint in self.endpoints.values():
            endpoint.pool.limit = limits.get(
                endpoint.entry.service, LEAST_CONNECTIONS
            )

    def serving(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.entry.service == service and self.takes_work(endpoint)
        ]

    def takes_work(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get new work.

        Args:
          endpoint: as it was found here, perhaps some time ago.
        """
        entry = endpoint.entry
        return (
            self.endpoints.get(entry.name) is endpoint
            and not entry.draining
            and not endpoint.elsewhere
            and not self.departures.includes(entry.incarnation)
        )

    def depart(self, incarnation: Incarnation) -> bool:
        """Note that an endpoint leaves; return whether that was not known.

        Its unused connections are closed; what runs there goes on.
        """
        if not self.departures.note(incarnation):
            return False
        endpoint = self.endpoints.get(incarnation.name)
        if endpoint is not None and endpoint.entry.incarnation == incarnation:
            endpoint.pool.retire()
        return True

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        for endpoint in self.endpoints.values():
            endpoint.pool.close_idle()

    def _remove(self, name: str) -> None:
        self.endpoints.pop(name).pool.retire()

    def _pool(self, entry: EndpointEntry) -> ConnectionPool:
        limit = self.limits.get(entry.service, LEAST_CONNECTIONS)
        return ConnectionPool(entry.address, limit, self.clock)


def connection_limit(accepted: int, nodes: int) -> int:
    """Return how many connections one node may open to an endpoint.

    Args:
      accepted: what the endpoint accepts from all nodes.
      nodes: number of nodes.
    """
    share = int(accepted * CONNECTION_SHARE / max(1, nodes))
    return max(LEAST_CONNECTIONS, share)


def _is_other(known: EndpointEntry, entry: EndpointEntry) -> bool:
    return (
        known.started != entry.started
        or known.address != entry.address
        or known.service != entry.service
    )
