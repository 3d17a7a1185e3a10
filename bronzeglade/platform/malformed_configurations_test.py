"""Guards that every configuration that decodes can be used."""

import json
from typing import Any

import h11
import pytest
from hypothesis import given
from result import Ok

from bronzeglade import malformed
from bronzeglade.adapters.table import Row
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.message import Dispatch, RequestHead
from bronzeglade.forwarding.route import RouteTable
from bronzeglade.platform import documents
from bronzeglade.platform.headers import PlatformHeaders
from bronzeglade.platform.malformed_documents_test import CONFIGURATION, ROUTE

HEAD = RequestHead(b'POST', b'/', ((b'Host', b'h'), (b'Request-Id', b'r')))


def use(table: RouteTable) -> None:
    """Activate a configuration and use each of its routes and teams."""
    router = builders.router()
    router.update_endpoints([builders.entry('e')])
    if table.version <= 0:
        return
    assert router.activate(table)
    router.roster.nodes['b-1'] = builders.node('b-1')
    router.update_connection_limits()
    router.update_retry_limits()
    now = router.clock.monotonic()
    assert now + table.limits.idle_timeout + table.limits.header_timeout > now
    models: set[str | None] = {None}
    for by_prefix in table.routes.values():
        for route in by_prefix.values():
            assert route.service_of('request-1') is not None
            assert now + route.timeout + route.stall_timeout > now
            router.metrics.count(route.name, 'ok')
            models.update(route.sizes)
    teams = {team.name: team for team in (table.teams or {}).values()}
    for model in models:
        for team in teams or [None]:
            dispatch = Dispatch('i', None, team, model, 1)
            h11.Connection(h11.CLIENT).send(
                h11.Request(
                    method='POST',
                    target='/',
                    headers=PlatformHeaders().endpoint_headers(
                        HEAD, dispatch, 0
                    ),
                )
            )


def test_configuration_with_one_malformed_value() -> None:
    """A configuration was active in part, and no later one was complete."""
    used = 0
    for body in malformed.json_variants(CONFIGURATION):
        outcome = documents.read_configuration(Row('op/config', 1, body))
        if isinstance(outcome, Ok):
            use(outcome.ok_value)
            used += 1
    assert used


@given(malformed.json_like(CONFIGURATION))
def test_configuration_with_generated_values(body: bytes) -> None:
    """No combination of values may decode to an unusable configuration."""
    outcome = documents.read_configuration(Row('op/config', 1, body))
    if isinstance(outcome, Ok):
        use(outcome.ok_value)


@pytest.mark.parametrize('backends', [[], [{'service': 'x', 'weight': 0}]])
def test_route_without_a_service(backends: list[dict[str, object]]) -> None:
    """Requests of such a route ended without an answer."""
    route: dict[str, Any] = {
        **ROUTE,
        'service': None,
        'weighted-backends': backends,
    }
    body = json.dumps({**CONFIGURATION, 'routes': [route]}).encode()
    use(documents.read_configuration(Row('op/config', 1, body)).unwrap())


@pytest.mark.parametrize('weight', ['1e400', 'Infinity', 'NaN'])
def test_weight_without_a_ratio(weight: str) -> None:
    """Infinite weights sent all requests to the last service."""
    template = json.dumps(CONFIGURATION).replace('"weight": 90', '"weight": W')
    body = template.replace('W', weight).encode()
    assert documents.read_configuration(Row('op/config', 1, body)).is_err()


@pytest.mark.parametrize('name', ['a\r\nb', 'a\x00', ' a'])
def test_name_that_no_header_can_carry(name: str) -> None:
    """Requests of such a tenant or model ended without an answer."""
    tenants = [{'name': name, 'api-keys': ['k']}]
    routes = [{**ROUTE, 'sizes': [name]}]
    for changed in ({'tenants': tenants}, {'routes': routes}):
        body = json.dumps({**CONFIGURATION, **changed}).encode()
        outcome = documents.read_configuration(Row('op/config', 1, body))
        assert outcome.is_err()
