"""Builders for tests of the request path; all sockets are on loopback."""

import dataclasses
import datetime as dt
import ipaddress
import os
import random
import zlib
from collections.abc import Sequence
from typing import Any

import eventlet
from prometheus_client import CollectorRegistry
from result import Err, Ok, Result

from bronzeglade.adapters.table import Put, Row
from bronzeglade.builders import ManualClock, MemoryTable
from bronzeglade.clock import BootClock
from bronzeglade.coordination.rollout_plan import Order, Plan
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.decisions import (
    crashing_segments,
    latency,
    memory_account,
    pause,
    rate_limit,
)
from bronzeglade.decisions.placement import Placement, PlacementSettings
from bronzeglade.decisions.shutdown import LongestDurations
from bronzeglade.forwarding import cold_endpoints, inbound, request_handler
from bronzeglade.forwarding.caller import Caller, CallerConnection
from bronzeglade.forwarding.endpoint import EndpointEntry, Registry
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.metrics import Metrics
from bronzeglade.forwarding.plain_dialect import PlainDialect
from bronzeglade.forwarding.platform_interface import Documents
from bronzeglade.forwarding.roster import Roster, RouterNode
from bronzeglade.forwarding.route import (
    Limits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Team,
    WeightedService,
    index_routes,
)
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.scripted import LOOPBACK, Script, ScriptedEndpoint
from bronzeglade.forwarding.service_rollouts import ServiceRollouts
from bronzeglade.forwarding.settings import (
    RetryBounds,
    RolloutBounds,
    RouterSettings,
    StopBounds,
)

HOST = 'api.example'
NULL_DEVICE = os.open(os.devnull, os.O_WRONLY)  # of all logs
KEY = 'key-1'
TEAM = 'atlas'
SERVICE = 'workers'
SECOND = dt.timedelta(seconds=1)
MILLISECOND = dt.timedelta(milliseconds=1)
NO_TIME = dt.timedelta()
THREE_SECONDS = dt.timedelta(seconds=3)


def route(
    kind: RouteKind = RouteKind.IDEMPOTENT,
    attempts: int = 2,
    resumable: bool = False,
    sizes: tuple[str, ...] = (),
    timeout: dt.timedelta = THREE_SECONDS,
    objective: dt.timedelta = SECOND,
    priority: int = 0,
    pause: dt.timedelta = SECOND,
) -> Route:
    """Return a route with the path prefix `/KIND/`."""
    return Route(
        name=kind.value,
        host=HOST,
        prefix=f'/{kind.value}/',
        kind=kind,
        timeout=timeout,
        objective=objective,
        attempts=attempts,
        priority=priority,
        services=(WeightedService(SERVICE, 1),),
        sizes=sizes,
        resumable=resumable,
        pause=pause,
    )


def table(
    *routes: Route, version: int = 1, body_bytes: int = 65536
) -> RouteTable:
    """Return a configuration with one service and one key."""
    return RouteTable(
        version=version,
        routes=index_routes(routes),
        services={SERVICE: Service(SERVICE, 64)},
        limits=Limits(4096, body_bytes, SECOND, 5 * SECOND),
        teams={KEY: Team(TEAM)},
    )


def settings(name: str = 'node-1') -> RouterSettings:
    """Return settings whose addresses are not used."""
    unused_address = (LOOPBACK, 0)
    return RouterSettings(
        name=name,
        failure_domain='a',
        region='r',
        failure_domains={'a': 'r', 'b': 'r'},
        callers=unused_address,
        readiness=unused_address,
        directory=unused_address,
        control=unused_address,
        exchange=unused_address,
        peers=(),
        store=unused_address,
        retry=RetryBounds(0.9, 50, 10 * SECOND),
        rollout=RolloutBounds(share=0.15, slack=30),
        stop=StopBounds(8 * SECOND, 3 * SECOND),
    )


