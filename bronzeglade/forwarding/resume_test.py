"""Guards that a stream holds whole events of one stream, in order.

What another endpoint answers after the stream has begun must neither get into
it nor make it look complete before its last event.
"""

import itertools
from collections.abc import Iterator

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import (
    Answer,
    router_with_endpoints,
    send_request,
)
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.scripted import (
    Script,
    ScriptedConnection,
    event_text,
    reset_after,
)

SIGNED = 'Id: ID\r\nSignature: s\r\n'
OK = f'HTTP/1.1 200 OK\r\n{SIGNED}'
CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
LAST_CHUNK = '0\r\n\r\n'
BEGUN = event_text(1) + event_text(2)
ERROR = 'event: error\ndata: overloaded\n\n'
HEAD = 'HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n'
RESUMABLE = builders.route(RouteKind.STREAM, attempts=2, resumable=True)


@pytest.fixture(autouse=True)
def _time_limit() -> Iterator[None]:
    with eventlet.Timeout(60):
        yield


def events(first: int, last: int) -> str:
    """Return the text of numbered events."""
    return ''.join(event_text(number) for number in range(first, last + 1))


def chunks(*texts: str) -> str:
    """Return texts as chunks of a body."""
    return ''.join(f'{len(text):x}\r\n{text}\r\n' for text in texts)


def stream(*texts: str) -> str:
    """Return a complete signed stream with a chunk for each text."""
    return f'{OK}{CHUNKED}{chunks(*texts)}{LAST_CHUNK}'


