"""Tests how an HTTP server stops."""

import datetime as dt
import gc
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import eventlet
import pytest
from eventlet.event import Event

from bronzeglade import listeners, serving, time_slice
from bronzeglade.builders import largest_step
from bronzeglade.clock import SystemClock
from bronzeglade.serving import LoggedProtocol, PageProtocol, Server

LOOPBACK = '127.0.0.1'
BACKLOG = 16
LIMIT = dt.timedelta(seconds=20)
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


def answer(_environ: Any, start_response: Any) -> tuple[bytes]:
    """Answer a request at once."""
    start_response('200 OK', [('Content-Length', '2')])
    return (b'ok',)


class HeldApplication:
    """A WSGI application whose answers wait until they are released."""

    def __init__(self) -> None:
        """Hold all answers."""
        self.released = Event()

    def __call__(self, environ: Any, start_response: Any) -> tuple[bytes]:
        """Answer a request after the release."""
        self.released.wait()
        return answer(environ, start_response)


@pytest.fixture(autouse=True)
def _time_limit() -> Iterator[None]:
    with eventlet.Timeout(60):
        yield


def start_server(
    application: Any,
    max_connections: int = 99,
    protocol: type[LoggedProtocol] = LoggedProtocol,
) -> Server:
    """Return a server that accepts connections."""
    server = Server(
        listeners.listen((LOOPBACK, 0), BACKLOG),
        application,
        SystemClock(),
        protocol,
        max_connections=max_connections,
    )
    server.start()
    return server


def connect(server: Server, content: bytes = b'') -> Any:
    """Connect to a server and send bytes."""
    sock = eventlet.connect(server.wsgi.address)
    sock.sendall(content)
    return sock


def read_all(sock: Any) -> bytes:
    """Return everything that arrives until the connection is closed."""
    blocks = iter(lambda: sock.recv(65536), b'')
    return b''.join(blocks)


def wait_until(condition: Callable[[], bool]) -> None:
    """Let other green threads run until a condition holds."""
    while not condition():
        eventlet.sleep(0.01)


