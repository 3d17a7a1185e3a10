"""Tests that dead nodes are removed, and that silent and slow ones stay.

A simulation in one thread: nodes in up to five failure domains that receive
messages as in the exchange of loads, one store, and a manual clock.
"""

import datetime as dt
import random

import pytest

from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock, MemoryTable
from bronzeglade.coordination.liveness import (
    FailureDetector,
    FailureDetectorSettings,
)
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.forwarding import builders, roster
from bronzeglade.forwarding.exchange_message import MessageKind
from bronzeglade.forwarding.node_registration import NodeRegistration
from bronzeglade.forwarding.roster import NODE_PREFIX, Roster, RouterNode

SECOND = dt.timedelta(seconds=1)
# Time within which a dead node must leave the list.
MAX_LISTED_S = 25


class Node:
    """A simulated node.

    While `frozen` or `disconnected` it neither sends nor receives messages; a
    disconnected node still reaches the store.
    """

    def __init__(self, fleet: 'Fleet', entry: RouterNode, seed: int) -> None:
        """Create a node that is not registered yet."""
        self.fleet = fleet
        self.entry = entry
        self.frozen = False
        self.disconnected = False
        self.rows = TableMirror('bronzeglade', fleet.clock)
        self.roster = Roster(entry, (), fleet.clock)
        self.node_registration = NodeRegistration(
            self.roster,
            FailureDetector(FailureDetectorSettings(), fleet.clock),
            self.rows,
            fleet.memory,
            self._probe,
            builders.log(),
            random.Random(seed),
        )

    def register(self) -> None:
        """Write the row of this node."""
        assert self.node_registration.write_row()

    def run_checks(self) -> None:
        """Read the store and run the checks of the registration once."""
        rows = self.fleet.rows()
        self.rows.replace(Snapshot(self.rows.as_of + 1, rows))
        nodes = [roster.decode(row).unwrap() for row in rows.values()]
        self.roster.update({node.name: node for node in nodes})
        self.node_registration.run_checks()

    def receive(self, kind: MessageKind, sender: str) -> None:
        """Receive a message unless frozen or disconnected."""
        if not self.frozen and not self.disconnected:
            self.node_registration.record_message(kind, sender)

    def _probe(self, node: RouterNode) -> bool:
        other = self.fleet.nodes.get(node.name)
        if other is None or self.disconnected or other.disconnected:
            return False
        return not other.frozen


class Fleet:
    """Nodes, the store and the messages between them."""

    def __init__(self, size: int, domains: int = 3) -> None:
        """Register nodes, and run until they know each other."""
        self.clock = ManualClock()
        self.memory = MemoryTable()
        self.nodes: dict[str, Node] = {}
        for number in range(size):
            entry = builders.node(f'{"abcde"[number % domains]}-{number:03}')
            self.nodes[entry.name] = Node(self, entry, number)
            self.nodes[entry.name].register()
        self.run(5)

    def rows(self) -> dict[str, Row]:
        """Return the rows of all nodes by key."""
        found = self.memory.scan(NODE_PREFIX, 1000).unwrap()
        return {row.key: row for row in found}

    def versions(self) -> set[int]:
        """Return the versions of the rows; each write creates a new one."""
        return {row.version for row in self.rows().values()}

    def listed(self) -> set[str]:
        """Return the names of the nodes in the store."""
        return {key.removeprefix(NODE_PREFIX) for key in self.rows()}

    def run(self, seconds: float) -> None:
        """Advance the clock; all live nodes run their checks each second."""
        for _ in range(int(seconds)):
            self.clock.advance(SECOND)
            live = [node for node in self.nodes.values() if not node.frozen]
            for node in live:
                self._send(node)
            for node in live:
                node.run_checks()

    def run_until_removed(self, name: str) -> int:
        """Run until a node is no longer listed; return the seconds it took."""
        for second in range(200):
            if name not in self.listed():
                return second
            self.run(1)
        raise AssertionError(f'{name} is still listed')

    def _send(self, node: Node) -> None:
        if node.disconnected:
            return
        aggregators = node.roster.aggregators()
        name = node.entry.name
        if node.entry.name not in {
            aggregator.name for aggregator in aggregators
        }:
            self._deliver(aggregators, MessageKind.NODE, name)
            return
        self._deliver(node.roster.domain_nodes(), MessageKind.OTHERS, name)
        for others in node.roster.remote_aggregators().values():
            self._deliver(others, MessageKind.DOMAIN, node.entry.failure_domain)

    def _deliver(
        self, receivers: list[RouterNode], kind: MessageKind, sender: str
    ) -> None:
        for receiver in receivers:
            if receiver.name in self.nodes and receiver.name != sender:
                self.nodes[receiver.name].receive(kind, sender)


