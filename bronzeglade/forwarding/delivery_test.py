"""Guards what callers get when endpoints fail: whole, once, or told truly."""

import datetime as dt

import eventlet
import pytest

from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.clock import BootClock
from bronzeglade.coordination.canary import Order, first_plan
from bronzeglade.decisions import timings
from bronzeglade.decisions.placement import EndpointChoice, PlacedRequest
from bronzeglade.decisions.timings import Part
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import Client, ask, fleet
from bronzeglade.forwarding.delivery import Attempted, task_of
from bronzeglade.forwarding.endpoint import Endpoint
from bronzeglade.forwarding.watch import Watch
from bronzeglade.forwarding.route import Kind, Route
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.upstream import ConnectionPool
from bronzeglade.forwarding.scripted import (
    Peer,
    Script,
    answering,
    cut_after,
    event_text,
    forgetting,
    refusing,
    resetting,
    sending,
    silent,
    streaming,
)


def test_request_reaches_the_endpoint_unchanged() -> None:
    """A changed path, query or body would run something nobody asked for."""
    router, (endpoint,) = fleet(builders.route(), answering)
    answer = ask(router, Kind.IDEMPOTENT, body='payload')
    assert (answer.status, answer.body) == (200, 'done')
    seen = endpoint.seen[0]
    assert seen['line'] == 'POST /idempotent/x?q=1 HTTP/1.1'
    assert (seen['body'], seen['id'], seen['team']) == (
        'payload',
        'r1',
        'atlas',
    )
    assert 'key' not in seen


def test_idempotent_request_is_tried_again_after_a_reset() -> None:
    """A crashed endpoint must not cost an idempotent request its answer."""
    router, endpoints = fleet(builders.route(), resetting, answering)
    assert ask(router, Kind.IDEMPOTENT).status == 200
    assert [len(one.seen) for one in endpoints] == [1, 1]


def test_non_idempotent_request_is_never_sent_twice() -> None:
    """A reset after the send leaves the outcome open: no second run."""
    route = builders.route(Kind.NON_IDEMPOTENT, attempts=2)
    router, endpoints = fleet(route, resetting, answering)
    answer = ask(router, Kind.NON_IDEMPOTENT)
    assert answer.status == 502
    assert [len(one.seen) for one in endpoints] == [1, 0]


def test_work_that_may_run_once_avoids_connections_that_rested() -> None:
    """An endpoint may have dropped a resting connection without notice.

    What is sent on it is reset, and whether it has run stays unknown.
    """
    route = builders.route(Kind.NON_IDEMPOTENT)
    router, (endpoint,) = fleet(route, forgetting)
    client = Client(builders.serve(router))
    client.send(Kind.NON_IDEMPOTENT, 'r1')
    assert client.read().status == 200
    eventlet.sleep(0.25)
    client.send(Kind.NON_IDEMPOTENT, 'r2')
    assert client.read().status == 200
    assert endpoint.connections == 2


def test_refused_request_runs_at_another_endpoint() -> None:
    """A refusal proves that nothing ran, so another endpoint may run it."""
    route = builders.route(Kind.NON_IDEMPOTENT, attempts=2)
    router, _endpoints = fleet(route, refusing, answering)
    assert ask(router, Kind.NON_IDEMPOTENT).status == 200


def test_request_refused_everywhere_is_told_as_not_run() -> None:
    """Callers repeat after a 503, which is right only when nothing ran."""
    route = builders.route(Kind.NON_IDEMPOTENT, attempts=2)
    router, _endpoints = fleet(route, refusing, refusing)
    answer = ask(router, Kind.NON_IDEMPOTENT)
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0


def test_attempts_are_bounded_by_the_route() -> None:
    """More endpoints than the route allows must not see the request."""
    router, endpoints = fleet(
        builders.route(attempts=2), resetting, resetting, answering
    )
    assert ask(router, Kind.IDEMPOTENT).status == 502
    assert [len(one.seen) for one in endpoints] == [1, 1, 0]


def test_unreachable_endpoint_costs_no_attempt() -> None:
    """A refused connection is no run: a route with one attempt goes on."""
    route = builders.route(Kind.NON_IDEMPOTENT, attempts=1)
    router, endpoints = fleet(route, answering, answering)
    endpoints[0].listener.close()
    assert ask(router, Kind.NON_IDEMPOTENT).status == 200


