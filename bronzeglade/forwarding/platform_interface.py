"""Interface between a router process and the platform that it runs on."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Protocol

from result import Result

from bronzeglade.adapters.feed import TableFeed
from bronzeglade.adapters.table import Put, Row, Table
from bronzeglade.coordination.rollout_plan import Order, Plan
from bronzeglade.forwarding.endpoint import EndpointEntry
from bronzeglade.forwarding.message import Dialect
from bronzeglade.forwarding.route import RouteTable
from bronzeglade.forwarding.settings import Address, RouterSettings

Application = Callable[..., Iterable[bytes]]
CountCall = Callable[[str, str], None]


class Store(Table, TableFeed, Protocol):
    """A transactional table service with a feed of changes."""

    def move(self, address: Address) -> None:
        """Make further calls at another address of the same store."""


@dataclasses.dataclass(frozen=True, slots=True)
class Documents:
    """Location and decoding of the rows of operators and endpoints.

    Keys have the form `TABLE/KEY`. Decoders return the reason as an error when
    a row cannot be decoded. A row whose key is the evacuation prefix and a
    failure domain keeps work from the endpoints there, whatever its content.
    """

    operator_table: str
    endpoint_table: str
    configuration_key: str
    order_prefix: str
    evacuation_prefix: str
    read_configuration: Callable[[Row], Result[RouteTable, str]]
    read_endpoint: Callable[[Row], Result[EndpointEntry, str]]
    read_order: Callable[[Row], Result[Order, str]]
    status_row: Callable[[Plan], Put]


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Access to settings, store, headers, documents and HTTP pages."""

    read_settings: Callable[[], Result[RouterSettings, str]]
    open_store: Callable[[RouterSettings, CountCall], Store]
    dialect: Dialect
    documents: Documents
    readiness: Callable[[Callable[[], bool]], Application]
    directory: Callable[[Callable[[str, str], list[Address]]], Application]
