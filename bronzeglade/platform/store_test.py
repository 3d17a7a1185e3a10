"""Tests of how answers and lost answers of the store are interpreted."""

import datetime as dt
import json
import threading
from collections.abc import Iterator
from http import server
from typing import ClassVar
from urllib.parse import parse_qs, urlparse

import pytest
import urllib3
from result import Err, Ok

from bronzeglade.adapters.feed import HistoryTruncated
from bronzeglade.adapters.table import (
    ABSENT,
    Check,
    Conflict,
    Put,
    Transaction,
    Unavailable,
    Unknown,
)
from bronzeglade.platform.store import PlatformStore
from standins.rows import Rows

LOOPBACK = '127.0.0.1'
CREATE = Transaction(checks=(Check('t/a', ABSENT),), puts=(Put('t/a', b'1'),))


class StoreHandler(server.BaseHTTPRequestHandler):
    """The store's HTTP interface to rows in memory, with injected faults.

    A `status` other than 0 is the answer to every transaction; `lose` applies
    transactions without an answer; `era` is named in all answers.
    """

    rows: ClassVar[Rows]
    status: ClassVar[int]
    lose: ClassVar[bool]
    era: ClassVar[str | None]

    def do_GET(self) -> None:
        """Answer a read or a feed."""
        parsed = urlparse(self.path)
        query = {
            name: items[0] for name, items in parse_qs(parsed.query).items()
        }
        if parsed.path == '/api/rows-get':
            self.reply(*self.rows.get(query))
        elif int(query['after']) < self.rows.oldest_feed_version:
            self.reply(410, {})
        else:
            changed_rows = self.rows.changed_rows(
                query['table'], int(query['after'])
            )
            self.reply(200, {**self.rows.common_fields(), 'rows': changed_rows})

    def do_POST(self) -> None:
        """Apply a transaction."""
        length = int(self.headers['Content-Length'])
        document = json.loads(self.rfile.read(length))
        if self.status:
            self.reply(self.status, {})
            return
        status, answer = self.rows.transact(document)
        if self.lose:
            self.close_connection = True
            return
        self.reply(status, answer)

    def reply(self, status: int, document: object) -> None:
        """Send an answer."""
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        if self.era is not None:
            self.send_header('Store-Era', self.era)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_arguments: object) -> None:
        """Discard the line of the request log."""


@pytest.fixture
def store() -> Iterator[PlatformStore]:
    """Return a client of an empty store."""
    StoreHandler.rows = Rows()
    StoreHandler.status = 0
    StoreHandler.lose = False
    StoreHandler.era = None
    http = server.ThreadingHTTPServer((LOOPBACK, 0), StoreHandler)
    threading.Thread(target=http.serve_forever, daemon=True).start()
    counted: list[tuple[str, str]] = []
    yield PlatformStore(
        (LOOPBACK, http.server_port),
        urllib3.PoolManager(retries=False),
        lambda kind, outcome: counted.append((kind, outcome)),
    )
    http.shutdown()
    http.server_close()


def test_conflict_names_the_current_version(store: PlatformStore) -> None:
    """The later of two writers gets the version that the first one wrote."""
    assert isinstance(store.commit(CREATE), Ok)
    assert store.commit(CREATE).err() == Conflict('t/a', 1)
    rows = store.read(['t/a', 't/b']).ok() or {}
    assert {key: row.version for key, row in rows.items()} == {'t/a': 1}


@pytest.mark.parametrize('status', [403, 429, 503])
def test_refused_transaction_is_not_applied(
    store: PlatformStore, status: int
) -> None:
    """A refused transaction is safe to repeat, so it is `Unavailable`."""
    StoreHandler.status = status
    assert isinstance(store.commit(CREATE).err(), Unavailable)


def test_lost_answer_leaves_the_outcome_open(store: PlatformStore) -> None:
    """A transaction whose answer is lost may have been applied."""
    StoreHandler.lose = True
    assert isinstance(store.commit(CREATE).err(), Unknown)
    StoreHandler.lose = False
    assert 't/a' in (store.read(['t/a']).ok() or {})


def test_changes_and_lost_history(store: PlatformStore) -> None:
    """The feed has writes and removals, or reports that history is gone."""
    store.commit(CREATE)
    store.commit(Transaction(deletes=('t/a',), puts=(Put('t/b', b'2'),)))
    outcome = store.changes('t', 0, dt.timedelta())
    assert isinstance(outcome, Ok)
    assert outcome.ok_value.removed == {'t/a'}
    assert list(outcome.ok_value.written) == ['t/b']
    StoreHandler.rows.oldest_feed_version = 5
    assert store.changes('t', 2, dt.timedelta()) == Err(HistoryTruncated())


def test_whole_table_is_read_by_pages(store: PlatformStore) -> None:
    """A table with more rows than one page must be read completely."""
    for start in range(0, 1200, 100):
        keys = (f't/{number:05d}' for number in range(start, start + 100))
        store.commit(Transaction(puts=tuple(Put(key, b'') for key in keys)))
    snapshot = store.snapshot('t').ok()
    assert snapshot is not None
    assert len(snapshot.rows) == 1200
    assert len(store.scan('t/000', 500).ok() or []) == 100


def test_answers_name_the_era(store: PlatformStore) -> None:
    """Versions of different eras cannot be compared."""
    StoreHandler.era = '3'
    assert store.snapshot('t').unwrap().position == (3, 0)
    assert store.changes('t', 0, dt.timedelta()).unwrap().position == (3, 0)
    StoreHandler.rows.oldest_feed_version = 5
    StoreHandler.era = '4'
    assert store.changes('t', 2, dt.timedelta()) == Err(HistoryTruncated())
    assert store.era == 4


def test_store_without_eras(store: PlatformStore) -> None:
    """A store that is never restored need not name an era."""
    assert store.snapshot('t').unwrap().position == (0, 0)


@pytest.mark.parametrize(
    'era', [None, '2', '-4', '3.0', 'x', '', '9' * 5000, str(2**40)]
)
def test_answer_without_a_later_era_is_not_used(
    store: PlatformStore, era: str | None
) -> None:
    """It may be late, from before the store was restored."""
    StoreHandler.era = '3'
    assert store.snapshot('t').is_ok()
    StoreHandler.era = era
    reason = store.snapshot('t').unwrap_err()
    assert len(reason.detail) < 200
    assert store.changes('t', 0, dt.timedelta()).is_err()
    StoreHandler.era = '3'
    assert store.snapshot('t').is_ok()


def test_pages_of_two_eras_are_no_snapshot(
    store: PlatformStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A table would have rows of both."""
    for start in range(0, 600, 100):
        keys = (f't/{number:05d}' for number in range(start, start + 100))
        store.commit(Transaction(puts=tuple(Put(key, b'') for key in keys)))
    StoreHandler.era = '1'
    read_page = StoreHandler.rows.get

    def read_and_restore(query: dict[str, str]) -> tuple[int, object]:
        answer = read_page(query)
        StoreHandler.era = '2' if 'from' in query else '1'
        return answer

    monkeypatch.setattr(StoreHandler.rows, 'get', read_and_restore)
    assert 'restored' in store.snapshot('t').unwrap_err().detail


def test_store_at_another_address(store: PlatformStore) -> None:
    """All further calls go to the new address."""
    store.commit(CREATE)
    address = urlparse(store.url)
    store.move((LOOPBACK, 1))
    assert store.snapshot('t').is_err()
    store.move((LOOPBACK, address.port or 0))
    assert list(store.snapshot('t').unwrap().rows) == ['t/a']
