"""Guards that slow streams continue and that stalled ones fail over or end."""

from collections.abc import Iterator
from typing import cast

import eventlet
import pytest

from bronzeglade.forwarding import builders
from bronzeglade.forwarding.accepted_request import AcceptedRequest
from bronzeglade.forwarding.builders import router_with_endpoints, send_request
from bronzeglade.forwarding.caller import Caller
from bronzeglade.forwarding.delivery import Delivery
from bronzeglade.forwarding.message import RequestFacts, RequestHead
from bronzeglade.forwarding.route import Route, RouteKind
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.scripted import (
    Script,
    ScriptedConnection,
    event_text,
    refusing,
    streaming,
)


def stream(resumable: bool = False, attempts: int = 2) -> Route:
    """Return a route whose streams count as stalled after two seconds."""
    return builders.route(
        RouteKind.STREAM,
        attempts=attempts,
        resumable=resumable,
        timeout=30 * builders.SECOND,
        objective=100 * builders.MILLISECOND,
        pause=100 * builders.MILLISECOND,
    )


def slow(gap_s: float) -> Script:
    """Return a script that pauses after each event of a complete stream."""

    def script(connection: ScriptedConnection) -> None:
        connection.begin_stream(connection.read_request())
        for number in range(1, 6):
            connection.send_event(number)
            eventlet.sleep(gap_s)
        connection.send_chunk('')
        connection.read_request()

    return script


def stalling(fragment: str) -> Script:
    """Return a script that sends two events, then a fragment every 0.2 s."""

    def script(connection: ScriptedConnection) -> None:
        connection.begin_stream(connection.read_request())
        connection.send_event(1)
        connection.send_event(2)
        while True:
            connection.send_chunk(fragment)
            eventlet.sleep(0.2)

    return script


class WaitingCaller:
    """A caller that stays connected."""

    disconnected = False


def accepted_request(route: Route, router: Router) -> AcceptedRequest:
    """Return a request that a route has just accepted."""
    now = router.clock.monotonic()
    return AcceptedRequest(
        head=RequestHead(b'GET', b'/', ()),
        body=b'',
        facts=RequestFacts('r1', builders.HOST),
        route=route,
        service=builders.SERVICE,
        team=None,
        received_at=now,
        deadline=now + route.timeout,
    )


# Below the time limit of the route, so that a stream held until then fails.
@pytest.fixture(autouse=True)
def _time_limit() -> Iterator[None]:
    with eventlet.Timeout(25):
        yield


def test_slow_stream_is_forwarded_completely() -> None:
    """Pauses far above the objective and the target pause are no failure."""
    router, endpoints = router_with_endpoints(
        stream(resumable=True), slow(1.2), slow(0)
    )
    answer = send_request(router, RouteKind.STREAM)
    assert answer.complete
    assert answer.body == ''.join(event_text(number) for number in range(1, 6))
    assert not endpoints[1].requests


# Guards against ending a stream while its caller still waits for an event.
def test_event_that_is_nearly_too_late_is_forwarded() -> None:
    """The caller got the event before later, so its time has not passed."""
    router, _endpoints = router_with_endpoints(stream(), slow(2.1))
    answer = send_request(router, RouteKind.STREAM)
    assert answer.complete


FRAGMENTS = ['x', ': ping\n\n', event_text(1)]


@pytest.mark.parametrize('fragment', FRAGMENTS)
def test_stalled_stream_resumes_at_another_endpoint(fragment: str) -> None:
    """Bytes without a new event must not keep a caller waiting."""
    router, endpoints = router_with_endpoints(
        stream(resumable=True), stalling(fragment), streaming(3, 4)
    )
    answer = send_request(router, RouteKind.STREAM)
    assert answer.complete
    events = [text for text in answer.body.split('\n\n') if 'id: ' in text]
    assert events == [event_text(number).strip() for number in range(1, 5)]
    eventlet.sleep(0.6)
    assert endpoints[0].ended == 1  # the stalled request was aborted


# A comment counted as the first event, after which any event without a number
# counted as a new one.
@pytest.mark.parametrize('pause_s', [0.2, 0])
def test_comments_without_an_event_are_no_answer(pause_s: float) -> None:
    """Callers ignore comments, so they still wait for the first event."""

    def commenting(connection: ScriptedConnection) -> None:
        connection.begin_stream(connection.read_request())
        while True:
            connection.send_chunk(': ping\n\n')
            eventlet.sleep(pause_s)

    router, endpoints = router_with_endpoints(
        stream(resumable=True), commenting, streaming(1, 2)
    )
    answer = send_request(router, RouteKind.STREAM)
    assert answer.complete
    eventlet.sleep(0.6)
    assert endpoints[0].ended == 1


