"""Guards that callers are told "not run" only of requests that did not run.

A refusal lets a request that must not run twice move to another endpoint, so
it counts only if it answers that request.
"""

import datetime as dt
import itertools
from collections.abc import Iterator
from typing import Any

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzeglade.forwarding import builders, tcp
from bronzeglade.forwarding.attempt import NOT_RUN_STATUSES
from bronzeglade.forwarding.builders import (
    Answer,
    Client,
    router_with_endpoints,
    send_request,
)
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.scripted import ScriptedConnection, answering

ROUTE = builders.route(RouteKind.NON_IDEMPOTENT, attempts=2)
FULL = {
    'empty': 'Content-Length: 0\r\n\r\n',
    'length': 'Content-Length: 4\r\n\r\nfull',
    'chunked': 'Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n',
}


@pytest.fixture(autouse=True)
def _time_limit() -> Iterator[None]:
    with eventlet.Timeout(60):
        yield


def refusal(request_id: str | None, body: str = 'length') -> str:
    """Return a refusal that names a request, or none."""
    name = '' if request_id is None else f'Id: {request_id}\r\n'
    return f'HTTP/1.1 503 Full\r\n{name}Not-Run: 1\r\n{FULL[body]}'


def success(request_id: str) -> str:
    """Return a signed answer to a request."""
    return (
        f'HTTP/1.1 200 OK\r\nId: {request_id}\r\nSignature: s\r\n'
        'Content-Length: 3\r\n\r\nran'
    )


class Repeater:
    """An endpoint that answers `r1`, then repeats a refusal during `r2`.

    `ran` counts the runs of `r2` at this endpoint.
    """

    def __init__(
        self, refuse_first: bool, repeated: str, when: str, run: bool
    ) -> None:
        """Create a script.

        Args:
          refuse_first: whether `r1` is refused rather than answered.
          repeated: the refusal that is sent once more.
          when: `idle` (before `r2` is sent), `joined` (in one packet with the
            answer to `r2`), `before` (that answer) or `after` it.
          run: whether `r2` runs or is refused.
        """
        self.refuse_first = refuse_first
        self.repeated = repeated
        self.when = when
        self.run = run
        self.ran = 0

    def __call__(self, connection: ScriptedConnection) -> None:
        """Run the script on one connection."""
        request = connection.read_request()
        if request['id'] == 'r1':
            connection.send(
                refusal('r1') if self.refuse_first else success('r1')
            )
            if self.when == 'idle':
                eventlet.sleep(0.01)
                connection.send(self.repeated)
            request = connection.read_request()
        self.ran += self.run
        answer = success('r2') if self.run else refusal('r2')
        if self.when == 'before':
            connection.send(self.repeated)
            eventlet.sleep(0.02)
        connection.send(
            {
                'idle': answer,
                'joined': self.repeated + answer,
                'before': answer,
                'after': answer + self.repeated,
            }[self.when]
        )
        connection.read_request()


def send_second(repeater: Repeater) -> tuple[Answer, int]:
    """Send `r1` and `r2`; return the answer and the number of runs of `r2`."""
    router, endpoints = router_with_endpoints(ROUTE, repeater, answering)
    client = Client(builders.serve(router))
    client.send(RouteKind.NON_IDEMPOTENT, 'r1')
    client.read()
    eventlet.sleep(0.02)
    client.send(RouteKind.NON_IDEMPOTENT, 'r2')
    answer = client.read()
    elsewhere = sum(request['id'] == 'r2' for request in endpoints[1].requests)
    return answer, repeater.ran + elsewhere


@pytest.mark.parametrize('refuse_first', [True, False])
@pytest.mark.parametrize('when', ['idle', 'joined', 'before', 'after'])
@pytest.mark.parametrize('run', [True, False])
def test_repeated_refusal_does_not_answer_the_next_request(
    refuse_first: bool, when: str, run: bool
) -> None:
    """The next request would run twice, or be called not run."""
    for request_id, body in itertools.product(('r1', None, ''), FULL):
        repeater = Repeater(refuse_first, refusal(request_id, body), when, run)
        answer, runs = send_second(repeater)
        assert runs <= 1
        assert not (runs and answer.status in NOT_RUN_STATUSES)


@pytest.mark.parametrize('run', [True, False])
@pytest.mark.parametrize('when', ['joined', 'before'])
def test_answer_after_a_repeated_refusal_is_read(when: str, run: bool) -> None:
    """A request that was answered would be reported as failed."""
    for body in FULL:
        repeater = Repeater(True, refusal('r1', body), when, run)
        answer, runs = send_second(repeater)
        assert (answer.status, runs) == (200, 1)


