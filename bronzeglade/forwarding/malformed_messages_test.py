"""Guards that no message of another node ends in an exception."""

import dataclasses
import datetime as dt
import io
import json
import random
import tracemalloc
import zlib
from typing import Any
from urllib.parse import urlencode

import msgpack
import pytest
import urllib3
from hypothesis import given
from hypothesis import strategies as st
from result import Ok, Result

from bronzeglade import malformed
from bronzeglade.adapters.feed import Changes, Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.decisions.outstanding import Outstanding
from bronzeglade.decisions.placement import PlacedRequest, SharedSegment
from bronzeglade.forwarding import builders, copies, exchange_message
from bronzeglade.forwarding.copies import CopySource, TableCopies
from bronzeglade.forwarding.exchange_message import LoadMessage, MessageKind
from bronzeglade.forwarding.load_exchange import LoadExchange
from bronzeglade.forwarding.settings import ColdBounds

LOAD = [0, 'a-2', {'e': [3, 400]}]
DEPARTURE = [3, 'a-2', {'name': 'e', 'started': 1, 'address': ['10.0.0.1', 1]}]
PRESENCE = [4, 'b-1', {'b-1': 900, 'a-3': 1200}]
COLD = [
    6,
    'a-2',
    {
        'incarnation': {
            'name': 'e',
            'started': 0,
            'address': ['127.0.0.1', 1],
        },
        'remaining': 900,
    },
]
CRASHES = [5, 'a-2', {'s': {'part': [900, {'e/1': 400}]}}]
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
    router.settings = dataclasses.replace(
        router.settings, cold=ColdBounds(1.5, 5)
    )
    router.update_cold_limits()
    router.update_endpoints([builders.entry('e')])
    known = builders.roster('a-1', 'a-2', 'a-3', 'b-1')
    clock = ManualClock()
    subject = LoadExchange(
        known, router.placement, clock, builders.log(), random.Random(1)
    )
    subject.on_departure = router.mark_leaving
    subject.on_cold = router.mark_cold
    subject.crashes = router.crashes
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
    subject._send_crashes()
    router.crashes.record_crash('s', ['part'], 'e/2')
    router.crashes.find_verdict('s', ['part'])
    assert known.presence.is_present('a-1')


@pytest.mark.parametrize('message', [LOAD, DEPARTURE, PRESENCE, CRASHES, COLD])
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
    outcome = exchange_message.decode(content)
    assert len(outcome.unwrap_err()) < 400


def test_load_of_a_node_decodes() -> None:
    """The bounds admit the counts of a busy node."""
    content = msgpack.packb([0, 'a', {'e': [5000, 10**9]}])
    assert isinstance(exchange_message.decode(content), Ok)


def fetched(body: bytes) -> Result[TableCopies, str]:
    """Return copies that a node answers with, as another one fetches them."""
    pool: Any = Pool(body)
    return copies.fetch(pool, ('10.0.0.1', 1), {'t': (0, 0)}, dt.timedelta())


class Pool:
    """Answers each call with the same body."""

    def __init__(self, body: bytes) -> None:
        """Create a pool with the body of its answers."""
        self.body = body

    def request(self, *_arguments: Any, **_options: Any) -> Any:
        """Return an answer."""
        return urllib3.HTTPResponse(
            io.BytesIO(self.body), status=200, preload_content=False
        )


def apply(found: TableCopies) -> None:
    """Apply copies, follow the store further and serve copies again."""
    for copy in found.tables.values():
        mirror = TableMirror('t', ManualClock())
        mirror.replace(copy.snapshot, lapsed=copy.lapsed.keys())
        mirror.take_lapsed(copy.lapsed, copy.settling)
        changed = {'t/z': Row('t/z', 1, b'')}
        mirror.apply(Changes(2**63 - 1, changed, era=mirror.era))
        source = CopySource([mirror])
        assert fetched(source.answer({}, dt.timedelta())).is_ok()
        assert json.dumps(sorted(mirror.current()))


def packed(rows: Any) -> bytes:
    """Return rows as they are sent."""
    return zlib.compress(msgpack.packb(rows))


ROWS = [['t/a', 3, b'body'], ['t/b', 4, b'']]
COPIES = [True, {'t': [5, 55, packed(ROWS), ROWS, 3, 1]}]


def test_copies_with_one_malformed_value() -> None:
    """A table that is no map ended the call that fetches from a watcher."""
    used = 0
    for variant in malformed.packed_variants(COPIES):
        outcome = fetched(msgpack.packb(variant))
        if isinstance(outcome, Ok):
            apply(outcome.ok_value)
            used += 1
        else:
            assert len(outcome.err_value) < 400
    assert used


def test_copies_with_one_malformed_row() -> None:
    """A version that is a text failed each later comparison of versions."""
    for rows in malformed.packed_variants(ROWS):
        for content in (
            [5, 55, packed(rows), ROWS, 3, 1],
            [5, 5, ROWS, rows, 3, 1],
        ):
            outcome = fetched(msgpack.packb([True, {'t': content}]))
            if isinstance(outcome, Ok):
                apply(outcome.ok_value)


@given(st.sampled_from(BYTES) | st.binary(max_size=60))
def test_any_bytes_as_copies(content: bytes) -> None:
    """No bytes of a peer may end the call that fetches from it."""
    outcome = fetched(content)
    if isinstance(outcome, Ok):
        apply(outcome.ok_value)
    compressed = zlib.compress(content)
    fetched(msgpack.packb([True, {'t': [5, 55, compressed, ROWS, 3, 1]}]))


def test_copies_that_expand_to_a_large_size() -> None:
    """A short answer must not fill the memory of the node."""
    bomb = zlib.compress(bytes(8 * copies.MAX_TABLE_BYTES), 9)
    body = msgpack.packb([True, {'t': [5, 55, bomb, ROWS, 3, 1]}])
    assert len(body) < 1024 * 1024
    tracemalloc.start()
    assert fetched(body).is_err()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 3 * copies.MAX_TABLE_BYTES


@pytest.mark.parametrize('number', [*malformed.NUMBERS, *malformed.DIGIT_TEXTS])
def test_call_for_copies_with_an_odd_number(number: str) -> None:
    """A wait beyond a timedelta was answered with 500 and a traceback."""
    mirror = TableMirror('t', ManualClock())
    mirror.replace(Snapshot(7, {}))
    for query in (
        {'wait_ms': number, 't': '0.1'},
        {'wait_ms': 0, 't': number},
        {'wait_ms': 0, 't': f'{number}.1'},
        {'wait_ms': 0, 't': f'1.{number}'},
    ):
        status = call_status(CopySource([mirror]), urlencode(query))
        assert status in {'200 OK', '400 Bad Request'}


def call_status(source: CopySource, query: str) -> str:
    """Return the status of the answer to a call for copies."""
    statuses: list[str] = []

    def start(status: str, _headers: Any) -> None:
        statuses.append(status)

    environ = {'PATH_INFO': '/copies', 'QUERY_STRING': query}
    source.application(environ, start)
    return statuses[0]
