"""Guards the node against endpoints that send endless or malformed bytes.

Such bytes must neither fill the node's memory nor block its event loop, and a
repeatable request fails over to another endpoint.
"""

import tracemalloc
from collections.abc import Callable, Iterator

import eventlet
import h11
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bronzeglade import time_slice
from bronzeglade.builders import CallCounter, largest_step
from bronzeglade.clock import BootClock
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import (
    Client,
    router_with_endpoints,
    send_request,
)
from bronzeglade.forwarding.endpoint_connection import (
    ConnectionPool,
    EndpointConnection,
    OutgoingRequest,
)
from bronzeglade.forwarding.event_sequence import EventSequence
from bronzeglade.forwarding.route import Route, RouteKind
from bronzeglade.forwarding.scripted import (
    ScriptedConnection,
    answering,
    streaming,
)

BLOCK = 'x' * 60000
MAX_BLOCKS = 2000  # 120 MB; the endpoint stops after sending these
# Bytes of a flood that the node may read, including those in socket buffers.
MAX_RECEIVED_BYTES = 6 * 1024 * 1024
# Memory that one flood may add to the process, including the test endpoint.
MAX_HELD_BYTES = 1024 * 1024
HEAD = 'HTTP/1.1 200 OK\r\n'
CHUNKED = 'Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n'


class Flood:
    """A script that sends a given start and then repeats a block."""

    def __init__(self, start: str, block: str = BLOCK) -> None:
        """Create a script that has sent nothing.

        Args:
          start: first bytes; `ID` in them is replaced by the request id.
          block: text to send repeatedly.
        """
        self.start = start
        self.block = block
        self.sent = 0
        self.stopped = False

    def __call__(self, connection: ScriptedConnection) -> None:
        """Run the script on one connection."""
        request = connection.read_request()
        try:
            self._send(connection, request['id'])
        except OSError:
            self.stopped = True

    def _send(self, connection: ScriptedConnection, request_id: str) -> None:
        connection.send(self.start.replace('ID', request_id))
        for _ in range(MAX_BLOCKS):
            connection.send(self.block)
            self.sent += len(self.block)


