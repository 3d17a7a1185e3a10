"""Routes, services and teams of the configuration that is active."""

import dataclasses
import datetime as dt
import enum
from collections.abc import Iterator, Mapping

import xxhash

# When callers leave a stream, as the platform's operators state it.
SHORTEST_STALL = dt.timedelta(seconds=2)
STALL_OBJECTIVES = 4
STALL_PAUSES = 8
_HASH_RANGE = float(1 << 64)


class Kind(enum.Enum):
    """What a route promises about repeated execution."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route and its part of the route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix.

    `objective` is the time to the first byte that the operator wants,
    `timeout` the longest time without a final answer, `attempts` the largest
    number of endpoints that one request may be sent to, `priority` its rank
    with 0 as the most urgent. `sizes` names models, smallest first, when the
    router is to choose one. `pause` is the longest time between two events of
    a stream that the operator wants.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
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
    def stall(self) -> dt.timedelta:
        """The time without an event after which callers leave a stream."""
        return max(
            SHORTEST_STALL,
            STALL_OBJECTIVES * self.objective,
            STALL_PAUSES * self.pause,
        )

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT

    def service_of(self, request_id: str) -> str:
        """Return the service that runs a request.

        Args:
          request_id: spreads requests over the services by weight.
        """
        total = sum(one.weight for one in self.services)
        digest = xxhash.xxh3_64_intdigest(f'{self.name} {request_id}'.encode())
        left = digest / _HASH_RANGE * total
        for one in self.services:
            left -= one.weight
            if left < 0:
                return one.service
        return self.services[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A kind of endpoints.

    `max_connections` is what one endpoint accepts from all nodes together.
    """

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout: dt.timedelta
    idle_timeout: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """The holder of a key; its priority goes before that of a route."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration.

    `teams` maps keys to teams; it is None where no keys are used.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, Service]
    limits: Limits
    teams: Mapping[str, Team] | None = None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        Args:
          host: name of the host, without a port.
          path: path of the request, without a query.
        """
        routes = self.routes.get(host.lower())
        if not routes:
            return None
        return next(
            (routes[prefix] for prefix in _prefixes(path) if prefix in routes),
            None,
        )


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes that end with a slash, longest first."""
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
    """Return routes by host and prefix."""
    indexed: dict[str, dict[str, Route]] = {}
    for route in routes:
        indexed.setdefault(route.host.lower(), {})[route.prefix] = route
    return indexed
