"""Tests that each node receives the load of all others on the endpoints.

Fleets run in virtual time, so that the number of rounds is exact.
"""

import collections
import dataclasses
import errno
import functools
import json
import os
import posix
import random
from collections.abc import Callable

import eventlet
import pytest

from bronzeglade import time_slice, virtual_time
from bronzeglade.clock import BootClock, Clock
from bronzeglade.decisions.outstanding import Outstanding
from bronzeglade.decisions.placement import (
    PlacedRequest,
    Placement,
    PlacementSettings,
)
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.departures import Departures, Incarnation
from bronzeglade.forwarding.load_exchange import LoadExchange
from bronzeglade.forwarding.roster import (
    AGGREGATORS_PER_DOMAIN,
    Roster,
    RouterNode,
)
from bronzeglade.forwarding.settings import Address
from bronzeglade.virtual_time import VirtualClock

ROUNDS = 8  # enough rounds for a sum to pass two aggregators


class Network:
    """Delivers datagrams between the nodes of a test."""

    def __init__(self) -> None:
        """Start without sockets."""
        self.queues: dict[Address, eventlet.queue.Queue] = {}
        # Number of datagrams by the addresses of sender and receiver.
        self.sent: collections.Counter[tuple[Address, Address]] = (
            collections.Counter()
        )

    def socket(self, address: Address) -> 'Socket':
        """Return the socket of a node."""
        self.queues[address] = eventlet.queue.Queue()
        return Socket(self, address)

    def sent_to(self, node: RouterNode) -> dict[Address, int]:
        """Return the number of datagrams to a node by their sender."""
        return {
            sender: count
            for (sender, receiver), count in self.sent.items()
            if receiver == node.exchange
        }


class Socket:
    """The socket of a node."""

    def __init__(self, network: Network, address: Address) -> None:
        """Create the socket at an address."""
        self.network = network
        self.address = address

    def sendto(self, content: bytes, address: Address) -> None:
        """Send a datagram; one to an unknown address is lost."""
        self.network.sent[self.address, address] += 1
        queue = self.network.queues.get(address)
        if queue is not None:
            queue.put((content, self.address))

    def recvfrom(self, _max_bytes: int) -> tuple[bytes, Address]:
        """Return the next datagram."""
        queue = self.network.queues[self.address]
        received: tuple[bytes, Address] = queue.get(block=True)
        return received


class Fleet:
    """Nodes named `domain-number` that exchange their loads."""

    def __init__(self, clock: Clock, *names: str) -> None:
        """Start the nodes."""
        self.network = Network()
        self.clock = clock
        self.nodes = {name: builders.node(name) for name in names}
        self.placements: dict[str, Placement] = {}
        self.exchanges: dict[str, LoadExchange] = {}
        self.loops: dict[str, list[eventlet.greenthread.GreenThread]] = {}
        for name in names:
            self._start(name)

    def stop(self, name: str) -> None:
        """Kill a node; it stays registered."""
        for loop in self.loops[name]:
            loop.kill()
        del self.network.queues[self.nodes[name].exchange]

    def start_prompt(self, name: str, endpoint: str, tokens: int) -> None:
        """Let a node send a prompt to an endpoint."""
        request = PlacedRequest((), tokens)
        self.placements[name].started(endpoint, request, tokens)

    def peer_load(self, name: str) -> dict[str, Outstanding]:
        """Return the load of all others, as reported to a node."""
        return self.placements[name].peer_load.total() or {}

    def count_departures(
        self,
        name: str,
        received: collections.Counter[str],
        first_received: collections.Counter[str],
    ) -> None:
        """Count the departures that a node receives, and the new ones."""
        known = Departures()

        def count(incarnation: Incarnation, _source: str) -> bool:
            is_new = known.add(incarnation)
            received[name] += 1
            first_received[name] += is_new
            return is_new

        self.exchanges[name].on_departure = count

    def _start(self, name: str) -> None:
        placement = Placement(
            PlacementSettings(), 'a', self.clock, random.Random(1)
        )
        roster = Roster(self.nodes[name], (), self.clock)
        roster.update(self.nodes)
        exchange = LoadExchange(
            roster,
            placement,
            self.clock,
            builders.log(),
            random.Random(1),
        )
        exchange.sock = self.network.socket(self.nodes[name].exchange)
        self.placements[name] = placement
        self.exchanges[name] = exchange
        self.loops[name] = [
            eventlet.spawn(repeat, exchange.send_next),
            eventlet.spawn(repeat, exchange.receive_next),
        ]


