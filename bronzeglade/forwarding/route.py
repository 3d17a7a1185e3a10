"""Routes, services and teams of the active configuration."""

import dataclasses
import datetime as dt
import enum
from collections.abc import Iterator, Mapping

import xxhash

# The rule by which callers give up on a stream without events, as stated by the
# platform's operators: the largest of a minimum and of multiples of the route's
# objective and pause.
MIN_STALL_TIMEOUT = dt.timedelta(seconds=2)
STALL_OBJECTIVE_FACTOR = 4
STALL_PAUSE_FACTOR = 8
_HASH_RANGE = float(1 << 64)


class RouteKind(enum.Enum):
    """Whether requests of a route may run repeatedly, or are streams."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route and its weight relative to the others."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are handled.

    `objective` is the operator's target for the time to the first byte, and
    `pause` for the maximum time between two events of a stream. `timeout` is
    the time limit for the final answer, `attempts` the maximum number of
    endpoints that one request may be sent to, and `priority` the rank of its
    requests, with 0 the most urgent. `sizes` names models, smallest first, if
    the router chooses the model.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: dt.timedelta
    objective: dt.timedelta
    attempts: int
    priority: int
    services: tuple[WeightedService, ...]
    sizes: tuple[str, ...] = ()
    public: bool = False
    resumable: bool = False
    pause: dt.timedelta = dt.timedelta(seconds=2)

    @property
    def stall_timeout(self) -> dt.timedelta:
        """The time without an event after which callers give up a stream."""
        return max(
            MIN_STALL_TIMEOUT,
            STALL_OBJECTIVE_FACTOR * self.objective,
            STALL_PAUSE_FACTOR * self.pause,
        )

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service_of(self, request_id: str) -> str:
        """Return the service that runs a request, chosen by weight.

        Args:
          request_id: its hash selects the service.
        """
        total = sum(service.weight for service in self.services)
        digest = xxhash.xxh3_64_intdigest(f'{self.name} {request_id}'.encode())
        remaining = digest / _HASH_RANGE * total
        for weighted in self.services:
            remaining -= weighted.weight
            if remaining < 0:
                return weighted.service
        return self.services[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that a group of endpoints provides.

    `max_connections` is the number of connections that one endpoint accepts
    from all nodes together. After a start, an endpoint is cold for
    `cold_start`, and bears `cold_rate` requests per second meanwhile; 0 means
    as many as later.
    """

    name: str
    max_connections: int
    cold_start: dt.timedelta = dt.timedelta()
    cold_rate: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and timing of requests from callers."""

    header_bytes: int
    body_bytes: int
    header_timeout: dt.timedelta
    idle_timeout: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """The owner of an API key; its priority overrides that of a route."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration.

    `routes` maps hosts and path prefixes to routes. `teams` maps API keys to
    teams, or is None if requests need no key.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, Service]
    limits: Limits
    teams: Mapping[str, Team] | None = None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        Args:
          host: host name, without a port.
          path: path of the request, without the query.
        """
        routes = self.routes.get(host.lower())
        if not routes:
            return None
        return next(
            (routes[prefix] for prefix in _prefixes(path) if prefix in routes),
            None,
        )


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, longest first."""
    end = len(path)
    while True:
        slash = path.rfind('/', 0, end)
        if slash < 0:
            return
        yield path[: slash + 1]
        end = slash


def index_routes(
    routes: tuple[Route, ...],
) -> dict[str, dict[str, Route]]:
    """Return routes by lower-case host and by prefix."""
    indexed: dict[str, dict[str, Route]] = {}
    for route in routes:
        indexed.setdefault(route.host.lower(), {})[route.prefix] = route
    return indexed
