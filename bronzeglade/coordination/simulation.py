"""Simulation of several nodes and their network in one process."""

import dataclasses
import datetime as dt
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import urllib3
from result import Err, Ok, Result

from bronzeglade.adapters.transport import CallFailure
from bronzeglade.builders import ManualClock, MemoryTable, entry_settings
from bronzeglade.coordination.datagram import MemberState
from bronzeglade.coordination.gossip import Gossip
from bronzeglade.coordination.membership import Membership
from bronzeglade.coordination.publication import Publication
from bronzeglade.entry.configuration import Distribution, DistributionServices
from bronzeglade.entry.heartbeats import (
    Heartbeats,
    HeartbeatServices,
    new_member,
)
from bronzeglade.entry.peers import Peer, Peers
from bronzeglade.settings import EntrySettings

STEP = dt.timedelta(milliseconds=50)
PUSH = 'configuration/push'
STEPS_PER_TICK = 5
STEPS_PER_POLL = 100


@dataclasses.dataclass(slots=True)
class Conditions:
    """State of the simulated network."""

    loss: float = 0
    duplicates: float = 0
    delay: dt.timedelta = dt.timedelta(milliseconds=10)
    # Partition number of each address; 0 for addresses that are not listed.
    partitions: dict[str, int] = dataclasses.field(default_factory=dict)

    def connected(self, first: str, second: str) -> bool:
        """Return whether two addresses are in the same partition."""
        return self.partitions.get(first, 0) == self.partitions.get(second, 0)


class SimulatedPeers(Peers):
    """Peers whose calls run in this process."""

    def __init__(self, settings: EntrySettings, simulation: Any) -> None:
        """Create the peers of a simulated node."""
        super().__init__(settings, urllib3.PoolManager())
        self.simulation = simulation

    def send(
        self, peer: Peer, name: str, message: bytes
    ) -> Result[bytes, CallFailure]:
        """Run the handler of a peer if the simulated network allows it."""
        own_address = f'{self.settings.host}:{self.settings.control_port}'
        outcome: Result[bytes, CallFailure] = self.simulation.call(
            own_address, peer.control_address, name, message
        )
        return outcome


class SimulatedSocket:
    """The UDP socket of one node."""

    def __init__(self, address: str, simulation: 'Simulation') -> None:
        """Create the socket of an address."""
        self.address = address
        self.simulation = simulation

    def sendto(self, packed: bytes, target: tuple[str, int]) -> None:
        """Send a datagram over the simulated network."""
        host, port = target
        self.simulation.send(self.address, f'{host}:{port}', packed)


class SimulatedNode:
    """Coordination of one node, without the handling of requests."""

    def __init__(self, simulation: 'Simulation', index: int) -> None:
        """Create a node whose process starts now."""
        self.simulation = simulation
        self.settings = entry_settings(index)
        clock = simulation.clock
        origin = f'{self.settings.vm}-{next(simulation.sequence)}'
        rng = random.Random(simulation.rng.random())
        local_member = new_member(self.settings, origin, clock.now())
        self.address = local_member.address
        self.membership = Membership(
            local_member, self.settings.probe_interval, clock, rng
        )
        self.gossip = Gossip(origin, clock)
        self.peers = SimulatedPeers(self.settings, simulation)
        self.publication = Publication(self.settings, local_member, clock)
        self.distribution = Distribution(
            self.publication,
            DistributionServices(
                simulation.table,
                self.peers,
                clock,
                rng,
                simulation.spawn,
            ),
            lambda _catalog: None,
        )
        self.heartbeats = Heartbeats(
            HeartbeatServices(
                self.membership,
                self.gossip,
                self.peers,
                self.distribution,
                clock,
            )
        )
        self.heartbeats.socket = SimulatedSocket(self.address, simulation)
        self.paused = False
        # The nodes run anti-entropy at different times.
        delay_steps = STEPS_PER_POLL * rng.random()
        self.next_comparison = clock.monotonic() + STEP * delay_steps

    def step(self, number: int) -> None:
        """Run the periodic tasks that are due in a step."""
        if self.paused:
            return
        if number % STEPS_PER_TICK == 0:
            self.heartbeats.tick()
        if number % STEPS_PER_POLL == 0:
            self.distribution.poll()
        self._compare_if_due()

    def _compare_if_due(self) -> None:
        now = self.simulation.clock.monotonic()
        if now < self.next_comparison:
            return
        self.next_comparison = now + self.heartbeats.comparison_interval()
        peers = self.peers.live()
        if peers:
            self.heartbeats.compare_with(self.membership.rng.choice(peers))

    def dead_addresses(self) -> set[str]:
        """Return the addresses of the nodes that this node considers dead."""
        return {
            address
            for address, member in self.membership.known.items()
            if member.state is MemberState.DEAD
        }


