"""Tests the calls and the encoding by which nodes exchange copies."""

import datetime as dt
from typing import Any

import eventlet

from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.forwarding import copies
from bronzeglade.forwarding.copies import CopySource

ROW = Row('t/a', 7, b'content')


def source() -> CopySource:
    """Return a source with a table of one row and an empty table."""
    full, empty = (
        TableMirror('t', ManualClock()),
        TableMirror('u', ManualClock()),
    )
    full.replace(Snapshot(7, {ROW.key: ROW}, dt.timedelta(seconds=3)))
    empty.replace(Snapshot(2, {}))
    return CopySource([full, empty])


def call(copy_source: CopySource, path: str, query: str) -> tuple[str, bytes]:
    """Return the status and the body of the answer to a call."""
    statuses: list[str] = []

    def start(status: str, _headers: Any) -> None:
        statuses.append(status)

    environ = {'PATH_INFO': path, 'QUERY_STRING': query}
    body = b''.join(copy_source.application(environ, start))
    return statuses[0], body


def test_only_tables_that_changed_are_sent() -> None:
    """Sending all tables at each change would saturate a slow link."""
    status, body = call(source(), '/copies', 'wait_ms=0&t=0.5&u=0.2')
    found = copies.unpack(body)
    assert status == '200 OK'
    assert found.current
    assert list(found.tables) == ['t']
    copy = found.tables['t'].snapshot
    assert copy == Snapshot(7, {ROW.key: ROW}, dt.timedelta(seconds=3))


def test_call_without_changes_ends_after_its_wait() -> None:
    """A waiting node must be able to detect a stopped watcher."""
    with eventlet.Timeout(5):
        _status, body = call(source(), '/copies', 'wait_ms=50&t=0.7&u=0.2')
    assert copies.unpack(body).tables == {}


def test_malformed_call_is_rejected() -> None:
    """A call from outside must not break the control address of a node."""
    assert call(source(), '/copies', 'wait_ms=x')[0] == '400 Bad Request'
    assert call(source(), '/other', '')[0] == '404 Not Found'


def test_packed_rows_follow_the_table() -> None:
    """A cached packed copy must not hide a later change."""
    copy_source = source()
    call(copy_source, '/copies', 't=0.1')
    copy_source.mirrors['t'].replace(Snapshot(9, {}))
    _status, body = call(copy_source, '/copies', 't=0.7')
    assert copies.unpack(body).tables['t'].snapshot.rows == {}
