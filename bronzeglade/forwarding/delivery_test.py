"""Guards the answers that callers get when endpoints fail.

An answer arrives complete and once, or an error states correctly whether the
request ran.
"""

import datetime as dt

import eventlet
import pytest

from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.clock import BootClock
from bronzeglade.coordination.rollout_plan import Order, first_plan
from bronzeglade.decisions import duration_histograms
from bronzeglade.decisions.duration_histograms import Phase
from bronzeglade.decisions.placement import EndpointChoice, PlacedRequest
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import (
    Client,
    router_with_endpoints,
    send_request,
)
from bronzeglade.forwarding.delivery import AttemptPlan, timing_task
from bronzeglade.forwarding.endpoint import Endpoint
from bronzeglade.forwarding.endpoint_connection import ConnectionPool
from bronzeglade.forwarding.route import Route, RouteKind
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.running_rollout import RunningRollout
from bronzeglade.forwarding.scripted import (
    Script,
    ScriptedConnection,
    answering,
    event_text,
    refusing,
    reset_after,
    resetting,
    resetting_second,
    sending,
    silent,
    streaming,
)


def test_request_reaches_the_endpoint_unchanged() -> None:
    """A changed path, query or body would run another request."""
    router, (endpoint,) = router_with_endpoints(builders.route(), answering)
    answer = send_request(router, RouteKind.IDEMPOTENT, body='payload')
    assert (answer.status, answer.body) == (200, 'done')
    request = endpoint.requests[0]
    assert request['line'] == 'POST /idempotent/x?q=1 HTTP/1.1'
    assert (request['body'], request['id'], request['team']) == (
        'payload',
        'r1',
        'atlas',
    )
    assert 'key' not in request


def test_idempotent_request_is_retried_after_a_reset() -> None:
    """A crash of one endpoint must not fail an idempotent request."""
    router, endpoints = router_with_endpoints(
        builders.route(), resetting, answering
    )
    assert send_request(router, RouteKind.IDEMPOTENT).status == 200
    assert [len(endpoint.requests) for endpoint in endpoints] == [1, 1]


def test_non_idempotent_request_is_never_sent_twice() -> None:
    """A reset after sending leaves the outcome unknown, so no retry."""
    route = builders.route(RouteKind.NON_IDEMPOTENT, attempts=2)
    router, endpoints = router_with_endpoints(route, resetting, answering)
    answer = send_request(router, RouteKind.NON_IDEMPOTENT)
    assert answer.status == 502
    assert [len(endpoint.requests) for endpoint in endpoints] == [1, 0]


def test_non_idempotent_request_avoids_idle_connections() -> None:
    """An endpoint may have dropped an idle connection without notice.

    A request sent on it is reset, and whether it ran stays unknown.
    """
    route = builders.route(RouteKind.NON_IDEMPOTENT)
    router, (endpoint,) = router_with_endpoints(route, resetting_second)
    client = Client(builders.serve(router))
    client.send(RouteKind.NON_IDEMPOTENT, 'r1')
    assert client.read().status == 200
    eventlet.sleep(0.25)
    client.send(RouteKind.NON_IDEMPOTENT, 'r2')
    assert client.read().status == 200
    assert endpoint.connections == 2


def test_refused_request_runs_at_another_endpoint() -> None:
    """A refusal proves that the request did not run, so it is retried."""
    route = builders.route(RouteKind.NON_IDEMPOTENT, attempts=2)
    router, _endpoints = router_with_endpoints(route, refusing, answering)
    assert send_request(router, RouteKind.NON_IDEMPOTENT).status == 200


def test_request_refused_everywhere_is_reported_as_not_run() -> None:
    """Callers retry after a 503, which is safe only if nothing ran."""
    route = builders.route(RouteKind.NON_IDEMPOTENT, attempts=2)
    router, _endpoints = router_with_endpoints(route, refusing, refusing)
    answer = send_request(router, RouteKind.NON_IDEMPOTENT)
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0


def test_attempts_are_bounded_by_the_route() -> None:
    """A request must reach at most as many endpoints as its route allows."""
    router, endpoints = router_with_endpoints(
        builders.route(attempts=2), resetting, resetting, answering
    )
    assert send_request(router, RouteKind.IDEMPOTENT).status == 502
    assert [len(endpoint.requests) for endpoint in endpoints] == [1, 1, 0]


def test_unreachable_endpoint_costs_no_attempt() -> None:
    """A refused connection does not use up the only attempt of a route."""
    route = builders.route(RouteKind.NON_IDEMPOTENT, attempts=1)
    router, endpoints = router_with_endpoints(route, answering, answering)
    endpoints[0].listener.close()
    assert send_request(router, RouteKind.NON_IDEMPOTENT).status == 200


