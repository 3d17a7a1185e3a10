"""Client of the platform's metadata store.

A key of the product, `TABLE/KEY`, is a row with this key in this table and
the empty partition.
"""

import base64
import binascii
import dataclasses
import datetime as dt
import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import quote

import urllib3
from result import Err, Ok, Result

from bronzeglade.adapters import transport
from bronzeglade.adapters.feed import Changes, HistoryGone, Snapshot
from bronzeglade.adapters.table import (
    CommitError,
    Conflict,
    Row,
    StoreError,
    Transaction,
    Unavailable,
    Unknown,
)

PAGE_ROWS = 500  # largest number of rows in one answer of the store
# Longest time for an answer beyond the time that a call asks to wait.
CALL_TIMEOUT = dt.timedelta(milliseconds=1000)
_OK = 200
_CONFLICT = 412
_GONE = 410
# Answers that say that nothing was done.
_NOT_APPLIED = frozenset((400, 403, 413, 429, 503))

Count = Callable[[str, str], None]


class PlatformStore:
    """Rows of the store, and what changes in them."""

    def __init__(
        self, address: tuple[str, int], pool: urllib3.PoolManager, count: Count
    ) -> None:
        """Create a client.

        Args:
          address: of the store.
          pool: connections to use.
          count: takes the kind and the outcome of each call.
        """
        self.url = f'http://{address[0]}:{address[1]}'
        self.pool = pool
        self.count = count

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key, one call each."""
        found: dict[str, Row] = {}
        for key in keys:
            table, _, name = key.partition('/')
            # The first row from the key on may be that of a later key.
            page = self._page(table, f'from={_q(name)}&limit=1')
            if isinstance(page, Err):
                return page
            row = page.ok_value.rows.get(key)
            if row is not None:
                found[key] = row
        return Ok(found)

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        """Read up to `limit` rows whose keys start with a prefix, in order."""
        table, _, start = prefix.partition('/')
        page = self._page(table, f'from={_q(start)}&limit={limit}')
        if isinstance(page, Err):
            return page
        rows = page.ok_value.rows.values()
        return Ok([row for row in rows if row.key.startswith(prefix)])

    def snapshot(self, table: str) -> Result[Snapshot, StoreError]:
        """Read a whole table; rows that change meanwhile may be newer."""
        rows: dict[str, Row] = {}
        as_of: int | None = None
        query = f'limit={PAGE_ROWS}'
        while True:
            page = self._page(table, query)
            if isinstance(page, Err):
                return page
            rows.update(page.ok_value.rows)
            # Changes after the first page are in the feed from there on.
            as_of = page.ok_value.as_of if as_of is None else as_of
            if not page.ok_value.has_more or not page.ok_value.rows:
                return Ok(Snapshot(as_of, rows, page.ok_value.now))
            last = max(page.ok_value.rows).partition('/')[2]
            query = f'limit={PAGE_ROWS}&from={_q(last)}%00'

    def changes(
        self, table: str, after: int, wait: dt.timedelta
    ) -> Result[Changes, StoreError | HistoryGone]:
        """Wait for changes after a version, at most for a time."""
        wait_ms = wait // dt.timedelta(milliseconds=1)
        path = f'/api/rows-feed?table={table}&after={after}&wait-ms={wait_ms}'
        reply = self._call('feed', 'GET', path, wait)
        if isinstance(reply, Err):
            return Err(StoreError(reply.err_value.detail))
        if reply.ok_value.status == _GONE:
            return Err(HistoryGone())
        document = _document(reply.ok_value)
        if isinstance(document, Err):
            return document
        written: dict[str, Row] = {}
        removed: set[str] = set()
        for entry in document.ok_value['rows']:
            key = _key(entry)
            if entry.get('removed'):
                written.pop(key, None)
                removed.add(key)
            else:
                removed.discard(key)
                written[key] = _row(entry)
        as_of = document.ok_value['ver']
        now = _now(document.ok_value)
        return Ok(Changes(as_of, written, frozenset(removed), now))

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction whole or not at all."""
        body = json.dumps(_encode(transaction)).encode()
        reply = self._call(
            'write', 'POST', '/api/rows-tx', dt.timedelta(), body
        )
        if isinstance(reply, Err):
            failure = reply.err_value
            if failure.sent:
                return Err(Unknown(failure.detail))
            return Err(Unavailable(failure.detail))
        return _commit_result(reply.ok_value, transaction)

    def _page(self, table: str, query: str) -> Result['_Page', StoreError]:
        path = f'/api/rows-get?table={table}&part=&{query}'
        reply = self._call('read', 'GET', path, dt.timedelta())
        if isinstance(reply, Err):
            return Err(StoreError(reply.err_value.detail))
        document = _document(reply.ok_value)
        if isinstance(document, Err):
            return document
        rows = {_key(one): _row(one) for one in document.ok_value['rows']}
        more = bool(document.ok_value.get('has-more'))
        return Ok(
            _Page(
                rows,
                document.ok_value['ver'],
                more,
                _now(document.ok_value),
            )
        )

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        wait: dt.timedelta,
        body: bytes | None = None,
    ) -> Result[transport.Reply, transport.CallFailure]:
        headers = {} if body is None else {'Content-Type': 'application/json'}
        reply = transport.call(
            self.pool,
            method,
            self.url + path,
            wait + CALL_TIMEOUT,
            body,
            headers,
            CALL_TIMEOUT,
        )
        if isinstance(reply, Ok):
            self.count(kind, str(reply.ok_value.status))
        else:
            self.count(kind, 'lost' if reply.err_value.sent else 'unsent')
        return reply


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """Rows of one answer."""

    rows: dict[str, Row]
    as_of: int
    has_more: bool
    now: dt.timedelta


