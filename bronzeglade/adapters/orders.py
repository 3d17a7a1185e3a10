"""Client that orders engines to load versions and reads the loaded versions.

`POST /orders` accepts an order; an engine that checks fencing tokens refuses a
stale one with 409. `GET /orders` returns the loaded versions.
"""

import dataclasses
import datetime as dt
import json
from typing import Protocol

import pydantic as pd
import urllib3
from result import Err, Ok, Result

from bronzeglade.adapters import transport

# Time limit of the call with an order, which lasts until the version is loaded;
# also the maximum time that an order can be in flight.
ORDER_TIMEOUT = dt.timedelta(seconds=60)

_PATH = '/orders'
_ACCEPTED = frozenset((200, 202))
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to load a version, with the fencing token of the lease."""

    model: str
    version: str
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class StaleToken:
    """The engine has seen a higher token, so another node holds the lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderUnconfirmed:
    """The engine may or may not have received the order.

    Read the loaded versions before repeating it.
    """

    detail: str


OrderError = StaleToken | OrderUnconfirmed


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedVersions:
    """The versions that an engine has loaded, as MODEL@VERSION.

    `accepts_orders` is false for an engine without `/orders`; the versions that
    the manifest lists for its group count as loaded.
    """

    held: frozenset[str]
    accepts_orders: bool = True


class LoadedVersion(pd.BaseModel):
    """A loaded version on the wire."""

    model: str
    version: str


class LoadedDocument(pd.BaseModel):
    """The reply of `GET /orders`; other fields are ignored."""

    loaded: list[LoadedVersion]


class Orders(Protocol):
    """Sends orders to engines and reads what they have loaded."""

    def send(self, address: str, order: Order) -> Result[None, OrderError]:
        """Send an order."""

    def read(self, address: str) -> Result[LoadedVersions, str]:
        """Return the loaded versions, or why they are not known."""


class HttpOrders:
    """Client of the HTTP interface for orders of model engines."""

    def __init__(
        self, pool: urllib3.PoolManager, timeout: dt.timedelta
    ) -> None:
        """Create a client.

        Args:
          pool: connections to use.
          timeout: time limit of a read; an order has ORDER_TIMEOUT.
        """
        self.pool = pool
        self.timeout = timeout

    def send(self, address: str, order: Order) -> Result[None, OrderError]:
        """Send an order to load a version, and wait until it is loaded.

        Args:
          address: IP address and port of the engine.
          order: the version to load.

        Returns:
          None when the engine accepted the order.
        """
        document = {'action': 'load', **dataclasses.asdict(order)}
        reply = transport.call(
            self.pool,
            'POST',
            f'http://{address}{_PATH}',
            ORDER_TIMEOUT,
            json.dumps(document).encode(),
            {'Content-Type': 'application/json'},
        )
        if isinstance(reply, Err):
            return Err(OrderUnconfirmed(reply.err_value.detail))
        status = reply.ok_value.status
        if status in _ACCEPTED:
            return Ok(None)
        if status == _HTTP_CONFLICT:
            return Err(StaleToken())
        return Err(OrderUnconfirmed(f'status {status}'))

    def read(self, address: str) -> Result[LoadedVersions, str]:
        """Return the versions that an engine has loaded.

        Args:
          address: IP address and port of the engine.

        Returns:
          The versions, or why they are not known.
        """
        reply = transport.call(
            self.pool, 'GET', f'http://{address}{_PATH}', self.timeout
        )
        if isinstance(reply, Err):
            return Err(reply.err_value.detail)
        if reply.ok_value.status == _HTTP_NOT_FOUND:
            return Ok(LoadedVersions(frozenset(), accepts_orders=False))
        try:
            document = LoadedDocument.model_validate_json(reply.ok_value.body)
        except pd.ValidationError as error:
            return Err(str(error.errors()[0]['msg']))
        held = frozenset(
            f'{entry.model}@{entry.version}' for entry in document.loaded
        )
        return Ok(LoadedVersions(held))
