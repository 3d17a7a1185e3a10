"""Simulated router nodes that exchange datagrams, in virtual time.

For tests of what nodes know of each other: all nodes share a manual clock, a
store without delay and a network that may lose datagrams.
"""

import datetime as dt
import random
from collections.abc import Iterable

from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock, MemoryTable
from bronzeglade.coordination.liveness import (
    FailureDetector,
    FailureDetectorSettings,
)
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.decisions.placement import Placement, PlacementSettings
from bronzeglade.forwarding import builders, node_registration, roster
from bronzeglade.forwarding.caller_directory import CallerDirectory, LocalState
from bronzeglade.forwarding.load_exchange import LoadExchange
from bronzeglade.forwarding.node_registration import NodeRegistration
from bronzeglade.forwarding.roster import NODE_PREFIX, Roster, RouterNode
from bronzeglade.forwarding.settings import Address

STEP = dt.timedelta(milliseconds=50)
CALL_INTERVAL = dt.timedelta(milliseconds=500)
REGION = 'r'


class SimulatedNode:
    """A node with its loops; `frozen` and `store_cut` are set by tests."""

    def __init__(
        self, fleet: 'SimulatedFleet', entry: RouterNode, seed: int
    ) -> None:
        """Start the process of a node; it registers with its first step."""
        self.fleet = fleet
        self.entry = entry
        self.frozen = False
        self.store_cut = False
        self.unread: list[tuple[bytes, Address]] = []
        rng = random.Random(seed)
        self.rows = TableMirror('bronzeglade', fleet.clock)
        self.roster = Roster(entry, (), fleet.clock)
        self.exchange = LoadExchange(
            self.roster,
            Placement(
                PlacementSettings(), entry.failure_domain, fleet.clock, rng
            ),
            fleet.clock,
            builders.log(),
            rng,
        )
        self.exchange.sock = self
        self.node_registration = NodeRegistration(
            self.roster,
            FailureDetector(FailureDetectorSettings(), fleet.clock),
            self.rows,
            fleet.memory,
            self._probe,
            builders.log(),
            rng,
        )
        self.exchange.on_load_message = self.node_registration.record_message
        self.directory = CallerDirectory(
            self.roster,
            lambda: self.rows.failing_since is not None,
            builders.log(),
        )
        now = fleet.clock.monotonic()
        self.send_at = now + self.exchange.next_interval() * rng.random()
        self.check_at = now + node_registration.CHECK_INTERVAL * rng.random()
        self.call_at = now + CALL_INTERVAL * rng.random()
        self.is_registered = False

    def sendto(self, content: bytes, address: Address) -> None:
        """Send a datagram, as the socket of the exchange."""
        self.fleet.deliver(content, self.entry.exchange, address)

    def run_step(self) -> None:
        """Do what is due now."""
        if self.frozen:
            return
        unread = self.unread
        self.unread = []
        for content, sender in unread:
            self.exchange.apply(content, sender)
        if not self.store_cut:
            self._follow_store()
        now = self.fleet.clock.monotonic()
        if now >= self.send_at:
            self.send_at = now + self.exchange.next_interval()
            self.exchange.send_reports()
        if now >= self.check_at:
            self.check_at = now + node_registration.CHECK_INTERVAL
            self.node_registration.run_checks()
        if now >= self.call_at:
            self.call_at = now + CALL_INTERVAL
            self._call_unheard()

    def listed(self, failure_domain: str) -> set[str]:
        """Return the names of the nodes that a caller is sent to."""
        addresses = self.directory.addresses(
            failure_domain,
            REGION,
            dict.fromkeys(self.fleet.domains, REGION),
            LocalState.READY,
        )
        return {self.fleet.names[address] for address in addresses}

    def _call_unheard(self) -> None:
        for node in self.roster.unheard_nodes(self.exchange.rng):
            if self._probe(node):
                self.roster.presence.record_message(node.name)

    def lose_store(self) -> None:
        """Cut this node off from the store."""
        self.store_cut = True
        self.rows.record_failure()

    def _follow_store(self) -> None:
        if not self.is_registered:
            self.is_registered = self.node_registration.write_row()
        rows = self.fleet.rows()
        self.rows.replace(Snapshot(self.rows.as_of + 1, rows))
        nodes = [roster.decode(row).unwrap() for row in rows.values()]
        self.roster.update({node.name: node for node in nodes})

    def _probe(self, node: RouterNode) -> bool:
        other = self.fleet.live.get(node.name)
        if other is None or {self.entry.name, node.name} & self.fleet.cut:
            return False
        return not other.frozen


