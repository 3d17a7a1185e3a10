"""Types and client of the transactional table service."""

import base64
import dataclasses
import datetime as dt
import json
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

import urllib3
from result import Err, Ok, Result

from bronzeglade.adapters import transport

ABSENT = 0  # version of a row that does not exist

_HTTP_OK = 200
_HTTP_CONFLICT = 409
# Raised when an answer is not what it should be.
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    RecursionError,
)
# Statuses of a transaction that was not applied: invalid, too large, rate
# limited, or refused during an outage.
_HTTP_NOT_APPLIED = frozenset((400, 413, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row; `version` starts at 1 and increases with every write."""

    key: str
    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Condition of a transaction: the row has this version.

    The version ABSENT requires that the row does not exist.
    """

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A write that creates or replaces a row."""

    key: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if every check holds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A failed read.

    `lost` is set when the call was sent and has no complete answer, so that
    the store may be well.
    """

    detail: str
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A check failed and nothing was applied.

    `version` is the current version of the row, or ABSENT.
    """

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The transaction was certainly not applied."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The transaction may have been applied; its result is not known."""

    detail: str


CommitError = Conflict | Unavailable | Unknown


class Table(Protocol):
    """A transactional table with versions for conditional writes."""

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key; rows that do not exist are omitted."""

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        """Read up to `limit` rows whose keys start with a prefix, in order."""

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction atomically."""


class HttpTable:
    """Client of the table service's HTTP interface (docs/standins.md)."""

    def __init__(
        self, url: str, pool: urllib3.PoolManager, timeout: dt.timedelta
    ) -> None:
        """Create a client.

        Args:
          url: base URL of the service.
          pool: connections to use.
          timeout: time limit of each call.
        """
        self.url = url
        self.pool = pool
        self.timeout = timeout

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key.

        Args:
          keys: keys of the rows.

        Returns:
          The rows that exist, by key.
        """
        reply = self._post('/read', {'keys': list(keys)})
        if isinstance(reply, Err):
            return Err(StoreError(reply.err_value.detail))
        if reply.ok_value.status != _HTTP_OK:
            return Err(StoreError(f'status {reply.ok_value.status}'))
        return _decode_rows(reply.ok_value.body).map(
            lambda rows: {row.key: row for row in rows}
        )

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        """Read rows whose keys start with a prefix.

        Args:
          prefix: start of the keys.
          limit: maximum number of rows.

        Returns:
          The rows, ordered by key.
        """
        reply = self._post('/scan', {'prefix': prefix, 'limit': limit})
        if isinstance(reply, Err):
            return Err(StoreError(reply.err_value.detail))
        if reply.ok_value.status != _HTTP_OK:
            return Err(StoreError(f'status {reply.ok_value.status}'))
        return _decode_rows(reply.ok_value.body)

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction atomically.

        Args:
          transaction: checks and writes.

        Returns:
          None when applied; otherwise a conflict, or whether the transaction
          may have been applied.
        """
        reply = self._post('/commit', _encode(transaction))
        if isinstance(reply, Err):
            failure = reply.err_value
            if failure.sent:
                return Err(Unknown(failure.detail))
            return Err(Unavailable(failure.detail))
        return _commit_result(reply.ok_value)

    def _post(
        self, path: str, document: Mapping[str, Any]
    ) -> Result[transport.Reply, transport.CallFailure]:
        return transport.call(
            self.pool,
            'POST',
            self.url + path,
            self.timeout,
            json.dumps(document).encode(),
            {'Content-Type': 'application/json'},
        )


def _commit_result(reply: transport.Reply) -> Result[None, CommitError]:
    if reply.status == _HTTP_OK:
        return Ok(None)
    if reply.status == _HTTP_CONFLICT:
        return Err(_decode_conflict(reply.body))
    if reply.status in _HTTP_NOT_APPLIED:
        return Err(Unavailable(f'status {reply.status}'))
    return Err(Unknown(f'status {reply.status}'))


def _encode(transaction: Transaction) -> dict[str, Any]:
    return {
        'checks': [
            {'key': check.key, 'version': check.version}
            for check in transaction.checks
        ],
        'puts': [
            {'key': put.key, 'body': base64.b64encode(put.body).decode()}
            for put in transaction.puts
        ],
        'deletes': list(transaction.deletes),
    }


def _decode_conflict(body: bytes) -> Conflict | Unknown:
    try:
        document = json.loads(body)
        return Conflict(str(document['key']), int(document['version']))
    except _DECODE_ERRORS as error:
        return Unknown(f'malformed conflict: {error!r}')


def _decode_rows(body: bytes) -> Result[list[Row], StoreError]:
    try:
        return Ok([_decode_row(entry) for entry in json.loads(body)['rows']])
    except _DECODE_ERRORS as error:
        return Err(StoreError(f'malformed answer: {error!r}'))


def _decode_row(entry: Mapping[str, Any]) -> Row:
    key, version = entry['key'], entry['version']
    if not isinstance(key, str) or not isinstance(version, int):
        raise TypeError('row without key or version')
    return Row(key, version, base64.b64decode(entry['body']))