@pytest.mark.parametrize('fragment', FRAGMENTS)
def test_stalled_stream_that_cannot_resume_ends(fragment: str) -> None:
    """The caller must not wait until the time limit of the route."""
    router, _endpoints = router_with_endpoints(stream(), stalling(fragment))
    assert not send_request(router, RouteKind.STREAM).complete


# Guards against ending the stream of a silent endpoint when no other takes it.
@pytest.mark.parametrize('attempts', [2, 3])
@pytest.mark.parametrize(
    ('others', 'resumed_after'), [((), [0]), ((refusing,), [0, 2])]
)
def test_slow_stream_continues_if_no_other_endpoint_takes_it(
    others: tuple[Script, ...], resumed_after: list[int], attempts: int
) -> None:
    """The endpoint is silent for longer than it takes to fail over."""
    requests: list[int] = []

    def slow_once(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        requests.append(int(request.get('resume-after', '0')))
        connection.begin_stream(request)
        for number in range(requests[-1] + 1, 5):
            connection.send_event(number)
            eventlet.sleep(1.7 if number == 2 else 0)
        connection.send_chunk('')
        connection.read_request()

    router, endpoints = router_with_endpoints(
        stream(resumable=True, attempts=attempts), slow_once, *others
    )
    answer = send_request(router, RouteKind.STREAM)
    assert answer.complete
    assert answer.body == ''.join(event_text(number) for number in range(1, 5))
    assert requests == resumed_after
    assert all(endpoint.requests for endpoint in endpoints)


# Guards against asking an endpoint without end that refuses to continue.
def test_silent_endpoint_that_refuses_later_is_asked_twice() -> None:
    """The stream ends when neither endpoint continues it."""

    def silent_then_refusing(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        if 'resume-after' in request:
            connection.answer(request, 'full', 503, ('Not-Run: 1',))
        else:
            connection.begin_stream(request)
            connection.send_event(1)
        connection.read_request()

    router, endpoints = router_with_endpoints(
        stream(resumable=True, attempts=3), silent_then_refusing, refusing
    )
    answer = send_request(router, RouteKind.STREAM)
    assert not answer.complete
    assert [len(endpoint.requests) for endpoint in endpoints] == [2, 1]


def test_silent_endpoint_is_not_abandoned_without_another() -> None:
    """An answer that begins late is better than none."""

    def late(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        eventlet.sleep(1)
        connection.answer(request)

    route = builders.route(objective=200 * builders.MILLISECOND)
    router, endpoints = router_with_endpoints(route, late)
    assert send_request(router, RouteKind.IDEMPOTENT).status == 200
    assert len(endpoints[0].requests) == 1


@pytest.mark.parametrize(
    ('kind', 'passed_ms', 'until_ms'),
    [
        ('another endpoint', 0, 1500),
        ('another endpoint', 1499, 1500),
        # Fails over before callers give up.
        ('another endpoint', 1500, None),
        ('no other endpoint', 1500, 1600),
        ('no other endpoint', 2450, 2500),
        ('no other endpoint', 2500, None),
        # Callers give up after two seconds, measured where they are.
        ('not resumable', 1500, 2500),
        ('not resumable', 2499, 2500),
        ('not resumable', 2500, None),
    ],
)
def test_next_event_is_waited_for_as_long_as_callers_wait(
    kind: str, passed_ms: int, until_ms: int | None
) -> None:
    """A shorter wait would cut slow streams; a longer one is useless."""
    route = stream(kind != 'not resumable')
    router = builders.router(route)
    if kind == 'another endpoint':
        router.update_endpoints([builders.entry('e')])
    caller = cast(Caller, WaitingCaller())
    delivery = Delivery(router, accepted_request(route, router), caller)
    last_progress_at = router.clock.monotonic()
    waited = delivery._event_deadline(  # noqa: SLF001
        last_progress_at, last_progress_at + passed_ms * builders.MILLISECOND
    )
    if until_ms is None:
        assert waited is None
    else:
        assert waited == last_progress_at + until_ms * builders.MILLISECOND