class SimulatedFleet:
    """Nodes named `domain-number`, their store and network.

    `live` holds the nodes that run; `loss` is the fraction of datagrams that
    the network loses, `deaf` names nodes that receive none, and `cut` nodes
    that no other one reaches.
    """

    def __init__(self, *names: str, seed: int = 1) -> None:
        """Start nodes, and run until they know each other."""
        self.clock = ManualClock()
        self.memory = MemoryTable()
        self.rng = random.Random(seed)
        self.loss: float = 0
        self.deaf: set[str] = set()
        self.cut: set[str] = set()
        self.live: dict[str, SimulatedNode] = {}
        self.names: dict[Address, str] = {}
        self.exchanges: dict[Address, str] = {}
        self.domains: set[str] = set()
        for name in names:
            self.start(name)
        self.run(dt.timedelta(seconds=5))

    def start(self, name: str) -> None:
        """Start the process of a node, new or after its end."""
        entry = builders.node(name)
        self.names[entry.callers] = name
        self.exchanges[entry.exchange] = name
        self.domains.add(entry.failure_domain)
        self.live[name] = SimulatedNode(self, entry, self.rng.randrange(2**32))

    def kill(self, *names: str) -> None:
        """End nodes; their rows stay in the store."""
        for name in names:
            del self.live[name]

    def rows(self) -> dict[str, Row]:
        """Return the rows of all nodes by key."""
        found = self.memory.scan(NODE_PREFIX, 1000).unwrap()
        return {row.key: row for row in found}

    def deliver(
        self, content: bytes, sender: Address, receiver: Address
    ) -> None:
        """Deliver a datagram unless the network loses it."""
        name = self.exchanges.get(receiver, '')
        if self.exchanges[sender] in self.cut:
            return
        if name in self.live and name not in self.deaf | self.cut:
            if self.rng.random() >= self.loss:
                self.live[name].unread.append((content, sender))

    def run(self, duration: dt.timedelta) -> None:
        """Let time pass."""
        for _ in range(duration // STEP):
            self.step()

    def step(self) -> None:
        """Let one step of time pass."""
        self.clock.advance(STEP)
        for node in list(self.live.values()):
            node.run_step()

    def answers(self) -> Iterable[tuple[str, str, set[str]]]:
        """Return what the directory of each node tells each failure domain.

        Returns:
          Name of the node that is asked, failure domain of the caller, and the
          nodes that the answer names.
        """
        return [
            (name, domain, node.listed(domain))
            for name, node in self.live.items()
            for domain in sorted(self.domains)
            if not node.frozen
        ]

    def time_named(self, *ended: str) -> dt.timedelta:
        """Run until no directory names nodes that have ended.

        Returns:
          How long one of them was named.
        """
        began = self.clock.monotonic()
        for _ in range(600):
            if not any(set(ended) & names for _, _, names in self.answers()):
                return self.clock.monotonic() - began
            self.step()
        raise AssertionError(f'{ended} are still named')

    def missing(self, duration: dt.timedelta) -> int:
        """Run, and count the answers that leave out a live node.

        Only answers to callers of the failure domain of that node count, since
        others need not name it.
        """
        count = 0
        for _ in range(duration // STEP):
            self.step()
            for _name, domain, names in self.answers():
                expected = {
                    other
                    for other, node in self.live.items()
                    if node.entry.failure_domain == domain
                }
                count += not names >= expected
        return count
