"""Copies of tables that nodes give to each other on their control addresses.

One call asks for several tables: `GET /copies?wait_ms=N&TABLE=VERSION&...`. The
answer comes at once when a table has changed after the given version, else when
one changes, the store is lost, or the wait is over. It is 200 with a msgpack
list: whether the node hears from the store, and by table the version, the
store's time, the rows, and those that may only have lapsed with the time left
for them. Tables without changes are left out.
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
from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.coordination.mirror import Mirror
from bronzeglade.forwarding.settings import Address

COPIES_PATH = '/copies'
LONGEST_WAIT = dt.timedelta(seconds=5)
# A store is told to be lost when it gave no answer for this long: a broken
# connection alone is none.
LOST_AFTER = dt.timedelta(milliseconds=400)
# Longest time for an answer beyond the time that a call asks to wait.
ANSWER_LIMIT = dt.timedelta(milliseconds=400)
_COMPRESSION = 1  # zlib level: rows are repetitive text, speed counts
_OK = 200
_MILLISECOND = dt.timedelta(milliseconds=1)


# What the decoding of bytes that are no copies raises.
_MALFORMED = (ValueError, TypeError, zlib.error, msgpack.UnpackException)


@dataclasses.dataclass(frozen=True, slots=True)
class TableCopy:
    """The copy of one table; `lapsed` rows are kept for `settling`."""

    snapshot: Snapshot
    lapsed: Mapping[str, Row]
    settling: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Copies:
    """Tables that changed, and whether their node hears from the store."""

    current: bool
    tables: Mapping[str, TableCopy]


class CopySource:
    """A node's copies as it gives them to others."""

    def __init__(self, mirrors: Sequence[Mirror]) -> None:
        """Offer copies.

        Args:
          mirrors: one of each table.
        """
        self.mirrors = {mirror.table: mirror for mirror in mirrors}
        self.changed = Event()
        self.packed: dict[str, tuple[int, bytes]] = {}

    def notify(self) -> None:
        """Wake the calls that wait for a change."""
        waiting = self.changed
        self.changed = Event()
        waiting.send()

    def application(self, environ: dict[str, Any], start: Any) -> Any:
        """Answer a call of another node."""
        query = parse_qs(environ.get('QUERY_STRING', ''))
        if environ['PATH_INFO'] != COPIES_PATH:
            start('404 Not Found', [('Content-Length', '0')])
            return ()
        try:
            wait = int(query.pop('wait_ms', ['0'])[0]) * _MILLISECOND
            known = {table: int(value[0]) for table, value in query.items()}
        except ValueError:
            start('400 Bad Request', [('Content-Length', '0')])
            return ()
        body = self.answer(known, min(wait, LONGEST_WAIT))
        start('200 OK', [('Content-Length', str(len(body)))])
        return (body,)

    def answer(self, known: Mapping[str, int], wait: dt.timedelta) -> bytes:
        """Return the changes after known versions, or after a wait.

        Args:
          known: version that the other node knows, by table.
          wait: how long to wait for a change.
        """
        if not self._newer(known) and self.is_current():
            with eventlet.Timeout(wait.total_seconds(), exception=False):
                self.changed.wait()
        tables = {
            mirror.table: self._pack(mirror) for mirror in self._newer(known)
        }
        body: bytes = msgpack.packb([self.is_current(), tables])
        return body

    def is_current(self) -> bool:
        """Return whether every table is known and the store is heard."""
        return all(
            mirror.loaded and mirror.failing_for() < LOST_AFTER
            for mirror in self.mirrors.values()
        )

    def _newer(self, known: Mapping[str, int]) -> list[Mirror]:
        return [
            mirror
            for table, mirror in self.mirrors.items()
            if mirror.loaded and mirror.changed_version > known.get(table, 0)
        ]

    def _pack(self, mirror: Mirror) -> list[Any]:
        kept = self.packed.get(mirror.table)
        if kept is None or kept[0] != mirror.changed_version:
            rows = zlib.compress(
                msgpack.packb(_listed(mirror.rows)), _COMPRESSION
            )
            kept = (mirror.changed_version, rows)
            self.packed[mirror.table] = kept
        lapsed = mirror.current().keys() - mirror.rows.keys()
        return [
            mirror.as_of,
            mirror.store_time() // _MILLISECOND,
            kept[1],
            _listed({key: mirror.lapsed[key] for key in lapsed}),
            mirror.settling_remaining() // _MILLISECOND,
        ]


def fetch(
    pool: urllib3.PoolManager,
    peer: Address,
    known: Mapping[str, int],
    wait: dt.timedelta,
) -> Result[Copies, str]:
    """Ask a node for the tables that changed.

    Args:
      pool: connections to use.
      peer: control address of the node.
      known: version that is known, by table.
      wait: how long it may wait for a change.
    """
    query = urlencode({'wait_ms': wait // _MILLISECOND, **known})
    url = f'http://{peer[0]}:{peer[1]}{COPIES_PATH}?{query}'
    reply = transport.call(
        pool,
        'GET',
        url,
        wait + ANSWER_LIMIT,
        connect_timeout=ANSWER_LIMIT,
    )
    if isinstance(reply, Err):
        return Err(reply.err_value.detail)
    if reply.ok_value.status != _OK:
        return Err(f'status {reply.ok_value.status}')
    try:
        return Ok(unpack(reply.ok_value.body))
    except _MALFORMED as error:
        return Err(f'malformed copies: {error!r}')


def unpack(body: bytes) -> Copies:
    """Return the answer that a node has packed."""
    current, tables = msgpack.unpackb(body)
    return Copies(
        current,
        {
            table: TableCopy(
                Snapshot(
                    as_of,
                    _rows(msgpack.unpackb(zlib.decompress(rows))),
                    now * _MILLISECOND,
                ),
                _rows(lapsed),
                settling * _MILLISECOND,
            )
            for table, (as_of, now, rows, lapsed, settling) in tables.items()
        },
    )


def _listed(rows: Mapping[str, Row]) -> list[list[Any]]:
    return [[row.key, row.version, row.body] for row in rows.values()]


def _rows(listed: Sequence[Sequence[Any]]) -> dict[str, Row]:
    return {key: Row(key, version, body) for key, version, body in listed}
