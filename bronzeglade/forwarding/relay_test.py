"""Tests relayed changes, also when watchers fail or lose the store."""

import dataclasses
import datetime as dt
import random
from collections.abc import Mapping

import eventlet
import pytest
from result import Err, Ok, Result

from bronzeglade.adapters.feed import (
    Changes,
    HistoryTruncated,
    Position,
    Snapshot,
)
from bronzeglade.adapters.table import Row, StoreError
from bronzeglade.clock import BootClock
from bronzeglade.coordination.table_mirror import (
    PEER_CONTACT_TIME,
    TableMirror,
)
from bronzeglade.forwarding import builders, copies, relay
from bronzeglade.forwarding.copies import CopySource, TableCopies
from bronzeglade.forwarding.follower import Follower, FollowerContext
from bronzeglade.forwarding.relay import Relay
from bronzeglade.forwarding.settings import Address

KEY = 't/a'
OTHER_KEY = 't/b'
OTHER_ROW = Row(OTHER_KEY, 8, b'x')
STORE_LOST_S = copies.STORE_LOST_AFTER.total_seconds() + 0.01


class OtherNode:
    """A node that serves its copy of one table."""

    def __init__(self, as_of: int) -> None:
        """Start with a copy with one row."""
        self.mirror = TableMirror('t', BootClock())
        self.source = CopySource([self.mirror])
        self.calls = 0
        self.put(as_of)
        self.killed = False

    def put(self, version: int) -> None:
        """Replace the row by a new version."""
        row = Row(KEY, version, b'x')
        self.mirror.replace(Snapshot(version, {KEY: row}))
        self.source.notify()

    def mirror_snapshot(self) -> Snapshot:
        """Return its copy as a snapshot."""
        return Snapshot(self.mirror.as_of, dict(self.mirror.rows))

    def lose_store(self) -> None:
        """Lose the store, and wait until it is reported as lost."""
        self.mirror.record_failure()
        eventlet.sleep(STORE_LOST_S)
        self.source.notify()

    def answer(
        self, known: Mapping[str, Position], wait: dt.timedelta
    ) -> Result[TableCopies, str]:
        """Answer a call from another node."""
        self.calls += 1
        if self.killed:
            return Err('connection refused')
        return Ok(copies.unpack(self.source.answer(known, wait)))