def _document(
    reply: transport.Reply,
) -> Result[dict[str, Any], StoreError]:
    if reply.status != _OK:
        return Err(StoreError(f'status {reply.status}'))
    try:
        document: dict[str, Any] = json.loads(reply.body)
    except ValueError as error:
        return Err(StoreError(f'malformed answer: {error}'))
    if 'rows' not in document or 'ver' not in document:
        return Err(StoreError('the answer has no rows'))
    return Ok(document)


def _commit_result(
    reply: transport.Reply, transaction: Transaction
) -> Result[None, CommitError]:
    if reply.status == _OK:
        return Ok(None)
    if reply.status == _CONFLICT:
        return Err(_conflict(reply, transaction))
    if reply.status in _NOT_APPLIED:
        return Err(Unavailable(f'status {reply.status}'))
    return Err(Unknown(f'status {reply.status}'))


def _conflict(reply: transport.Reply, transaction: Transaction) -> Conflict:
    current: dict[str, int] = {}
    document = _document(reply).ok() if reply.status == _OK else None
    if document is None:
        try:
            document = json.loads(reply.body)
        except ValueError:
            document = {}
    for entry in document.get('rows', ()):
        current[_key(entry)] = entry.get('ver', 0)
    for check in transaction.checks:
        version = current.get(check.key, 0)
        if version != check.version:
            return Conflict(check.key, version)
    first = transaction.checks[0]
    return Conflict(first.key, current.get(first.key, 0))


def _encode(transaction: Transaction) -> dict[str, Any]:
    return {
        'expected': [
            {**_name(check.key), 'ver': check.version}
            for check in transaction.checks
        ],
        'writes': [
            {**_name(put.key), 'value': base64.b64encode(put.body).decode()}
            for put in transaction.puts
        ],
        'remove': [_name(key) for key in transaction.deletes],
    }


def _now(document: Mapping[str, Any]) -> dt.timedelta:
    return dt.timedelta(milliseconds=document.get('now-ms', 0))


def _name(key: str) -> dict[str, str]:
    table, _, name = key.partition('/')
    return {'table': table, 'part': '', 'key': name}


def _key(entry: Mapping[str, Any]) -> str:
    return f'{entry["table"]}/{entry["key"]}'


def _row(entry: Mapping[str, Any]) -> Row:
    try:
        body = base64.b64decode(entry.get('value') or '')
    except (binascii.Error, TypeError, ValueError):
        # A row of another writer: whoever reads it finds it unreadable.
        body = b''
    return Row(key=_key(entry), version=entry.get('ver', 0), body=body)


def _q(text: str) -> str:
    return quote(text, safe='')
