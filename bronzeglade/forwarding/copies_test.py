"""Guards the form in which nodes give each other copies."""

import datetime as dt
from typing import Any

import eventlet

from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock
from bronzeglade.coordination.mirror import Mirror
from bronzeglade.forwarding import copies
from bronzeglade.forwarding.copies import CopySource

ROW = Row('t/a', 7, b'content')


def source() -> CopySource:
    """Return the source of a table with one row, and an empty table."""
    full, empty = Mirror('t', ManualClock()), Mirror('u', ManualClock())
    full.replace(Snapshot(7, {ROW.key: ROW}, dt.timedelta(seconds=3)))
    empty.replace(Snapshot(2, {}))
    return CopySource([full, empty])


def ask(offered: CopySource, path: str, query: str) -> tuple[str, bytes]:
    """Return the status and the body of an answer."""
    statuses: list[str] = []

    def start(status: str, _headers: Any) -> None:
        statuses.append(status)

    environ = {'PATH_INFO': path, 'QUERY_STRING': query}
    body = b''.join(offered.application(environ, start))
    return statuses[0], body


def test_only_tables_that_changed_are_sent() -> None:
    """Copies of all tables at each change would fill a slow link."""
    status, body = ask(source(), '/copies', 'wait_ms=0&t=5&u=2')
    found = copies.unpack(body)
    assert status == '200 OK'
    assert found.current
    assert list(found.tables) == ['t']
    copy = found.tables['t'].snapshot
    assert copy == Snapshot(7, {ROW.key: ROW}, dt.timedelta(seconds=3))


def test_call_without_news_ends_after_its_wait() -> None:
    """A node that waits must notice a watcher that is gone."""
    with eventlet.Timeout(5):
        _status, body = ask(source(), '/copies', 'wait_ms=50&t=7&u=2')
    assert copies.unpack(body).tables == {}


def test_unreadable_call_is_refused() -> None:
    """A stranger's call must not end the page of a node."""
    assert ask(source(), '/copies', 'wait_ms=x')[0] == '400 Bad Request'
    assert ask(source(), '/other', '')[0] == '404 Not Found'


def test_packed_rows_follow_the_table() -> None:
    """A kept packed copy must not hide a later change."""
    offered = source()
    ask(offered, '/copies', 't=1')
    offered.mirrors['t'].replace(Snapshot(9, {}))
    _status, body = ask(offered, '/copies', 't=7')
    assert copies.unpack(body).tables['t'].snapshot.rows == {}
