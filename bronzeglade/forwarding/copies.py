"""Copies of tables that nodes serve to each other on their control addresses.

One call fetches several tables: `GET /copies?wait_ms=N&TABLE=ERA.VERSION&...`.
It is answered immediately if a table has changed since the given state of the
store, otherwise when one changes, the store is lost, or the wait has elapsed.
The answer is 200 with a msgpack list: whether the node is connected to the
store, and a map from each changed table to its version, the store's time, the
rows, the lapsed rows (which disappeared during an outage and may be written
again), the remaining time for which those are kept, and the era. Unchanged
tables are omitted.
"""

import dataclasses
import datetime as dt
import zlib
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import parse_qs, urlencode

import eventlet
import msgpack
import urllib3
from eventlet.event import Event
from result import Err, Ok, Result

from bronzeglade.adapters import transport
from bronzeglade.adapters.feed import Position, Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.forwarding.settings import Address

COPIES_PATH = '/copies'
MAX_WAIT = dt.timedelta(seconds=5)
# A node reports the store as lost after this time without an answer; a broken
# connection alone does not count.
STORE_LOST_AFTER = dt.timedelta(milliseconds=400)
# Time limit for an answer, in addition to the requested wait.
ANSWER_TIMEOUT = dt.timedelta(milliseconds=400)
# Size of the rows of one table; the store's limits keep them far below.
MAX_TABLE_BYTES = 32 * 1024 * 1024
MAX_VERSION = 2**63 - 1
_MAX_TIME_MS = 10**15  # within the range of timedelta arithmetic
_MAX_REASON_CHARS = 200
_COMPRESSION = 1  # zlib level: the fastest suffices for repetitive rows
_OK = 200
_MILLISECOND = dt.timedelta(milliseconds=1)
_NOTHING_READ: Position = (0, 0)


# Raised when decoding bytes that are not valid copies.
_DECODE_ERRORS = (ValueError, TypeError, zlib.error, msgpack.UnpackException)


@dataclasses.dataclass(frozen=True, slots=True)
class TableCopy:
    """A copy of one table; `lapsed` rows are kept for `settling`."""

    snapshot: Snapshot
    lapsed: Mapping[str, Row]
    settling: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class TableCopies:
    """Changed tables, and whether their node is connected to the store."""

    current: bool
    tables: Mapping[str, TableCopy]


class CopySource:
    """Serves a node's copies to other nodes."""

    def __init__(self, mirrors: Sequence[TableMirror]) -> None:
        """Serve copies of some tables.

        Args:
          mirrors: local copies, one for each table.
        """
        self.mirrors = {mirror.table: mirror for mirror in mirrors}
        self.changed = Event()
        self.packed_rows: dict[str, tuple[Position, bytes]] = {}

    def notify(self) -> None:
        """Wake the calls that are waiting for a change."""
        waiting = self.changed
        self.changed = Event()
        waiting.send()

    def application(self, environ: dict[str, Any], start: Any) -> Any:
        """Answer a call from another node, as a WSGI application."""
        query = parse_qs(environ.get('QUERY_STRING', ''))
        if environ['PATH_INFO'] != COPIES_PATH:
            start('404 Not Found', [('Content-Length', '0')])
            return ()
        try:
            wait = int(query.pop('wait_ms', ['0'])[0]) * _MILLISECOND
            known = {
                table: _parse_position(value[0])
                for table, value in query.items()
            }
        except (ValueError, OverflowError):
            start('400 Bad Request', [('Content-Length', '0')])
            return ()
        body = self.answer(known, min(wait, MAX_WAIT))
        start('200 OK', [('Content-Length', str(len(body)))])
        return (body,)

    def answer(
        self, known: Mapping[str, Position], wait: dt.timedelta
    ) -> bytes:
        """Return the packed tables that changed, waiting if there are none.

        Args:
          known: states of the store that the other node has, by table.
          wait: maximum time to wait for a change.
        """
        if not self._changed_since(known) and self.is_current():
            with eventlet.Timeout(wait.total_seconds(), exception=False):
                self.changed.wait()
        tables = {
            mirror.table: self._pack(mirror)
            for mirror in self._changed_since(known)
        }
        body: bytes = msgpack.packb([self.is_current(), tables])
        return body

    def is_current(self) -> bool:
        """Return whether all tables are loaded and the store is not lost."""
        return all(
            mirror.loaded and mirror.failing_for() < STORE_LOST_AFTER
            for mirror in self.mirrors.values()
        )

    def _changed_since(
        self, known: Mapping[str, Position]
    ) -> list[TableMirror]:
        return [
            mirror
            for table, mirror in self.mirrors.items()
            if mirror.loaded
            and mirror.changed_position > known.get(table, _NOTHING_READ)
        ]

    def _pack(self, mirror: TableMirror) -> list[Any]:
        cached = self.packed_rows.get(mirror.table)
        if cached is None or cached[0] != mirror.changed_position:
            rows = zlib.compress(
                msgpack.packb(_encode_rows(mirror.stored())), _COMPRESSION
            )
            cached = (mirror.changed_position, rows)
            self.packed_rows[mirror.table] = cached
        lapsed = mirror.current().keys() - mirror.rows.keys()
        return [
            mirror.as_of,
            mirror.store_time() // _MILLISECOND,
            cached[1],
            _encode_rows({key: mirror.lapsed[key] for key in lapsed}),
            mirror.settling_remaining() // _MILLISECOND,
            mirror.era,
        ]


