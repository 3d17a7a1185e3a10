"""Guards slow streams from being cut, and callers from streams that stall."""

from collections.abc import Iterator

import eventlet
import pytest

from bronzeglade.clock import BootClock
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import ask, fleet
from bronzeglade.forwarding.route import SHORTEST_STALL, Kind, Route
from bronzeglade.forwarding.scripted import (
    Peer,
    Script,
    event_text,
    streaming,
)


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
    clock = BootClock()
    began = clock.monotonic()
    answer = ask(router, Kind.STREAM)
    assert answer.whole
    assert clock.monotonic() - began < SHORTEST_STALL
    events = [one for one in answer.body.split('\n\n') if 'id: ' in one]
    assert events == [event_text(one).strip() for one in range(1, 5)]
    eventlet.sleep(0.6)
    assert endpoints[0].ended == 1  # its work is ended, not left to run on


@pytest.mark.parametrize('piece', PIECES)
def test_stream_that_stalls_for_good_ends(piece: str) -> None:
    """Its caller must not wait for the time limit of the route."""
    router, _endpoints = fleet(stream(), dribbling(piece))
    clock = BootClock()
    began = clock.monotonic()
    answer = ask(router, Kind.STREAM)
    assert not answer.whole
    assert clock.monotonic() - began < 2 * SHORTEST_STALL
