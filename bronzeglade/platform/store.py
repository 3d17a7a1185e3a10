"""Client of the platform's metadata store.

The router addresses a row as `TABLE/KEY`. On the wire this is the row KEY in
the table TABLE and the partition with the empty name (`part`).

All answers of a store that can be restored from a backup name their era in the
header Store-Era, which rises with each restoration. Once an answer had the
header, one without it, with a lower or an unreadable era counts as no answer.
"""

import base64
import binascii
import dataclasses
import datetime as dt
import json
import re
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, TypeGuard
from urllib.parse import quote

import urllib3
from result import Err, Ok, Result

from bronzeglade.adapters import transport
from bronzeglade.adapters.feed import Changes, HistoryTruncated, Snapshot
from bronzeglade.adapters.table import (
    ABSENT,
    CommitError,
    Conflict,
    Row,
    StoreError,
    Transaction,
    Unavailable,
    Unknown,
)

MAX_PAGE_ROWS = 500  # rows that the store returns in one answer
# Maximum time for an answer, added to the time that a call asks the store to
# wait for changes.
CALL_TIMEOUT = dt.timedelta(milliseconds=1000)
_HTTP_OK = 200
_HTTP_PRECONDITION_FAILED = 412
_HTTP_GONE = 410
# Statuses of a transaction that was certainly not applied.
_HTTP_NOT_APPLIED = frozenset((400, 403, 413, 429, 503))

_ERA_HEADER = 'store-era'
# Bounds for messages to other nodes and for timedelta arithmetic.
_MAX_VERSION = 2**63 - 1
# Numbers of roll-out orders have the era in their upper bits.
_MAX_ERA = 2**15 - 1
_DIGITS = re.compile('[0-9]{1,10}')
_MAX_LOGGED_CHARS = 40  # of a malformed era
_MAX_TIME_MS = 10**15

CountCall = Callable[[str, str], None]


