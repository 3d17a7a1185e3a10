"""Tests what callers get whose requests meet a graceful shutdown."""

import datetime as dt

import eventlet
import pytest
from result import Result

from bronzeglade.forwarding import builders, request_handler
from bronzeglade.forwarding.builders import Client
from bronzeglade.forwarding.endpoint_connection import (
    ConnectionFailure,
    ConnectionPool,
    EndpointConnection,
)
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.scripted import (
    Script,
    ScriptedConnection,
    ScriptedEndpoint,
    answering,
    silent,
)

MINUTE = dt.timedelta(minutes=1)
MILLISECOND = dt.timedelta(milliseconds=1)


def one_event(connection: ScriptedConnection) -> None:
    """Begin a stream and do not end it."""
    connection.begin_stream(connection.read_request())
    connection.send_event(1)
    connection.read_request()


def serving(
    kind: RouteKind, script: Script
) -> tuple[Router, ScriptedEndpoint, Client]:
    """Return a router whose route has a long time-out, and a caller."""
    route = builders.route(kind, resumable=True, timeout=MINUTE)
    router, endpoints = builders.router_with_endpoints(route, script, script)
    return router, endpoints[0], Client(builders.serve(router))


def wait_until_running(endpoint: ScriptedEndpoint) -> None:
    """Wait until an endpoint has read a request."""
    with eventlet.Timeout(5):
        while not endpoint.requests:
            eventlet.sleep(0.01)
    eventlet.sleep(0.05)


def test_request_without_time_to_finish_is_refused_at_once() -> None:
    """It runs nowhere, and its caller may try another node immediately."""
    router, endpoint, client = serving(RouteKind.NON_IDEMPOTENT, answering)
    router.begin_shutdown()
    client.send(RouteKind.NON_IDEMPOTENT)
    answer = client.read()
    assert answer.status == 503
    assert float(answer.headers['retry-after']) == 0
    assert answer.headers['connection'] == 'close'
    assert not endpoint.requests


@pytest.mark.parametrize(
    ('longest', 'status'), [(20 * MILLISECOND, 200), (MINUTE, 503)]
)
def test_request_is_accepted_if_such_requests_are_short(
    longest: dt.timedelta, status: int
) -> None:
    """The longest recent duration of the route tells."""
    router, _endpoint, client = serving(RouteKind.IDEMPOTENT, answering)
    router.durations.record(RouteKind.IDEMPOTENT.value, longest)
    router.begin_shutdown()
    client.send(RouteKind.IDEMPOTENT)
    assert client.read().status == status


# Guards against accepting long requests because short ones have failed.
def test_failures_do_not_count_as_short_requests() -> None:
    """A failure tells nothing of how long an answer takes."""

    def failing(connection: ScriptedConnection) -> None:
        connection.answer(connection.read_request(), 'failed', 500)

    router, _endpoint, client = serving(RouteKind.NON_IDEMPOTENT, failing)
    client.send(RouteKind.NON_IDEMPOTENT)
    assert client.read().status == 500
    router.begin_shutdown()
    client = Client(builders.serve(router))
    client.send(RouteKind.NON_IDEMPOTENT, 'r2')
    assert client.read().status == 503


# Guards against connections that close without an answer when the process
# exits before its endpoint has answered.
@pytest.mark.parametrize('kind', list(RouteKind))
def test_unanswered_request_gets_an_answer_when_it_is_abandoned(
    kind: RouteKind,
) -> None:
    """The answer does not claim that the request has not run."""
    router, endpoint, client = serving(kind, silent)
    client.send(kind)
    wait_until_running(endpoint)
    router.begin_shutdown()
    request_handler.interrupt_running(router)
    assert client.read().status == 502
    eventlet.sleep(0.05)
    assert not router.running
    assert endpoint.ended == 1


def test_stream_that_is_abandoned_does_not_look_complete() -> None:
    """It is not resumed elsewhere: the process exits before that ends."""
    router, endpoint, client = serving(RouteKind.STREAM, one_event)
    client.send(RouteKind.STREAM)
    wait_until_running(endpoint)
    router.begin_shutdown()
    request_handler.interrupt_running(router)
    answer = client.read()
    assert answer.body == 'id: 1\ndata: piece 1\n\n'
    assert not answer.complete
    assert not router.running


def unframed(connection: ScriptedConnection) -> None:
    """Begin an answer that ends with its connection, and do not end it."""
    request = connection.read_request()
    connection.send(
        f'HTTP/1.1 200 OK\r\nId: {request["id"]}\r\nSignature: s\r\n\r\n'
        'id: 1\ndata: piece 1\n\n'
    )
    connection.read_request()


# Guards against answers without a length that look complete when this process
# ends their connection itself.
@pytest.mark.parametrize('kind', list(RouteKind))
def test_answer_without_a_length_that_is_abandoned_is_not_complete(
    kind: RouteKind,
) -> None:
    """The end that the abort causes is not the end of the answer."""
    router, endpoint, client = serving(kind, unframed)
    client.send(kind)
    wait_until_running(endpoint)
    router.begin_shutdown()
    request_handler.interrupt_running(router)
    answer = client.read()
    assert answer.status == 502 or not answer.complete


class SlowPool(ConnectionPool):
    """A pool to an endpoint that accepts connections late."""

    def acquire(
        self, connect_timeout: dt.timedelta, max_idle: dt.timedelta | None
    ) -> Result[EndpointConnection, ConnectionFailure]:
        """Return a connection after a while."""
        eventlet.sleep(0.2)
        return super().acquire(connect_timeout, max_idle)


# Guards against requests that are sent to an endpoint although they were
# cancelled while its connection was being opened.
@pytest.mark.parametrize('caller_leaves', [True, False])
def test_request_that_is_cancelled_while_connecting_is_not_sent(
    caller_leaves: bool,
) -> None:
    """Neither a caller that has left nor a shutdown starts new work."""
    router, endpoint, client = serving(RouteKind.NON_IDEMPOTENT, answering)
    for registered in router.registry.endpoints.values():
        pool = registered.pool
        registered.pool = SlowPool(pool.address, pool.limit, pool.clock)
    client.send(RouteKind.NON_IDEMPOTENT)
    eventlet.sleep(0.1)
    if caller_leaves:
        client.close()
    else:
        router.begin_shutdown()
        request_handler.interrupt_running(router)
        assert client.read().status == 503
    eventlet.sleep(0.3)
    assert not endpoint.requests
    assert not router.running