def raw(text: str, reset: bool = False) -> Script:
    """Return a script that sends bytes and ends the connection.

    Args:
      text: the bytes; `ID` in them is replaced by the request id.
      reset: whether to reset the connection rather than close it.
    """

    def script(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        connection.send(text.replace('ID', request['id']))
        eventlet.sleep(0.02)
        if reset:
            connection.reset()
        else:
            connection.sock.close()

    return script


def send_to(*scripts: Script) -> Answer:
    """Send a resumable stream to the given endpoints in turn."""
    router, _endpoints = router_with_endpoints(RESUMABLE, *scripts)
    return send_request(router, RouteKind.STREAM)


FAILURES = {
    'error': f'HTTP/1.1 500 Failed\r\n{SIGNED}Content-Length: 5\r\n\r\nerror',
    'error that looks like events': (
        f'HTTP/1.1 500 Failed\r\n{SIGNED}{CHUNKED}'
        f'{chunks(events(3, 4))}{LAST_CHUNK}'
    ),
    'unsigned error': (
        'HTTP/1.1 500 Failed\r\nId: ID\r\nContent-Length: 5\r\n\r\nerror'
    ),
    'error without id': (
        'HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nerror'
    ),
    'invalid': f'HTTP/1.1 400 No\r\n{SIGNED}Content-Length: 5\r\n\r\nerror',
    'redirect': f'HTTP/1.1 302 Moved\r\n{SIGNED}Content-Length: 0\r\n\r\n',
    'refusal': (
        'HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n'
        'Content-Length: 4\r\n\r\nfull'
    ),
    'unsigned stream': (
        f'HTTP/1.1 200 OK\r\nId: ID\r\n{CHUNKED}'
        f'{chunks(events(3, 4))}{LAST_CHUNK}'
    ),
    'encoded stream': (
        f'{OK}Content-Encoding: gzip\r\n{CHUNKED}'
        f'{chunks(events(3, 4))}{LAST_CHUNK}'
    ),
    'skipped event': stream(events(4, 5)),
    'no answer': 'error error\r\n\r\n',
}


@pytest.mark.parametrize('kind', FAILURES)
def test_failure_after_a_break_stays_out_of_the_stream(kind: str) -> None:
    """Callers would take the failure for a part or the end of the stream."""
    answer = send_to(reset_after(2), raw(FAILURES[kind]))
    assert not answer.complete
    assert answer.body == BEGUN


@pytest.mark.parametrize('text', [ERROR, HEAD, 'x\r\n\r\n', 'id: x\n\n'])
def test_stream_does_not_resume_with_an_unnumbered_event(text: str) -> None:
    """It is the text of an error rather than the next event."""
    answer = send_to(reset_after(2), raw(stream(text)))
    assert not answer.complete
    assert answer.body == BEGUN


@pytest.mark.parametrize('text', [ERROR, HEAD])
def test_error_text_before_a_break_is_dropped(text: str) -> None:
    """It would end up in the middle of the stream that resumes."""
    start = f'{OK}{CHUNKED}{chunks(events(1, 2), text)}'
    answer = send_to(raw(start, reset=True), raw(stream(events(3, 4))))
    assert answer.complete
    assert answer.body == events(1, 4)


def test_unnumbered_events_of_an_unbroken_stream_are_forwarded() -> None:
    """The caller gets the whole body of the endpoint."""
    texts = [': start\n\n', ERROR, event_text(1), ERROR, event_text(2), ERROR]
    answer = send_to(raw(stream(*texts)))
    assert answer.complete
    assert answer.body == ''.join(texts)


def test_comments_do_not_wait_for_the_next_event() -> None:
    """They keep a slow stream open at callers and proxies."""

    def slow(connection: ScriptedConnection) -> None:
        connection.begin_stream(connection.read_request())
        connection.send_event(1)
        connection.send_chunk(': waiting\n\n')
        connection.read_request()

    route = builders.route(
        RouteKind.STREAM,
        attempts=1,
        objective=100 * builders.MILLISECOND,
        pause=10 * builders.MILLISECOND,
    )
    router, _endpoints = router_with_endpoints(route, slow)
    answer = send_request(router, RouteKind.STREAM)
    assert answer.body == f'{event_text(1)}: waiting\n\n'


@pytest.mark.parametrize(
    'text',
    [
        f'HTTP/1.1 204 No Content\r\n{SIGNED}\r\n',
        f'{OK}Content-Type: application/json\r\nContent-Length: 0\r\n\r\n',
        f'{OK}Content-Type: text/html\r\n{CHUNKED}'
        f'{chunks(events(3, 4))}{LAST_CHUNK}',
        stream(events(3, 4)),  # without a type
    ],
)
def test_answer_of_another_kind_does_not_resume_a_stream(text: str) -> None:
    """It would end up in the stream, or end it as if complete."""
    typed = f'{OK}Content-Type: text/event-stream\r\n{CHUNKED}'
    first = raw(f'{typed}{chunks(events(1, 2))}', reset=True)
    answer = send_to(first, raw(text))
    assert not answer.complete
    assert answer.body == BEGUN


def test_stream_resumes_with_another_charset() -> None:
    """Only the type itself tells whether an answer is a stream."""
    head = f'{OK}Content-Type: text/event-stream%s\r\n{CHUNKED}'
    first = raw(f'{head % ""}{chunks(events(1, 2))}', reset=True)
    rest = f'{chunks(events(3, 4))}{LAST_CHUNK}'
    answer = send_to(first, raw(f'{head % "; charset=utf-8"}{rest}'))
    assert answer.complete
    assert answer.body == events(1, 4)


@pytest.mark.parametrize(
    'text',
    [
        stream(events(1, 1)),  # ends before an event that the caller has
        f'{OK}\r\n',
        f'{OK}\r\n{events(1, 2)}',
        f'{OK}\r\n{events(3, 3)}{HEAD}',
    ],
)
def test_resumed_stream_that_ends_early_is_not_complete(text: str) -> None:
    """An endpoint that crashes closes the stream, or starts another one."""
    answer = send_to(reset_after(2), raw(text))
    assert not answer.complete
    assert answer.body.replace(event_text(3), '') == BEGUN


def test_stream_closed_before_its_first_event_is_not_complete() -> None:
    """The endpoint may have crashed; the next one answers instead."""
    answer = send_to(raw(f'{OK}\r\n'), raw(stream(events(1, 2))))
    assert answer.complete
    assert answer.body == BEGUN


@pytest.mark.parametrize(
    'text',
    [
        stream(),
        f'{OK}Content-Length: 0\r\n\r\n',
        stream(events(1, 2)),
        f'{OK}\r\n{events(3, 4)}',
    ],
)
def test_resumed_stream_ends_after_its_last_event(text: str) -> None:
    """A stream may break between its last event and its end."""
    answer = send_to(reset_after(2), raw(text))
    assert answer.complete
    assert answer.body in {BEGUN, events(1, 4)}


def test_stream_without_numbers_is_not_sent_again() -> None:
    """Another endpoint would repeat the events that the caller has."""
    first = raw(OK + CHUNKED + chunks('data: a\n\n'), reset=True)
    router, endpoints = router_with_endpoints(
        RESUMABLE, first, raw(stream('data: a\n\n', 'data: b\n\n'))
    )
    answer = send_request(router, RouteKind.STREAM)
    assert not answer.complete
    assert answer.body == 'data: a\n\n'
    assert not endpoints[1].requests


def test_stream_resumes_after_unnumbered_and_numbered_events() -> None:
    """The next endpoint continues after the last number."""
    start = OK + CHUNKED + chunks('retry: 9\n\n', events(1, 2))
    answer = send_to(raw(start, reset=True), raw(stream(events(3, 4))))
    assert answer.complete
    assert answer.body == f'retry: 9\n\n{events(1, 4)}'


def test_stream_with_only_comments_starts_again() -> None:
    """Callers ignore comments, so no event is repeated."""
    first = raw(OK + CHUNKED + chunks(': wait\n\n'), reset=True)
    answer = send_to(first, raw(stream(events(1, 2))))
    assert answer.complete
    assert answer.body == f': wait\n\n{events(1, 2)}'


def test_long_answer_that_broke_off_is_not_sent_again() -> None:
    """Nothing but a stream can continue a response that has begun."""
    half = 'y' * 300_000  # more than is buffered
    first = raw(f'{OK}Content-Length: 600000\r\n\r\n{half}', reset=True)
    router, endpoints = router_with_endpoints(
        builders.route(), first, raw(f'{OK}Content-Length: 4\r\n\r\ndone')
    )
    answer = send_request(router, RouteKind.IDEMPOTENT)
    assert not answer.complete
    assert not answer.body.strip('y')
    assert not endpoints[1].requests


PIECES = st.sampled_from(
    ['event', 'event', 'event', 'again', 'skip', ERROR, HEAD, ': wait\n\n']
)
ENDS = st.sampled_from([LAST_CHUNK, 'id: 9\ndata: cut', 'x', ''])
HEADS = st.sampled_from(
    [
        OK + CHUNKED,
        OK + CHUNKED,
        OK + CHUNKED,
        f'{OK}\r\n',
        f'HTTP/1.1 500 Failed\r\n{SIGNED}{CHUNKED}',
        f'HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\n{CHUNKED}',
        f'HTTP/1.1 200 OK\r\nId: ID\r\n{CHUNKED}',
    ]
)


class GeneratedStream:
    """An endpoint that sends generated pieces, each with its own name."""

    def __init__(
        self, name: str, head: str, pieces: list[str], end: str
    ) -> None:
        """Create a script; `end` is sent after the pieces."""
        self.name = name
        self.head = head
        self.pieces = pieces
        self.end = end
        self.ended_whole = end == LAST_CHUNK or (
            end != 'id: 9\ndata: cut' and CHUNKED not in head
        )

    def __call__(self, connection: ScriptedConnection) -> None:
        """Run the script on one connection."""
        request = connection.read_request()
        number = int(request.get('resume-after', '0'))
        connection.send(self.head.replace('ID', request['id']))
        for piece in self.pieces:
            number += {'event': 1, 'skip': 2}.get(piece, 0)
            numbered = piece in {'event', 'again', 'skip'}
            text = f'id: {number}\n: \n\n' if numbered else piece
            text = text.replace('\n', f'\n: by {self.name}\n', 1)
            framed = chunks(text) if CHUNKED in self.head else text
            connection.send(framed)
        if CHUNKED in self.head or self.end != LAST_CHUNK:
            connection.send(self.end)
        eventlet.sleep(0.01)
        connection.sock.close()


def check_events(answer: Answer) -> None:
    """Check that a stream holds whole events, in order and once."""
    body = answer.body.replace('\r\n\r\n', '\n\n').replace('\r', '')
    blocks = [block.split('\n') for block in body.split('\n\n')]
    assert blocks.pop() == ['']  # the last event is whole
    data = [block for block in blocks if not block[0].startswith(':')]
    numbers = [int(block[0][4:]) for block in data if block[0][:3] == 'id:']
    assert numbers in (
        list(range(first, first + len(numbers))) for first in (0, 1, 2)
    )
    for block, following in itertools.pairwise([*data, ['end']]):
        if block[0][:3] != 'id:' and numbers and data.index(block):
            # An event without a number is part of an unbroken stream.
            assert following[1:2] == block[1:2] or (
                following == ['end'] and answer.complete
            )


@settings(max_examples=150)
@given(
    st.lists(
        st.tuples(HEADS, st.lists(PIECES, max_size=5), ENDS),
        min_size=3,
        max_size=3,
    )
)
def test_any_answers_give_the_events_of_one_stream(
    plans: list[tuple[str, list[str], str]],
) -> None:
    """Events are whole, in order and once; an end is that of a stream."""
    scripts = [
        GeneratedStream(f'e{index}', *plan) for index, plan in enumerate(plans)
    ]
    route = builders.route(RouteKind.STREAM, attempts=3, resumable=True)
    router, endpoints = router_with_endpoints(route, *scripts)
    answer = send_request(router, RouteKind.STREAM)
    if answer.status != 200:
        # An error of this node, or the whole answer of one endpoint.
        assert answer.complete
        assert sum(script.name in answer.body for script in scripts) <= 1
        return
    check_events(answer)
    asked = sum(bool(endpoint.requests) for endpoint in endpoints)
    assert scripts[asked - 1].ended_whole or not answer.complete