def fetch(
    pool: urllib3.PoolManager,
    peer: Address,
    known: Mapping[str, Position],
    wait: dt.timedelta,
) -> Result[TableCopies, str]:
    """Fetch the tables that changed from another node.

    Args:
      pool: connection pool.
      peer: control address of the node.
      known: states of the store that this node has, by table.
      wait: maximum time for which the peer may hold the call.
    """
    positions = {
        table: f'{era}.{version}' for table, (era, version) in known.items()
    }
    query = urlencode({'wait_ms': wait // _MILLISECOND, **positions})
    url = f'http://{peer[0]}:{peer[1]}{COPIES_PATH}?{query}'
    reply = transport.call(
        pool,
        'GET',
        url,
        wait + ANSWER_TIMEOUT,
        connect_timeout=ANSWER_TIMEOUT,
    )
    if isinstance(reply, Err):
        return Err(reply.err_value.detail)
    if reply.ok_value.status != _OK:
        return Err(f'status {reply.ok_value.status}')
    try:
        return Ok(unpack(reply.ok_value.body))
    except _DECODE_ERRORS as error:
        return Err(f'malformed copies: {error!r}'[:_MAX_REASON_CHARS])


def unpack(body: bytes) -> TableCopies:
    """Decode the body of an answer.

    Raises:
      One of `_DECODE_ERRORS`: the body is malformed.
    """
    current, tables = msgpack.unpackb(body)
    return TableCopies(
        bool(current),
        {
            _text(table): _decode_copy(*packed)
            for table, packed in dict(tables).items()
        },
    )


def _decode_copy(
    as_of: int,
    now_ms: int,
    rows: bytes,
    lapsed: Sequence[Sequence[Any]],
    settling_ms: int,
    era: int,
) -> TableCopy:
    # A short answer may expand to any size.
    decompressor = zlib.decompressobj()
    unpacked = decompressor.decompress(rows, MAX_TABLE_BYTES)
    if not decompressor.eof:
        raise ValueError('truncated or too large')
    return TableCopy(
        Snapshot(
            _integer(as_of, MAX_VERSION),
            _decode_rows(msgpack.unpackb(unpacked)),
            _integer(now_ms, _MAX_TIME_MS) * _MILLISECOND,
            _integer(era, MAX_VERSION),
        ),
        _decode_rows(lapsed),
        _integer(settling_ms, _MAX_TIME_MS) * _MILLISECOND,
    )


def _parse_position(text: str) -> Position:
    era, _, version = text.partition('.')
    return int(era), int(version)


def _encode_rows(rows: Mapping[str, Row]) -> list[list[Any]]:
    return [[row.key, row.version, row.body] for row in rows.values()]


def _decode_rows(encoded: Sequence[Sequence[Any]]) -> dict[str, Row]:
    return {
        _text(key): Row(key, _integer(version, MAX_VERSION), _bytes(body))
        for key, version, body in encoded
    }


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError('not a text')
    return value


def _bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError('not bytes')
    return value


def _integer(value: object, highest: int) -> int:
    if not isinstance(value, int) or not 0 <= value <= highest:
        raise ValueError('not a number in range')
    return value