# Guards against the reset of connections that wait in the accept queue: their
# callers cannot know whether their requests ran.
def test_stop_answers_connections_in_the_accept_queue() -> None:
    """A server that accepts no more connections answers those that wait."""
    application = HeldApplication()
    server = start_server(application, max_connections=1)
    callers = [connect(server, REQUEST) for _ in range(BACKLOG // 2)]
    wait_until(lambda: server.connections_in_use() == 1)
    stopping = eventlet.spawn(serving.stop, [server], server.clock, LIMIT)
    wait_until(lambda: server.connections_in_use() == len(callers))
    with pytest.raises(ConnectionRefusedError):
        connect(server)
    application.released.send()
    for caller in callers:
        received = read_all(caller)
        assert received.startswith(b'HTTP/1.1 200')
        assert b'Connection: close' in received
    stopping.wait()
    assert not server.connections


# Guards against an exit that cuts a request which is still arriving.
def test_stop_waits_for_the_rest_of_a_request() -> None:
    """A request whose head has arrived in part is answered."""
    server = start_server(answer)
    caller = connect(server, REQUEST[:3])
    stopping = eventlet.spawn(serving.stop, [server], server.clock, LIMIT)
    eventlet.sleep(2 * serving.FIRST_REQUEST_TIMEOUT.total_seconds())
    assert not stopping.dead
    caller.sendall(REQUEST[3:])
    assert read_all(caller).startswith(b'HTTP/1.1 200')
    stopping.wait()


def test_stop_does_not_wait_for_idle_connections() -> None:
    """Connections that only wait for another request don't delay the exit."""
    server = start_server(answer)
    caller = connect(server, REQUEST)
    assert caller.recv(65536).startswith(b'HTTP/1.1 200')
    stopped_at = server.clock.monotonic() + LIMIT
    serving.stop([server], server.clock, LIMIT)
    assert server.clock.monotonic() < stopped_at


def test_stop_ends_at_its_limit() -> None:
    """A request that does not end must not keep the process running."""
    server = start_server(HeldApplication())
    caller = connect(server, REQUEST)
    wait_until(lambda: server.connections_in_use() == 1)
    serving.stop([server], server.clock, dt.timedelta())
    assert server.connections_in_use() == 1
    caller.close()


# Guards against a second process that takes half of the connections unnoticed.
def test_address_in_use_is_an_error() -> None:
    """Two processes cannot listen on the same address."""
    listener = listeners.listen((LOOPBACK, 0), BACKLOG)
    with pytest.raises(OSError, match='in use'):
        listeners.listen(listener.getsockname(), BACKLOG)
    listener.close()


# A caller that sends requests without waiting for answers held the process.
def test_pipelined_requests_do_not_block_other_green_threads() -> None:
    """Other green threads run after a bounded number of requests."""
    handled = 0

    def count(environ: Any, start_response: Any) -> tuple[bytes]:
        nonlocal handled
        handled += 1
        return answer(environ, start_response)

    server = start_server(count)
    sock = connect(server, REQUEST * 1000)
    largest = largest_step(lambda: handled, 500)
    assert largest <= 2 * time_slice.MAX_PIECES
    sock.close()


# eventlet read the lines of a chunked body, of any length, into memory.
@pytest.mark.parametrize(
    'field', ['Transfer-Encoding: chunked', 'Content-Length: 99999999']
)
def test_page_does_not_read_bodies(field: str) -> None:
    """The caller gets the answer, and the connection ends."""
    server = start_server(answer, protocol=PageProtocol)
    head = f'POST / HTTP/1.1\r\nHost: a\r\n{field}\r\n\r\n'
    sock = connect(server, head.encode() + b'x' * 50_000)
    received = read_all(sock)
    assert received.startswith(b'HTTP/1.1 200')
    assert b'Connection: close' in received
    sock.close()
    wait_until(lambda: not server.connections)


# Connections that stayed open kept all other callers from the server.
def test_connection_without_a_request_gives_way() -> None:
    """New callers are answered though all connections are taken."""
    server = start_server(answer, max_connections=2)
    silent = [connect(server) for _ in range(9)]
    caller = connect(server, REQUEST)
    assert caller.recv(65536).startswith(b'HTTP/1.1 200')
    assert not read_all(silent[0])
    wait_until(lambda: len(server.connections) <= 2)
    for sock in (*silent, caller):
        sock.close()
    wait_until(lambda: not server.connections)


def test_request_in_progress_does_not_give_way() -> None:
    """A new caller waits until an answer has been sent."""
    application = HeldApplication()
    server = start_server(application, max_connections=1)
    first = connect(server, REQUEST)
    wait_until(lambda: server.connections_in_use() == 1)
    eventlet.sleep(0.1)
    second = connect(server, REQUEST)
    eventlet.sleep(0.1)
    application.released.send()
    for sock in (first, second):
        assert sock.recv(65536).startswith(b'HTTP/1.1 200')
        sock.close()
    wait_until(lambda: not server.connections)


def test_head_of_a_page_is_bounded() -> None:
    """A head within the limits of the platform is read, a longer one is not."""
    server = start_server(answer, protocol=PageProtocol)
    for count, status in ((16, b'200'), (24, b'400')):
        fields = f'X-Long: {"x" * 1000}\r\n' * count
        head = f'GET / HTTP/1.1\r\nHost: a\r\n{fields}\r\n'
        sock = connect(server, head.encode())
        assert sock.recv(65536).split()[1] == status
        sock.close()
    wait_until(lambda: not server.connections)


# They stayed open until the garbage was collected.
def test_sockets_of_connections_that_gave_way_are_closed() -> None:
    """Also those whose last response could not be written."""
    server = start_server(answer, max_connections=1)
    gc.collect()
    gc.disable()
    try:
        before = _open_descriptors()
        callers = [connect(server, REQUEST[:-2]) for _ in range(20)]
        wait_until(lambda: len(server.connections) == 1)
        assert _open_descriptors() - before <= len(callers) + 1
    finally:
        gc.enable()
    for sock in callers:
        sock.close()
    wait_until(lambda: not server.connections)


def _open_descriptors() -> int:
    return len(list(Path('/proc/self/fd').iterdir()))
