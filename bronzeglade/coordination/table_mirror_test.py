"""Tests for the order of versions in a table copy and for lapsed rows."""

import dataclasses
import datetime as dt

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzeglade.adapters.feed import Changes, Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock
from bronzeglade.coordination.table_mirror import (
    MAX_REMOVED_KEYS,
    RESTORING_TIME,
    SETTLING_TIME,
    TableMirror,
)


def snapshot(as_of: int, *keys: str) -> Snapshot:
    """Return a snapshot whose rows have its version."""
    return Snapshot(as_of, {key: Row(key, as_of, b'') for key in keys})


def test_older_copy_of_a_peer_is_ignored() -> None:
    """A peer with an older copy must not restore a revoked key."""
    mirror = TableMirror('t', ManualClock())
    mirror.replace(snapshot(7, 't/new'))
    assert not mirror.replace(snapshot(5, 't/old'))
    assert list(mirror.rows) == ['t/new']


# Guards against a node that reads the empty store and then skips its first
# transaction, such as the first configuration.
def test_first_transaction_of_the_store_is_not_skipped() -> None:
    """Changes are asked for after version 0 when the store was empty."""
    mirror = TableMirror('t', ManualClock())
    assert not mirror.loaded
    assert mirror.replace(snapshot(0))
    assert mirror.loaded
    assert mirror.as_of == 0


def test_removed_row_is_deleted() -> None:
    """A removed row must not stay in the copy."""
    mirror = TableMirror('t', ManualClock())
    mirror.replace(snapshot(7, 't/a', 't/b'))
    assert mirror.apply(Changes(8, {}, frozenset(('t/a',))))
    assert list(mirror.rows) == ['t/b']


def test_table_settles_after_the_store_is_back() -> None:
    """Owners of lapsed rows must have time to write them again."""
    clock = ManualClock()
    mirror = TableMirror('t', clock)
    mirror.replace(snapshot(7))
    assert mirror.is_settled()
    assert mirror.record_failure()
    assert not mirror.record_failure()
    assert not mirror.is_settled()
    assert mirror.record_success()
    assert not mirror.is_settled()
    clock.advance(SETTLING_TIME + dt.timedelta(milliseconds=1))
    assert mirror.is_settled()


def test_only_rows_removed_during_an_outage_are_lapsed() -> None:
    """A row that is removed after the outage must be deleted at once."""
    clock = ManualClock()
    mirror = TableMirror('t', clock)
    mirror.replace(snapshot(7, 't/lapsed', 't/left', 't/stays'))
    mirror.record_failure()
    mirror.apply(Changes(9, {}, frozenset(('t/lapsed',))))
    mirror.record_success()
    mirror.apply(Changes(10, {}, frozenset(('t/left',))))
    assert set(mirror.current()) == {'t/lapsed', 't/stays'}
    clock.advance(SETTLING_TIME)
    assert set(mirror.current()) == {'t/stays'}


def test_copy_of_a_peer_deletes_rows() -> None:
    """A node without access to the store must apply removals of its peers."""
    mirror = TableMirror('t', ManualClock())
    mirror.replace(snapshot(7, 't/a', 't/b'))
    mirror.record_failure()
    mirror.replace(snapshot(8, 't/a'), lapsed=())
    assert set(mirror.current()) == {'t/a'}


KEPT = {'t/a': Row('t/a', 7, b'')}


@pytest.mark.parametrize(
    'removed_by', ['change', 'whole table', 'copy', 'settled']
)
def test_removed_row_is_not_restored_as_lapsed(removed_by: str) -> None:
    """Requests must not reach an endpoint that is known to have left.

    A peer that was disconnected still has the removed row as lapsed.
    """
    clock = ManualClock()
    mirror = TableMirror('t', clock)
    mirror.replace(snapshot(7, 't/a', 't/b'))
    if removed_by == 'change':
        mirror.apply(Changes(8, {}, frozenset(('t/a',))))
    elif removed_by == 'settled':
        mirror.replace(snapshot(8, 't/b'), lapsed=('t/a',))
        mirror.take_lapsed(KEPT, SETTLING_TIME)
        assert set(mirror.current()) == {'t/a', 't/b'}
        clock.advance(SETTLING_TIME)
        assert set(mirror.current()) == {'t/b'}
    else:
        lapsed = None if removed_by == 'whole table' else ()
        mirror.replace(snapshot(8, 't/b'), lapsed=lapsed)
    mirror.take_lapsed(KEPT, SETTLING_TIME)
    assert set(mirror.current()) == {'t/b'}


