"""Tests that an answer cut in its head never looks like a whole answer.

An endpoint sends the first bytes of an answer and ends the connection, for each
number of bytes, on a new connection or on one that has carried an answer.
"""

from collections.abc import Iterator

import eventlet
import pytest

from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import Answer, Client
from bronzeglade.forwarding.route import Route, RouteKind
from bronzeglade.forwarding.scripted import (
    Script,
    ScriptedConnection,
    answering,
    event_text,
    streaming,
)

BODY = 'done'
EVENTS = event_text(1) + event_text(2)
INTERIM = 'HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n'
FRAMINGS = ('length', 'chunks', 'close')


@pytest.fixture(autouse=True)
def _time_limit() -> Iterator[None]:
    with eventlet.Timeout(120):
        yield


def whole_answer(request_id: str, framing: str, body: str) -> tuple[str, str]:
    """Return the head and the body of a signed answer, as sent."""
    head = f'HTTP/1.1 200 OK\r\nId: {request_id}\r\nSignature: s\r\n'
    if framing == 'length':
        return f'{head}Content-Length: {len(body)}\r\n\r\n', body
    if framing == 'chunks':
        chunk = f'{len(body):x}\r\n{body}\r\n0\r\n\r\n'
        return f'{head}Transfer-Encoding: chunked\r\n\r\n', chunk
    return f'{head}\r\n', body


def cutting(framing: str, body: str, reset: bool, interim: str) -> Script:
    """Return a script that cuts the answer to a request `cut-N` after N bytes.

    It answers requests with other ids, and keeps the connection.
    """

    def script(connection: ScriptedConnection) -> None:
        while True:
            request = connection.read_request()
            request_id = request['id']
            name, _, cut = request_id.partition('-')
            if name != 'cut':
                connection.answer(request, body)
                continue
            sent = interim + ''.join(whole_answer(request_id, framing, body))
            connection.send(sent[: int(cut)])
            if reset:
                eventlet.sleep(0.01)
                connection.reset()
            else:
                connection.sock.close()
            return

    return script


def ask(client: Client, kind: RouteKind, request_id: str) -> Answer | None:
    """Return the answer, or None if the connection ended before one."""
    client.send(kind, request_id)
    try:
        return client.read()
    except ConnectionError:
        return None


def route_of(kind: RouteKind) -> Route:
    """Return a route; streams may be resumed."""
    return builders.route(kind, resumable=kind is RouteKind.STREAM)


def cuts_in_head(framing: str, prefix: str = '') -> Iterator[int]:
    """Return the numbers of bytes that end in the head of an answer.

    The head holds the id of its request, which names the cut.
    """
    cut = 0
    while cut < len(prefix + whole_answer(f'cut-{cut}', framing, BODY)[0]):
        yield cut
        cut += 1


def looks_whole(answer: Answer | None) -> bool:
    """Return whether a caller takes an answer for a complete success."""
    return answer is not None and answer.status == 200 and answer.complete


@pytest.mark.parametrize('interim', ['', INTERIM], ids=['final', 'interim'])
@pytest.mark.parametrize('reset', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('kind', list(RouteKind))
def test_answer_cut_in_its_head_is_no_success(
    kind: RouteKind, framing: str, reset: bool, interim: str
) -> None:
    """Without another endpoint, the caller gets a failure."""
    body = EVENTS if kind is RouteKind.STREAM else BODY
    script = cutting(framing, body, reset, interim)
    router, _endpoints = builders.router_with_endpoints(route_of(kind), script)
    port = builders.serve(router)
    for cut in cuts_in_head(framing, interim):
        answer = ask(Client(port), kind, f'cut-{cut}')
        assert not looks_whole(answer), cut


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('kind', [RouteKind.IDEMPOTENT, RouteKind.STREAM])
def test_answer_cut_in_its_head_is_taken_over(
    kind: RouteKind, framing: str
) -> None:
    """Another endpoint answers whole, and nothing of the cut head is left."""
    is_stream = kind is RouteKind.STREAM
    body = EVENTS if is_stream else BODY
    for cut in cuts_in_head(framing):
        router, _endpoints = builders.router_with_endpoints(
            route_of(kind),
            cutting(framing, body, reset=False, interim=''),
            streaming(1, 2) if is_stream else answering,
        )
        answer = ask(Client(builders.serve(router)), kind, f'cut-{cut}')
        assert looks_whole(answer), cut
        assert answer is not None
        assert answer.body == body, cut


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('kind', list(RouteKind))
def test_answer_cut_on_a_kept_connection_is_no_success(
    kind: RouteKind, framing: str
) -> None:
    """What the connection carried before answers no later request."""
    body = EVENTS if kind is RouteKind.STREAM else BODY
    script = cutting(framing, body, reset=False, interim='')
    router, _endpoints = builders.router_with_endpoints(route_of(kind), script)
    client = Client(builders.serve(router))
    for cut in cuts_in_head(framing):
        assert looks_whole(ask(client, kind, f'whole-{cut}'))
        answer = ask(client, kind, f'cut-{cut}')
        assert not looks_whole(answer), cut
        client = Client(builders.serve(router))


# An endpoint that ends right after its head sends the same bytes as one whose
# answer is empty, and the caller of a cut answer got an empty success.
@pytest.mark.parametrize('kind', list(RouteKind))
def test_answer_without_framing_and_body_is_no_success(kind: RouteKind) -> None:
    """Nothing tells that it is whole."""
    head, _body = whole_answer('r1', 'close', '')

    def script(connection: ScriptedConnection) -> None:
        connection.read_request()
        connection.send(head)
        connection.sock.close()

    router, _endpoints = builders.router_with_endpoints(route_of(kind), script)
    answer = ask(Client(builders.serve(router)), kind, 'r1')
    assert not looks_whole(answer)


# A stream that has neither a length nor chunks ends with its connection.
@pytest.mark.parametrize('kind', ['whole', 'inside'])
def test_stream_without_framing_is_whole_only_after_a_whole_event(
    kind: str,
) -> None:
    """One that ends inside an event has been broken off."""
    stream = builders.route(RouteKind.STREAM)
    head, body = whole_answer('r1', 'close', EVENTS)
    first = len(event_text(1))
    cuts = {'whole': (first, len(body)), 'inside': range(1, first)}
    for cut in cuts[kind]:

        def script(connection: ScriptedConnection, end: int = cut) -> None:
            connection.read_request()
            connection.send(head + body[:end])
            connection.sock.close()

        router, _endpoints = builders.router_with_endpoints(stream, script)
        answer = ask(Client(builders.serve(router)), RouteKind.STREAM, 'r1')
        assert looks_whole(answer) == (kind == 'whole'), cut
