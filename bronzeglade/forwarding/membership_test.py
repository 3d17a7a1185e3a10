"""Guards the list of nodes: the gone leave it, the silent and slow stay.

Simulated in one thread: nodes of up to five failure domains that hear each
other as the exchange of loads lets them, one store, and a clock.
"""

import datetime as dt
import random

import pytest

from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock, MemoryTable
from bronzeglade.coordination.mirror import Mirror
from bronzeglade.coordination.presence import Presence, PresenceSettings
from bronzeglade.forwarding import builders, roster
from bronzeglade.forwarding.exchange import Kind
from bronzeglade.forwarding.membership import NODE_PREFIX, Membership
from bronzeglade.forwarding.roster import Roster, RouterNode

SECOND = dt.timedelta(seconds=1)
# Seconds in which a node that is gone for good has to leave the list.
LONGEST_LISTED_S = 25


class Node:
    """One simulated node; `frozen` and `cut` nodes neither send nor hear."""

    def __init__(self, fleet: 'Fleet', entry: RouterNode, seed: int) -> None:
        """Start a node that is registered."""
        self.fleet = fleet
        self.entry = entry
        self.frozen = False
        self.cut = False
        self.rows = Mirror('bronzeglade', fleet.clock)
        self.roster = Roster(entry, ())
        self.membership = Membership(
            self.roster,
            Presence(PresenceSettings(), fleet.clock),
            self.rows,
            fleet.memory,
            self._probe,
            builders.log(),
            random.Random(seed),
        )

    def register(self) -> None:
        """Write the row."""
        assert self.membership.write_row()

    def turn(self) -> None:
        """Read the store, act on silence, and come back if removed."""
        rows = self.fleet.rows()
        self.rows.replace(Snapshot(self.rows.as_of + 1, rows))
        nodes = [roster.decode(row.body).unwrap() for row in rows.values()]
        self.roster.nodes = {node.name: node for node in nodes}
        self.membership.turn()

    def hear(self, kind: Kind, sender: str) -> None:
        """Take a message unless something keeps it away."""
        if not self.frozen and not self.cut:
            self.membership.record_message(kind, sender)

    def _probe(self, node: RouterNode) -> bool:
        other = self.fleet.nodes.get(node.name)
        if other is None or self.cut or other.cut:
            return False
        return not other.frozen


class Fleet:
    """Nodes, the store and the messages between them."""

    def __init__(self, count: int, domains: int = 3) -> None:
        """Start nodes that know each other."""
        self.clock = ManualClock()
        self.memory = MemoryTable()
        self.nodes: dict[str, Node] = {}
        for number in range(count):
            entry = builders.node(f'{"abcde"[number % domains]}-{number:03}')
            self.nodes[entry.name] = Node(self, entry, number)
            self.nodes[entry.name].register()
        self.run(5)

    def rows(self) -> dict[str, Row]:
        """Return the rows of all nodes by key."""
        found = self.memory.scan(NODE_PREFIX, 1000).unwrap()
        return {row.key: row for row in found}

    def versions(self) -> set[int]:
        """Return the versions of the rows: each write has a new one."""
        return {row.version for row in self.rows().values()}

    def listed(self) -> set[str]:
        """Return the names of the nodes in the store."""
        return {key.removeprefix(NODE_PREFIX) for key in self.rows()}

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(int(seconds)):
            self.clock.advance(SECOND)
            live = [one for one in self.nodes.values() if not one.frozen]
            for node in live:
                self._send(node)
            for node in live:
                node.turn()

    def run_until_removed(self, name: str) -> int:
        """Return after how many seconds a node is no longer listed."""
        for second in range(200):
            if name not in self.listed():
                return second
            self.run(1)
        raise AssertionError(f'{name} is still listed')

    def _send(self, node: Node) -> None:
        if node.cut:
            return
        aggregators = node.roster.aggregators()
        name = node.entry.name
        if node.entry.name not in {one.name for one in aggregators}:
            self._tell(aggregators, Kind.NODE, name)
            return
        self._tell(node.roster.neighbours(), Kind.OTHERS, name)
        for others in node.roster.aggregators_elsewhere().values():
            self._tell(others, Kind.DOMAIN, node.entry.failure_domain)

    def _tell(self, told: list[RouterNode], kind: Kind, sender: str) -> None:
        for one in told:
            if one.name in self.nodes and one.name != sender:
                self.nodes[one.name].hear(kind, sender)


