"""Stand-in for the platform's metadata store: rows, change feeds, faults."""

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

MAX_PAGE_ROWS = 500
MAX_TRANSACTION_ROWS = 100
# Transactions of the API may not write these tables; only the operator and
# the workers do.
PROTECTED_TABLES = frozenset(('op', 'servers'))
FEED_POLL_S = 0.01
BACKUP_AGE_S = 10.0  # of the oldest state to which the store can be restored

RowKey = tuple[str, str]  # table, key


@dataclasses.dataclass(slots=True)
class StoredRow:
    """A row, or the tombstone of a removed row."""

    version: int
    value: str
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Backup:
    """State of a store before the transaction at a time, in seconds."""

    at_s: float
    version: int
    rows: dict[RowKey, StoredRow]


class Rows:
    """Rows of all tables, with one version counter.

    `oldest_feed_version` is the oldest version from which a feed can continue.
    `era` rises with each restoration.
    """

    def __init__(self) -> None:
        """Create an empty store; the first transaction gets version 1."""
        self.era = 1
        self.backups: list[Backup] = []
        self.rows: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.oldest_feed_version = 0

    def transact(self, document: Mapping[str, Any]) -> Reply:
        """Apply a transaction atomically.

        Returns:
          Status 412 with the current rows when an expected version differs.
        """
        expected = document.get('expected', ())
        current_rows = [self._lookup(entry) for entry in expected]
        for entry, row in zip(expected, current_rows, strict=True):
            if self._live_version(row) != entry['ver']:
                rows = [
                    self.encode(_row_key(checked), stored)
                    for checked, stored in zip(
                        expected, current_rows, strict=True
                    )
                    if stored is not None and not stored.removed
                ]
                return 412, {**self.common_fields(), 'rows': rows}
        self._back_up()
        self.version += 1
        for entry in document.get('writes', ()):
            self.rows[_row_key(entry)] = StoredRow(self.version, entry['value'])
        for entry in document.get('remove', ()):
            self.rows[_row_key(entry)] = StoredRow(
                self.version, '', removed=True
            )
        return 200, self.common_fields()

    def put(self, document: Mapping[str, Any]) -> Reply:
        """Write rows on behalf of the operator and the workers.

        Args:
          document: JSON content by `TABLE/KEY`; None removes the row.
        """
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
        """Return rows of a table in key order: `from` <= key < `target`."""
        start = query.get('from', '')
        end = query.get('target')
        matching_rows = [
            self.encode(key, row)
            for key, row in sorted(self.rows.items())
            if key[0] == query['table']
            and not row.removed
            and key[1] >= start
            and (end is None or key[1] < end)
        ]
        limit = min(MAX_PAGE_ROWS, int(query.get('limit', MAX_PAGE_ROWS)))
        return 200, {
            **self.common_fields(),
            'rows': matching_rows[:limit],
            'has-more': len(matching_rows) > limit,
        }

    def changed_rows(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the rows of a table written after a version, oldest first."""
        newer_rows = [
            (row.version, key, row)
            for key, row in self.rows.items()
            if key[0] == table and row.version > after
        ]
        newer_rows.sort(key=lambda entry: entry[:2])
        return [self.encode(key, row) for _version, key, row in newer_rows]

    def has_history_since(self, version: int) -> bool:
        """Return whether a feed can continue from a version."""
        return self.oldest_feed_version <= version <= self.version

    def common_fields(self) -> dict[str, Any]:
        """Return the fields that every answer about rows contains."""
        return {'ver': self.version, 'now-ms': int(time.monotonic() * 1000)}

    def encode(self, key: RowKey, row: StoredRow) -> dict[str, Any]:
        """Return the JSON representation of a row."""
        entry = {
            'table': key[0],
            'part': '',
            'key': key[1],
            'ver': row.version,
        }
        if row.removed:
            return {**entry, 'removed': True}
        return {**entry, 'value': row.value}

    def restore(self, document: Mapping[str, Any]) -> Reply:
        """Return to the state of `age_s` seconds ago, in a new era."""
        since_s = time.monotonic() - document['age_s']
        lost = [backup for backup in self.backups if backup.at_s > since_s]
        self.backups = [
            backup for backup in self.backups if backup.at_s <= since_s
        ]
        if lost:
            self.version = lost[0].version
            self.rows = lost[0].rows
            self.oldest_feed_version = min(
                self.oldest_feed_version, self.version
            )
        self.era += 1
        return 200, {'lost': len(lost)}

    def _back_up(self) -> None:
        now_s = time.monotonic()
        self.backups = [
            backup
            for backup in self.backups
            if backup.at_s >= now_s - BACKUP_AGE_S
        ]
        self.backups.append(Backup(now_s, self.version, dict(self.rows)))

    def _lookup(self, entry: Mapping[str, Any]) -> StoredRow | None:
        return self.rows.get(_row_key(entry))

    def _live_version(self, row: StoredRow | None) -> int:
        return 0 if row is None or row.removed else row.version


class Store:
    """API of the store, with rate limits and injected faults."""

    def __init__(self, rows: Rows, writes_per_s: float, reads_per_s: float):
        """Create a store.

        Args:
          rows: content of the store.
          writes_per_s: maximum rate of writing calls; 0 means no limit.
          reads_per_s: maximum rate of reading calls; 0 means no limit.
        """
        self.rows = rows
        self.writes = RateLimit(writes_per_s)
        self.reads = RateLimit(reads_per_s)
        self.faults = Faults(
            outage=0,  # status 503, not executed
            silent=0,  # calls hang until the fault is cleared
            lost_replies=0,  # connection dropped after the call was executed
            slow_s=0,  # delay before each call, in seconds
        )
        self.counts = {'writes': 0, 'reads': 0, 'feeds': 0}

    def handle(self, environ: dict[str, Any]) -> Reply:
        """Execute a call of the store's API."""
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
        entries = [*document.get('writes', ()), *document.get('remove', ())]
        if len(entries) > MAX_TRANSACTION_ROWS:
            return 413, {}
        if any(entry['table'] in PROTECTED_TABLES for entry in entries):
            return 403, {}
        return self.rows.transact(document)

    def _feed(self, query: Mapping[str, str]) -> Reply:
        after = int(query['after'])
        deadline = time.monotonic() + int(query.get('wait-ms', 0)) / 1000
        era = self.rows.era
        while True:
            if not self.rows.has_history_since(after):
                return 410, {}
            rows = self.rows.changed_rows(query['table'], after)
            if rows or time.monotonic() >= deadline:
                return 200, {**self.rows.common_fields(), 'rows': rows}
            if self.faults.value_of('outage') or self.faults.value_of('silent'):
                return DROP
            if self.rows.era != era:
                return DROP
            eventlet.sleep(FEED_POLL_S)

    def _guarded(self, kind: str, action: Callable[[], Reply]) -> Reply:
        eventlet.sleep(self.faults.value_of('slow_s'))
        while self.faults.value_of('silent'):
            eventlet.sleep(FEED_POLL_S)
        if self.faults.value_of('outage'):
            return 503, {}
        limit = self.writes if kind == 'writes' else self.reads
        if not limit.try_acquire():
            return 429, {}
        self.counts[kind] += 1
        reply = action()
        return DROP if self.faults.should_inject('lost_replies') else reply


def application(store: Store) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application; tests control it through `/admin`."""
    admin = {
        ('POST', '/admin/put'): store.rows.put,
        ('POST', '/admin/put-raw'): store.rows.transact,
        ('GET', '/admin/counts'): lambda _document: (200, dict(store.counts)),
        ('POST', '/admin/compact'): lambda _document: _compact(store.rows),
        ('POST', '/admin/restore'): store.rows.restore,
        **fault_routes(store.faults),
    }

    def handle(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        action = admin.get((environ['REQUEST_METHOD'], environ['PATH_INFO']))
        if action is None:
            reply = store.handle(environ)
            era = ('Store-Era', str(store.rows.era))
            return send_reply(environ, start, reply, (era,))
        return send_reply(environ, start, action(read_json(environ)))

    return handle


def _compact(rows: Rows) -> Reply:
    rows.version += 1
    rows.oldest_feed_version = rows.version
    return 200, {}


def _row_key(entry: Mapping[str, Any]) -> RowKey:
    return entry['table'], entry['key']


def main() -> None:
    """Run the store process."""
    values = address_flags()
    flags.DEFINE_float(
        'writes', 0, 'Maximum writes per second.', flag_values=values
    )
    flags.DEFINE_float(
        'reads', 0, 'Maximum reads per second.', flag_values=values
    )
    parse_flags(values)
    store = Store(Rows(), values.writes, values.reads)
    serve(values.host, values.port, application(store))


if __name__ == '__main__':
    main()
