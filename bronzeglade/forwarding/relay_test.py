"""Guards that nodes hear of changes through others, also when those fail."""

import dataclasses
import datetime as dt
import random
from collections.abc import Mapping

import eventlet
import pytest
from result import Err, Ok, Result

from bronzeglade.adapters.feed import Changes, HistoryGone, Snapshot
from bronzeglade.adapters.table import Row, StoreError
from bronzeglade.clock import BootClock
from bronzeglade.coordination.mirror import Mirror
from bronzeglade.forwarding import builders, copies, relay
from bronzeglade.forwarding.copies import Copies, CopySource
from bronzeglade.forwarding.follower import Follower, FollowerContext
from bronzeglade.forwarding.relay import Relay
from bronzeglade.forwarding.settings import Address

KEY = 't/a'
OTHER_KEY = 't/b'
OTHER_ROW = Row(OTHER_KEY, 8, b'x')
LOST_S = copies.LOST_AFTER.total_seconds() + 0.01


class OtherNode:
    """A node that gives its copy of one table."""

    def __init__(self, as_of: int) -> None:
        """Serve a copy with one row."""
        self.mirror = Mirror('t', BootClock())
        self.source = CopySource([self.mirror])
        self.calls = 0
        self.put(as_of)
        self.gone = False

    def put(self, version: int) -> None:
        """Write the row."""
        row = Row(KEY, version, b'x')
        self.mirror.replace(Snapshot(version, {KEY: row}))
        self.source.notify()

    def lose_store(self) -> None:
        """Get no answer of the store."""
        self.mirror.record_failure()
        eventlet.sleep(LOST_S)
        self.source.notify()

    def answer(
        self, known: Mapping[str, int], wait: dt.timedelta
    ) -> Result[Copies, str]:
        """Answer a call of another node."""
        self.calls += 1
        if self.gone:
            return Err('connection refused')
        return Ok(copies.unpack(self.source.answer(known, wait)))


class SilentStore:
    """A store that counts calls and answers none."""

    def __init__(self) -> None:
        """Create a store that was not called yet."""
        self.calls = 0

    def snapshot(self, table: str) -> Result[Snapshot, StoreError]:
        """Read a whole table."""
        return Ok(Snapshot(1, {}))

    def changes(
        self, table: str, after: int, wait: dt.timedelta
    ) -> Result[Changes, StoreError | HistoryGone]:
        """Wait for changes."""
        self.calls += 1
        eventlet.sleep(60)
        return Err(StoreError('the test is over'))


@dataclasses.dataclass(frozen=True, slots=True)
class Nearby:
    """Other nodes, each of which may be asked for changes and for help."""

    addresses: list[Address]

    def watchers(self) -> list[Address]:
        """Return whom the node asks for changes."""
        return self.addresses

    def peers(self) -> list[Address]:
        """Return any other nodes."""
        return self.addresses


class Node:
    """A node that follows a table through others."""

    def __init__(self, *watchers: OtherNode) -> None:
        """Know the table as of its first version."""
        self.store = SilentStore()
        self.mirror = Mirror('t', BootClock())
        self.seen: list[int] = []
        context = FollowerContext(
            self.store, builders.log(), random.Random(1), lambda: 1
        )
        self.follower = Follower(
            context, self.mirror, lambda: self.seen.append(self.mirror.as_of)
        )
        self.follower.follow_next()
        others = {(str(place), 1): one for place, one in enumerate(watchers)}
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
    """The calls of the store must not grow with the number of nodes."""
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


def test_watcher_that_hears_nothing_delays_a_change_by_one_call() -> None:
    """A watcher that is cut off from the store may not know it yet."""
    stale, current = OtherNode(as_of=5), OtherNode(as_of=9)
    node = Node(stale, current)
    began = node.mirror.clock.monotonic()
    node.relay.follow_next()
    node.relay.follow_next()
    lasted = node.mirror.clock.monotonic() - began
    assert node.mirror.as_of == 9
    assert lasted < relay.WATCH_WAIT * 2


def test_older_copy_of_a_watcher_is_not_taken() -> None:
    """A watcher that is behind must not bring back a revoked key."""
    ahead, behind = OtherNode(as_of=9), OtherNode(as_of=5)
    node = Node(ahead, behind)
    for _ in range(4):
        node.relay.follow_next()
    assert node.seen == [1, 9]


def test_node_follows_the_store_when_its_watcher_has_lost_it() -> None:
    """A store that turns one node away may serve the others."""
    watcher = OtherNode(as_of=5)
    node = Node(watcher)
    node.relay.follow_next()
    turns: list[str] = []
    held = eventlet.spawn(
        node.relay.unless_relayed(lambda: turns.append('store'))
    )
    waiting = eventlet.spawn(node.relay.follow_next)
    eventlet.sleep(0.05)
    watcher.lose_store()
    waiting.wait()
    assert not turns
    node.relay.follow_next()
    held.wait()
    assert not node.relay.relayed


def test_another_watcher_is_asked_when_one_has_lost_the_store() -> None:
    """A node must not call the store since one watcher was turned away."""
    lost, heard = OtherNode(as_of=5), OtherNode(as_of=5)
    node = Node(lost, heard)
    node.relay.follow_next()
    lost.lose_store()
    heard.put(9)
    for _ in range(3):
        node.relay.follow_next()
    assert node.mirror.as_of == 9
    assert node.relay.relayed


def test_broken_connection_of_a_watcher_is_no_lost_store() -> None:
    """A watcher whose call was cut has its answer a moment later."""
    watcher = OtherNode(as_of=5)
    node = Node(watcher)
    watcher.mirror.record_failure()
    node.relay.follow_next()
    assert node.relay.relayed


def test_node_follows_the_store_when_its_watcher_is_gone() -> None:
    """A killed watcher must not leave others without changes."""
    watcher = OtherNode(as_of=5)
    node = Node(watcher)
    node.relay.follow_next()
    watcher.gone = True
    node.relay.follow_next()
    assert not node.relay.relayed
    calls = watcher.calls
    node.relay.follow_next()
    assert watcher.calls == calls


def test_lapsed_rows_of_a_watcher_go_when_the_table_has_settled() -> None:
    """An endpoint that is gone for good must not stay in a relayed copy."""
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


def test_row_that_is_gone_does_not_come_back_from_a_watcher() -> None:
    """A watcher that was cut off takes an old removal for a lapsed row.

    Requests still reached an endpoint whose leaving the node had heard of.
    """
    heard, cut = OtherNode(as_of=5), OtherNode(as_of=5)
    node = Node(heard, cut)
    node.relay.follow_next()
    cut.mirror.record_failure()
    heard.mirror.apply(Changes(7, {}, frozenset((KEY,))))
    heard.source.notify()
    node.relay.turn = -1
    node.relay.follow_next()
    assert not node.mirror.current()
    cut.mirror.apply(Changes(8, {OTHER_KEY: OTHER_ROW}, frozenset((KEY,))))
    cut.mirror.record_success()
    cut.source.notify()
    assert list(cut.mirror.current()) == [KEY, OTHER_KEY]
    node.relay.follow_next()
    assert node.mirror.as_of == 8
    assert list(node.mirror.current()) == [OTHER_KEY]


def test_node_that_lost_the_store_takes_the_copy_of_a_peer() -> None:
    """A node that the store turns away must learn of revoked keys."""
    peer = OtherNode(as_of=9)
    node = Node(peer)
    node.relay.ask_peer()
    assert node.seen == [1]
    node.mirror.record_failure()
    node.relay.ask_peer()
    node.relay.ask_peer()
    assert node.seen == [1, 9]
