"""Tests that cold endpoints get few requests, and others their share."""

import dataclasses
import datetime as dt

import pytest

from bronzeglade.adapters.feed import Snapshot
from bronzeglade.builders import ManualClock
from bronzeglade.decisions.placement import PlacedRequest
from bronzeglade.forwarding.builders import (
    SECOND,
    SERVICE,
    entry,
    route,
    router_with_endpoints,
    send_request,
)
from bronzeglade.forwarding.departures import Incarnation
from bronzeglade.forwarding.route import RouteKind, Service
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.scripted import Script, ScriptedEndpoint, answering
from bronzeglade.forwarding.settings import ColdBounds
from bronzeglade.forwarding.withdrawal_test import (
    answering_with_header,
    request_counts,
)

COLD_START = 3 * SECOND
PER_SECOND = 20  # 1.5 times the rate of 10, and 5
REQUESTS = 60


class Node:
    """A node that is sure of its share of the limits, and its endpoints."""

    def __init__(
        self, *scripts: Script, kind: RouteKind = RouteKind.IDEMPOTENT
    ) -> None:
        """Start with warm endpoints that are registered under `e0`, ..."""
        self.kind = kind
        self.clock = ManualClock()
        built, endpoints = router_with_endpoints(
            route(kind), *scripts, clock=self.clock
        )
        self.router: Router = built
        self.endpoints: list[ScriptedEndpoint] = endpoints
        assert built.table is not None
        service = Service(SERVICE, 64, COLD_START, cold_rate=10)
        built.table = dataclasses.replace(
            built.table, services={SERVICE: service}
        )
        self.set_bounds(ColdBounds(ratio=1.5, slack=5))
        built.cold.membership.update(['node-1'])
        self.clock.advance(10 * SECOND)
        self.confirm()

    def set_bounds(self, bounds: ColdBounds | None) -> None:
        """Change the settings of the node."""
        self.router.settings = dataclasses.replace(
            self.router.settings, cold=bounds
        )
        self.router.update_cold_limits()

    def confirm(self) -> None:
        """Let the store answer."""
        rows = self.router.rollouts.operator_rows
        rows.replace(Snapshot(rows.as_of + 1, {}))

    def register(
        self, cold_for: dt.timedelta, sequence: int = 1, started: int = 0
    ) -> None:
        """Register the endpoints again; the first one is cold."""
        first, *others = (
            entry(
                f'e{number}',
                endpoint.port,
                started=started,
                sequence=sequence,
            )
            for number, endpoint in enumerate(self.endpoints)
        )
        cold = dataclasses.replace(first, cold_for=cold_for)
        self.router.update_endpoints([cold, *others])

    def send(self, count: int = REQUESTS) -> list[int]:
        """Send requests within a second; return the statuses of answers."""
        statuses = []
        for _ in range(count):
            statuses.append(send_request(self.router, self.kind).status)
            self.clock.advance(SECOND / count)
            self.confirm()
        return statuses


def test_cold_endpoint_gets_no_more_than_it_bears() -> None:
    """The rest of the requests goes to the endpoint that is warm."""
    node = Node(answering, answering)
    node.register(COLD_START)
    assert set(node.send()) == {200}
    cold, warm = request_counts(node.endpoints)
    assert 0 < cold <= PER_SECOND
    assert cold + warm == REQUESTS


def test_endpoint_is_warm_after_its_time() -> None:
    """The limits end with the time, even if no row tells."""
    node = Node(answering)
    node.register(COLD_START)
    node.clock.advance(COLD_START)
    node.confirm()
    assert set(node.send()) == {200}


def test_row_tells_that_the_endpoint_is_warm() -> None:
    """An endpoint may be warm sooner than it said."""
    node = Node(answering)
    node.register(COLD_START, sequence=1)
    node.register(dt.timedelta(), sequence=2)
    assert set(node.send()) == {200}


def test_older_row_of_a_restored_store_is_no_news() -> None:
    """The row from before the cold time must not end it."""
    node = Node(answering)
    node.register(COLD_START, sequence=5)
    node.register(dt.timedelta(), sequence=4)
    assert node.router.cold.starts.remaining('e0') == COLD_START


