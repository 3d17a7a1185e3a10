"""Guards slow streams from being cut, and callers from streams that stall."""

from collections.abc import Iterator
from typing import cast

import eventlet
import pytest

from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import ask, fleet
from bronzeglade.forwarding.caller import Caller
from bronzeglade.forwarding.delivery import Delivery
from bronzeglade.forwarding.message import RequestFacts, RequestHead
from bronzeglade.forwarding.route import Kind, Route
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.scripted import (
    Peer,
    Script,
    event_text,
    streaming,
)

from bronzeglade.forwarding.work import Work


def stream(resumable: bool = False) -> Route:
    """Return a route whose callers leave a stream after two seconds."""
    return builders.route(
        Kind.STREAM,
        resumable=resumable,
        timeout=30 * builders.SECOND,
        objective=100 * builders.MILLISECOND,
        pause=100 * builders.MILLISECOND,
    )


def slow(gap_s: float) -> Script:
    """Return a script with pauses between the events of a whole stream."""

    def script(peer: Peer) -> None:
        peer.begin_stream(peer.read_request())
        for number in range(1, 6):
            peer.event(number)
            eventlet.sleep(gap_s)
        peer.chunk('')
        peer.read_request()

    return script


def dribbling(piece: str) -> Script:
    """Return a script that sends two events, then only now and then a piece."""

    def script(peer: Peer) -> None:
        peer.begin_stream(peer.read_request())
        peer.event(1)
        peer.event(2)
        while True:
            peer.chunk(piece)
            eventlet.sleep(0.2)

    return script


class Callerless:
    """A caller that waits."""

    disconnected = False


def work(route: Route, router: Router) -> Work:
    """Return a request of a route that has just been accepted."""
    now = router.clock.monotonic()
    return Work(
        head=RequestHead(b'GET', b'/', ()),
        body=b'',
        facts=RequestFacts('r1', builders.HOST),
        route=route,
        service=builders.SERVICE,
        team=None,
        received=now,
        until=now + route.timeout,
    )


# Below the time limit of the route: a stream that is held until then fails.
@pytest.fixture(autouse=True)
def _time_limit() -> Iterator[None]:
    with eventlet.Timeout(25):
        yield


def test_slow_stream_is_passed_on_whole() -> None:
    """Pauses far above the objective and the wanted pause are no failure."""
    router, endpoints = fleet(stream(resumable=True), slow(1.2), slow(0))
    answer = ask(router, Kind.STREAM)
    assert answer.whole
    assert answer.body == ''.join(event_text(one) for one in range(1, 6))
    assert not endpoints[1].seen


PIECES = ['x', ': ping\n\n', event_text(1)]


@pytest.mark.parametrize('piece', PIECES)
def test_stream_that_stalls_goes_on_at_another_endpoint(piece: str) -> None:
    """Bytes that bring no event must not hold a caller."""
    router, endpoints = fleet(
        stream(resumable=True), dribbling(piece), streaming(3, 4)
    )
    answer = ask(router, Kind.STREAM)
    assert answer.whole
    events = [one for one in answer.body.split('\n\n') if 'id: ' in one]
    assert events == [event_text(one).strip() for one in range(1, 5)]
    eventlet.sleep(0.6)
    assert endpoints[0].ended == 1  # its work is ended, not left to run on


@pytest.mark.parametrize('piece', PIECES)
def test_stream_that_stalls_for_good_ends(piece: str) -> None:
    """Its caller must not wait for the time limit of the route."""
    router, _endpoints = fleet(stream(), dribbling(piece))
    assert not ask(router, Kind.STREAM).whole


@pytest.mark.parametrize(
    ('resumable', 'passed_ms', 'until_ms'),
    [
        (True, 0, 1500),
        (True, 1499, 1500),
        (True, 1500, None),  # resumed elsewhere while callers still wait
        (False, 1500, 2000),
        (False, 1999, 2000),
        (False, 2000, None),
    ],
)
def test_next_event_is_waited_for_as_long_as_callers_wait(
    resumable: bool, passed_ms: int, until_ms: int | None
) -> None:
    """Neither earlier, which cuts slow streams, nor later."""
    route = stream(resumable)
    router = builders.router(route)
    caller = cast(Caller, Callerless())
    delivery = Delivery(router, work(route, router), caller)
    progress_at = router.clock.monotonic()
    waited = delivery._wait_for_event(  # noqa: SLF001
        progress_at, progress_at + passed_ms * builders.MILLISECOND
    )
    if until_ms is None:
        assert waited is None
    else:
        assert waited == progress_at + until_ms * builders.MILLISECOND