class PlatformStore:
    """Client that reads, writes and follows rows of the store."""

    def __init__(
        self,
        address: tuple[str, int],
        pool: urllib3.PoolManager,
        count: CountCall,
    ) -> None:
        """Create a client.

        Args:
          address: IP address and port of the store.
          pool: connections to use.
          count: called with the kind and the outcome of each call.
        """
        self.url = ''
        self.move(address)
        self.pool = pool
        self.count = count
        self.era = 0  # of the newest answer; 0 while none was named

    def move(self, address: tuple[str, int]) -> None:
        """Make further calls at another address of the same store."""
        self.url = f'http://{address[0]}:{address[1]}'

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key, one call each."""
        rows: dict[str, Row] = {}
        for key in keys:
            table, _, name = key.partition('/')
            # The store returns the first row at or after the key.
            page = self._page(table, f'from={_quoted(name)}&limit=1')
            if isinstance(page, Err):
                return page
            row = page.ok_value.rows.get(key)
            if row is not None:
                rows[key] = row
        return Ok(rows)

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        """Read up to `limit` rows whose keys start with a prefix, in order."""
        table, _, start = prefix.partition('/')
        page = self._page(table, f'from={_quoted(start)}&limit={limit}')
        if isinstance(page, Err):
            return page
        rows = page.ok_value.rows.values()
        return Ok([row for row in rows if row.key.startswith(prefix)])

    def snapshot(self, table: str) -> Result[Snapshot, StoreError]:
        """Read a whole table, page by page.

        The snapshot has the version of the first page; rows of later pages may
        be newer.
        """
        rows: dict[str, Row] = {}
        first: _Page | None = None
        query = f'limit={MAX_PAGE_ROWS}'
        while True:
            page = self._page(table, query)
            if isinstance(page, Err):
                return page
            if page.ok_value.rows and page.ok_value.rows.keys() <= rows.keys():
                return Err(StoreError('malformed answer: no further rows'))
            rows.update(page.ok_value.rows)
            # From this version on the feed has every change made after the
            # first page was read.
            first = first or page.ok_value
            if page.ok_value.era != first.era:
                return Err(StoreError('the store was restored meanwhile'))
            if not page.ok_value.has_more or not page.ok_value.rows:
                now = page.ok_value.now
                return Ok(Snapshot(first.as_of, rows, now, first.era))
            last = max(page.ok_value.rows).partition('/')[2]
            query = f'limit={MAX_PAGE_ROWS}&from={_quoted(last)}%00'

    def changes(
        self, table: str, after: int, wait: dt.timedelta
    ) -> Result[Changes, StoreError | HistoryTruncated]:
        """Wait for changes after a version.

        Args:
          table: name of the table.
          after: version of the store that is already known.
          wait: maximum time until the store answers, with or without changes.

        Returns:
          The changes, perhaps none; `HistoryTruncated` when the store no
          longer has the changes since `after`.
        """
        wait_ms = wait // dt.timedelta(milliseconds=1)
        path = f'/api/rows-feed?table={table}&after={after}&wait-ms={wait_ms}'
        reply = self._call('feed', 'GET', path, wait)
        if isinstance(reply, Err):
            failure = reply.err_value
            return Err(StoreError(failure.detail, lost=failure.sent))
        era = self._read_era(reply.ok_value)
        if isinstance(era, Err):
            return era
        if reply.ok_value.status == _HTTP_GONE:
            return Err(HistoryTruncated())
        document = _parse_document(reply.ok_value)
        if isinstance(document, Err):
            return document
        written: dict[str, Row] = {}
        removed: set[str] = set()
        for entry in _usable(document.ok_value['rows']):
            key = _decode_key(entry)
            if entry.get('removed'):
                written.pop(key, None)
                removed.add(key)
            else:
                removed.discard(key)
                written[key] = _decode_row(entry)
        as_of = document.ok_value['ver']
        now = _store_time(document.ok_value)
        return Ok(
            Changes(as_of, written, frozenset(removed), now, era.ok_value)
        )

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction atomically."""
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
            failure = reply.err_value
            return Err(StoreError(failure.detail, lost=failure.sent))
        era = self._read_era(reply.ok_value)
        if isinstance(era, Err):
            return era
        document = _parse_document(reply.ok_value)
        if isinstance(document, Err):
            return document
        rows = {
            _decode_key(entry): _decode_row(entry)
            for entry in _usable(document.ok_value['rows'])
        }
        more = bool(document.ok_value.get('has-more'))
        return Ok(
            _Page(
                rows,
                document.ok_value['ver'],
                more,
                _store_time(document.ok_value),
                era.ok_value,
            )
        )

    def _read_era(self, reply: transport.Reply) -> Result[int, StoreError]:
        """Return the era of an answer, or why the answer is not used."""
        text = _header(reply, _ERA_HEADER)
        if text is None:
            if self.era:
                return Err(StoreError('malformed answer: no era'))
            return Ok(0)
        era = int(text) if _DIGITS.fullmatch(text) else -1
        if not 0 <= era <= _MAX_ERA:
            shown = text[:_MAX_LOGGED_CHARS]
            return Err(StoreError(f'malformed answer: era {shown!r}'))
        if era < self.era:
            return Err(StoreError(f'answer of era {era} after {self.era}'))
        self.era = era
        return Ok(era)

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
    """Rows of one answer, and the store's version and time when it was read."""

    rows: dict[str, Row]
    as_of: int
    has_more: bool
    now: dt.timedelta
    era: int


def _header(reply: transport.Reply, name: str) -> str | None:
    """Return the value of a header, whose name is in lower case."""
    for header, text in reply.headers.items():
        if header.lower() == name:
            return text.strip()
    return None


def _parse_document(
    reply: transport.Reply,
) -> Result[dict[str, Any], StoreError]:
    if reply.status != _HTTP_OK:
        return Err(StoreError(f'status {reply.status}'))
    document = _load_json(reply.body)
    if isinstance(document, Err):
        return document
    fields = document.ok_value
    if not isinstance(fields.get('rows'), list):
        return Err(StoreError('malformed answer: no rows'))
    if not _is_integer(fields.get('ver'), _MAX_VERSION):
        return Err(StoreError('malformed answer: no version'))
    if not _is_time(fields.get('now-ms', 0)):
        return Err(StoreError('malformed answer: no time'))
    return document


