"""Stand-in of the platform's metadata store: rows, feeds and faults."""

import base64
import dataclasses
import json
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import parse_qs

import eventlet
from absl import flags

from standins.faults import Faults
from standins.limits import RateLimit
from standins.web import (
    DROP,
    Reply,
    address_flags,
    fault_routes,
    parse_flags,
    read_json,
    send_reply,
    serve,
)

PAGE = 500  # rows of one answer
LARGEST_TRANSACTION = 100
# Tables that only the operator and the workers write.
PROTECTED = frozenset(('op', 'servers'))
POLL_S = 0.01

Key = tuple[str, str]  # table, key


@dataclasses.dataclass(slots=True)
class Stored:
    """A row, or the mark that it was removed."""

    version: int
    value: str
    removed: bool = False


class Rows:
    """Rows of every table, with one counter of versions."""

    def __init__(self) -> None:
        """Create an empty store; the first transaction has version 1."""
        self.rows: dict[Key, Stored] = {}
        self.version = 0
        self.oldest = 0

    def transact(self, document: Mapping[str, Any]) -> Reply:
        """Apply all of a transaction or nothing."""
        expected = document.get('expected', ())
        current = [self._named(entry) for entry in expected]
        for entry, row in zip(expected, current, strict=True):
            if self._version(row) != entry['ver']:
                rows = [
                    self.encode(_key(one), stored)
                    for one, stored in zip(expected, current, strict=True)
                    if stored is not None and not stored.removed
                ]
                return 412, {**self.heading(), 'rows': rows}
        self.version += 1
        for entry in document.get('writes', ()):
            self.rows[_key(entry)] = Stored(self.version, entry['value'])
        for entry in document.get('remove', ()):
            self.rows[_key(entry)] = Stored(self.version, '', removed=True)
        return 200, self.heading()

    def put(self, document: Mapping[str, Any]) -> Reply:
        """Write rows as the operator and the workers do: plain documents."""
        writes: list[dict[str, Any]] = []
        removed: list[dict[str, Any]] = []
        for name, content in document.items():
            table, _, key = name.partition('/')
            entry = {'table': table, 'part': '', 'key': key}
            if content is None:
                removed.append(entry)
            else:
                value = base64.b64encode(json.dumps(content).encode()).decode()
                writes.append({**entry, 'value': value})
        return self.transact({'writes': writes, 'remove': removed})

    def get(self, query: Mapping[str, str]) -> Reply:
        """Return a range of a table."""
        start = query.get('from', '')
        end = query.get('target')
        found = [
            self.encode(key, row)
            for key, row in sorted(self.rows.items())
            if key[0] == query['table']
            and not row.removed
            and key[1] >= start
            and (end is None or key[1] < end)
        ]
        limit = min(PAGE, int(query.get('limit', PAGE)))
        return 200, {
            **self.heading(),
            'rows': found[:limit],
            'has-more': len(found) > limit,
        }

    def changed(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the rows of a table that were written after a version."""
        newer = [
            (row.version, key, row)
            for key, row in self.rows.items()
            if key[0] == table and row.version > after
        ]
        newer.sort(key=lambda one: one[:2])
        return [self.encode(key, row) for _version, key, row in newer]

    def heading(self) -> dict[str, Any]:
        """Return what every answer about rows has."""
        return {'ver': self.version, 'now-ms': int(time.monotonic() * 1000)}

    def encode(self, key: Key, row: Stored) -> dict[str, Any]:
        """Return a row as it is sent."""
        entry = {
            'table': key[0],
            'part': '',
            'key': key[1],
            'ver': row.version,
        }
        if row.removed:
            return {**entry, 'removed': True}
        return {**entry, 'value': row.value}

    def _named(self, entry: Mapping[str, Any]) -> Stored | None:
        return self.rows.get(_key(entry))

    def _version(self, row: Stored | None) -> int:
        return 0 if row is None or row.removed else row.version


class Store:
    """The store's calls behind its rates and faults."""

    def __init__(self, rows: Rows, writes_per_s: float, reads_per_s: float):
        """Create a store.

        Args:
          rows: its content.
          writes_per_s: calls that write; 0 means no limit.
          reads_per_s: calls that read; 0 means no limit.
        """
        self.rows = rows
        self.writes = RateLimit(writes_per_s)
        self.reads = RateLimit(reads_per_s)
        self.faults = Faults(
            outage=0,  # 503, nothing is done
            silent=0,  # no answer, nothing is done
            lost_replies=0,  # connection dropped after the call took effect
            slow_s=0,  # delay before each call
        )
        self.counts = {'writes': 0, 'reads': 0, 'feeds': 0}

    def handle(self, environ: dict[str, Any]) -> Reply:
        """Answer a call."""
        path = environ['PATH_INFO']
        query = {
            name: values[0]
            for name, values in parse_qs(
                environ.get('QUERY_STRING', '')
            ).items()
        }
        if path == '/api/rows-tx':
            document = read_json(environ)
            return self._guarded('writes', lambda: self._transact(document))
        if path == '/api/rows-get':
            return self._guarded('reads', lambda: self.rows.get(query))
        if path == '/api/rows-feed':
            return self._guarded('feeds', lambda: self._feed(query))
        return 404, {}

    def _transact(self, document: Mapping[str, Any]) -> Reply:
        names = [*document.get('writes', ()), *document.get('remove', ())]
        if len(names) > LARGEST_TRANSACTION:
            return 413, {}
        if any(entry['table'] in PROTECTED for entry in names):
            return 403, {}
        return self.rows.transact(document)

    def _feed(self, query: Mapping[str, str]) -> Reply:
        after = int(query['after'])
        until = time.monotonic() + int(query.get('wait-ms', 0)) / 1000
        while True:
            if after < self.rows.oldest:
                return 410, {}
            rows = self.rows.changed(query['table'], after)
            if rows or time.monotonic() >= until:
                return 200, {**self.rows.heading(), 'rows': rows}
            if self.faults.level('outage') or self.faults.level('silent'):
                return DROP
            eventlet.sleep(POLL_S)

    def _guarded(self, kind: str, action: Callable[[], Reply]) -> Reply:
        eventlet.sleep(self.faults.level('slow_s'))
        while self.faults.level('silent'):
            eventlet.sleep(POLL_S)
        if self.faults.level('outage'):
            return 503, {}
        limit = self.writes if kind == 'writes' else self.reads
        if not limit.try_take():
            return 429, {}
        self.counts[kind] += 1
        reply = action()
        return DROP if self.faults.strikes('lost_replies') else reply


def application(store: Store) -> Callable[..., Iterable[bytes]]:
    """Return the store's application; `/admin` belongs to the tests."""
    admin = {
        ('POST', '/admin/put'): store.rows.put,
        ('GET', '/admin/counts'): lambda _document: (200, dict(store.counts)),
        ('POST', '/admin/compact'): lambda _document: _compact(store.rows),
        **fault_routes(store.faults),
    }

    def handle(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        action = admin.get((environ['REQUEST_METHOD'], environ['PATH_INFO']))
        if action is None:
            return send_reply(environ, start, store.handle(environ))
        return send_reply(environ, start, action(read_json(environ)))

    return handle


def _compact(rows: Rows) -> Reply:
    rows.version += 1
    rows.oldest = rows.version
    return 200, {}


def _key(entry: Mapping[str, Any]) -> Key:
    return entry['table'], entry['key']


def main() -> None:
    """Serve the store."""
    values = address_flags()
    flags.DEFINE_float('writes', 0, 'Writes a second.', flag_values=values)
    flags.DEFINE_float('reads', 0, 'Reads a second.', flag_values=values)
    parse_flags(values)
    store = Store(Rows(), values.writes, values.reads)
    serve(values.host, values.port, application(store))


if __name__ == '__main__':
    main()
