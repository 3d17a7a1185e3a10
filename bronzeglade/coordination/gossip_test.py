"""Tests for the exchange of documents and the rejection of bad messages."""

import datetime as dt

import pytest
from hypothesis import given, strategies
from result import Err, Ok

from bronzeglade.builders import ManualClock
from bronzeglade.coordination import datagram as datagrams
from bronzeglade.coordination import seal
from bronzeglade.coordination.datagram import MAX_DATAGRAM_BYTES, Document
from bronzeglade.coordination.gossip import MAX_DOCUMENT_BYTES, Gossip
from bronzeglade.coordination.simulation import SimulatedNode, Simulation

SECOND = dt.timedelta(seconds=1)


@pytest.fixture(name='simulation')
def started_simulation() -> Simulation:
    """Return eight nodes that know each other, as in a usual deployment."""
    simulation = Simulation(8)
    simulation.run(SECOND * 5)
    return simulation


def nodes_of(simulation: Simulation) -> list[SimulatedNode]:
    """Return the nodes in order."""
    return list(simulation.nodes.values())


def test_documents_reach_eight_nodes_in_two_intervals(
    simulation: Simulation,
) -> None:
    """Allowances are exceeded if the usage on each node spreads slowly."""
    nodes = nodes_of(simulation)
    for node in nodes:
        node.gossip.publish('usage', {'requests': 1})
    simulation.run(SECOND * 2)
    assert all(len(node.gossip.read('usage')) == 8 for node in nodes)


def test_large_document_is_fetched(simulation: Simulation) -> None:
    """A document too large for a datagram must still reach all nodes."""
    nodes = nodes_of(simulation)
    nodes[0].gossip.publish('large', 'x' * 5000)
    simulation.run(SECOND * 4)
    origin = nodes[0].gossip.origin
    assert all(node.gossip.read('large')[origin] for node in nodes)
    assert simulation.largest_datagram_bytes <= MAX_DATAGRAM_BYTES


def test_document_above_the_limit_is_rejected() -> None:
    """An unbounded document would fill the memory of every node."""
    gossip = Gossip('a', ManualClock())
    gossip.publish('t', 'small')
    gossip.publish('t', 'x' * MAX_DOCUMENT_BYTES)
    assert gossip.read('t') == {'a': 'small'}


def test_newest_document_wins_in_any_order() -> None:
    """A delayed datagram must not restore an older document."""
    gossip = Gossip('a', ManualClock())
    for version, body in ((2, b'\x02'), (1, b'\x01')):
        gossip.merge(Document('b', 't', version, body))
    assert gossip.read('t') == {'b': 2}


def test_documents_of_dead_nodes_disappear(simulation: Simulation) -> None:
    """The demand of a dead node must not reserve a share of the slots."""
    nodes = nodes_of(simulation)
    nodes[0].gossip.publish('demand', 1)
    simulation.run(SECOND * 2)
    simulation.nodes.pop(nodes[0].address)
    simulation.run(SECOND * 15)
    assert not any(node.gossip.read('demand') for node in nodes[1:])


def test_tampered_messages_have_no_effect(simulation: Simulation) -> None:
    """A sender without the key must not be able to declare nodes dead."""
    sender, receiver = nodes_of(simulation)[:2]
    address, packed = sender.heartbeats.exchange.leave()[0]
    assert address in simulation.nodes
    before = dict(receiver.membership.known)
    for position, _byte in enumerate(packed):
        tampered = bytearray(packed)
        tampered[position] ^= 1
        receiver.heartbeats.receive(bytes(tampered))
    assert receiver.membership.known == before
    receiver.heartbeats.receive(packed)
    assert receiver.membership.known != before


@given(payload=strategies.binary(max_size=200))
def test_malformed_payloads_are_refused(payload: bytes) -> None:
    """Malformed data from a faulty peer must not raise in the receive loop."""
    outcome = datagrams.unpack(payload)
    assert isinstance(outcome, Err | Ok)
    assert not isinstance(outcome, Ok) or len(payload) > 20


def test_truncated_messages_are_rejected(simulation: Simulation) -> None:
    """A truncated list of updates must not be applied partially."""
    sender, leaving = nodes_of(simulation)[:2]
    leaving.membership.leave()
    sender.membership.merge(leaving.membership.local_member)
    sender.gossip.publish('t', 1)
    packed = sender.heartbeats.exchange.leave()[0][1]
    payload = packed[seal.HEADER_BYTES :]
    complete = datagrams.unpack(payload).unwrap()
    accepted = [
        length
        for length, _byte in enumerate(payload)
        if datagrams.unpack(payload[:length]).is_ok()
    ]
    assert complete.members
    assert complete.documents
    assert not accepted


def test_message_for_one_purpose_is_rejected_for_another() -> None:
    """A recorded call must not be replayed to another handler."""
    keys = seal.parse_keys(['1:00', '2:01'])
    message = seal.seal(keys[1:], b'payload', b'one')
    assert seal.unseal(keys, message, b'one') == Ok(b'payload')
    assert isinstance(seal.unseal(keys, message, b'two'), Err)