class Simulation:
    """Nodes, network, table and clock."""

    def __init__(self, count: int, seed: int = 1) -> None:
        """Start nodes that have each other's addresses as candidates.

        Args:
          count: number of nodes.
          seed: seed of all random generators.
        """
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.table = MemoryTable()
        self.conditions = Conditions()
        self.sequence = itertools.count()
        self.queue: list[tuple[dt.timedelta, int, str, bytes]] = []
        self.pushes: list[tuple[str, bytes]] = []
        self.tasks: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.nodes: dict[str, SimulatedNode] = {}
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self.called = 0
        self.largest_datagram_bytes = 0
        self.called_bytes = 0
        self.steps = 0
        for index in range(count):
            self.start(index)
        self.update_candidates()

    def start(self, index: int) -> SimulatedNode:
        """Start a process on the n-th VM; replaces an earlier one there."""
        node = SimulatedNode(self, index)
        self.nodes[node.address] = node
        node.membership.update_candidates(self.nodes)
        return node

    def update_candidates(self) -> None:
        """Set the addresses of all nodes as candidates of every node."""
        for node in self.nodes.values():
            node.membership.update_candidates(self.nodes)

    def spawn(self, action: Callable[..., Any], *arguments: Any) -> None:
        """Schedule an action for the next step."""
        self.tasks.append((action, arguments))

    def send(self, source: str, target: str, packed: bytes) -> None:
        """Send a datagram, subject to the network conditions."""
        self.sent_bytes += len(packed)
        self.sent_datagrams += 1
        self.largest_datagram_bytes = max(
            self.largest_datagram_bytes, len(packed)
        )
        conditions = self.conditions
        copies = 1 + (self.rng.random() < conditions.duplicates)
        for _copy in range(copies):
            lost = self.rng.random() < conditions.loss
            if not lost and conditions.connected(source, target):
                latency = self.rng.random() * 2 * conditions.delay
                entry = (
                    self.clock.monotonic() + latency,
                    next(self.sequence),
                    target,
                    packed,
                )
                heapq.heappush(self.queue, entry)

    def call(
        self, source: str, target: str, name: str, message: bytes
    ) -> Result[bytes, CallFailure]:
        """Call a handler of a node, subject to the network conditions."""
        node = self.nodes.get(target)
        connected = self.conditions.connected(source, target)
        if node is None or node.paused or not connected:
            return Err(CallFailure(sent=False, detail='node not reachable'))
        if name == PUSH:
            self.pushes.append((target, message))
        reply = node.peers.receive(name, message)
        if isinstance(reply, Err):
            return Err(CallFailure(sent=True, detail=reply.err_value))
        self.called += 1
        self.called_bytes += len(message) + len(reply.ok_value)
        if self.rng.random() < self.conditions.loss:
            return Err(CallFailure(sent=True, detail='reply lost'))
        return Ok(reply.ok_value)

    def repeat_push(self, number: int) -> None:
        """Deliver an earlier configuration push again."""
        if self.pushes:
            target, message = self.pushes[number % len(self.pushes)]
            node = self.nodes.get(target)
            if node is not None:
                node.peers.receive(PUSH, message)

    def run(self, duration: dt.timedelta) -> None:
        """Run all steps of a time span."""
        for _step in range(duration // STEP):
            self.step()

    def step(self) -> None:
        """Advance the clock by one step and run what is due."""
        self.clock.sleep(STEP)
        self.steps += 1
        self._deliver()
        tasks = self.tasks
        self.tasks = []
        self.rng.shuffle(tasks)
        for action, arguments in tasks:
            action(*arguments)
        for offset, node in enumerate(tuple(self.nodes.values())):
            # The nodes tick at different steps.
            node.step(self.steps + offset)

    def _deliver(self) -> None:
        now = self.clock.monotonic()
        undelivered: list[tuple[dt.timedelta, int, str, bytes]] = []
        while self.queue and self.queue[0][0] <= now:
            entry = heapq.heappop(self.queue)
            node = self.nodes.get(entry[2])
            if node is not None and node.paused:
                undelivered.append(entry)
            elif node is not None:
                node.heartbeats.receive(entry[3])
        for entry in undelivered:
            heapq.heappush(self.queue, entry)