SIZES = [6, 70, 200]


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('place', [0, 1, -1])
def test_node_that_is_gone_leaves_the_list(size: int, place: int) -> None:
    """Callers would be sent to its address for ever."""
    fleet = Fleet(size, 3 if size < 100 else 5)
    name = sorted(fleet.nodes)[place]
    del fleet.nodes[name]
    assert fleet.run_until_removed(name) <= LONGEST_LISTED_S
    assert fleet.listed() == set(fleet.nodes)


def test_both_aggregators_gone_at_once() -> None:
    """The others of their failure domain hear nobody, and still act."""
    fleet = Fleet(30)
    gone = sorted(fleet.nodes)[:2]
    for name in gone:
        del fleet.nodes[name]
    for name in gone:
        assert fleet.run_until_removed(name) <= 2 * LONGEST_LISTED_S


def test_whole_failure_domain_gone() -> None:
    """Nodes of the other failure domains clear its list."""
    fleet = Fleet(12)
    gone = [name for name in fleet.nodes if name.startswith('b')]
    for name in gone:
        del fleet.nodes[name]
    fleet.run(80)
    assert fleet.listed() == set(fleet.nodes)


@pytest.mark.parametrize('size', SIZES)
def test_nothing_is_written_while_nothing_changes(size: int) -> None:
    """The store is shared, and every call of it is paid for."""
    fleet = Fleet(size)
    written = fleet.versions()
    fleet.run(60)
    assert fleet.versions() == written
    assert fleet.listed() == set(fleet.nodes)


@pytest.mark.parametrize('size', SIZES)
def test_node_that_was_frozen_for_seconds_stays(size: int) -> None:
    """A pause is no loss: it would be taken out and put back."""
    fleet = Fleet(size)
    for place in (0, -1):
        fleet.nodes[sorted(fleet.nodes)[place]].frozen = True
    fleet.run(6)
    written = fleet.versions()
    for node in fleet.nodes.values():
        node.frozen = False
    fleet.run(20)
    assert fleet.listed() == set(fleet.nodes)
    assert fleet.versions() == written


def test_node_that_does_not_hear_for_seconds_accuses_nobody() -> None:
    """After a pause of its own, what others have sent is not read yet."""
    fleet = Fleet(6)
    first = fleet.nodes[sorted(fleet.nodes)[0]]
    first.frozen = True
    fleet.run(7)
    first.frozen = False
    # It runs before any message arrives.
    first.turn()
    fleet.run(20)
    assert fleet.listed() == set(fleet.nodes)


def test_long_freeze_ends_with_the_node_in_the_list() -> None:
    """It finds its row missing and writes it anew."""
    fleet = Fleet(9)
    name = sorted(fleet.nodes)[4]
    fleet.nodes[name].frozen = True
    fleet.run_until_removed(name)
    fleet.nodes[name].frozen = False
    fleet.run(5)
    assert name in fleet.listed()
    fleet.run(60)
    assert fleet.listed() == set(fleet.nodes)


def test_node_that_only_the_store_hears_goes_seldom() -> None:
    """Cut off from the others it comes back each time, for longer each time."""
    fleet = Fleet(9)
    name = sorted(fleet.nodes)[4]
    fleet.nodes[name].cut = True
    absent = 0
    for _ in range(300):
        fleet.run(1)
        absent += name not in fleet.listed()
        # It never takes the others for gone.
        assert fleet.listed() >= set(fleet.nodes) - {name}
    # Seven times in five minutes, for the seconds until it notices.
    assert absent <= 30


def test_node_that_started_again_is_not_removed() -> None:
    """The row that a suspicion began with is not that of the new start."""
    fleet = Fleet(6)
    name = sorted(fleet.nodes)[3]
    other = fleet.nodes[sorted(fleet.nodes)[0]]
    other.turn()
    fleet.nodes[name].register()
    other.membership._remove(name)  # noqa: SLF001
    assert name in fleet.listed()
