"""Guards what the store's answers and lost answers are taken for."""

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

from bronzeglade.adapters.feed import HistoryGone
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

CREATE = Transaction(checks=(Check('t/a', ABSENT),), puts=(Put('t/a', b'1'),))


class StorePage(server.BaseHTTPRequestHandler):
    """The store's calls on rows in memory, with one status for faults."""

    rows: ClassVar[Rows]
    status: ClassVar[int]
    lose: ClassVar[bool]

    def do_GET(self) -> None:
        """Answer a read or a feed."""
        parsed = urlparse(self.path)
        query = {name: one[0] for name, one in parse_qs(parsed.query).items()}
        if parsed.path == '/api/rows-get':
            self.reply(*self.rows.get(query))
        elif int(query['after']) < self.rows.oldest:
            self.reply(410, {})
        else:
            found = self.rows.changed(query['table'], int(query['after']))
            self.reply(200, {**self.rows.heading(), 'rows': found})

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
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_words: object) -> None:
        """Drop a line."""


@pytest.fixture
def store() -> Iterator[PlatformStore]:
    """Return a client of an empty store."""
    StorePage.rows = Rows()
    StorePage.status = 0
    StorePage.lose = False
    http = server.ThreadingHTTPServer(('127.0.0.1', 0), StorePage)
    threading.Thread(target=http.serve_forever, daemon=True).start()
    counted: list[tuple[str, str]] = []
    yield PlatformStore(
        ('127.0.0.1', http.server_port),
        urllib3.PoolManager(retries=False),
        lambda call, end: counted.append((call, end)),
    )
    http.shutdown()
    http.server_close()


def test_conflict_names_the_current_version(store: PlatformStore) -> None:
    """The second of two writers must learn that it was late."""
    assert isinstance(store.commit(CREATE), Ok)
    assert store.commit(CREATE).err() == Conflict('t/a', 1)
    rows = store.read(['t/a', 't/b']).ok() or {}
    assert {key: row.version for key, row in rows.items()} == {'t/a': 1}


@pytest.mark.parametrize('status', [403, 429, 503])
def test_refused_call_was_surely_not_applied(
    store: PlatformStore, status: int
) -> None:
    """A writer may repeat at once what was not done."""
    StorePage.status = status
    assert isinstance(store.commit(CREATE).err(), Unavailable)


def test_lost_answer_leaves_the_outcome_open(store: PlatformStore) -> None:
    """A write whose answer is lost may have been done."""
    StorePage.lose = True
    assert isinstance(store.commit(CREATE).err(), Unknown)
    StorePage.lose = False
    assert 't/a' in (store.read(['t/a']).ok() or {})


def test_changes_and_lost_history(store: PlatformStore) -> None:
    """A feed tells writes and removals, or that it cannot."""
    store.commit(CREATE)
    store.commit(Transaction(deletes=('t/a',), puts=(Put('t/b', b'2'),)))
    outcome = store.changes('t', 0, dt.timedelta())
    assert isinstance(outcome, Ok)
    assert outcome.ok_value.removed == {'t/a'}
    assert list(outcome.ok_value.written) == ['t/b']
    StorePage.rows.oldest = 5
    assert store.changes('t', 2, dt.timedelta()) == Err(HistoryGone())


def test_whole_table_is_read_by_pages(store: PlatformStore) -> None:
    """A table above the size of one answer must not be cut."""
    for start in range(0, 1200, 100):
        keys = (f't/{number:05d}' for number in range(start, start + 100))
        store.commit(Transaction(puts=tuple(Put(key, b'') for key in keys)))
    snapshot = store.snapshot('t').ok()
    assert snapshot is not None
    assert len(snapshot.rows) == 1200
    assert len(store.scan('t/000', 500).ok() or []) == 100
