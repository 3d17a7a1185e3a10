"""Decoding of the documents in the platform's store.

Outside this module the router uses its own types and names only.
"""

import datetime as dt
import json
import re
from typing import Annotated, Any

import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade.adapters.table import Put, Row
from bronzeglade.coordination.rollout_plan import Order, Plan, Stage
from bronzeglade.forwarding import address
from bronzeglade.forwarding.endpoint import EndpointEntry
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
from bronzeglade.platform.model import PlatformDocument
from bronzeglade.validation import first_error

OPERATOR_TABLE = 'op'
ENDPOINT_TABLE = 'servers'
CONFIGURATION_KEY = 'op/config'
ORDER_PREFIX = 'op/rollout/'
EVACUATION_PREFIX = 'op/evacuate/'
STATUS_PREFIX = 'status/rollout/'

_KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'streaming': RouteKind.STREAM,
}
_ENDPOINT_STATES = frozenset(('ready', 'draining'))
_STAGE_NAMES = {
    Stage.RUNNING: 'running',
    Stage.COMPLETED: 'completed',
    Stage.ROLLED_BACK: 'rolled_back',
}
_MILLISECOND = dt.timedelta(milliseconds=1)

# Bounds that keep durations within the range of timedelta arithmetic, counts
# within that of floating point, and ids within 64 bits for messages to other
# nodes.
_MAX_DURATION_MS = 1e12
_MAX_ID = 2**63 - 1
_MAX_COUNT = 2**31 - 1
# The store accepts texts of 200 bytes as keys.
_MAX_TEXT_CHARS = 200
_MAX_LOGGED_CHARS = 40  # of a malformed value
# Value of a header: no control characters, no spaces at its ends.
_HEADER_TEXT = re.compile(
    r'[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?'
)

_Milliseconds = Annotated[float, Field(ge=0, le=_MAX_DURATION_MS)]
_Text = Annotated[str, Field(max_length=_MAX_TEXT_CHARS)]
_HeaderText = Annotated[str, Field(pattern=f'^(?:{_HEADER_TEXT.pattern})?$')]


class _Backend(PlatformDocument):
    service: str
    weight: float = Field(ge=0, le=_MAX_COUNT)


class _Route(PlatformDocument):
    name: str
    host: str = Field(alias='hostname')
    prefix: str
    kind: str
    timeout_ms: _Milliseconds = Field(alias='timeout-ms')
    objective_ms: _Milliseconds = Field(1000, alias='target-latency-ms')
    attempts: int = Field(1, alias='max-attempts')
    priority: int = 0
    sizes: tuple[_HeaderText, ...] = ()
    service: str | None = None
    backends: tuple[_Backend, ...] = Field((), alias='weighted-backends')
    public: bool = False
    resumable: bool = False
    # Target for the time between two events of a stream. `objective_ms` is the
    # target for the time to the first byte.
    pause_ms: _Milliseconds = Field(2000, alias='gap-aim-ms')


class _Service(PlatformDocument):
    name: str
    max_connections: int = Field(64, alias='max-connections', le=_MAX_ID)
    cold_start_s: float = Field(
        0, alias='cold-start-s', ge=0, le=_MAX_DURATION_MS / 1000
    )
    cold_per_s: float = Field(0, alias='cold-per-s', ge=0, le=_MAX_COUNT)


class _Limits(PlatformDocument):
    header_bytes: int = Field(16384, alias='max-header-bytes')
    body_bytes: int = Field(4194304, alias='max-body-bytes')
    header_timeout_ms: _Milliseconds = Field(3000, alias='header-timeout-ms')
    idle_timeout_ms: _Milliseconds = Field(15000, alias='idle-timeout-ms')


class _Tenant(PlatformDocument):
    name: _HeaderText
    keys: tuple[str, ...] = Field((), alias='api-keys')
    priority: int | None = None


class _Configuration(PlatformDocument):
    version: int = Field(le=_MAX_ID)
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits.model_construct()
    tenants: tuple[_Tenant, ...] | None = None


class _Entry(PlatformDocument):
    """The row that an endpoint writes to register itself.

    `born` is the Unix time in milliseconds at which its process started, and
    `sequence` counts its writes since then.
    """

    service: Annotated[_Text, Field(min_length=1)]
    address: str
    zone: _Text
    version: _Text = ''
    slots: int = Field(ge=1, le=_MAX_COUNT)
    state: str
    born: int = Field(0, ge=0, le=_MAX_ID)
    sequence: int = Field(0, ge=0, le=_MAX_ID)
    cold_remaining_ms: _Milliseconds = Field(0, alias='cold-remaining-ms')


