"""Guards that endpoints which leave or ask for time get no new work."""

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.pause import Pauses, PauseSettings
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import ask, fleet
from bronzeglade.forwarding.route import Kind
from bronzeglade.forwarding.scripted import (
    Peer,
    Script,
    ScriptedEndpoint,
    answering,
)


def requests(endpoints: list[ScriptedEndpoint]) -> list[int]:
    """Return how many requests each endpoint has got."""
    return [len(one.seen) for one in endpoints]


def saying(extra: str, status: int = 200) -> Script:
    """Return a script that adds a header to each answer."""

    def script(peer: Peer) -> None:
        while True:
            not_run = ('Not-Run: 1',) if status == 503 else ()
            request = peer.read_request()
            peer.answer(request, 'done', status, (extra, *not_run))

    return script


def test_endpoint_that_says_it_leaves_gets_no_new_work() -> None:
    """Its entry may say otherwise for long: the store may be away."""
    router, endpoints = fleet(builders.route(), saying('Leaving: 1'), answering)
    assert ask(router, Kind.IDEMPOTENT).status == 200
    entries = [one.entry for one in router.registry.endpoints.values()]
    # An older copy of the table does not bring it back.
    router.update_endpoints(entries[1:])
    router.update_endpoints(entries)
    for _ in range(3):
        assert ask(router, Kind.IDEMPOTENT).status == 200
    assert requests(endpoints) == [1, 3]
    assert endpoints[0].ended == 1  # its unused connection is closed


def test_endpoint_that_left_is_used_after_another_start() -> None:
    """A belief that outlives the endpoint would waste its successor."""
    router, (endpoint,) = fleet(builders.route(), saying('Leaving: 1'))
    ask(router, Kind.IDEMPOTENT)
    assert ask(router, Kind.IDEMPOTENT).status == 503
    anew = builders.entry('e0', endpoint.port, started=5)
    router.update_endpoints([anew])
    assert ask(router, Kind.IDEMPOTENT).status == 200


def test_endpoint_that_leaves_while_a_connection_is_made_gets_nothing() -> None:
    """Work that was placed and not sent yet is placed anew."""
    router, endpoints = fleet(builders.route(), answering, answering)
    leaving = router.registry.endpoints['e0']
    take = leaving.pool.take

    def take_slowly(*limits: object) -> object:
        taken = take(*limits)  # type: ignore[arg-type]
        router.depart(leaving.entry.incarnation, 'a-2')
        return taken

    leaving.pool.take = take_slowly  # type: ignore[method-assign,assignment]
    assert ask(router, Kind.IDEMPOTENT).status == 200
    assert requests(endpoints) == [0, 1]


def test_endpoint_that_asks_for_time_gets_none_of_the_next_requests() -> None:
    """Each request sent meanwhile is refused again and costs its caller."""
    router, endpoints = fleet(
        builders.route(), saying('No-Work-For: 30', 503), answering
    )
    for _ in range(4):
        assert ask(router, Kind.IDEMPOTENT).status == 200
    assert requests(endpoints) == [1, 4]


def test_callers_return_when_the_first_endpoint_takes_work_again() -> None:
    """When all endpoints ask for time, waiting for a time-out helps nobody."""
    router, endpoints = fleet(
        builders.route(Kind.NON_IDEMPOTENT, attempts=2),
        saying('No-Work-For: 20', 503),
        saying('No-Work-For: 10', 503),
    )
    ask(router, Kind.NON_IDEMPOTENT)
    answer = ask(router, Kind.NON_IDEMPOTENT)
    assert answer.status == 503
    assert 9 <= float(answer.headers['retry-after']) <= 12.5
    assert requests(endpoints) == [1, 1]


def test_pause_ends_in_time() -> None:
    """An endpoint that has recovered must get work again."""
    router, endpoints = fleet(
        builders.route(attempts=1), saying('No-Work-For: 0.2', 503)
    )
    clock = ManualClock()
    router.pauses = Pauses(PauseSettings(), clock)
    for passed_ms, sent in ((0, 1), (199, 1), (1, 2)):
        clock.advance(passed_ms * builders.MILLISECOND)
        ask(router, Kind.IDEMPOTENT)
        assert requests(endpoints) == [sent]