def _load_json(body: bytes) -> Result[dict[str, Any], StoreError]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(StoreError(f'malformed answer: {error}'))
    if not isinstance(document, dict):
        return Err(StoreError('malformed answer: no object'))
    return Ok(document)


def _is_integer(number: object, highest: int) -> TypeGuard[int]:
    return (
        isinstance(number, int)
        and not isinstance(number, bool)
        and 0 <= number <= highest
    )


def _is_time(number: object) -> bool:
    # The comparison is false for NaN.
    return (
        isinstance(number, int | float)
        and -_MAX_TIME_MS <= number <= _MAX_TIME_MS
    )


def _usable(entries: Any) -> Iterator[Mapping[str, Any]]:
    """Yield the entries of rows that can be addressed, in the empty partition.

    A malformed row of another writer must not fail the whole read.
    """
    for entry in entries:
        if (
            isinstance(entry, dict)
            and not entry.get('part')
            and _is_text(entry.get('table'))
            and _is_text(entry.get('key'))
        ):
            yield entry


def _is_text(text: object) -> bool:
    """Return whether a value is a text without lone surrogates."""
    if not isinstance(text, str):
        return False
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _commit_result(
    reply: transport.Reply, transaction: Transaction
) -> Result[None, CommitError]:
    if reply.status == _HTTP_OK:
        return Ok(None)
    if reply.status == _HTTP_PRECONDITION_FAILED:
        return Err(_conflict(reply, transaction))
    if reply.status in _HTTP_NOT_APPLIED:
        return Err(Unavailable(f'status {reply.status}'))
    return Err(Unknown(f'status {reply.status}'))


def _conflict(
    reply: transport.Reply, transaction: Transaction
) -> Conflict | Unknown:
    document = _load_json(reply.body).unwrap_or({})
    rows = document.get('rows')
    if not isinstance(rows, list):
        rows = []
    current = {
        _decode_key(entry): _decode_version(entry) for entry in _usable(rows)
    }
    for check in transaction.checks:
        version = current.get(check.key, 0)
        if version != check.version:
            return Conflict(check.key, version)
    if not transaction.checks:
        return Unknown('conflict without a condition')
    first = transaction.checks[0]
    return Conflict(first.key, current.get(first.key, 0))


def _encode(transaction: Transaction) -> dict[str, Any]:
    return {
        'expected': [
            {**_encode_key(check.key), 'ver': check.version}
            for check in transaction.checks
        ],
        'writes': [
            {
                **_encode_key(put.key),
                'value': base64.b64encode(put.body).decode(),
            }
            for put in transaction.puts
        ],
        'remove': [_encode_key(key) for key in transaction.deletes],
    }


def _store_time(document: Mapping[str, Any]) -> dt.timedelta:
    return dt.timedelta(milliseconds=document.get('now-ms', 0))


def _encode_key(key: str) -> dict[str, str]:
    table, _, name = key.partition('/')
    return {'table': table, 'part': '', 'key': name}


def _decode_key(entry: Mapping[str, Any]) -> str:
    return f'{entry["table"]}/{entry["key"]}'


def _decode_version(entry: Mapping[str, Any]) -> int:
    """Return the version of a row; a malformed one is that of no row."""
    version = entry.get('ver')
    return version if _is_integer(version, _MAX_VERSION) else ABSENT


def _decode_row(entry: Mapping[str, Any]) -> Row:
    version = _decode_version(entry)
    body = b''
    if version != ABSENT:
        try:
            body = base64.b64decode(entry.get('value') or '')
        except (binascii.Error, TypeError, ValueError):
            # The empty body is rejected when the row is decoded.
            body = b''
    return Row(key=_decode_key(entry), version=version, body=body)


def _quoted(text: str) -> str:
    return quote(text, safe='')
