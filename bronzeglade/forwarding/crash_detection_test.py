"""Tests of what the end of an endpoint tells of the prompt that it was asked.

An answer may have neither a length nor chunks. Then the end of its connection
marks its end, and the end of the process looks the same.
"""

import socket

import eventlet
import pytest

from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import Client, router_with_endpoints, serve
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.scripted import Script, ScriptedConnection

EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
# A caller sends two shared segments and its own.
PARTS = 'Parts: shared,other,own'


def unframed(is_crash: bool) -> Script:
    """Return a script that ends its answer with the connection.

    Args:
      is_crash: whether the process ends, and so refuses connections.
    """

    def script(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        connection.send(
            f'HTTP/1.1 200 OK\r\nId: {request["id"]}\r\nSignature: s\r\n'
            f'Content-Type: text/event-stream\r\n\r\n{EVENTS}'
        )
        if is_crash:
            # Unlike its close, this may be done while another thread accepts.
            connection.endpoint.listener.fd.shutdown(socket.SHUT_RDWR)
        connection.sock.close()

    return script


# One crash in such a stream cleared the prompt: it was never refused.
@pytest.mark.parametrize('kind', [RouteKind.STREAM, RouteKind.IDEMPOTENT])
@pytest.mark.parametrize('is_crash', [True, False])
def test_end_of_an_answer_without_framing(
    kind: RouteKind, is_crash: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is no evidence that the endpoint has survived the prompt."""
    router, _endpoints = router_with_endpoints(
        builders.route(kind), unframed(is_crash)
    )
    crashes: list[str] = []
    survived: list[str] = []
    monkeypatch.setattr(
        router.crashes,
        'record_crash',
        lambda _service, names, _process: crashes.extend(names),
    )
    monkeypatch.setattr(
        router.crashes,
        'record_sound',
        lambda _service, names: survived.extend(names),
    )
    client = Client(serve(router))
    client.send(kind, extra=(PARTS,))
    assert client.read().status == 200
    eventlet.sleep(0.2)
    assert not survived
    assert bool(crashes) == is_crash
    assert set(crashes) <= {'shared', 'other'}