class _Order(PlatformDocument):
    service: _Text
    # The version that the service moves to.
    target: _Text
    duration_s: float = Field(
        alias='duration-s', ge=0, le=_MAX_DURATION_MS / 1000
    )


def read_configuration(row: Row) -> Result[RouteTable, str]:
    """Decode the operator's configuration.

    Routes of an unknown kind are skipped.
    """
    try:
        document = _Configuration.model_validate_json(row.body)
    except pd.ValidationError as error:
        return Err(first_error(error))
    routes = tuple(
        _decode_route(route)
        for route in document.routes
        if route.kind in _KINDS
    )
    limits = document.limits
    teams: dict[str, Team] | None = None
    if document.tenants is not None:
        teams = {
            key: Team(tenant.name, tenant.priority)
            for tenant in document.tenants
            for key in tenant.keys
        }
    return Ok(
        RouteTable(
            version=document.version,
            routes=index_routes(routes),
            services={
                service.name: Service(
                    service.name,
                    service.max_connections,
                    dt.timedelta(seconds=service.cold_start_s),
                    service.cold_per_s,
                )
                for service in document.services
            },
            limits=Limits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_timeout=limits.header_timeout_ms * _MILLISECOND,
                idle_timeout=limits.idle_timeout_ms * _MILLISECOND,
            ),
            teams=teams,
        )
    )


def read_endpoint(row: Row) -> Result[EndpointEntry, str]:
    """Decode the entry of an endpoint, whose id is the key of the row."""
    try:
        entry = _Entry.model_validate_json(row.body, strict=True)
    except pd.ValidationError as error:
        return Err(first_error(error))
    if entry.state not in _ENDPOINT_STATES:
        return Err(f'unknown state {entry.state[:_MAX_LOGGED_CHARS]!r}')
    name = row.key.partition('/')[2]
    if len(name) > _MAX_TEXT_CHARS or not _HEADER_TEXT.fullmatch(name):
        return Err(f'unusable key {name[:_MAX_LOGGED_CHARS]!r}')
    endpoint_address = address.parse(entry.address)
    if endpoint_address is None:
        return Err(f'malformed address {entry.address[:_MAX_LOGGED_CHARS]!r}')
    return Ok(
        EndpointEntry(
            name=name,
            service=entry.service,
            address=endpoint_address,
            failure_domain=entry.zone,
            version=entry.version,
            slots=entry.slots,
            draining=entry.state == 'draining',
            started=entry.born,
            sequence=entry.sequence,
            cold_for=entry.cold_remaining_ms * _MILLISECOND,
        )
    )


def read_order(row: Row) -> Result[Order, str]:
    """Decode the operator's order to move a service to a version."""
    try:
        order = _Order.model_validate_json(row.body)
    except pd.ValidationError as error:
        return Err(first_error(error))
    duration = dt.timedelta(seconds=order.duration_s)
    if not duration:
        return Err('duration-s: rounds to zero')
    return Ok(Order(order.service, order.target, duration, row.version))


def status_row(plan: Plan) -> Put:
    """Return the row that shows the state of a roll-out to the operator."""
    document: dict[str, Any] = {
        'service': plan.service,
        'state': _STAGE_NAMES[plan.stage],
        'target': plan.target,
    }
    body = json.dumps(document).encode()
    return Put(f'{STATUS_PREFIX}{plan.service}', body)


def _decode_route(route: _Route) -> Route:
    backends = tuple(
        WeightedService(backend.service, backend.weight)
        for backend in route.backends
        if backend.weight > 0
    )
    if not backends:
        # No endpoint has the service with the empty name.
        backends = (WeightedService(route.service or '', 1),)
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=_KINDS[route.kind],
        timeout=route.timeout_ms * _MILLISECOND,
        objective=route.objective_ms * _MILLISECOND,
        attempts=max(1, route.attempts),
        priority=route.priority,
        services=backends,
        sizes=route.sizes,
        public=route.public,
        resumable=route.resumable,
        pause=route.pause_ms * _MILLISECOND,
    )
