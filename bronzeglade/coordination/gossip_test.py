"""Guards the exchange of documents and the refusal of foreign messages."""

import datetime as dt

import pytest
from hypothesis import given, strategies
from result import Err, Ok

from bronzeglade.builders import ManualClock
from bronzeglade.coordination import datagram as datagrams
from bronzeglade.coordination import seal
from bronzeglade.coordination.datagram import DATAGRAM_LIMIT, Document
from bronzeglade.coordination.exchange import PURPOSE
from bronzeglade.coordination.gossip import DOCUMENT_LIMIT, Gossip
from bronzeglade.coordination.simulation import SimulatedNode, Simulation

SECOND = dt.timedelta(seconds=1)


@pytest.fixture(name='simulation')
def started_simulation() -> Simulation:
    """Run eight nodes, as many as today's deployments have."""
    simulation = Simulation(8)
    simulation.run(SECOND * 5)
    return simulation


def nodes_of(simulation: Simulation) -> list[SimulatedNode]:
    """Return the nodes in order."""
    return list(simulation.nodes.values())


def test_documents_reach_eight_nodes_in_two_intervals(
    simulation: Simulation,
) -> None:
    """Shares of an allowance that spread slowly are exceeded meanwhile."""
    nodes = nodes_of(simulation)
    for node in nodes:
        node.gossip.publish('usage', {'requests': 1})
    simulation.run(SECOND * 2)
    assert all(len(node.gossip.read('usage')) == 8 for node in nodes)


def test_large_document_is_fetched(simulation: Simulation) -> None:
    """A document that no datagram carries must still reach all nodes."""
    nodes = nodes_of(simulation)
    nodes[0].gossip.publish('large', 'x' * 5000)
    simulation.run(SECOND * 4)
    origin = nodes[0].gossip.origin
    assert all(node.gossip.read('large')[origin] for node in nodes)
    assert simulation.largest <= DATAGRAM_LIMIT


def test_document_above_the_limit_is_refused() -> None:
    """A document without bound would fill the memory of every node."""
    gossip = Gossip('a', ManualClock())
    gossip.publish('t', 'small')
    gossip.publish('t', 'x' * DOCUMENT_LIMIT)
    assert gossip.read('t') == {'a': 'small'}


def test_newest_document_wins_in_any_order() -> None:
    """A datagram that is late must not bring an older document back."""
    gossip = Gossip('a', ManualClock())
    for version, body in ((2, b'\x02'), (1, b'\x01')):
        gossip.merge(Document('b', 't', version, body))
    assert gossip.read('t') == {'b': 2}


def test_documents_of_dead_nodes_disappear(simulation: Simulation) -> None:
    """The demand of a dead node would take its share for ever."""
    nodes = nodes_of(simulation)
    nodes[0].gossip.publish('demand', 1)
    simulation.run(SECOND * 2)
    simulation.nodes.pop(nodes[0].address)
    simulation.run(SECOND * 15)
    assert not any(node.gossip.read('demand') for node in nodes[1:])


def test_changed_messages_change_nothing(simulation: Simulation) -> None:
    """Without authentication anyone could declare nodes dead."""
    one, other = nodes_of(simulation)[:2]
    address, packed = one.heartbeats.exchange.leave()[0]
    assert address in simulation.nodes
    before = dict(other.membership.known)
    for position, _byte in enumerate(packed):
        changed = bytearray(packed)
        changed[position] ^= 1
        other.heartbeats.receive(bytes(changed))
    assert other.membership.known == before
    other.heartbeats.receive(packed)
    assert other.membership.known != before


@given(payload=strategies.binary(max_size=200))
def test_malformed_payloads_are_refused(payload: bytes) -> None:
    """A peer with a fault must not stop the loop of its peers."""
    outcome = datagrams.unpack(payload)
    assert isinstance(outcome, Err | Ok)
    assert not isinstance(outcome, Ok) or len(payload) > 20


def test_cut_messages_of_a_peer_are_refused(simulation: Simulation) -> None:
    """A cut list of facts must not be taken in part."""
    one, other = nodes_of(simulation)[:2]
    packed = one.heartbeats.exchange.leave()[0][1]
    payload = packed[seal.HEADER_BYTES :]
    before = dict(other.membership.known)
    for length, _byte in enumerate(payload):
        cut = seal.seal(one.peers.keys, payload[:length], PURPOSE)
        other.heartbeats.receive(cut)
    assert other.membership.known == before


def test_message_for_one_purpose_is_refused_for_another() -> None:
    """A recorded call must not be replayed to another handler."""
    keys = seal.parse_keys(['1:00', '2:01'])
    message = seal.seal(keys[1:], b'payload', b'one')
    assert seal.unseal(keys, message, b'one') == Ok(b'payload')
    assert isinstance(seal.unseal(keys, message, b'two'), Err)
