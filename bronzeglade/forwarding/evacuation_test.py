"""Tests that the endpoints of an evacuated failure domain get no new work."""

import eventlet
import pytest

from bronzeglade.builders import ManualClock
from bronzeglade.forwarding.builders import (
    Client,
    entry,
    route,
    router,
    send_request,
    serve,
)
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.scripted import (
    Script,
    ScriptedConnection,
    ScriptedEndpoint,
    answering,
    refusing,
    reset_after,
)

NONE: frozenset[str] = frozenset()
DOMAIN_A = frozenset(('a',))


def router_in_domains(
    kind: RouteKind, **scripts: Script
) -> tuple[Router, dict[str, ScriptedEndpoint]]:
    """Return a router with one endpoint in each named failure domain.

    Its clock stands still, so that no request is given up for silence. It
    prefers the domains in their order.
    """
    built = router(route(kind, resumable=True), clock=ManualClock())
    endpoints = {
        domain: ScriptedEndpoint(script) for domain, script in scripts.items()
    }
    built.update_endpoints(
        [
            entry(f'e-{domain}', endpoint.port, failure_domain=domain)
            for domain, endpoint in endpoints.items()
        ]
    )
    for position, domain in enumerate(scripts):
        for _ in range(position * 4):
            built.placement.loads.started(f'e-{domain}')
    return built, endpoints


def test_requests_go_to_other_domains() -> None:
    """An order applies from the moment at which the node knows it."""
    built, endpoints = router_in_domains(
        RouteKind.IDEMPOTENT, a=answering, b=answering
    )
    assert send_request(built, RouteKind.IDEMPOTENT).status == 200
    built.evacuate(DOMAIN_A)
    for _ in range(5):
        assert send_request(built, RouteKind.IDEMPOTENT).status == 200
    counts = {name: len(each.requests) for name, each in endpoints.items()}
    assert counts == {'a': 1, 'b': 5}
    built.evacuate(NONE)
    assert send_request(built, RouteKind.IDEMPOTENT).status == 200
    assert len(endpoints['a'].requests) == 2


@pytest.mark.parametrize('kind', list(RouteKind))
def test_request_without_an_endpoint_is_refused_at_once(
    kind: RouteKind,
) -> None:
    """The refusal says that nothing ran, and when to return."""
    built, endpoints = router_in_domains(kind, a=answering)
    built.evacuate(DOMAIN_A)
    refused = send_request(built, kind)
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0
    assert not endpoints['a'].requests


def test_second_attempt_stays_out() -> None:
    """A refused request must not be repeated in the evacuated domain."""
    built, endpoints = router_in_domains(
        RouteKind.IDEMPOTENT, b=refusing, a=answering
    )
    built.evacuate(DOMAIN_A)
    assert send_request(built, RouteKind.IDEMPOTENT).status == 503
    assert len(endpoints['b'].requests) == 1
    assert not endpoints['a'].requests


def test_broken_stream_is_not_resumed_there() -> None:
    """The rest of the stream is new work."""
    built, endpoints = router_in_domains(
        RouteKind.STREAM, b=reset_after(2), a=answering
    )
    built.evacuate(DOMAIN_A)
    assert not send_request(built, RouteKind.STREAM).complete
    assert not endpoints['a'].requests


def test_running_stream_ends_in_its_own_time() -> None:
    """An order is no reason to cut an answer."""
    may_end = eventlet.event.Event()

    def script(connection: ScriptedConnection) -> None:
        connection.begin_stream(connection.read_request())
        connection.send_event(1)
        may_end.wait()
        connection.send_event(2)
        connection.send_chunk('')
        connection.read_request()

    built, endpoints = router_in_domains(RouteKind.STREAM, a=script)
    client = Client(serve(built))
    client.send(RouteKind.STREAM)
    while not endpoints['a'].requests:
        eventlet.sleep(0.01)
    built.evacuate(DOMAIN_A)
    may_end.send()
    answer = client.read()
    assert answer.complete
    assert 'piece 2' in answer.body


def test_order_given_while_a_connection_is_opened() -> None:
    """The endpoint was chosen before, and nothing was sent yet."""
    built, endpoints = router_in_domains(RouteKind.IDEMPOTENT, a=answering)
    pool = built.registry.endpoints['e-a'].pool
    acquire = pool.acquire

    def acquire_late(*arguments: object) -> object:
        built.evacuate(DOMAIN_A)
        return acquire(*arguments)  # type: ignore[arg-type]

    pool.acquire = acquire_late  # type: ignore[method-assign, assignment]
    assert send_request(built, RouteKind.IDEMPOTENT).status == 503
    assert not endpoints['a'].requests


def test_domains_are_counted() -> None:
    """Operators see how many domains get no work."""
    built = router(route())
    built.evacuate(DOMAIN_A)
    gauge = built.metrics.evacuated_domains
    assert gauge._value.get() == 1
    built.evacuate(NONE)
    assert gauge._value.get() == 0