def documents() -> Documents:
    """Return documents that can decode only roll-out orders."""

    def unsupported(_row: Row) -> Result[Any, str]:
        return Err('not supported by the test documents')

    def order(row: Row) -> Result[Order, str]:
        service, target, seconds = row.body.decode().split()
        duration = dt.timedelta(seconds=float(seconds))
        return Ok(Order(service, target, duration, row.version))

    def status(plan: Plan) -> Put:
        return Put(f'status/{plan.service}', plan.stage.value.encode())

    return Documents(
        operator_table='orders',
        endpoint_table='endpoints',
        configuration_key='orders/configuration',
        order_prefix='orders/rollout/',
        evacuation_prefix='orders/evacuation/',
        read_configuration=unsupported,
        read_endpoint=unsupported,
        read_order=order,
        status_row=status,
    )


def node(name: str = 'node-1') -> RouterNode:
    """Return a node; the name `b-1` puts it in failure domain `b`."""
    domain, _, _number = name.rpartition('-')
    # Nodes with different names get different addresses within 10.0.0.0/8.
    number = zlib.crc32(name.encode()) % (1 << 24)
    host = str(ipaddress.IPv4Address('10.0.0.0') + number)
    return RouterNode(name, domain, (host, 3), (host, 1), (host, 2))


def roster(name: str, *others: str) -> Roster:
    """Return the roster of a node; it and others are registered."""
    built = Roster(node(name), (), BootClock())
    built.update({member: node(member) for member in (name, *others)})
    return built


def rollouts(
    clock: ManualClock | BootClock,
    memory: MemoryTable | None = None,
    registered: Roster | None = None,
) -> ServiceRollouts:
    """Return the roll-out state of a node without orders."""
    built = ServiceRollouts(
        memory or MemoryTable(),
        TableMirror('orders', clock),
        TableMirror('bronzeglade', clock),
        documents(),
        registered or roster('node-1'),
        log(),
    )
    built.bounds = RolloutBounds(share=0.15, slack=30)
    return built


def log() -> Log:
    """Return a log that discards its lines."""
    return Log(NULL_DEVICE, 'node-1', BootClock())


def entry(
    name: str,
    port: int = 1,
    version: str = 'v1',
    failure_domain: str = 'a',
    draining: bool = False,
    started: int = 0,
    sequence: int = 0,
    cold_for: dt.timedelta = NO_TIME,
) -> EndpointEntry:
    """Return the registration of an endpoint on loopback."""
    return EndpointEntry(
        name=name,
        service=SERVICE,
        address=(LOOPBACK, port),
        failure_domain=failure_domain,
        version=version,
        slots=4,
        draining=draining,
        started=started,
        sequence=sequence,
        cold_for=cold_for,
    )


def router(
    *routes: Route, clock: ManualClock | BootClock | None = None
) -> Router:
    """Return the router of a node with one service and no endpoints."""
    clock = clock or BootClock()
    rng = random.Random(1)
    metrics = Metrics(CollectorRegistry())
    built = Router(
        settings=settings(),
        clock=clock,
        rng=rng,
        dialect=PlainDialect(),
        log=log(),
        metrics=metrics,
        placement=Placement(PlacementSettings(), 'a', clock, rng),
        registry=Registry(clock),
        rollouts=rollouts(clock),
        latencies=latency.Latencies(latency.LatencySettings(), clock),
        roster=roster('node-1'),
        pauses=pause.Pauses(pause.PauseSettings(), clock),
        rate_limits=rate_limit.RateLimits(rate_limit.RateLimitSettings()),
        durations=LongestDurations(clock),
        crashes=crashing_segments.new(clock),
        cold=cold_endpoints.new('node-1', clock, log(), metrics),
        memory=memory_account.MemoryAccount(
            memory_account.MemorySettings(), clock
        ),
    )
    if routes:
        built.activate(table(*routes))
    return built