def test_silent_endpoint_is_given_up_for_another() -> None:
    """An endpoint that never answers must not hold an idempotent request."""
    route = builders.route(objective=200 * builders.MILLISECOND)
    router, _endpoints = fleet(route, silent, answering)
    assert ask(router, Kind.IDEMPOTENT).status == 200


def test_time_limit_of_the_route_ends_the_wait() -> None:
    """A caller gets its final answer at the time-out, not later."""
    route = builders.route(
        Kind.NON_IDEMPOTENT, timeout=200 * builders.MILLISECOND
    )
    router, _endpoints = fleet(route, silent)
    assert ask(router, Kind.NON_IDEMPOTENT).status == 504


def test_unsigned_success_is_not_passed_on() -> None:
    """Bytes that the service did not sign belong to no request."""

    def unsigned(peer: Peer) -> None:
        peer.read_request()
        peer.send('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi')

    router, _endpoints = fleet(builders.route(), unsigned, answering)
    assert ask(router, Kind.IDEMPOTENT).body == 'done'


def test_answer_to_another_request_is_skipped() -> None:
    """A surplus answer ahead of the right one belongs to somebody else."""

    def surplus(peer: Peer) -> None:
        request = peer.read_request()
        peer.answer({'id': 'other'}, 'wrong')
        peer.answer(request, 'right')

    route = builders.route(Kind.NON_IDEMPOTENT)
    router, _endpoints = fleet(route, surplus)
    assert ask(router, Kind.NON_IDEMPOTENT).body == 'right'


@pytest.mark.parametrize('named', [True, False])
def test_late_copy_is_no_answer_to_the_next_request(named: bool) -> None:
    """It comes while the connection is in use again, perhaps without an id."""

    def repeating(peer: Peer) -> None:
        first = peer.read_request()
        peer.answer(first, 'first')
        second = peer.read_request()
        if named:
            peer.answer(first, 'first')
        else:
            peer.send(
                'HTTP/1.1 200 OK\r\nSignature: s\r\n'
                'Content-Length: 5\r\n\r\nfirst'
            )
        peer.answer(second, 'second')

    router, (endpoint,) = fleet(builders.route(attempts=1), repeating)
    client = Client(builders.serve(router))
    bodies: list[str] = []
    for number in range(2):
        client.send(Kind.IDEMPOTENT, f'r{number}')
        bodies.append(client.read().body)
    assert endpoint.connections == 1
    assert bodies[0] == 'first'
    assert bodies[1] in {'second', 'the endpoint failed'}


def test_connection_with_surplus_bytes_is_not_reused() -> None:
    """What follows a whole answer would be taken for the next answer."""

    def chatty(peer: Peer) -> None:
        while True:
            request = peer.read_request()
            peer.answer(request)
            peer.answer({'id': 'ghost'}, 'ghost')

    router, (endpoint,) = fleet(builders.route(), chatty)
    port = builders.serve(router)
    client = Client(port)
    for number in range(2):
        client.send(Kind.IDEMPOTENT, f'r{number}')
        assert client.read().body == 'done'
        eventlet.sleep(0.02)
    assert endpoint.connections == 2


def test_truncated_answer_is_not_passed_on() -> None:
    """A body shorter than its length is no whole answer."""
    short = sending('Content-Length: 10\r\n\r\nhalf')
    router, _endpoints = fleet(builders.route(), short, answering)
    assert ask(router, Kind.IDEMPOTENT).body == 'done'


def test_answer_without_length_ends_with_its_connection() -> None:
    """Endpoints may frame an answer by closing; it is whole then."""
    router, _endpoints = fleet(builders.route(), sending('\r\nwhole'))
    assert ask(router, Kind.IDEMPOTENT).body == 'whole'


def test_answer_without_length_that_is_reset_is_not_whole() -> None:
    """A reset looks like the end of an unframed body, and is not."""
    torn = sending('\r\nhal', reset=True)
    router, _endpoints = fleet(builders.route(), torn, answering)
    assert ask(router, Kind.IDEMPOTENT).body == 'done'


