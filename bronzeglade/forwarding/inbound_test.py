"""Tests that requests of callers are read within limits, unambiguously."""

import dataclasses
import datetime as dt

import eventlet
import h11
import pytest

from bronzeglade import time_slice
from bronzeglade.builders import CallCounter, largest_step
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import Client
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.scripted import ScriptedConnection, ScriptedEndpoint


def answering(connection: ScriptedConnection) -> None:
    """Answer every request."""
    while True:
        connection.answer(connection.read_request())


def serving() -> tuple[Router, ScriptedEndpoint, int]:
    """Return a router with one endpoint and its port."""
    router = builders.router(builders.route())
    endpoint = ScriptedEndpoint(answering)
    router.update_endpoints([builders.entry('e', endpoint.port)])
    return router, endpoint, builders.serve(router)


FEW_SLICES = 8
CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
HEAD = 'POST /idempotent/x HTTP/1.1\r\nHost: api.example\r\nId: r\r\nKey: key-1'


@pytest.mark.parametrize(
    'framing',
    [
        'Content-Length: 3\r\nTransfer-Encoding: chunked',
        'Content-Length: 3\r\nContent-Length: 4',
        'Transfer-Encoding: gzip',
        'Content-Length: +3',
    ],
)
def test_ambiguous_length_is_refused(framing: str) -> None:
    """Request smuggling through conflicting lengths is prevented."""
    _router, endpoint, port = serving()
    client = Client(port)
    client.sock.sendall(f'{HEAD}\r\n{framing}\r\n\r\n0\r\n\r\n'.encode())
    assert client.read().status in {400, 501}
    assert not endpoint.requests


def test_chunked_body_arrives_completely() -> None:
    """The endpoint gets the decoded body, not the caller's chunks."""
    _router, endpoint, port = serving()
    client = Client(port)
    client.sock.sendall(
        f'{HEAD}\r\nTransfer-Encoding: chunked\r\n\r\n'
        '3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'.encode()
    )
    assert client.read().status == 200
    assert endpoint.requests[0]['body'] == 'abcde'
    assert 'transfer-encoding' not in endpoint.requests[0]


def test_pipelined_requests_are_answered_in_order() -> None:
    """Each pipelined request gets its own answer."""
    _router, endpoint, port = serving()
    client = Client(port)
    client.send(RouteKind.IDEMPOTENT, 'r1')
    client.send(RouteKind.IDEMPOTENT, 'r2')
    assert client.read().headers['id'] == 'r1'
    assert client.read().headers['id'] == 'r2'
    assert [request['id'] for request in endpoint.requests] == ['r1', 'r2']


def test_large_head_and_body_are_refused() -> None:
    """Oversized requests are refused before they reach an endpoint."""
    _router, endpoint, port = serving()
    client = Client(port)
    client.send(RouteKind.IDEMPOTENT, extra=(f'Pad: {"x" * 9000}',))
    assert client.read().status == 431
    client = Client(port)
    client.send(RouteKind.IDEMPOTENT, body='x' * 70000)
    assert client.read().status == 413
    assert not endpoint.requests


def test_slow_head_is_refused_as_not_run() -> None:
    """A caller that stops within a head must not hold its connection."""
    router, _endpoint, port = serving()
    assert router.table is not None
    limits = dataclasses.replace(
        router.table.limits, header_timeout=dt.timedelta(milliseconds=100)
    )
    router.table = dataclasses.replace(router.table, limits=limits)
    client = Client(port)
    client.sock.sendall(HEAD.encode())
    assert client.read().status == 408


def test_stopping_node_ends_idle_connections_only() -> None:
    """A new connection's request is answered; idle connections close."""
    router, _endpoint, port = serving()
    client = Client(port)
    router.begin_shutdown()
    client.send(RouteKind.IDEMPOTENT)
    answer = client.read()
    assert answer.status == 200
    assert answer.headers['connection'] == 'close'
    idle = Client(port)
    eventlet.sleep(0.1)
    idle.sock.settimeout(3)
    assert idle.sock.recv(10) == b''


# A body of 4 MB in chunks of 16 bytes held the process for seconds.
@pytest.mark.parametrize(
    'content',
    [
        f'{HEAD}\r\nTransfer-Encoding: chunked\r\n\r\n' + '1\r\nx\r\n' * 9000,
        'GET /none HTTP/1.1\r\nHost: api.example\r\nId: r\r\n\r\n' * 3000,
    ],
    ids=['small chunks', 'pipelined requests'],
)
def test_caller_that_never_pauses_does_not_block_others(
    content: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Other green threads run after a bounded number of parser events."""
    events = CallCounter()
    counting = events.wrap(h11.Connection.next_event)
    monkeypatch.setattr(h11.Connection, 'next_event', counting)
    _router, _endpoint, port = serving()
    client = Client(port)
    sender = eventlet.spawn(client.sock.sendall, content.encode())
    reader = eventlet.spawn(read_to_the_end, client)
    largest = largest_step(lambda: events.count, 4000)
    assert largest <= 2 * time_slice.MAX_PIECES
    client.close()
    for thread in (sender, reader):
        thread.kill()


# Each caller of a crowd had a time slice in each turn of the loop.
def test_crowd_with_small_chunks_does_not_block_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Other green threads run after the time slices of a few callers."""
    events = CallCounter()
    counting = events.wrap(h11.Connection.next_event)
    monkeypatch.setattr(h11.Connection, 'next_event', counting)
    _router, _endpoint, port = serving()
    crowd = [Client(port) for _ in range(60)]
    body = b'1\r\nx\r\n' * 1000
    for client in crowd:
        client.sock.sendall(f'{HEAD}\r\n{CHUNKED}'.encode() + body)
    largest = largest_step(lambda: events.count, 30 * 1000)
    assert largest <= FEW_SLICES * time_slice.MAX_PIECES
    for client in crowd:
        client.sock.close()


def read_to_the_end(client: Client) -> None:
    """Read and discard what a client gets."""
    while client.sock.recv(65536):
        continue
