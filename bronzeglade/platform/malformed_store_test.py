"""Guards that no answer of the store stops a node from following it."""

import datetime as dt
import io
import json
from collections.abc import Callable
from typing import Any

import eventlet
import msgpack
import pytest
import urllib3
from hypothesis import given
from result import Err, Ok, Result

from bronzeglade import malformed
from bronzeglade.adapters.table import Check, Put, Row, Transaction
from bronzeglade.builders import ManualClock
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.forwarding.copies import CopySource
from bronzeglade.platform.store import PlatformStore

GOOD = {'table': 't', 'part': '', 'key': 'good', 'ver': 2, 'value': 'aGk='}
ODD = {'table': 't', 'part': '', 'key': 'odd', 'ver': 3, 'value': 'aGk='}
ANSWER: dict[str, Any] = {
    'rows': [ODD, GOOD],
    'ver': 5,
    'now-ms': 55,
    'has-more': False,
}
CHECKED = Transaction((Check('t/good', 1),), (Put('t/good', b''),))
UNCHECKED = Transaction(puts=(Put('t/good', b''),))


class Pool:
    """Answers each call with the same status and body."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        """Create a pool with its answer."""
        self.body = body
        self.status = status

    def request(self, *_arguments: Any, **_options: Any) -> Any:
        """Return an answer."""
        return urllib3.HTTPResponse(
            io.BytesIO(self.body), status=self.status, preload_content=False
        )


def store(body: bytes, status: int = 200) -> PlatformStore:
    """Return a client of a store with one answer to all calls."""
    pool: Any = Pool(body, status)
    return PlatformStore(('10.0.0.1', 1), pool, lambda *_call: None)


def use_changes(client: PlatformStore) -> Result[Any, Any]:
    """Follow a table, and pass the copy on to other nodes."""
    outcome = client.changes('t', 0, dt.timedelta())
    if isinstance(outcome, Ok):
        mirror = TableMirror('t', ManualClock())
        mirror.loaded = True
        mirror.apply(outcome.ok_value)
        source = CopySource([mirror])
        assert msgpack.unpackb(source.answer({}, dt.timedelta()))
        assert mirror.store_time() < dt.timedelta.max / 2
    return outcome


def use_snapshot(client: PlatformStore) -> Result[Any, Any]:
    """Read a table, and pass the copy on to other nodes."""
    outcome = client.snapshot('t')
    if isinstance(outcome, Ok):
        mirror = TableMirror('t', ManualClock())
        mirror.replace(outcome.ok_value)
        source = CopySource([mirror])
        assert msgpack.unpackb(source.answer({}, dt.timedelta()))
    return outcome


CALLS: dict[str, Callable[[PlatformStore], Result[Any, Any]]] = {
    'changes': use_changes,
    'snapshot': use_snapshot,
    'scan': lambda client: client.scan('t/', 9),
    'read': lambda client: client.read(['t/good']),
    'checked commit': lambda client: client.commit(CHECKED),
    'unchecked commit': lambda client: client.commit(UNCHECKED),
}


@pytest.mark.parametrize('status', [200, 412])
@pytest.mark.parametrize('call', CALLS)
def test_answer_with_one_malformed_value(call: str, status: int) -> None:
    """A row without a key ended the call, at each attempt to follow."""
    for body in malformed.json_variants(ANSWER):
        outcome = CALLS[call](store(body, status))
        assert outcome.is_ok() or len(str(outcome.err())) < 400


@given(malformed.json_like(ANSWER))
def test_answer_with_generated_values(body: bytes) -> None:
    """No combination of values may end a call in an exception."""
    for use in CALLS.values():
        use(store(body))
        use(store(body, 412))


def rows_of(entry: object) -> dict[str, Row]:
    """Return the rows of an answer with this entry before a good one."""
    body = json.dumps({**ANSWER, 'rows': [entry, GOOD]}).encode()
    outcome = store(body).changes('t', 0, dt.timedelta())
    return dict(outcome.unwrap().written)


@pytest.mark.parametrize(
    'entry',
    [
        None,
        [],
        {},
        {**ODD, 'key': None},
        {**ODD, 'key': '\ud800'},
        {**ODD, 'table': 7},
        {**ODD, 'ver': -1},
        {**ODD, 'ver': 2**64},
        {**ODD, 'ver': 'x'},
        {**ODD, 'value': 7},
        {**ODD, 'value': '!'},
    ],
)
def test_odd_row_before_a_good_one(entry: object) -> None:
    """One row that cannot be read must not hide the others."""
    assert rows_of(entry)['t/good'].body == b'hi'
    assert rows_of(entry).get('t/odd', Row('', 0, b'')).body in {b'', b'hi'}


def test_row_of_another_partition() -> None:
    """Such a row replaced, or removed, the row of the same name."""
    other = {**GOOD, 'part': 'x', 'value': 'bm8=', 'ver': 9}
    for entry in (other, {**other, 'removed': True}):
        body = json.dumps({**ANSWER, 'rows': [GOOD, entry]}).encode()
        changes = store(body).changes('t', 0, dt.timedelta()).unwrap()
        assert changes.written['t/good'].body == b'hi'
        assert not changes.removed


def test_conflict_of_a_malformed_answer_is_an_error() -> None:
    """A commit must not count as applied."""
    for body in (b'', b'[]', b'{"rows": 1}', b'{"rows": [1]}'):
        assert isinstance(store(body, 412).commit(CHECKED), Err)
        assert isinstance(store(body, 412).commit(UNCHECKED), Err)


def test_pages_that_repeat() -> None:
    """A table whose pages never end kept a node from its other work."""
    body = json.dumps({**ANSWER, 'has-more': True}).encode()
    with eventlet.Timeout(20):
        assert store(body).snapshot('t').is_err()


def test_time_with_a_fraction() -> None:
    """The bounds admit any time of the store's clock."""
    body = json.dumps({**ANSWER, 'now-ms': 55.5}).encode()
    changes = store(body).changes('t', 0, dt.timedelta()).unwrap()
    assert changes.now == dt.timedelta(milliseconds=55.5)
