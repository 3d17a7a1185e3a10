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
    streaming,
)


def stream(resumable: bool = False) -> Route:
    """Return a route whose streams count as stalled after two seconds."""
    return builders.route(
        RouteKind.STREAM,
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


@pytest.mark.parametrize('fragment', FRAGMENTS)
def test_stalled_stream_that_cannot_resume_ends(fragment: str) -> None:
    """The caller must not wait until the time limit of the route."""
    router, _endpoints = router_with_endpoints(stream(), stalling(fragment))
    assert not send_request(router, RouteKind.STREAM).complete


@pytest.mark.parametrize(
    ('resumable', 'passed_ms', 'until_ms'),
    [
        (True, 0, 1500),
        (True, 1499, 1500),
        (True, 1500, None),  # fails over before callers give up
        (False, 1500, 2000),
        (False, 1999, 2000),
        (False, 2000, None),
    ],
)
def test_next_event_is_waited_for_as_long_as_callers_wait(
    resumable: bool, passed_ms: int, until_ms: int | None
) -> None:
    """A shorter wait would cut slow streams; a longer one is useless."""
    route = stream(resumable)
    router = builders.router(route)
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