def test_same_row_does_not_start_the_time_again() -> None:
    """All rows are applied again when one of them changes."""
    node = Node(answering)
    node.register(COLD_START)
    node.clock.advance(COLD_START / 2)
    node.register(COLD_START)
    assert node.router.cold.starts.remaining('e0') == COLD_START / 2


# Guards against requests that wait for a turn until their deadline.
def test_requests_without_a_turn_are_refused_at_once() -> None:
    """The refusal says that nothing ran, and when to return."""
    node = Node(answering, kind=RouteKind.NON_IDEMPOTENT)
    node.register(COLD_START)
    statuses = node.send()
    assert set(statuses) == {200, 503}
    assert statuses.count(200) == request_counts(node.endpoints)[0]
    assert statuses.count(200) <= PER_SECOND
    assert node.router.metrics.cold_attempts.labels('sent')._value.get() > 0


@pytest.mark.parametrize('cause', ['joined', 'not confirmed'])
def test_unsure_node_sends_nothing_to_a_cold_endpoint(cause: str) -> None:
    """Its share could be too large; the warm endpoint serves all."""
    node = Node(answering, answering)
    node.register(COLD_START)
    if cause == 'joined':
        node.router.cold.membership.update(['node-1', 'node-2'])
    else:
        node.clock.advance(COLD_START * 0.9)
    assert send_request(node.router, node.kind).status == 200
    assert request_counts(node.endpoints) == [0, 1]


def test_without_bounds_cold_endpoints_are_as_others() -> None:
    """Deployments whose settings have no bounds are served as before."""
    node = Node(answering)
    node.set_bounds(None)
    node.register(COLD_START)
    node.router.mark_cold(
        Incarnation('e0', 0, ('127.0.0.1', node.endpoints[0].port)),
        None,
        'connection',
    )
    assert set(node.send()) == {200}


def test_limits_that_come_after_the_registration() -> None:
    """A node may read the rows of endpoints before the configuration."""
    node = Node(answering)
    node.set_bounds(None)
    node.register(COLD_START)
    node.set_bounds(ColdBounds(ratio=1.5, slack=5))
    assert node.router.cold.starts.remaining('e0') == COLD_START


def test_endpoint_that_refuses_connections_comes_back_cold() -> None:
    """Its row may change after it has taken the first requests."""
    node = Node(answering, answering)
    announced: list[tuple[str, dt.timedelta]] = []
    node.router.on_cold = lambda incarnation, remaining: announced.append(
        (incarnation.name, remaining)
    )
    node.endpoints[0].listener.close()
    for _ in range(5):
        assert send_request(node.router, node.kind).status == 200
    assert node.router.cold.starts.remaining('e0') == COLD_START
    assert announced == [('e0', COLD_START)]


def test_answer_tells_that_the_endpoint_is_cold() -> None:
    """An answer is newer than the row."""
    node = Node(answering_with_header('Cold-For: 2'))
    assert send_request(node.router, node.kind).status == 200
    assert node.router.cold.starts.remaining('e0') == 2 * SECOND


def test_news_of_a_peer_is_bounded_and_belongs_to_a_start() -> None:
    """No message may keep an endpoint cold for longer than it can be."""
    node = Node(answering)
    address = ('127.0.0.1', node.endpoints[0].port)
    other = Incarnation('e0', 1, address)
    assert not node.router.mark_cold(other, 2 * SECOND, 'node-2')
    current = Incarnation('e0', 0, address)
    assert node.router.mark_cold(current, 900 * SECOND, 'node-2')
    assert not node.router.mark_cold(current, 900 * SECOND, 'node-3')
    assert node.router.cold.starts.remaining('e0') == COLD_START


def test_idle_endpoint_is_dearer_while_it_is_cold() -> None:
    """Work takes longer there, so a warm one with some load is chosen."""
    node = Node(answering, answering)
    placement = node.router.placement
    endpoints = list(node.router.registry.endpoints.values())
    placed = PlacedRequest(tokens=1000)
    placement.loads.own_requests.update({'e0': 1, 'e1': 1})
    for cold, warm in (('e0', 'e1'), ('e1', 'e0')):
        choice = placement.choose(endpoints, placed, cold={cold: 1})
        assert choice is not None
        assert choice.name == warm