SIZES = [6, 70, 200]


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('index', [0, 1, -1])
def test_stopped_node_is_removed_from_the_list(size: int, index: int) -> None:
    """Otherwise callers would be sent to its address indefinitely."""
    fleet = Fleet(size, 3 if size < 100 else 5)
    name = sorted(fleet.nodes)[index]
    del fleet.nodes[name]
    assert fleet.run_until_removed(name) <= MAX_LISTED_S
    assert fleet.listed() == set(fleet.nodes)


def test_both_aggregators_stop_at_once() -> None:
    """The other nodes of the domain receive no messages but still act."""
    fleet = Fleet(30)
    dead = sorted(fleet.nodes)[:2]
    for name in dead:
        del fleet.nodes[name]
    for name in dead:
        assert fleet.run_until_removed(name) <= 2 * MAX_LISTED_S


def test_whole_failure_domain_stops() -> None:
    """Nodes of the other failure domains remove its rows."""
    fleet = Fleet(12)
    dead = [name for name in fleet.nodes if name.startswith('b')]
    for name in dead:
        del fleet.nodes[name]
    fleet.run(80)
    assert fleet.listed() == set(fleet.nodes)


@pytest.mark.parametrize('size', SIZES)
def test_nothing_is_written_while_nothing_changes(size: int) -> None:
    """The store is shared, and calls to it are charged."""
    fleet = Fleet(size)
    written = fleet.versions()
    fleet.run(60)
    assert fleet.versions() == written
    assert fleet.listed() == set(fleet.nodes)


@pytest.mark.parametrize('size', SIZES)
def test_node_that_was_paused_for_seconds_stays_registered(size: int) -> None:
    """A paused node must not be removed and registered again."""
    fleet = Fleet(size)
    for index in (0, -1):
        fleet.nodes[sorted(fleet.nodes)[index]].frozen = True
    fleet.run(6)
    written = fleet.versions()
    for node in fleet.nodes.values():
        node.frozen = False
    fleet.run(20)
    assert fleet.listed() == set(fleet.nodes)
    assert fleet.versions() == written


def test_node_that_was_paused_removes_no_other_node() -> None:
    """After its own pause, it has not yet read the messages of others."""
    fleet = Fleet(6)
    first = fleet.nodes[sorted(fleet.nodes)[0]]
    first.frozen = True
    fleet.run(7)
    first.frozen = False
    # It runs before any message arrives.
    first.run_checks()
    fleet.run(20)
    assert fleet.listed() == set(fleet.nodes)


def test_node_is_listed_again_after_a_long_pause() -> None:
    """The node finds its row missing and writes it again."""
    fleet = Fleet(9)
    name = sorted(fleet.nodes)[4]
    fleet.nodes[name].frozen = True
    fleet.run_until_removed(name)
    fleet.nodes[name].frozen = False
    fleet.run(5)
    assert name in fleet.listed()
    fleet.run(60)
    assert fleet.listed() == set(fleet.nodes)


def test_disconnected_node_is_removed_at_growing_intervals() -> None:
    """A node that reaches only the store registers again after each removal.

    Each time it stays listed for longer.
    """
    fleet = Fleet(9)
    name = sorted(fleet.nodes)[4]
    fleet.nodes[name].disconnected = True
    absent = 0
    for _ in range(300):
        fleet.run(1)
        absent += name not in fleet.listed()
        # The node itself never removes the others.
        assert fleet.listed() >= set(fleet.nodes) - {name}
    # 7 times in 5 minutes, for the seconds until it notices its removal.
    assert absent <= 30


def test_restarted_node_is_not_removed() -> None:
    """The suspicion refers to an earlier version of the row."""
    fleet = Fleet(6)
    name = sorted(fleet.nodes)[3]
    other = fleet.nodes[sorted(fleet.nodes)[0]]
    other.run_checks()
    fleet.nodes[name].register()
    other.node_registration._remove(name)  # noqa: SLF001
    assert name in fleet.listed()


def test_row_that_a_restored_store_lacks_is_written_at_once() -> None:
    """No node was removed, so no later removal may be delayed for it."""
    fleet = Fleet(6)
    name, node = next(iter(fleet.nodes.items()))
    del fleet.memory.rows[NODE_PREFIX + name]
    rows = fleet.rows()
    for other in fleet.nodes.values():
        other.rows.replace(Snapshot(1, rows, era=1))
    node.node_registration.run_checks()
    assert name in fleet.listed()
    assert node.roster.local_node.rejoins == 0
