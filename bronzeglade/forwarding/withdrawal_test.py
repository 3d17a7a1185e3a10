"""Tests that leaving or paused endpoints get no new work."""

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.pause import Pauses, PauseSettings
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import router_with_endpoints, send_request
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.scripted import (
    Script,
    ScriptedConnection,
    ScriptedEndpoint,
    answering,
)


def request_counts(endpoints: list[ScriptedEndpoint]) -> list[int]:
    """Return the number of requests that each endpoint received."""
    return [len(endpoint.requests) for endpoint in endpoints]


def answering_with_header(extra: str, status: int = 200) -> Script:
    """Return a script that adds a header to each answer."""

    def script(connection: ScriptedConnection) -> None:
        while True:
            not_run = ('Not-Run: 1',) if status == 503 else ()
            request = connection.read_request()
            connection.answer(request, 'done', status, (extra, *not_run))

    return script


def test_leaving_endpoint_gets_no_new_work() -> None:
    """A stale entry, as during a store outage, must not undo the departure."""
    router, endpoints = router_with_endpoints(
        builders.route(), answering_with_header('Leaving: 1'), answering
    )
    assert send_request(router, RouteKind.IDEMPOTENT).status == 200
    entries = [
        endpoint.entry for endpoint in router.registry.endpoints.values()
    ]
    # The entry disappears and reappears, as from an older copy of the table.
    router.update_endpoints(entries[1:])
    router.update_endpoints(entries)
    for _ in range(3):
        assert send_request(router, RouteKind.IDEMPOTENT).status == 200
    assert request_counts(endpoints) == [1, 3]
    assert endpoints[0].ended == 1  # its idle connection is closed


def test_endpoint_that_left_is_used_after_another_start() -> None:
    """The departure of a process does not apply to its successor."""
    router, (endpoint,) = router_with_endpoints(
        builders.route(), answering_with_header('Leaving: 1')
    )
    send_request(router, RouteKind.IDEMPOTENT)
    assert send_request(router, RouteKind.IDEMPOTENT).status == 503
    restarted = builders.entry('e0', endpoint.port, started=5)
    router.update_endpoints([restarted])
    assert send_request(router, RouteKind.IDEMPOTENT).status == 200


def test_endpoint_that_leaves_while_a_connection_is_made_gets_nothing() -> None:
    """A request that was placed but not sent is placed again."""
    router, endpoints = router_with_endpoints(
        builders.route(), answering, answering
    )
    leaving = router.registry.endpoints['e0']
    acquire = leaving.pool.acquire

    def acquiring(*limits: object) -> object:
        acquired = acquire(*limits)  # type: ignore[arg-type]
        router.mark_leaving(leaving.entry.incarnation, 'a-2')
        return acquired

    leaving.pool.acquire = acquiring  # type: ignore[method-assign,assignment]
    assert send_request(router, RouteKind.IDEMPOTENT).status == 200
    assert request_counts(endpoints) == [0, 1]


def test_endpoint_that_requests_a_pause_gets_no_requests() -> None:
    """Requests during a pause would be refused, delaying their callers."""
    router, endpoints = router_with_endpoints(
        builders.route(),
        answering_with_header('No-Work-For: 30', 503),
        answering,
    )
    for _ in range(4):
        assert send_request(router, RouteKind.IDEMPOTENT).status == 200
    assert request_counts(endpoints) == [1, 4]


def test_callers_return_when_the_first_endpoint_takes_work_again() -> None:
    """Retry-After is the end of the first pause if all are paused."""
    router, endpoints = router_with_endpoints(
        builders.route(RouteKind.NON_IDEMPOTENT, attempts=2),
        answering_with_header('No-Work-For: 20', 503),
        answering_with_header('No-Work-For: 10', 503),
    )
    send_request(router, RouteKind.NON_IDEMPOTENT)
    answer = send_request(router, RouteKind.NON_IDEMPOTENT)
    assert answer.status == 503
    assert 9 <= float(answer.headers['retry-after']) <= 12.5
    assert request_counts(endpoints) == [1, 1]


def test_pause_ends_in_time() -> None:
    """An endpoint gets work again once its pause has expired."""
    router, endpoints = router_with_endpoints(
        builders.route(attempts=1),
        answering_with_header('No-Work-For: 0.2', 503),
    )
    clock = ManualClock()
    router.pauses = Pauses(PauseSettings(), clock)
    for elapsed_ms, sent in ((0, 1), (199, 1), (1, 2)):
        clock.advance(elapsed_ms * builders.MILLISECOND)
        send_request(router, RouteKind.IDEMPOTENT)
        assert request_counts(endpoints) == [sent]
