"""Tests of answers whose servers send without end."""

import dataclasses
import datetime as dt
import io
import socket
import threading
import tracemalloc
from collections.abc import Callable, Iterable
from http import client
from typing import Any

import eventlet
import pytest
import urllib3
from hypothesis import given
from hypothesis import strategies as st

from bronzeglade.adapters import bounded_response, engine
from bronzeglade.adapters.bounded_response import BoundedResponse

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
BUSY = b'HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
SMALL_CHUNK = b'2\r\nxx\r\n'
LARGE_CHUNK = b'1000\r\n' + b'x'.ljust(4096) + b'\r\n'
FIELD = b'A: b\r\n'
FLOOD_BYTES = 32 * 1024 * 1024
TIMEOUT = dt.timedelta(seconds=0.5)


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """The bytes of an answer: a start, then a part that repeats."""

    start: bytes
    part: bytes


class FloodingServer:
    """A server whose answer goes on until the client closes.

    The flood has an end, so that a client without bounds fails the test.
    """

    def __init__(self, flood: Flood) -> None:
        """Listen, and serve in a thread."""
        self.flood = flood
        self.was_closed = False
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = '{0}:{1}'.format(*self.listener.getsockname())
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def is_closed_early(self) -> bool:
        """Return whether the client closed before the end of the flood."""
        self.thread.join(10)
        return self.was_closed

    def _serve(self) -> None:
        connection, _ = self.listener.accept()
        block = self.flood.part * (60_000 // len(self.flood.part))
        with connection:
            connection.recv(65536)
            try:
                connection.sendall(self.flood.start)
                for _ in range(FLOOD_BYTES // len(block)):
                    connection.sendall(block)
            except OSError:
                self.was_closed = True


def open_stream(pool: urllib3.PoolManager, address: str) -> bool:
    """Return whether an engine starts a stream."""
    opened = engine.open_stream(
        pool,
        address,
        engine.EngineRequest('r-1', {}, 0),
        engine.stream_timeout(TIMEOUT, TIMEOUT),
    )
    return opened.is_ok()


def read_load(pool: urllib3.PoolManager, address: str) -> bool:
    """Return whether an engine reports its load."""
    return engine.read_load(pool, address, TIMEOUT) is not None


def read_events(pool: urllib3.PoolManager, address: str) -> bool:
    """Return whether an engine reports its cache events."""
    return engine.read_cache_events(pool, address, 0, TIMEOUT) is not None


# Interim answers and trailers were skipped for as long as they came; during
# these, and while a body came in small chunks, no other green thread ran.
@pytest.mark.parametrize('call', [open_stream, read_load, read_events])
@pytest.mark.parametrize(
    'flood',
    [
        Flood(b'', INTERIM),
        Flood(b'', INTERIM.replace(b'\r\n\r\n', b'\r\n' + FIELD * 9 + b'\r\n')),
        Flood(BUSY + b'0\r\n', FIELD),
        Flood(BUSY, SMALL_CHUNK),
        Flood(b'HTTP/1.1 503 Busy\r\n', FIELD),
    ],
    ids=['interim', 'interim fields', 'trailers', 'small chunks', 'fields'],
)
def test_answer_without_end_is_given_up(
    call: Callable[[urllib3.PoolManager, str], bool], flood: Flood
) -> None:
    """The call fails before the flood ends, and its connection is closed."""
    server = FloodingServer(flood)
    assert not call(bounded_response.new_pool(), server.address)
    assert server.is_closed_early()


# The limit on each read never ended a page in small chunks, of which up to
# 16 MiB were kept at 40 bytes a byte.
@pytest.mark.parametrize('call', [read_load, read_events])
@pytest.mark.parametrize('part', [SMALL_CHUNK, LARGE_CHUNK])
def test_page_without_end_blocks_no_other_green_thread(
    call: Callable[[urllib3.PoolManager, str], bool], part: bytes
) -> None:
    """Others run while a page is read, which ends at its time limit."""
    server = FloodingServer(Flood(CHUNKED, part))
    runs: list[None] = []

    def run() -> None:
        while True:
            runs.append(None)
            eventlet.sleep(0)

    thread = eventlet.spawn(run)
    assert not call(bounded_response.new_pool(), server.address)
    thread.kill()
    assert len(runs) > 10
    assert server.is_closed_early()


class Connection:
    """The socket of an answer that has arrived."""

    def __init__(self, received: bytes) -> None:
        """Create a socket from which the bytes can be read."""
        self.received = received

    def makefile(self, _mode: str) -> io.BytesIO:
        """Return a file to read from."""
        return io.BytesIO(self.received)


def read_pieces(
    response: client.HTTPResponse, sizes: Iterable[int]
) -> list[bytes]:
    """Return what each read of an answer returns."""
    response.begin()
    pieces = [response.read(size) for size in sizes]
    return [*pieces, response.read()]


def encode(chunks: list[bytes]) -> bytes:
    """Return an answer with these chunks."""
    body = b''.join(b'%x;a=b\r\n%s\r\n' % (len(part), part) for part in chunks)
    return CHUNKED + body + b'0\r\nA: b\r\n\r\n'


@given(
    st.lists(st.binary(min_size=1, max_size=20), max_size=20),
    st.lists(st.integers(1, 50), max_size=10),
)
def test_sound_answer_is_read_as_by_the_base_class(
    chunks: list[bytes], sizes: list[int]
) -> None:
    """Each read returns the same bytes."""
    received: Any = Connection(INTERIM + encode(chunks))
    bounded = read_pieces(BoundedResponse(received), sizes)
    assert bounded == read_pieces(client.HTTPResponse(received), sizes)
    assert b''.join(bounded) == b''.join(chunks)


def test_small_chunks_take_the_memory_of_their_content() -> None:
    """No object is kept for each chunk."""
    size = 256 * 1024
    chunks = [b'xx' for _ in range(size // 2)]
    received = Connection(encode(chunks))
    response = BoundedResponse(received)
    response.begin()
    tracemalloc.start()
    content = response.read(size + 1)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(content) == size
    assert peak < 4 * size


def test_incomplete_answer_is_an_error() -> None:
    """A body that ends within a chunk does not look complete."""
    received = Connection(CHUNKED + b'5\r\nab')
    response = BoundedResponse(received)
    response.begin()
    with pytest.raises(client.IncompleteRead):
        response.read()