def test_early_answer_does_not_mix_with_the_rest_of_the_body() -> None:
    """Bytes of a long body after an early answer are not a new request."""

    def early(peer: Peer) -> None:
        request = peer.read_head()
        peer.answer(request, 'full', 503, ('Not-Run: 1',))
        eventlet.sleep(0.2)
        peer.read_head()

    route = builders.route(Kind.NON_IDEMPOTENT, attempts=2)
    router, endpoints = fleet(route, early, answering)
    answer = ask(router, Kind.NON_IDEMPOTENT, body='x' * 60000)
    assert answer.status == 200
    assert len(endpoints[1].seen[0]['body']) == 60000


def test_stream_is_passed_on_whole() -> None:
    """Every event arrives once, and the end is marked."""
    router, _endpoints = fleet(builders.route(Kind.STREAM), streaming(1, 5))
    answer = ask(router, Kind.STREAM)
    assert answer.whole
    assert answer.body == ''.join(event_text(one) for one in range(1, 6))


@pytest.mark.parametrize('rest', ['', 'id: 3\ndata: pie'])
def test_broken_stream_goes_on_at_another_endpoint(rest: str) -> None:
    """Neither a cut nor half an event may lose or double an event."""
    router, endpoints = fleet(
        builders.route(Kind.STREAM, resumable=True),
        cut_after(2, rest),
        streaming(3, 4),
    )
    answer = ask(router, Kind.STREAM)
    assert answer.whole
    assert answer.body == ''.join(event_text(one) for one in range(1, 5))
    assert endpoints[1].seen[0]['resume-after'] == '2'


def test_resume_that_repeats_events_passes_each_on_once() -> None:
    """An endpoint that starts over must not double what the caller has."""
    router, _endpoints = fleet(
        builders.route(Kind.STREAM, resumable=True),
        cut_after(2),
        streaming(1, 4),
    )
    answer = ask(router, Kind.STREAM)
    assert answer.body == ''.join(event_text(one) for one in range(1, 5))


def test_resume_that_skips_an_event_is_not_passed_on() -> None:
    """A gap must not look like a whole answer."""
    router, _endpoints = fleet(
        builders.route(Kind.STREAM, resumable=True),
        cut_after(2),
        streaming(4, 5),
    )
    answer = ask(router, Kind.STREAM)
    assert not answer.whole
    assert answer.body == event_text(1) + event_text(2)


def test_stream_that_must_not_repeat_is_broken_off() -> None:
    """A cut answer of a stream that runs once must not look complete."""
    router, endpoints = fleet(
        builders.route(Kind.STREAM), cut_after(2), streaming(3, 4)
    )
    answer = ask(router, Kind.STREAM)
    assert not answer.whole
    assert not endpoints[1].seen


def observed(router: Router) -> tuple[float, float]:
    """Return requests and failures that are evidence, after four requests.

    The endpoints have the old version; the new one is counted the same way.
    """
    row = Row('orders/rollout/workers', 5, b'workers v2 20')
    router.rollouts.operator_rows.replace(Snapshot(9, {row.key: row}))
    router.rollouts.own.replace(Snapshot(9, {}))
    router.rollouts.refresh()
    for _ in range(4):
        client = Client(builders.serve(router))
        client.send(Kind.NON_IDEMPOTENT)
        client.read()
    counted = router.rollouts.watches[builders.SERVICE].control.errors
    return counted.count, counted.total


def test_broken_connections_are_no_evidence_against_a_version() -> None:
    """Noise of crashes in the control hides the failures of a bad version."""
    route = builders.route(Kind.NON_IDEMPOTENT, attempts=1)
    router = fleet(route, resetting)[0]
    assert observed(router) == (0, 0)


def test_failures_of_the_service_are_evidence_against_a_version() -> None:
    """A version that answers with errors must be found out."""

    def failing(peer: Peer) -> None:
        while True:
            peer.answer(peer.read_request(), 'failed', 500)

    route = builders.route(Kind.NON_IDEMPOTENT, attempts=1)
    router = fleet(route, failing)[0]
    assert observed(router) == (4, 4)