def serve(built: Router) -> int:
    """Serve callers on an unused port of loopback; return the port."""
    listener = eventlet.listen((LOOPBACK, 0))

    def limits() -> Limits | None:
        return None if built.table is None else built.table.limits

    def is_stopping() -> bool:
        return built.draining

    def handle(incoming: inbound.IncomingRequest, caller: Caller) -> None:
        request_handler.handle(built, incoming, caller)

    parse_slots = inbound.new_parse_slots()

    def accept() -> None:
        while True:
            sock, _peer = listener.accept()
            reader = inbound.RequestReader(
                sock,
                built.clock,
                limits,
                is_stopping,
                built.memory,
                parse_slots=parse_slots,
            )
            eventlet.spawn(CallerConnection(reader, handle).run)

    eventlet.spawn(accept)
    port: int = listener.getsockname()[1]
    return port


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer as a caller received it.

    `complete` is false if the connection ended or timed out within the body.
    """

    status: int
    headers: dict[str, str]
    body: str
    complete: bool


class Client:
    """A caller that exposes its socket and the raw answer."""

    def __init__(self, port: int) -> None:
        """Connect to a port on loopback."""
        self.sock = eventlet.connect((LOOPBACK, port))
        self.buffer = b''

    def send(
        self,
        kind: RouteKind,
        request_id: str = 'r1',
        body: str = '',
        extra: Sequence[str] = (),
        key: str = KEY,
    ) -> None:
        """Send a request to the route of the given kind."""
        lines = [
            f'POST /{kind.value}/x?q=1 HTTP/1.1',
            f'Host: {HOST}',
            f'Id: {request_id}',
            f'Key: {key}',
            f'Content-Length: {len(body)}',
            *extra,
        ]
        self.sock.sendall(('\r\n'.join(lines) + '\r\n\r\n' + body).encode())

    def read(self, timeout_s: float = 5) -> Answer:
        """Read one answer.

        Args:
          timeout_s: timeout of each receive call, in seconds.
        """
        head = self._read_until(b'\r\n\r\n', timeout_s)
        lines = head.decode().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in lines[1:])
        status = int(lines[0].split(' ')[1])
        length = headers.get('content-length')
        if length is None:
            body, complete = self._read_chunks(timeout_s)
        else:
            body, complete = self._read_bytes(int(length), timeout_s)
        return Answer(status, headers, body.decode(), complete)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _receive(self, timeout_s: float) -> bool:
        self.sock.settimeout(timeout_s)
        try:
            received = self.sock.recv(65536)
        except OSError:
            return False
        self.buffer += received
        return bool(received)

    def _read_until(self, delimiter: bytes, timeout_s: float) -> bytes:
        while delimiter not in self.buffer:
            if not self._receive(timeout_s):
                raise ConnectionError('connection closed before the delimiter')
        found, rest = self.buffer.split(delimiter, 1)
        self.buffer = rest
        return found

    def _read_bytes(self, length: int, timeout_s: float) -> tuple[bytes, bool]:
        while len(self.buffer) < length:
            if not self._receive(timeout_s):
                return self.buffer, False
        taken = self.buffer[:length]
        self.buffer = self.buffer[length:]
        return taken, True

    def _read_chunks(self, timeout_s: float) -> tuple[bytes, bool]:
        blocks: list[bytes] = []
        try:
            while True:
                size = int(self._read_until(b'\r\n', timeout_s), 16)
                block, complete = self._read_bytes(size + 2, timeout_s)
                if not complete or not size:
                    return b''.join(blocks), complete
                blocks.append(block[:-2])
        except ConnectionError:
            return b''.join(blocks), False


def router_with_endpoints(
    served: Route,
    *scripts: Script,
    clock: ManualClock | BootClock | None = None,
) -> tuple[Router, list[ScriptedEndpoint]]:
    """Return a router with an endpoint for each script.

    The router prefers the endpoints in the order of the scripts.
    """
    built = router(served, clock=clock)
    endpoints = [ScriptedEndpoint(script) for script in scripts]
    entries = [
        entry(f'e{number}', endpoint.port)
        for number, endpoint in enumerate(endpoints)
    ]
    built.update_endpoints(entries)
    for position, registered in enumerate(entries):
        # Endpoints with more outstanding requests are chosen later.
        for _ in range(position):
            built.placement.loads.started(registered.name)
    return built, endpoints


def send_request(built: Router, kind: RouteKind, **options: object) -> Answer:
    """Send one request and return its answer."""
    client = Client(serve(built))
    client.send(kind, **options)  # type: ignore[arg-type]
    return client.read()
