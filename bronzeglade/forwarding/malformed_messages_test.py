"""Guards that no message of another node ends in an exception."""

import random
from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from bronzeglade import malformed
from bronzeglade.builders import ManualClock
from bronzeglade.decisions.outstanding import Outstanding
from bronzeglade.decisions.placement import PlacedRequest, SharedSegment
from bronzeglade.forwarding import builders, load_exchange
from bronzeglade.forwarding.load_exchange import (
    LoadExchange,
    LoadMessage,
    MessageKind,
)

LOAD = [0, 'a-2', {'e': [3, 400]}]
DEPARTURE = [3, 'a-2', {'name': 'e', 'started': 1, 'address': ['10.0.0.1', 1]}]
NESTED = b'\x91' * 100_000 + b'\xc0'
BYTES = (
    b'',
    b'\xc1',
    b'\xdd\xff\xff\xff\xff',
    b'\xdf\xff\xff\xff\xff',
    b'\x93\x00\xa1a\x81\x90\x01',
    b'\xd7\xff' + b'\xff' * 8,
    b'\xa2\xff\xff',
    NESTED,
)


class Socket:
    """Receives one datagram and discards those that are sent."""

    def __init__(self, content: bytes) -> None:
        """Create a socket with the datagram to receive."""
        self.content = content

    def recvfrom(self, _size: int) -> tuple[bytes, tuple[str, int]]:
        """Return the datagram."""
        return self.content, ('10.0.0.2', 1)

    def sendto(self, _content: bytes, _address: tuple[str, int]) -> None:
        """Discard a datagram."""


def exchange(content: bytes) -> None:
    """Receive a datagram, choose an endpoint and send the sums."""
    router = builders.router(builders.route())
    router.update_endpoints([builders.entry('e')])
    known = builders.roster('a-1', 'a-2', 'a-3', 'b-1')
    clock = ManualClock()
    subject = LoadExchange(
        known, router.placement, clock, builders.log(), random.Random(1)
    )
    subject.on_departure = router.mark_leaving
    subject.sock = Socket(content)
    subject.receive_next()
    subject._apply_load(
        LoadMessage(MessageKind.NODE, 'a-3', {'e': Outstanding(1, 1)})
    )
    subject._apply_load(
        LoadMessage(MessageKind.DOMAIN, 'b', {'e': Outstanding(2, 2)})
    )
    router.placement.peer_load.report(
        'others', subject.node_reports.total() or {}
    )
    placed = PlacedRequest((SharedSegment('s', 9),), 90, 10)
    router.placement.choose(list(router.registry.endpoints.values()), placed)
    subject.node_reports.report('a-1', router.placement.outstanding())
    subject._send_totals()
    clock.advance(builders.SECOND)
    subject._send_domain_sum()


@pytest.mark.parametrize('message', [LOAD, DEPARTURE])
def test_message_with_one_malformed_value(message: Any) -> None:
    """A count of 64 bits stopped the reports to all nodes."""
    for variant in malformed.packed_variants(message):
        exchange(msgpack.packb(variant))


@given(st.sampled_from(BYTES) | st.binary(max_size=60))
def test_any_bytes_of_another_node(content: bytes) -> None:
    """No bytes may stop the loop that receives datagrams."""
    exchange(content)


def test_reason_of_a_malformed_message_is_short() -> None:
    """A datagram from outside must not fill the log."""
    content = msgpack.packb([0, 'a', {malformed.LONG_TEXT: None}])
    outcome = load_exchange._decode(content)
    assert len(outcome.unwrap_err()) < 400


def test_load_of_a_node_decodes() -> None:
    """The bounds admit the counts of a busy node."""
    content = msgpack.packb([0, 'a', {'e': [5000, 10**9]}])
    assert isinstance(load_exchange._decode(content), Ok)