def test_request_fails_over_from_a_silent_endpoint() -> None:
    """A silent endpoint must not delay an idempotent request for long."""
    route = builders.route(objective=200 * builders.MILLISECOND)
    router, _endpoints = router_with_endpoints(route, silent, answering)
    assert send_request(router, RouteKind.IDEMPOTENT).status == 200


def test_time_limit_of_the_route_ends_the_wait() -> None:
    """A caller gets its final answer no later than at the time-out."""
    route = builders.route(
        RouteKind.NON_IDEMPOTENT, timeout=200 * builders.MILLISECOND
    )
    router, _endpoints = router_with_endpoints(route, silent)
    assert send_request(router, RouteKind.NON_IDEMPOTENT).status == 504


def test_unsigned_success_is_not_forwarded() -> None:
    """An answer that the service did not sign must not reach callers."""

    def unsigned(connection: ScriptedConnection) -> None:
        connection.read_request()
        connection.send('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi')

    router, _endpoints = router_with_endpoints(
        builders.route(), unsigned, answering
    )
    assert send_request(router, RouteKind.IDEMPOTENT).body == 'done'


def test_answer_to_another_request_is_skipped() -> None:
    """A surplus answer before the right one belongs to another request."""

    def surplus(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        connection.answer({'id': 'other'}, 'wrong')
        connection.answer(request, 'right')

    route = builders.route(RouteKind.NON_IDEMPOTENT)
    router, _endpoints = router_with_endpoints(route, surplus)
    assert send_request(router, RouteKind.NON_IDEMPOTENT).body == 'right'


@pytest.mark.parametrize('named', [True, False])
def test_late_duplicate_does_not_answer_the_next_request(named: bool) -> None:
    """It may arrive on a reused connection, with or without an id."""

    def repeating(connection: ScriptedConnection) -> None:
        first = connection.read_request()
        connection.answer(first, 'first')
        second = connection.read_request()
        if named:
            connection.answer(first, 'first')
        else:
            connection.send(
                'HTTP/1.1 200 OK\r\nSignature: s\r\n'
                'Content-Length: 5\r\n\r\nfirst'
            )
        connection.answer(second, 'second')

    router, (endpoint,) = router_with_endpoints(
        builders.route(attempts=1), repeating
    )
    client = Client(builders.serve(router))
    bodies: list[str] = []
    for number in range(2):
        client.send(RouteKind.IDEMPOTENT, f'r{number}')
        bodies.append(client.read().body)
    assert endpoint.connections == 1
    assert bodies[0] == 'first'
    assert bodies[1] in {'second', 'the endpoint failed'}


def test_connection_with_surplus_bytes_is_not_reused() -> None:
    """Bytes after an answer would be read as the next answer."""

    def sending_surplus_answers(connection: ScriptedConnection) -> None:
        while True:
            request = connection.read_request()
            connection.answer(request)
            connection.answer({'id': 'ghost'}, 'ghost')

    router, (endpoint,) = router_with_endpoints(
        builders.route(), sending_surplus_answers
    )
    port = builders.serve(router)
    client = Client(port)
    for number in range(2):
        client.send(RouteKind.IDEMPOTENT, f'r{number}')
        assert client.read().body == 'done'
        eventlet.sleep(0.02)
    assert endpoint.connections == 2


def test_truncated_answer_is_not_forwarded() -> None:
    """A body shorter than its Content-Length is incomplete."""
    short = sending('Content-Length: 10\r\n\r\nhalf')
    router, _endpoints = router_with_endpoints(
        builders.route(), short, answering
    )
    assert send_request(router, RouteKind.IDEMPOTENT).body == 'done'


def test_answer_without_length_ends_with_its_connection() -> None:
    """Closing the connection is a valid end of an unframed body."""
    router, _endpoints = router_with_endpoints(
        builders.route(), sending('\r\nwhole')
    )
    assert send_request(router, RouteKind.IDEMPOTENT).body == 'whole'


def test_answer_without_length_that_is_reset_is_incomplete() -> None:
    """A reset must not count as the end of an unframed body."""
    reset_body = sending('\r\nhal', reset=True)
    router, _endpoints = router_with_endpoints(
        builders.route(), reset_body, answering
    )
    assert send_request(router, RouteKind.IDEMPOTENT).body == 'done'


def test_early_answer_does_not_mix_with_the_rest_of_the_body() -> None:
    """A connection must not be reused before its request is fully sent.

    The endpoint would read the rest of a long body as a new request.
    """

    def early(connection: ScriptedConnection) -> None:
        request = connection.read_head()
        connection.answer(request, 'full', 503, ('Not-Run: 1',))
        eventlet.sleep(0.2)
        connection.read_head()

    route = builders.route(RouteKind.NON_IDEMPOTENT, attempts=2)
    router, endpoints = router_with_endpoints(route, early, answering)
    answer = send_request(router, RouteKind.NON_IDEMPOTENT, body='x' * 60000)
    assert answer.status == 200
    assert len(endpoints[1].requests[0]['body']) == 60000


def test_stream_is_forwarded_completely() -> None:
    """Every event arrives once, followed by the end of the stream."""
    router, _endpoints = router_with_endpoints(
        builders.route(RouteKind.STREAM), streaming(1, 5)
    )
    answer = send_request(router, RouteKind.STREAM)
    assert answer.complete
    assert answer.body == ''.join(event_text(number) for number in range(1, 6))


@pytest.mark.parametrize('rest', ['', 'id: 3\ndata: pie'])
def test_broken_stream_resumes_at_another_endpoint(rest: str) -> None:
    """A reset between or inside events must not lose or repeat any."""
    router, endpoints = router_with_endpoints(
        builders.route(RouteKind.STREAM, resumable=True),
        reset_after(2, rest),
        streaming(3, 4),
    )
    answer = send_request(router, RouteKind.STREAM)
    assert answer.complete
    assert answer.body == ''.join(event_text(number) for number in range(1, 5))
    assert endpoints[1].requests[0]['resume-after'] == '2'


def test_events_repeated_after_a_resume_are_forwarded_once() -> None:
    """An endpoint may restart the stream; callers must get no duplicates."""
    router, _endpoints = router_with_endpoints(
        builders.route(RouteKind.STREAM, resumable=True),
        reset_after(2),
        streaming(1, 4),
    )
    answer = send_request(router, RouteKind.STREAM)
    assert answer.body == ''.join(event_text(number) for number in range(1, 5))


def test_resume_that_skips_an_event_is_aborted() -> None:
    """A stream with a gap must not look complete."""
    router, _endpoints = router_with_endpoints(
        builders.route(RouteKind.STREAM, resumable=True),
        reset_after(2),
        streaming(4, 5),
    )
    answer = send_request(router, RouteKind.STREAM)
    assert not answer.complete
    assert answer.body == event_text(1) + event_text(2)


def test_stream_that_cannot_resume_is_aborted() -> None:
    """A truncated stream must not look complete, nor run again."""
    router, endpoints = router_with_endpoints(
        builders.route(RouteKind.STREAM), reset_after(2), streaming(3, 4)
    )
    answer = send_request(router, RouteKind.STREAM)
    assert not answer.complete
    assert not endpoints[1].requests


def control_errors(router: Router) -> tuple[float, float]:
    """Return the request and error counts of evidence after four requests.

    The endpoints run the control version; a candidate is counted the same way.
    """
    row = Row('orders/rollout/workers', 5, b'workers v2 20')
    router.rollouts.operator_rows.replace(Snapshot(9, {row.key: row}))
    router.rollouts.router_rows.replace(Snapshot(9, {}))
    router.rollouts.refresh()
    for _ in range(4):
        client = Client(builders.serve(router))
        client.send(RouteKind.NON_IDEMPOTENT)
        client.read()
    counted = router.rollouts.running[builders.SERVICE].control.errors
    return counted.count, counted.total


def test_broken_connections_are_no_evidence_against_a_version() -> None:
    """Crashes in the control would hide the failures of a bad candidate."""
    route = builders.route(RouteKind.NON_IDEMPOTENT, attempts=1)
    router = router_with_endpoints(route, resetting)[0]
    assert control_errors(router) == (0, 0)


def test_failures_of_the_service_are_evidence_against_a_version() -> None:
    """A version that answers with errors must be detected."""

    def failing(connection: ScriptedConnection) -> None:
        while True:
            connection.answer(connection.read_request(), 'failed', 500)

    route = builders.route(RouteKind.NON_IDEMPOTENT, attempts=1)
    router = router_with_endpoints(route, failing)[0]
    assert control_errors(router) == (4, 4)


def timed_rollout(served: Route, *scripts: Script) -> RunningRollout:
    """Return the state of a roll-out on a node after one request."""
    router = router_with_endpoints(served, *scripts)[0]
    rollouts = router.rollouts
    row = Row('orders/rollout/workers', 5, b'workers v2 20')
    rollouts.operator_rows.replace(Snapshot(9, {row.key: row}))
    order = Order(builders.SERVICE, 'v2', dt.timedelta(seconds=20), 5)
    rollouts.refresh()
    rollouts.plans[builders.SERVICE] = first_plan(order, dt.timedelta(), None)
    send_request(router, served.kind)
    return rollouts.running[builders.SERVICE]


def timed_phases(rollout: RunningRollout) -> list[Phase]:
    """Return the phases of attempts that were timed."""
    return sorted(cell.stratum.phase for cell in rollout.timer.control)


def test_stream_is_timed_by_its_head_and_its_events() -> None:
    """A version that is slow only between events must be detected, too."""
    rollout = timed_rollout(builders.route(RouteKind.STREAM), streaming(1, 10))
    assert timed_phases(rollout) == [Phase.EVENTS, Phase.FIRST]


def test_prompts_of_all_routes_are_compared() -> None:
    """With little traffic, a single route has too few times to compare."""
    endpoint = Endpoint(
        builders.entry('e1'), ConnectionPool(('127.0.0.1', 1), 1, BootClock())
    )
    choice = EndpointChoice('e1', cost=2000, cached_tokens=0, load=5)
    tasks = [
        timing_task(AttemptPlan(route, 'm', placed, endpoint, choice), 2)
        for route in ('r1', 'r2')
        for placed in (PlacedRequest(tokens=100), PlacedRequest())
    ]
    assert [task.kind for task in tasks] == ['', 'r1', '', 'r2']
    assert tasks[0].first_level == duration_histograms.token_level(2000)
    assert tasks[1].first_level == duration_histograms.load_level(5 / 4)


def test_refusals_and_broken_connections_are_not_timed() -> None:
    """They are fast, and would hide that the answers are slow."""
    route = builders.route(RouteKind.IDEMPOTENT, attempts=3)
    rollout = timed_rollout(route, refusing, resetting, answering)
    assert len(rollout.timer.control) == 1
    assert not rollout.timer.running


def test_abandoned_attempt_is_timed() -> None:
    """An attempt abandoned because it is slow is evidence of slowness."""
    route = builders.route(objective=200 * builders.MILLISECOND)
    rollout = timed_rollout(route, silent, answering)
    counted = rollout.timer.control
    assert sorted(cell.source.open for cell in counted) == [False, True]


def test_unconfident_answer_of_a_small_model_is_replaced() -> None:
    """An answer with low confidence must not reach the caller.

    The larger model answers instead.
    """

    def unconfident(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        confidence = '95' if request['model'] == 'large' else '5'
        connection.begin_stream(request, (f'Confidence: {confidence}',))
        connection.send_chunk(f'id: 1\ndata: {request["model"]}\n\n')
        connection.send_chunk('')
        connection.read_request()

    route = builders.route(
        RouteKind.STREAM, resumable=True, sizes=('small', 'large')
    )
    router, (endpoint,) = router_with_endpoints(route, unconfident)
    answer = send_request(router, RouteKind.STREAM)
    assert answer.body == 'id: 1\ndata: large\n\n'
    assert [request['model'] for request in endpoint.requests] == [
        'small',
        'large',
    ]


def test_request_is_aborted_when_the_caller_disconnects() -> None:
    """An endpoint must not go on working for a disconnected caller."""
    route = builders.route(RouteKind.STREAM, resumable=True)
    router, (endpoint,) = router_with_endpoints(route, silent)
    client = Client(builders.serve(router))
    client.send(RouteKind.STREAM)
    eventlet.sleep(0.1)
    client.close()
    eventlet.sleep(0.2)
    assert endpoint.ended == 1
    assert len(endpoint.requests) == 1
    assert not router.running


def test_unknown_key_and_route_are_refused() -> None:
    """Requests that the configuration does not allow must not run."""
    router, (endpoint,) = router_with_endpoints(builders.route(), answering)
    assert (
        send_request(router, RouteKind.IDEMPOTENT, key='stolen').status == 401
    )
    assert send_request(router, RouteKind.STREAM).status == 404
    assert not endpoint.requests


def test_node_without_configuration_refuses_as_not_run() -> None:
    """A starting node must not answer 401 or 404 without a configuration."""
    answer = send_request(builders.router(), RouteKind.IDEMPOTENT)
    assert answer.status == 503


# Guards against dropping an answer for a larger model that nobody can run.
def test_answer_is_kept_if_no_endpoint_may_run_the_larger_model() -> None:
    """The only endpoint says that it leaves with an answer it is unsure of."""

    def leaving(connection: ScriptedConnection) -> None:
        connection.begin_stream(
            connection.read_request(), ('Confidence: 5', 'Leaving: 1')
        )
        connection.send_event(1)
        connection.send_chunk('')
        connection.read_request()

    route = builders.route(
        RouteKind.STREAM, resumable=True, sizes=('small', 'large')
    )
    router, endpoints = router_with_endpoints(route, leaving)
    answer = send_request(router, RouteKind.STREAM)
    assert answer.status == 200
    assert answer.complete
    assert len(endpoints[0].requests) == 1
