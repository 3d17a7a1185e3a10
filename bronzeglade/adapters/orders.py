"""Orders to model engines: load a version, and what is loaded.

`POST /orders` takes an order; an engine that checks fencing refuses an old
token with 409. `GET /orders` returns what the engine holds.
"""

import dataclasses
import datetime as dt
import json
from typing import Protocol

import pydantic as pd
import urllib3
from result import Err, Ok, Result

from bronzeglade.adapters import transport

# Limit of an order's call, which lasts as long as the load; also the longest
# time that an order can be in flight.
ORDER_TIMEOUT = dt.timedelta(seconds=60)

_PATH = '/orders'
_ACCEPTED = frozenset((200, 202))
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Loading of a version; `fencing_token` is that of the lease."""

    model: str
    version: str
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class StaleToken:
    """The engine has seen a higher token: another node holds the lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The order may or may not have arrived; read back before a repeat."""

    detail: str


OrderError = StaleToken | NotAccepted


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """What an engine holds, as MODEL@VERSION.

    `takes_orders` is false for an engine without `/orders`; what the
    manifest lists for its group counts as loaded.
    """

    held: frozenset[str]
    takes_orders: bool = True


class LoadedVersion(pd.BaseModel):
    """A version on the wire."""

    model: str
    version: str


class LoadedDocument(pd.BaseModel):
    """The reply of `GET /orders`; other fields are ignored."""

    loaded: list[LoadedVersion]


class Orders(Protocol):
    """Orders to one engine at a time."""

    def send(self, address: str, order: Order) -> Result[None, OrderError]:
        """Send an order."""

    def read(self, address: str) -> Result[Loaded, str]:
        """Return what an engine holds, or why that is not known."""


class HttpOrders:
    """Orders over HTTP."""

    def __init__(
        self, pool: urllib3.PoolManager, timeout: dt.timedelta
    ) -> None:
        """Create a client.

        Args:
          pool: connections to use.
          timeout: limit of a read; an order has ORDER_TIMEOUT.
        """
        self.pool = pool
        self.timeout = timeout

    def send(self, address: str, order: Order) -> Result[None, OrderError]:
        """Send an order to load a version; the reply comes when it is loaded.

        Args:
          address: IP address and port of the engine.
          order: what to load, with the token of the lease.

        Returns:
          None when the engine carried it out.
        """
        document = {'action': 'load', **dataclasses.asdict(order)}
        answer = transport.call(
            self.pool,
            'POST',
            f'http://{address}{_PATH}',
            ORDER_TIMEOUT,
            json.dumps(document).encode(),
            {'Content-Type': 'application/json'},
        )
        if isinstance(answer, Err):
            return Err(NotAccepted(answer.err_value.detail))
        status = answer.ok_value.status
        if status in _ACCEPTED:
            return Ok(None)
        if status == _HTTP_CONFLICT:
            return Err(StaleToken())
        return Err(NotAccepted(f'status {status}'))

    def read(self, address: str) -> Result[Loaded, str]:
        """Return what an engine holds.

        Args:
          address: IP address and port of the engine.

        Returns:
          The versions, or why they are not known.
        """
        answer = transport.call(
            self.pool, 'GET', f'http://{address}{_PATH}', self.timeout
        )
        if isinstance(answer, Err):
            return Err(answer.err_value.detail)
        if answer.ok_value.status == _HTTP_NOT_FOUND:
            return Ok(Loaded(frozenset(), takes_orders=False))
        try:
            document = LoadedDocument.model_validate_json(answer.ok_value.body)
        except pd.ValidationError as error:
            return Err(str(error.errors()[0]['msg']))
        held = frozenset(
            f'{one.model}@{one.version}' for one in document.loaded
        )
        return Ok(Loaded(held))