class SilentStore:
    """A store that counts calls for changes and never answers them."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls = 0

    def snapshot(self, table: str) -> Result[Snapshot, StoreError]:
        """Return an empty table."""
        return Ok(Snapshot(1, {}))

    def changes(
        self, table: str, after: int, wait: dt.timedelta
    ) -> Result[Changes, StoreError | HistoryTruncated]:
        """Block for longer than a test runs."""
        self.calls += 1
        eventlet.sleep(60)
        return Err(StoreError('the test is over'))


@dataclasses.dataclass(frozen=True, slots=True)
class Nearby:
    """A directory whose nodes are all watchers and peers."""

    addresses: list[Address]

    def watchers(self) -> list[Address]:
        """Return the watchers that the node polls for changes."""
        return self.addresses

    def peers(self) -> list[Address]:
        """Return all known other nodes."""
        return self.addresses


class Node:
    """A node that follows a table through other nodes."""

    def __init__(self, *watchers: OtherNode) -> None:
        """Start with the table at version 1."""
        self.store = SilentStore()
        self.mirror = TableMirror('t', BootClock())
        self.seen: list[int] = []
        context = FollowerContext(
            self.store, builders.log(), random.Random(1), lambda: 1
        )
        self.follower = Follower(
            context, self.mirror, lambda: self.seen.append(self.mirror.as_of)
        )
        self.follower.follow_next()
        others = {
            (str(index), 1): watcher for index, watcher in enumerate(watchers)
        }
        self.relay = Relay(
            [self.follower],
            lambda address, known, wait: others[address].answer(known, wait),
            Nearby(list(others)),
            self.mirror.clock,
            builders.log(),
            random.Random(1),
        )


@pytest.fixture(autouse=True)
def _time_limit():  # type: ignore[no-untyped-def]
    with eventlet.Timeout(20):
        yield


def test_change_comes_from_a_watcher_without_a_call_of_the_store() -> None:
    """Calls to the store must not grow with the number of nodes."""
    watcher = OtherNode(as_of=5)
    node = Node(watcher)
    node.relay.follow_next()
    waiting = eventlet.spawn(node.relay.follow_next)
    eventlet.sleep(0.05)
    watcher.put(9)
    waiting.wait()
    assert node.seen == [1, 5, 9]
    assert node.relay.relayed
    assert node.store.calls == 0


def test_stale_watcher_delays_a_change_by_one_call() -> None:
    """A watcher may not have noticed yet that it has lost the store."""
    stale, current = OtherNode(as_of=5), OtherNode(as_of=9)
    node = Node(stale, current)
    began = node.mirror.clock.monotonic()
    node.relay.follow_next()
    node.relay.follow_next()
    elapsed = node.mirror.clock.monotonic() - began
    assert node.mirror.as_of == 9
    assert elapsed < relay.WATCH_WAIT * 2


def test_older_copy_of_a_watcher_is_not_applied() -> None:
    """A watcher that lags behind must not restore a revoked key."""
    ahead, behind = OtherNode(as_of=9), OtherNode(as_of=5)
    node = Node(ahead, behind)
    for _ in range(4):
        node.relay.follow_next()
    assert node.seen == [1, 9]


def test_node_follows_the_store_when_its_watcher_has_lost_it() -> None:
    """A store that rejects one node may still serve the others."""
    watcher = OtherNode(as_of=5)
    node = Node(watcher)
    node.relay.follow_next()
    steps: list[str] = []
    held = eventlet.spawn(
        node.relay.pause_while_relayed(lambda: steps.append('store'))
    )
    waiting = eventlet.spawn(node.relay.follow_next)
    eventlet.sleep(0.05)
    watcher.lose_store()
    waiting.wait()
    assert not steps
    node.relay.follow_next()
    held.wait()
    assert not node.relay.relayed


def test_another_watcher_is_polled_when_one_has_lost_the_store() -> None:
    """The failure of a single watcher must not make a node call the store."""
    disconnected, connected = OtherNode(as_of=5), OtherNode(as_of=5)
    node = Node(disconnected, connected)
    node.relay.follow_next()
    disconnected.lose_store()
    connected.put(9)
    for _ in range(3):
        node.relay.follow_next()
    assert node.mirror.as_of == 9
    assert node.relay.relayed


def test_broken_connection_of_a_watcher_is_no_lost_store() -> None:
    """A watcher whose call was interrupted gets its answer moments later."""
    watcher = OtherNode(as_of=5)
    node = Node(watcher)
    watcher.mirror.record_failure()
    node.relay.follow_next()
    assert node.relay.relayed


def test_node_follows_the_store_when_its_watcher_is_killed() -> None:
    """A killed watcher must not leave its nodes without changes."""
    watcher = OtherNode(as_of=5)
    node = Node(watcher)
    node.relay.follow_next()
    watcher.killed = True
    node.relay.follow_next()
    assert not node.relay.relayed
    calls = watcher.calls
    node.relay.follow_next()
    assert watcher.calls == calls


def test_lapsed_rows_of_a_watcher_are_removed_after_settling() -> None:
    """A removed endpoint must not stay in a relayed copy."""
    watcher = OtherNode(as_of=5)
    watcher.mirror.record_failure()
    watcher.mirror.apply(Changes(7, {}, frozenset((KEY,))))
    watcher.mirror.record_success()
    node = Node(watcher)
    node.relay.follow_next()
    assert list(node.mirror.current()) == [KEY]
    assert not node.mirror.rows
    settling = node.mirror.settling_remaining().total_seconds()
    eventlet.sleep(settling + 0.05)
    assert not node.mirror.current()
    assert node.seen == [1, 7, 7]


def test_removed_row_is_not_restored_by_a_watcher() -> None:
    """A watcher back from an outage may keep a removed row as lapsed.

    The row would send requests to an endpoint that is known to have left.
    """
    connected, disconnected = OtherNode(as_of=5), OtherNode(as_of=5)
    node = Node(connected, disconnected)
    node.relay.follow_next()
    disconnected.mirror.record_failure()
    connected.mirror.apply(Changes(7, {}, frozenset((KEY,))))
    connected.source.notify()
    node.relay.watcher_index = -1
    node.relay.follow_next()
    assert not node.mirror.current()
    disconnected.mirror.apply(
        Changes(8, {OTHER_KEY: OTHER_ROW}, frozenset((KEY,)))
    )
    disconnected.mirror.record_success()
    disconnected.source.notify()
    assert list(disconnected.mirror.current()) == [KEY, OTHER_KEY]
    node.relay.follow_next()
    assert node.mirror.as_of == 8
    assert list(node.mirror.current()) == [OTHER_KEY]


def test_node_that_lost_the_store_applies_the_copy_of_a_peer() -> None:
    """A node that the store rejects must still receive revoked keys."""
    peer = OtherNode(as_of=9)
    node = Node(peer)
    node.relay.fetch_from_peer()
    assert node.seen == [1]
    node.mirror.record_failure()
    node.relay.fetch_from_peer()
    node.relay.fetch_from_peer()
    assert node.seen == [1, 9]


def node_that_lost_the_store() -> tuple[Node, OtherNode]:
    """Return a node that the store refuses, and one with a row at version 5."""
    peer = OtherNode(as_of=5)
    node = Node(peer)
    node.mirror.record_failure()
    return node, peer


# A node that the store had refused took a removed row for a lapsed one, and
# sent requests to an endpoint that had left for 2.5 s more.
def test_row_removed_while_only_this_node_was_refused_is_gone() -> None:
    """The store served the others, so its owner could renew it."""
    node, peer = node_that_lost_the_store()
    node.relay.fetch_from_peer()
    assert list(node.mirror.current()) == [KEY]
    node.mirror.apply(Changes(7, {}, frozenset((KEY,))))
    node.mirror.record_success()
    assert not node.mirror.current()


@pytest.mark.parametrize('seen', [True, False])
def test_row_removed_while_all_had_lost_the_store_is_kept(seen: bool) -> None:
    """Its owner may have had no way to renew it."""
    node, peer = node_that_lost_the_store()
    if seen:
        node.relay.fetch_from_peer()
        eventlet.sleep(PEER_CONTACT_TIME.total_seconds() + 0.05)
    else:
        node.mirror.replace(peer.mirror_snapshot())
    peer.lose_store()
    node.relay.fetch_from_peer()
    node.mirror.apply(Changes(7, {}, frozenset((KEY,))))
    node.mirror.record_success()
    assert list(node.mirror.current()) == [KEY]
