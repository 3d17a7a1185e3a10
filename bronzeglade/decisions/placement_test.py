"""Tests that placement balances cached prompts against load."""

import collections
import dataclasses
import random

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.load import Load
from bronzeglade.decisions.placement import (
    PlacedRequest,
    Placement,
    PlacementSettings,
    SharedSegment,
)
from bronzeglade.decisions.outstanding import Outstanding
from bronzeglade.decisions.retry import Failure


@dataclasses.dataclass(frozen=True, slots=True)
class StubEndpoint:
    """An endpoint for tests."""

    name: str
    failure_domain: str = 'a'
    slots: int = 64


ENDPOINTS = tuple(StubEndpoint(f'e{number}') for number in range(5))


def node(seed: int = 1) -> Placement:
    """Return the placement of one node."""
    return Placement(
        PlacementSettings(), 'a', ManualClock(), random.Random(seed)
    )


def prompt(name: str) -> PlacedRequest:
    """Return a request with 6,000 shared and 3,000 other prompt tokens."""
    return PlacedRequest((SharedSegment(name, 6000),), 9000)


def chosen(placement: Placement, request: PlacedRequest) -> str:
    """Return the name of the chosen endpoint."""
    choice = placement.choose(ENDPOINTS, request)
    assert choice is not None
    return choice.name


def test_nodes_agree_on_the_endpoint_of_a_prompt() -> None:
    """Without agreement, each node would have the prompt read again."""
    for number in range(50):
        names = {chosen(node(seed), prompt(f'p{number}')) for seed in range(8)}
        assert len(names) == 1


def test_prompts_spread_over_the_endpoints() -> None:
    """A skewed hash would send most prompts to one endpoint."""
    counts = collections.Counter(
        chosen(node(), prompt(f'p{number}')) for number in range(500)
    )
    assert min(counts.values()) > 60


def test_popular_prompt_moves_when_its_endpoint_is_busy() -> None:
    """Requests with a popular prompt must not queue at one endpoint."""
    placement = node()
    request = prompt('hot')
    first = chosen(placement, request)
    for _ in range(20):
        placement.started(first, request, 3000)
    assert chosen(placement, request) != first


def test_endpoint_with_fresh_load_report_is_avoided() -> None:
    """A report of many requests raises the cost of an endpoint."""
    placement = node()
    request = prompt('p')
    first = chosen(placement, request)
    for endpoint in ENDPOINTS:
        load = Load('s', 60 if endpoint.name == first else 0, 0)
        placement.report(endpoint.name, load)
    assert chosen(placement, request) != first


def test_failing_endpoint_is_excluded_unless_all_fail() -> None:
    """A request is still sent when all endpoints are ejected."""
    placement = node()
    request = prompt('p')
    first = chosen(placement, request)
    placement.ejections.failed(first, Failure.NOT_CONNECTED)
    assert chosen(placement, request) != first
    for endpoint in ENDPOINTS:
        placement.ejections.failed(endpoint.name, Failure.NOT_CONNECTED)
    assert chosen(placement, request)


def test_plain_requests_prefer_near_and_idle_endpoints() -> None:
    """A short request crosses failure domains only to avoid load."""
    placement = node()
    near = StubEndpoint('near', 'a', 6)
    far = StubEndpoint('far', 'b', 6)
    choice = placement.choose((far, near), PlacedRequest())
    assert choice is not None
    assert choice.name == 'near'
    for _ in range(3):
        placement.started('near', PlacedRequest(), 0)
    choice = placement.choose((far, near), PlacedRequest())
    assert choice is not None
    assert choice.name == 'far'


def test_load_of_other_nodes_moves_a_prompt() -> None:
    """An endpoint that is busy with requests of peers is not idle."""
    placement = node()
    request = prompt('p')
    first = chosen(placement, request)
    placement.peer_load.report('others', {first: Outstanding(10, 30_000)})
    assert chosen(placement, request) != first
    placement.peer_load.report('others', {})
    assert chosen(placement, request) == first


def test_nodes_do_not_all_choose_the_endpoint_that_was_idle() -> None:
    """Nodes with the same outdated load must not all choose one endpoint."""
    endpoints = tuple(StubEndpoint(f'e{number}') for number in range(30))
    work = {endpoint.name: Outstanding(4, 9000) for endpoint in endpoints}
    work['e7'] = Outstanding(0, 0)
    counts: collections.Counter[str] = collections.Counter()
    for number in range(60):
        placement = node(number)
        placement.peer_load.report('others', work)
        choice = placement.choose(endpoints, prompt(f'p{number}'))
        assert choice is not None
        counts[choice.name] += 1
    assert counts['e7'] < 25


def test_outstanding_work_of_the_node_is_reported() -> None:
    """Peers need the outstanding work of a node, without read tokens."""
    placement = node()
    request = prompt('p')
    placement.started('e1', request, 500)
    placement.started('e1', request, 100)
    placement.record_prompt_read('e1', 500)
    assert placement.outstanding() == {'e1': Outstanding(2, 100)}
    placement.finished('e1')
    placement.finished('e1')
    assert not placement.outstanding()