FLOODS = {
    'status line': ('', BLOCK),
    'reason': ('HTTP/1.1 200 ', BLOCK),
    'header': (f'{HEAD}Id: ', BLOCK),
    'headers': (HEAD, 'A: b\r\n' * 5000),
    'interim answers': ('', 'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
    'chunk size': (f'{HEAD}Id: ID\r\n{CHUNKED}', '0' * 60000),
    'chunk extension': (f'{HEAD}Id: ID\r\n{CHUNKED}5;', BLOCK),
    'trailers': (f'{HEAD}Id: ID\r\n{CHUNKED}0\r\n', 'A: b\r\n' * 5000),
    'surplus answer': (f'{HEAD}Id: ghost\r\n{CHUNKED}', f'ea60\r\n{BLOCK}\r\n'),
    'surplus answers': (
        '',
        f'{HEAD}Id: ghost\r\nSignature: s\r\nContent-Length: 0\r\n\r\n' * 500,
    ),
    'refusal': (
        f'HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: ID\r\n{CHUNKED}',
        f'ea60\r\n{BLOCK}\r\n',
    ),
    'error': (
        f'HTTP/1.1 500 Failed\r\nId: ID\r\n{CHUNKED}',
        f'ea60\r\n{BLOCK}\r\n',
    ),
}


@pytest.fixture(autouse=True)
def _time_limit():  # type: ignore[no-untyped-def]
    with eventlet.Timeout(60):
        yield


@pytest.fixture
def peak_bytes() -> Iterator[Callable[[], int]]:
    """Return a function that returns the peak of newly allocated bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    yield lambda: tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()


@pytest.mark.parametrize('kind', FLOODS)
def test_flood_is_a_failed_attempt(
    kind: str, peak_bytes: Callable[[], int]
) -> None:
    """The request fails over, and the router closes the connection early."""
    flood = Flood(*FLOODS[kind])
    router, _endpoints = router_with_endpoints(
        builders.route(), flood, answering
    )
    assert send_request(router, RouteKind.IDEMPOTENT).body == 'done'
    eventlet.sleep(0.05)
    assert flood.stopped  # the router has closed the connection
    assert flood.sent < MAX_RECEIVED_BYTES
    assert peak_bytes() < MAX_HELD_BYTES


@pytest.mark.parametrize('framing', ['', 'Transfer-Encoding: chunked\r\n'])
def test_endless_body_does_not_look_complete(
    framing: str, peak_bytes: Callable[[], int]
) -> None:
    """The body is forwarded up to a bound, unbuffered and without an end."""
    block = f'ea60\r\n{BLOCK}\r\n' if framing else BLOCK
    start = f'{HEAD}Id: ID\r\nSignature: s\r\n{framing}\r\n'
    flood = Flood(start, block)
    router, _endpoints = router_with_endpoints(builders.route(), flood)
    client = Client(builders.serve(router))
    client.send(RouteKind.IDEMPOTENT)
    client.sock.settimeout(10)
    while received := client.sock.recv(65536):
        last = received
    assert flood.stopped
    assert not last.endswith(b'0\r\n\r\n')
    assert peak_bytes() < MAX_HELD_BYTES


# A body was read until 256 KB of it had arrived, whatever its time limit, and a
# chunk of one byte took 57 bytes of memory.
def test_body_in_one_byte_chunks_ends_at_the_time_limit(
    peak_bytes: Callable[[], int],
) -> None:
    """A flood without a pause must not keep its request past the deadline."""
    flood = Flood(f'{HEAD}Id: ID\r\n{CHUNKED}', '1\r\nx\r\n' * 10000)
    served = builders.route(attempts=1, timeout=300 * builders.MILLISECOND)
    router, _endpoints = router_with_endpoints(served, flood)
    assert send_request(router, RouteKind.IDEMPOTENT).status == 504
    eventlet.sleep(0.05)
    assert flood.stopped
    assert peak_bytes() < MAX_HELD_BYTES


def test_small_chunks_are_held_in_the_memory_of_their_content(
    peak_bytes: Callable[[], int],
) -> None:
    """The bound on a body counts its content, and so must the memory."""
    clock = BootClock()
    pool = ConnectionPool(('127.0.0.1', 1), 1, clock)
    body = b'1\r\nx\r\n' * 60000
    answer = f'{HEAD}{CHUNKED}'.encode() + body
    connection = EndpointConnection(_FakeSocket(answer), pool)
    deadline = clock.monotonic() + 60 * builders.SECOND
    connection.send(
        OutgoingRequest(b'GET', b'/', [(b'Host', b'h')], b''), deadline
    )
    assert connection.read_head(deadline).is_ok()
    before = peak_bytes()
    prefix = connection.read_prefix(deadline, 50000).unwrap()
    assert len(prefix.content) >= 50000
    assert peak_bytes() - before < 512 * 1024


def test_long_valid_answer_is_forwarded_completely() -> None:
    """The bound on buffered bytes must not truncate a finite answer."""
    body = 'y' * 700_000

    def long(connection: ScriptedConnection) -> None:
        connection.answer(connection.read_request(), body)

    router, _endpoints = router_with_endpoints(builders.route(), long)
    answer = send_request(router, RouteKind.IDEMPOTENT)
    assert answer.complete
    assert answer.body == body


@pytest.mark.parametrize(
    'block',
    [
        f'ea60\r\n{BLOCK}\r\n',  # an event that never ends
        '7\r\n: ok\n\n\r\n' * 3000,  # comments without an event
        '1\r\nx\r\n' * 10000,  # an event that never ends, byte by byte
    ],
)
def test_flooded_stream_fails_over(block: str) -> None:
    """A stream without events is resumed at another endpoint."""
    head = f'{HEAD}Id: ID\r\n{CHUNKED}'
    route = builders.route(
        RouteKind.STREAM,
        resumable=True,
        timeout=40 * builders.SECOND,
        objective=builders.SECOND,
    )
    flood = Flood(head, block)
    router, _endpoints = router_with_endpoints(route, flood, streaming(1, 3))
    answer = send_request(router, RouteKind.STREAM)
    assert answer.complete
    assert answer.body.endswith('piece 3\n\n')
    assert flood.stopped


def test_other_requests_are_served_during_floods(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An endpoint that never pauses must not block the event loop."""
    events = CallCounter()
    counting = events.wrap(h11.Connection.next_event)
    monkeypatch.setattr(h11.Connection, 'next_event', counting)
    head = f'{HEAD}Id: ID\r\n{CHUNKED}'
    stream = builders.route(RouteKind.STREAM, timeout=20 * builders.SECOND)
    router, _endpoints = router_with_endpoints(
        stream, *(Flood(head, '1\r\nx\r\n' * 10000) for _ in range(4))
    )
    port = builders.serve(router)
    floods = [Client(port) for _ in range(4)]
    for number, client in enumerate(floods):
        client.send(RouteKind.STREAM, f'flood-{number}')
    largest = largest_step(lambda: events.count, 40 * time_slice.MAX_PIECES)
    # Each flood runs once between two runs of this test, the last flood perhaps
    # twice. A block read without yielding has 10,000 parser events.
    assert largest <= 2 * len(floods) * time_slice.MAX_PIECES
    for client in floods:
        client.close()


# The endpoint's blocks hold up to 30,000 events each, which were handled one
# after the other without a yield: the process stood still.
@pytest.mark.parametrize(
    'piece',
    [
        *('\n', '\r\n', '\r', ': \n\n', 'data: y\n\n'),
        *('id: 1\ndata: x\n\n', '\0\n\n'),
    ],
)
def test_short_events_in_long_blocks_do_not_block_other_requests(
    piece: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Other green threads run after a bounded number of events."""
    events = CallCounter()
    counting = events.wrap(EventSequence.accept)
    monkeypatch.setattr(EventSequence, 'accept', counting)
    flood = Flood(f'{HEAD}Id: ID\r\nSignature: s\r\n\r\n', piece * 20000)
    stream = builders.route(RouteKind.STREAM, timeout=20 * builders.SECOND)
    router, _endpoints = router_with_endpoints(stream, flood)
    client = Client(builders.serve(router))
    client.send(RouteKind.STREAM)
    largest = largest_step(lambda: events.count, 10000)
    assert largest <= 2 * time_slice.MAX_PIECES
    client.close()


class _FakeSocket:
    """A socket that receives given bytes and then the end of the stream."""

    def __init__(self, content: bytes) -> None:
        self.content = content
        self.fd = self

    def recv(self, size: int) -> bytes:
        """Return the next bytes."""
        taken = self.content[:size]
        self.content = self.content[size:]
        return taken

    def settimeout(self, _seconds: float) -> None:
        """Accept and ignore a time-out."""

    def sendall(self, _content: bytes) -> None:
        """Accept and ignore bytes."""


_FRAGMENTS = st.sampled_from(
    [
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'Content-Length: 5\r\n',
        b'Content-Length: -1\r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'Connection: close\r\n',
        b'\r\n',
        b'5\r\nhello\r\n',
        b'0\r\n\r\n',
        b'fffffffffffffffffffff\r\n',
        b'\x00\xff\x80',
        b'\n\n\n',
        b'HTTP/9.9 999 \xe9\r\n',
    ]
)


@settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(_FRAGMENTS | st.binary(max_size=40), max_size=12))
def test_any_bytes_are_an_answer_or_a_broken_connection(
    fragments: list[bytes],
) -> None:
    """No bytes from an endpoint may raise an unhandled error."""
    clock = BootClock()
    pool = ConnectionPool(('127.0.0.1', 1), 1, clock)
    connection = EndpointConnection(_FakeSocket(b''.join(fragments)), pool)
    request = OutgoingRequest(b'GET', b'/', [(b'Host', b'h')], b'')
    deadline = clock.monotonic() + builders.SECOND
    assert connection.send(request, deadline).is_ok()
    head = connection.read_head(deadline)
    if head.is_ok():
        connection.read_prefix(deadline, 1000)
    connection.finish()


def route_of(kind: RouteKind) -> Route:
    """Return a route that allows one attempt."""
    return builders.route(kind, attempts=1)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(_FRAGMENTS | st.binary(max_size=40), min_size=1, max_size=8))
def test_any_bytes_of_a_caller_end_in_an_answer_or_a_close(
    fragments: list[bytes],
) -> None:
    """No malformed bytes of a caller may crash or reach an endpoint."""
    router, (endpoint,) = router_with_endpoints(
        route_of(RouteKind.IDEMPOTENT), answering
    )
    client = Client(builders.serve(router))
    client.sock.sendall(b''.join(fragments) + b'\r\n\r\n')
    client.sock.shutdown(1)
    client.sock.settimeout(5)
    while client.sock.recv(65536):
        continue
    client.close()
    assert not endpoint.requests
    assert send_request(router, RouteKind.IDEMPOTENT).status == 200