def test_rewritten_row_can_lapse_again() -> None:
    """An endpoint that came back must not be dropped at the next outage."""
    mirror = TableMirror('t', ManualClock())
    mirror.replace(snapshot(7, 't/a'))
    mirror.apply(Changes(8, {}, frozenset(('t/a',))))
    mirror.apply(Changes(9, {'t/a': Row('t/a', 9, b'')}))
    mirror.replace(snapshot(10), lapsed=('t/a',))
    mirror.take_lapsed(KEPT, SETTLING_TIME)
    assert set(mirror.current()) == {'t/a'}


def test_number_of_removed_keys_is_bounded() -> None:
    """A table whose keys are never reused must not fill the memory."""
    mirror = TableMirror('t', ManualClock())
    for number in range(1, MAX_REMOVED_KEYS + 50):
        mirror.replace(snapshot(number, f't/{number}'))
    assert len(mirror.removed_keys) == MAX_REMOVED_KEYS


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 20))))
def test_version_never_falls(steps: list[tuple[bool, int]]) -> None:
    """No order of snapshots and changes may lower the version of a copy."""
    mirror = TableMirror('t', ManualClock())
    newest = 0
    for is_snapshot, as_of in steps:
        if is_snapshot:
            mirror.replace(snapshot(as_of, f't/{as_of}'))
        else:
            mirror.apply(Changes(as_of, {}))
        assert mirror.as_of >= newest
        newest = mirror.as_of


def restored(as_of: int, *keys: str) -> Snapshot:
    """Return a snapshot of the next era."""
    return dataclasses.replace(snapshot(as_of, *keys), era=1)


def test_state_of_a_later_era_is_newer() -> None:
    """The versions of a restored store are lower than those of the copy."""
    mirror = TableMirror('t', ManualClock())
    mirror.replace(snapshot(9, 't/old'))
    assert mirror.replace(restored(4, 't/new'))
    assert mirror.position == (1, 4)
    assert not mirror.replace(snapshot(12, 't/late'))
    assert not mirror.apply(Changes(12, {'t/late': Row('t/late', 12, b'')}))
    assert list(mirror.rows) == ['t/new']


def test_changes_of_a_later_era_need_a_snapshot() -> None:
    """Rows that the store has lost are not among the changes."""
    mirror = TableMirror('t', ManualClock())
    mirror.replace(snapshot(9, 't/old'))
    row = Row('t/new', 12, b'')
    assert not mirror.apply(Changes(12, {row.key: row}, era=1))
    assert mirror.position == (0, 9)


def test_rows_that_a_restored_store_lacks_are_lapsed() -> None:
    """Their owners write them again; meanwhile they are in force."""
    clock = ManualClock()
    mirror = TableMirror('t', clock)
    mirror.replace(snapshot(9, 't/lost', 't/kept'))
    mirror.replace(restored(4, 't/kept'))
    assert set(mirror.current()) == {'t/lost', 't/kept'}
    clock.advance(SETTLING_TIME)
    assert set(mirror.current()) == {'t/kept'}


# Guards against endpoints that had left, and orders that were taken back.
@pytest.mark.parametrize('end', ['written', 'removed', 'time'])
def test_removed_rows_of_a_restored_store_do_not_count(end: str) -> None:
    """They count once they are written again, or were not removed again."""
    clock = ManualClock()
    mirror = TableMirror('t', clock)
    mirror.replace(snapshot(7, 't/gone', 't/kept'))
    mirror.apply(Changes(8, {}, frozenset(('t/gone',))))
    mirror.replace(restored(7, 't/gone', 't/kept'))
    assert set(mirror.current()) == {'t/kept'}
    if end == 'written':
        row = Row('t/gone', 9, b'')
        mirror.apply(Changes(9, {row.key: row}, era=1))
    elif end == 'removed':
        mirror.apply(Changes(9, {}, frozenset(('t/gone',)), era=1))
    clock.advance(RESTORING_TIME)
    mirror.settle()
    gone = set() if end == 'removed' else {'t/gone'}
    assert set(mirror.current()) == {'t/kept'} | gone