def test_escalated_request_is_not_reported_as_not_run() -> None:
    """The smaller model ran it before the larger model was refused."""

    def small_only(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        if request['model'] == 'large':
            connection.send(refusal('r1'))
        else:
            connection.begin_stream(request, ('Confidence: 5',))
            connection.send_event(1)
        connection.read_request()

    route = builders.route(RouteKind.STREAM, sizes=('small', 'large'))
    router, (endpoint,) = router_with_endpoints(route, small_only)
    answer = send_request(router, RouteKind.STREAM)
    models = [request['model'] for request in endpoint.requests]
    assert models == ['small', 'large']
    assert answer.status == 502


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_status_without_a_statement_is_not_a_refusal(status: int) -> None:
    """Callers send a request again after these statuses."""

    def failing(connection: ScriptedConnection) -> None:
        connection.answer(connection.read_request(), 'failed', status)

    router, endpoints = router_with_endpoints(ROUTE, failing, answering)
    answer = send_request(router, RouteKind.NON_IDEMPOTENT)
    assert answer.status == 502
    assert not endpoints[1].requests


@pytest.mark.parametrize('body', FULL)
@pytest.mark.parametrize('named', [True, False])
def test_refusal_that_an_answer_contradicts_is_no_refusal(
    body: str, named: bool
) -> None:
    """An endpoint that sends both may have run the request."""

    def contradicting(connection: ScriptedConnection) -> None:
        connection.read_request()
        refused = refusal('r1' if named else None, body)
        connection.send(refused + success('r1'))
        connection.read_request()

    router, endpoints = router_with_endpoints(ROUTE, contradicting, answering)
    answer = send_request(router, RouteKind.NON_IDEMPOTENT)
    assert answer.status == 502
    assert not endpoints[1].requests


@pytest.mark.parametrize(
    'surplus', [refusal('r0'), success('r0'), refusal('r1'), 'x' * 99, '\r\n']
)
def test_bytes_after_a_refusal_do_not_change_it(surplus: str) -> None:
    """Bytes that answer no request must not fail a refused request."""

    def refusing(connection: ScriptedConnection) -> None:
        connection.read_request()
        connection.send(refusal('r1') + surplus)
        connection.read_request()

    router, endpoints = router_with_endpoints(ROUTE, refusing, answering)
    answer = send_request(router, RouteKind.NON_IDEMPOTENT)
    assert (answer.status, answer.body) == (200, 'done')
    assert endpoints[0].ended == 1  # the connection is not reused


def test_refusal_before_the_request_is_no_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The endpoint may still run a request that it receives afterwards."""
    connect = tcp.connect

    def connect_slowly(address: tuple[str, int], limit: dt.timedelta) -> Any:
        sock = connect(address, limit)
        eventlet.sleep(0.02)
        return sock

    def early(connection: ScriptedConnection) -> None:
        connection.send(refusal(None))
        connection.read_request()

    monkeypatch.setattr(tcp, 'connect', connect_slowly)
    router, endpoints = router_with_endpoints(ROUTE, early, answering)
    answer = send_request(router, RouteKind.NON_IDEMPOTENT)
    assert (answer.status, answer.body) == (200, 'done')
    assert not endpoints[0].requests


def test_refusal_without_an_id_may_be_of_another_request() -> None:
    """It would let a request that runs at the endpoint run at another one."""

    def unnamed(connection: ScriptedConnection) -> None:
        connection.read_request()
        connection.send(refusal(None))
        eventlet.sleep(0.02)
        connection.send(success('r1'))

    router, endpoints = router_with_endpoints(ROUTE, unnamed, answering)
    assert send_request(router, RouteKind.NON_IDEMPOTENT).status == 502
    assert not endpoints[1].requests


# Answers that belong to no waiting request: of `r0`, or without a name.
SURPLUS = st.sampled_from(
    ['', '', refusal('r0'), refusal('r0', 'chunked'), refusal(None), 'x\r\n']
)
OUTCOMES = st.sampled_from(['run', 'run', 'refuse', 'both', 'reset'])


class Generated:
    """An endpoint that follows a plan for each request, by number.

    A plan holds bytes to send before and after the answer, whether these come
    in packets of their own, and whether the request runs. `runs` lists the
    requests that ran.
    """

    def __init__(self, plans: list[tuple[str, str, bool, str]]) -> None:
        """Create a script that has received no request."""
        self.plans = plans
        self.runs: list[str] = []

    def __call__(self, connection: ScriptedConnection) -> None:
        """Run the script on one connection."""
        while True:
            self.answer(connection, connection.read_request()['id'])

    def answer(self, connection: ScriptedConnection, name: str) -> None:
        """Answer one request."""
        before, after, apart, outcome = self.plans[int(name[1:]) - 1]
        if outcome != 'refuse':
            self.runs.append(name)
        if outcome == 'reset':
            connection.reset()
            return
        body = {
            'run': success(name),
            'refuse': refusal(name),
            'both': refusal(name) + success(name),
        }[outcome]
        if not apart:
            connection.send(before + body + after)
            return
        for packet in (before, body, after):
            connection.send(packet)
            eventlet.sleep(0.01)


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(SURPLUS, SURPLUS, st.booleans(), OUTCOMES),
        min_size=3,
        max_size=3,
    )
)
def test_any_answers_let_a_request_run_once(
    plans: list[tuple[str, str, bool, str]],
) -> None:
    """A request runs at most once, and only one that did not is "not run"."""
    first = Generated(plans)
    second = Generated([('', '', False, 'run') for _ in plans])
    router, _endpoints = router_with_endpoints(ROUTE, first, second)
    client = Client(builders.serve(router))
    for number in range(1, len(plans) + 1):
        name = f'r{number}'
        client.send(RouteKind.NON_IDEMPOTENT, name)
        answer = client.read()
        runs = [*first.runs, *second.runs].count(name)
        assert runs <= 1
        assert not (runs and answer.status in NOT_RUN_STATUSES)
        assert runs or answer.status != 200