def repeat(action) -> None:  # type: ignore[no-untyped-def]
    """Run the body of a loop forever."""
    while True:
        action()


def wait(rounds: int = ROUNDS) -> None:
    """Let the nodes exchange their loads for several rounds."""
    eventlet.sleep(rounds * 0.25)


def in_virtual_time(
    test: Callable[[VirtualClock], None],
) -> Callable[[], None]:
    """Run a test in virtual time."""

    @functools.wraps(test)
    def run() -> None:
        virtual_time.run(test)

    # Keeps pytest from taking the clock for a fixture.
    del run.__wrapped__
    return run


@pytest.fixture(autouse=True)
def _time_limit():  # type: ignore[no-untyped-def]
    with eventlet.Timeout(30):
        yield


@in_virtual_time
def test_each_node_knows_the_sum_of_all_others(clock: VirtualClock) -> None:
    """An endpoint that others have loaded must not look idle."""
    fleet = Fleet(clock, 'a-1', 'a-2', 'a-3', 'a-4', 'b-1', 'b-2')
    fleet.start_prompt('a-1', 'e', 100)
    fleet.start_prompt('a-4', 'e', 20)
    fleet.start_prompt('b-2', 'e', 3)
    wait()
    assert fleet.peer_load('a-1')['e'] == Outstanding(2, 23)
    assert fleet.peer_load('a-3')['e'] == Outstanding(3, 123)
    assert fleet.peer_load('a-4')['e'] == Outstanding(2, 103)
    assert fleet.peer_load('b-1')['e'] == Outstanding(3, 123)


@in_virtual_time
def test_sums_continue_when_the_first_aggregator_is_killed(
    clock: VirtualClock,
) -> None:
    """One killed node must not stop the reports of a failure domain."""
    fleet = Fleet(clock, 'a-1', 'a-2', 'a-3', 'b-1')
    wait()
    fleet.stop('a-1')
    fleet.start_prompt('a-3', 'e', 7)
    wait(12)
    assert fleet.peer_load('b-1')['e'] == Outstanding(1, 7)
    assert fleet.peer_load('a-2')['e'] == Outstanding(1, 7)


@in_virtual_time
def test_finished_requests_are_reported_too(clock: VirtualClock) -> None:
    """An endpoint that has become idle must no longer be avoided."""
    fleet = Fleet(clock, 'a-1', 'a-2')
    fleet.start_prompt('a-1', 'e', 7)
    wait(3)
    assert fleet.peer_load('a-2')['e'] == Outstanding(1, 7)
    fleet.placements['a-1'].record_prompt_read('e', 7)
    fleet.placements['a-1'].finished('e')
    wait(3)
    assert 'e' not in fleet.peer_load('a-2')


@in_virtual_time
def test_sums_that_cross_failure_domains_are_few(clock: VirtualClock) -> None:
    """Traffic between failure domains costs more than traffic inside."""
    fleet = Fleet(
        clock, *(f'a-{number}' for number in range(6)), 'b-1', 'b-2', 'b-3'
    )
    wait(8)
    nodes = fleet.nodes
    to_first = fleet.network.sent_to(nodes['b-1'])
    assert to_first.keys() == {
        nodes[name].exchange for name in ('a-0', 'b-2', 'b-3')
    }
    assert sum(to_first.values()) < 40
    # Only the aggregators of its own domain send to the third node of b.
    to_third = fleet.network.sent_to(nodes['b-3'])
    assert to_third.keys() == {nodes[name].exchange for name in ('b-1', 'b-2')}
    assert sum(to_third.values()) < 30


