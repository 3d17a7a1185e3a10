"""Guards that nodes learn what the others have on the endpoints."""

import collections
import random

import eventlet
import pytest

from bronzeglade.clock import BootClock
from bronzeglade.decisions.placement import (
    PlacedRequest,
    Placement,
    PlacementSettings,
)
from bronzeglade.decisions.outstanding import Outstanding
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.departures import Departures, Incarnation
from bronzeglade.forwarding.exchange import Exchange
from bronzeglade.forwarding.roster import AGGREGATORS
from bronzeglade.forwarding.settings import Address

TURNS = 8  # enough for a sum to cross two aggregators


class Network:
    """Delivers datagrams between the nodes of a test."""

    def __init__(self) -> None:
        """Deliver everything."""
        self.queues: dict[Address, eventlet.queue.Queue] = {}
        self.sent: collections.Counter[Address] = collections.Counter()

    def socket(self, address: Address) -> 'Socket':
        """Return the socket of a node."""
        self.queues[address] = eventlet.queue.Queue()
        return Socket(self, address)


class Socket:
    """The end of a node."""

    def __init__(self, network: Network, address: Address) -> None:
        """Create the end at an address."""
        self.network = network
        self.address = address

    def sendto(self, content: bytes, address: Address) -> None:
        """Send a datagram; one to an unknown address is lost."""
        self.network.sent[address] += 1
        mailbox = self.network.queues.get(address)
        if mailbox is not None:
            mailbox.put((content, self.address))

    def recvfrom(self, _largest: int) -> tuple[bytes, Address]:
        """Return the next datagram."""
        mailbox = self.network.queues[self.address]
        received: tuple[bytes, Address] = mailbox.get(block=True)
        return received


class Fleet:
    """Nodes named `domain-number` that tell each other their load."""

    def __init__(self, *names: str) -> None:
        """Start the nodes."""
        self.network = Network()
        self.clock = BootClock()
        self.nodes = {name: builders.node(name) for name in names}
        self.placements: dict[str, Placement] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.loops: dict[str, list[eventlet.greenthread.GreenThread]] = {}
        for name in names:
            self._start(name)

    def stop(self, name: str) -> None:
        """Kill a node; it stays registered."""
        for loop in self.loops[name]:
            loop.kill()
        del self.network.queues[self.nodes[name].exchange]

    def use(self, name: str, endpoint: str, tokens: int) -> None:
        """Let a node send a prompt to an endpoint."""
        request = PlacedRequest((), tokens)
        self.placements[name].started(endpoint, request, tokens)

    def others(self, name: str) -> dict[str, Outstanding]:
        """Return what a node knows of the load of all others."""
        return self.placements[name].others.total() or {}

    def hear_departures(
        self,
        name: str,
        told: collections.Counter[str],
        heard: collections.Counter[str],
    ) -> None:
        """Count what a node is told, and what it hears for the first time."""
        known = Departures()

        def take(incarnation: Incarnation, _source: str) -> bool:
            news = known.add(incarnation)
            told[name] += 1
            heard[name] += news
            return news

        self.exchanges[name].on_departure = take

    def _start(self, name: str) -> None:
        placement = Placement(
            PlacementSettings(), 'a', self.clock, random.Random(1)
        )
        exchange = Exchange(
            builders.roster(name, *self.nodes),
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
    """Repeat the turns of a loop."""
    while True:
        action()


def wait(turns: int = TURNS) -> None:
    """Let the nodes tell their load several times."""
    eventlet.sleep(turns * 0.25)


@pytest.fixture(autouse=True)
def _time_limit():  # type: ignore[no-untyped-def]
    with eventlet.Timeout(30):
        yield


def test_each_node_knows_the_sum_of_all_others() -> None:
    """An endpoint that others have filled must not look idle."""
    fleet = Fleet('a-1', 'a-2', 'a-3', 'a-4', 'b-1', 'b-2')
    fleet.use('a-1', 'e', 100)
    fleet.use('a-4', 'e', 20)
    fleet.use('b-2', 'e', 3)
    wait()
    assert fleet.others('a-1')['e'] == Outstanding(2, 23)
    assert fleet.others('a-3')['e'] == Outstanding(3, 123)
    assert fleet.others('a-4')['e'] == Outstanding(2, 103)
    assert fleet.others('b-1')['e'] == Outstanding(3, 123)


def test_sums_go_on_when_the_first_aggregator_is_killed() -> None:
    """One killed node must not blind a failure domain."""
    fleet = Fleet('a-1', 'a-2', 'a-3', 'b-1')
    wait()
    fleet.stop('a-1')
    fleet.use('a-3', 'e', 7)
    wait(12)
    assert fleet.others('b-1')['e'] == Outstanding(1, 7)
    assert fleet.others('a-2')['e'] == Outstanding(1, 7)


def test_finished_requests_are_told_too() -> None:
    """An endpoint that has become idle must not be avoided any longer."""
    fleet = Fleet('a-1', 'a-2')
    fleet.use('a-1', 'e', 7)
    wait(3)
    assert fleet.others('a-2')['e'] == Outstanding(1, 7)
    fleet.placements['a-1'].read('e', 7)
    fleet.placements['a-1'].finished('e')
    wait(3)
    assert 'e' not in fleet.others('a-2')


def test_sums_that_cross_failure_domains_are_few() -> None:
    """Bytes between failure domains cost more than those inside."""
    fleet = Fleet(*(f'a-{number}' for number in range(6)), 'b-1', 'b-2', 'b-3')
    wait(8)
    # Of the third node of b, only its own aggregators send anything.
    sent = fleet.network.sent
    assert sent['b-1', 2] < 40
    assert 0 < sent['b-3', 2] < 30


def test_departure_reaches_every_node_once_told() -> None:
    """Every node would send a request to an endpoint that leaves."""
    names = ('a-1', 'a-2', 'a-3', 'a-4', 'b-1', 'b-2', 'b-3')
    fleet = Fleet(*names)
    heard: collections.Counter[str] = collections.Counter()
    told: collections.Counter[str] = collections.Counter()
    leaving = Incarnation('e', 7, ('h', 1))
    for name in names:
        fleet.hear_departures(name, told, heard)
    wait(2)
    fleet.exchanges['a-4'].on_departure(leaving, 'answer')  # type: ignore[misc]
    fleet.exchanges['a-4'].tell_departure(leaving)
    wait(2)
    assert heard == collections.Counter(names)
    # Nodes that know it already do not tell it again.
    before = told.total()
    fleet.exchanges['a-3'].tell_departure(leaving)
    wait(2)
    assert told.total() - before == AGGREGATORS


def test_unreadable_datagram_is_dropped() -> None:
    """A stranger's datagram must not end the exchange."""
    fleet = Fleet('a-1', 'a-2')
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
    fleet.use('a-2', 'e', 5)
    wait(3)
    assert fleet.others('a-1')['e'] == Outstanding(1, 5)
