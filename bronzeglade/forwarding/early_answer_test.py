"""Tests of endpoints that answer a long request before they have read it.

An endpoint may answer early. If it resets the connection while the request is
still being sent, the failure may show at the sending side only, and the reading
side sees an orderly end: of an answer without a length, it looks whole.
"""

import eventlet
import pytest

from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import (
    Answer,
    Client,
    router_with_endpoints,
    serve,
)
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.scripted import Script, ScriptedConnection

LONG_BODY = 'x' * 3_000_000
UPLOADS = 8
LIMIT = 4_000_000


def early(rest: str, body: str = 'part', delay_s: float = 0) -> Script:
    """Return a script that answers after the head of a request, and resets.

    Args:
      rest: further headers, each with its line end.
      body: what is sent of the body.
      delay_s: time from the answer to the reset.
    """

    def script(connection: ScriptedConnection) -> None:
        request = connection.read_head()
        head = f'HTTP/1.1 200 OK\r\nId: {request["id"]}\r\nSignature: s\r\n'
        connection.send(f'{head}{rest}\r\n{body}')
        eventlet.sleep(delay_s)
        connection.reset()

    return script


def upload(kind: RouteKind, script: Script) -> Answer:
    """Send a long request to an endpoint; return the answer."""
    served = builders.route(kind, attempts=1, timeout=20 * builders.SECOND)
    router, _endpoints = router_with_endpoints(served, script)
    assert router.table is not None
    router.table = builders.table(served, body_bytes=LIMIT)
    client = Client(serve(router))
    client.send(kind, body=LONG_BODY)
    return client.read()


# The caller got the part as a complete answer in most uploads.
@pytest.mark.parametrize('kind', RouteKind)
@pytest.mark.parametrize('delay_s', [0, 0.02, 0.15])
def test_answer_without_length_that_is_reset(
    kind: RouteKind, delay_s: float
) -> None:
    """A part must not look complete, whichever side sees the reset."""
    script = early('', 'id: 1\ndata: part\n\n', delay_s)
    answers = [upload(kind, script) for _ in range(UPLOADS)]
    complete = [
        answer for answer in answers if answer.status == 200 and answer.complete
    ]
    assert not complete


@pytest.mark.parametrize(
    ('rest', 'body'),
    [
        ('Content-Length: 900\r\n', 'part'),
        ('Transfer-Encoding: chunked\r\n', '4\r\npart\r\n'),
    ],
    ids=['length', 'chunks'],
)
def test_early_part_of_a_framed_answer(rest: str, body: str) -> None:
    """The framing shows that the answer is not whole."""
    answer = upload(RouteKind.IDEMPOTENT, early(rest, body))
    assert answer.status == 502 or not answer.complete


def test_early_answer_that_is_whole() -> None:
    """An endpoint may answer early, read the rest and be used again."""

    def script(connection: ScriptedConnection) -> None:
        while True:
            request = connection.read_head()
            connection.answer(request)
            length = int(request['content-length'])
            while len(connection.buffer) < length:
                connection.buffer += connection.sock.recv(65536)
            connection.buffer = connection.buffer[length:]

    answer = upload(RouteKind.NON_IDEMPOTENT, script)
    assert (answer.status, answer.body) == (200, 'done')


def test_early_end_without_a_reset_is_whole() -> None:
    """The end of the connection marks the end of such an answer."""

    def script(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        head = f'HTTP/1.1 200 OK\r\nId: {request["id"]}\r\nSignature: s\r\n'
        connection.send(f'{head}\r\nwhole')
        connection.sock.close()

    answer = upload(RouteKind.IDEMPOTENT, script)
    assert (answer.status, answer.body) == (200, 'whole')


@pytest.mark.parametrize(
    'status', ['000', '001', '099', '0', '20', '2000', '2x0', '-01', '+20']
)
def test_status_that_is_none(status: str) -> None:
    """An endpoint in trouble must not have its answer passed on."""

    def script(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        connection.send(
            f'HTTP/1.1 {status} Status\r\nId: {request["id"]}\r\n'
            'Signature: s\r\nContent-Length: 4\r\n\r\nbody'
        )

    router, _endpoints = router_with_endpoints(
        builders.route(RouteKind.NON_IDEMPOTENT), script
    )
    answer = builders.send_request(router, RouteKind.NON_IDEMPOTENT)
    assert answer.status == 502