@in_virtual_time
def test_announced_departure_reaches_every_node(clock: VirtualClock) -> None:
    """Otherwise every node would still send a request to the endpoint."""
    names = ('a-1', 'a-2', 'a-3', 'a-4', 'b-1', 'b-2', 'b-3')
    fleet = Fleet(clock, *names)
    first_received: collections.Counter[str] = collections.Counter()
    received: collections.Counter[str] = collections.Counter()
    leaving = Incarnation('e', 7, ('h', 1))
    for name in names:
        fleet.count_departures(name, received, first_received)
    wait(2)
    fleet.exchanges['a-4'].on_departure(leaving, 'answer')  # type: ignore[misc]
    fleet.exchanges['a-4'].announce_departure(leaving)
    wait(2)
    assert first_received == collections.Counter(names)
    # Nodes to which the departure is known do not announce it again.
    before = received.total()
    fleet.exchanges['a-3'].announce_departure(leaving)
    wait(2)
    assert received.total() - before == AGGREGATORS_PER_DOMAIN


@in_virtual_time
def test_unreadable_datagram_is_dropped(clock: VirtualClock) -> None:
    """A datagram from outside must not stop the exchange."""
    fleet = Fleet(clock, 'a-1', 'a-2')
    sock = fleet.network.socket(('stranger', 1))
    for content in (
        b'',
        b'\xc1',
        b'\x93\x09\x01\x80',
        b'\x01',
        b'\x93\x00\xa1a\xa1b',
        b'\x93\x03\xa1a\x81\xa1b\x01',
    ):
        sock.sendto(content, fleet.nodes['a-1'].exchange)
    fleet.start_prompt('a-2', 'e', 5)
    wait(3)
    assert fleet.peer_load('a-1')['e'] == Outstanding(1, 5)


class FullDescriptor:
    """The system's socket when its send buffer is full, and stays so."""

    def __init__(self, descriptor: int) -> None:
        """Wait, if at all, for a descriptor that can't be written to."""
        self.descriptor = descriptor

    def fileno(self) -> int:
        """Return the descriptor that a green thread would wait for."""
        return self.descriptor

    def sendto(self, _content: bytes, _address: Address) -> int:
        """Fail as the system does."""
        raise BlockingIOError(errno.EAGAIN, 'full')


def exchange_with_full_socket() -> LoadExchange:
    """Return an exchange whose sends can't be completed."""
    roster = builders.roster('a-1', 'a-1', 'a-2', 'b-1')
    roster.local_node = dataclasses.replace(
        roster.local_node, exchange=('127.0.0.1', 0)
    )
    exchange = LoadExchange(
        roster,
        Placement(PlacementSettings(), 'a', BootClock(), random.Random(1)),
        BootClock(),
        builders.log(),
        random.Random(1),
    )
    exchange.open()
    _reader, writer = os.pipe()
    os.set_blocking(writer, False)
    posix.write(writer, b'x' * (1 << 20))
    exchange.sock.fd = FullDescriptor(writer)
    return exchange


# A request waited for the send buffer, and the next one failed with "Second
# simultaneous write".
def test_full_send_buffer_delays_no_request() -> None:
    """A datagram for which there is no room is dropped."""
    exchange = exchange_with_full_socket()
    threads = [
        eventlet.spawn(
            exchange.announce_departure, Incarnation('e', 1, ('h', 1))
        )
        for _ in range(3)
    ]
    for thread in threads:
        thread.wait()
    events = [json.loads(line.text)['event'] for line in exchange.log.lines]
    assert set(events) == {'datagram_send_failed'}


class FloodedSocket:
    """A socket that always has a datagram."""

    def __init__(self) -> None:
        """Start without datagrams received."""
        self.received = 0

    def recvfrom(self, _max_bytes: int) -> tuple[bytes, Address]:
        """Return a datagram that cannot be read."""
        self.received += 1
        return b'', ('10.0.0.1', 1)


# Received datagrams were applied one after the other without a yield.
@in_virtual_time
def test_flood_of_datagrams_blocks_no_request(clock: VirtualClock) -> None:
    """Other green threads run after a bounded number of datagrams."""
    fleet = Fleet(clock, 'a-1')
    exchange = fleet.exchanges['a-1']
    fleet.stop('a-1')
    flooded = FloodedSocket()
    exchange.sock = flooded
    with eventlet.Timeout(5):
        thread = eventlet.spawn(repeat, exchange.receive_next)
        for _ in range(10):
            eventlet.sleep(0)
    thread.kill()
    assert 0 < flooded.received <= 11 * time_slice.MAX_PIECES