def timed(served: Route, *scripts: Script) -> Watch:
    """Return what a node knows of a roll-out after one request."""
    router = fleet(served, *scripts)[0]
    known = router.rollouts
    row = Row('orders/rollout/workers', 5, b'workers v2 20')
    known.operator_rows.replace(Snapshot(9, {row.key: row}))
    order = Order(builders.SERVICE, 'v2', dt.timedelta(seconds=20), 5)
    known.refresh()
    known.plans[builders.SERVICE] = first_plan(order, dt.timedelta(), None)
    ask(router, served.kind)
    return known.watches[builders.SERVICE]


def parts(watch: Watch) -> list[Part]:
    """Return the parts of tries that were timed."""
    return sorted(cell.stratum.part for cell in watch.stopwatch.control)


def test_stream_is_timed_by_its_head_and_its_events() -> None:
    """A version that is slow between events only must be found, too."""
    watch = timed(builders.route(Kind.STREAM), streaming(1, 10))
    assert parts(watch) == [Part.EVENTS, Part.FIRST]


def test_prompts_of_all_routes_are_compared() -> None:
    """Where traffic is thin, one route alone has too little to compare."""
    endpoint = Endpoint(
        builders.entry('e1'), ConnectionPool(('127.0.0.1', 1), 1, BootClock())
    )
    place = EndpointChoice('e1', cost=2000, cached_tokens=0, load=5)
    tasks = [
        task_of(Attempted(route, 'm', placed, endpoint, place), 2)
        for route in ('r1', 'r2')
        for placed in (PlacedRequest(tokens=100), PlacedRequest())
    ]
    assert [one.kind for one in tasks] == ['', 'r1', '', 'r2']
    assert tasks[0].first_level == timings.token_level(2000)
    assert tasks[1].first_level == timings.load_level(5 / 4)


def test_refusals_and_broken_connections_are_not_timed() -> None:
    """They come fast, and would hide that the answers are slow."""
    route = builders.route(Kind.IDEMPOTENT, attempts=3)
    watch = timed(route, refusing, resetting, answering)
    assert len(watch.stopwatch.control) == 1
    assert not watch.stopwatch.running


def test_try_that_was_given_up_is_timed() -> None:
    """What is given up for its slowness is evidence of slowness."""
    route = builders.route(objective=200 * builders.MILLISECOND)
    watch = timed(route, silent, answering)
    counted = watch.stopwatch.control
    assert sorted(cell.place.open for cell in counted) == [False, True]


def test_unsure_answer_of_a_small_model_is_replaced() -> None:
    """A wrong answer is worth little; nothing of it may reach the caller."""

    def unsure(peer: Peer) -> None:
        request = peer.read_request()
        confidence = '95' if request['model'] == 'large' else '5'
        peer.begin_stream(request, (f'Confidence: {confidence}',))
        peer.chunk(f'id: 1\ndata: {request["model"]}\n\n')
        peer.chunk('')
        peer.read_request()

    route = builders.route(
        Kind.STREAM, resumable=True, sizes=('small', 'large')
    )
    router, (endpoint,) = fleet(route, unsure)
    answer = ask(router, Kind.STREAM)
    assert answer.body == 'id: 1\ndata: large\n\n'
    assert [one['model'] for one in endpoint.seen] == ['small', 'large']


def test_work_stops_when_the_caller_leaves() -> None:
    """An endpoint must not work on for a caller that is gone."""
    route = builders.route(Kind.STREAM, resumable=True)
    router, (endpoint,) = fleet(route, silent)
    client = Client(builders.serve(router))
    client.send(Kind.STREAM)
    eventlet.sleep(0.1)
    client.close()
    eventlet.sleep(0.2)
    assert endpoint.ended == 1
    assert len(endpoint.seen) == 1
    assert router.in_flight == 0


def test_unknown_key_and_route_are_refused() -> None:
    """Only what the configuration allows may run."""
    router, (endpoint,) = fleet(builders.route(), answering)
    assert ask(router, Kind.IDEMPOTENT, key='stolen').status == 401
    assert ask(router, Kind.STREAM).status == 404
    assert not endpoint.seen


def test_node_without_configuration_refuses_as_not_run() -> None:
    """A node that starts must not deny what it cannot know."""
    answer = ask(builders.router(), Kind.IDEMPOTENT)
    assert answer.status == 503
