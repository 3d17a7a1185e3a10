"""Tests of decoding rows, including malformed rows of other writers."""

import datetime as dt
import json

import pytest
from result import Err, Ok

from bronzeglade.adapters.table import Row
from bronzeglade.coordination.rollout_plan import Order, first_plan
from bronzeglade.forwarding.route import RouteKind, WeightedService
from bronzeglade.platform import documents

ENTRY = {
    'service': 'huvo',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold-remaining-ms': 250,
    'sequence': 4,
    'born': 17,
}


def row(key: str, document: object) -> Row:
    """Return a row with a JSON document."""
    return Row(key, 3, json.dumps(document).encode())


def test_entry_of_an_endpoint() -> None:
    """Fields are decoded to the names and types of the router."""
    outcome = documents.read_endpoint(row('servers/i-1', ENTRY))
    assert isinstance(outcome, Ok)
    entry = outcome.ok_value
    assert (entry.name, entry.address) == ('i-1', ('10.0.0.9', 8080))
    assert entry.started == 17
    assert entry.cold_for == dt.timedelta(milliseconds=250)
    assert not entry.draining


@pytest.mark.parametrize(
    'changed',
    [
        {'state': 'sleeping'},
        {'slots': 'many'},
        {'address': 'nowhere'},
        {'service': None},
        {'born': 1.5},
        {'cold-remaining-ms': 'long'},
        {'cold-remaining-ms': -1},
    ],
)
def test_unreadable_entry_gives_no_endpoint(changed: dict[str, object]) -> None:
    """Requests must not be sent to the address of a malformed entry."""
    outcome = documents.read_endpoint(row('servers/i', {**ENTRY, **changed}))
    assert isinstance(outcome, Err)
    assert isinstance(
        documents.read_endpoint(Row('servers/i', 1, b'\xff')), Err
    )


def test_configuration() -> None:
    """Routes, weights, limits and API keys are decoded as configured."""
    outcome = documents.read_configuration(
        row(
            'op/config',
            {
                'version': 7,
                'routes': [
                    {
                        'name': 'r',
                        'hostname': 'API.example',
                        'prefix': '/a/',
                        'kind': 'streaming',
                        'timeout-ms': 10000,
                        'target-latency-ms': 6000,
                        'priority': 2,
                        'sizes': ['s', 'l'],
                        'weighted-backends': [
                            {'service': 'x', 'weight': 90},
                            {'service': 'y', 'weight': 0},
                        ],
                        'max-attempts': 3,
                        'resumable': True,
                        'later-field': 1,
                    }
                ],
                'services': [{'name': 'x', 'max-connections': 370}],
                'limits': {'idle-timeout-ms': 15000},
                'tenants': [
                    {'name': 't', 'api-keys': ['k1', 'k2'], 'priority': 1}
                ],
            },
        )
    )
    assert isinstance(outcome, Ok)
    table = outcome.ok_value
    route = table.find('api.example', '/a/b')
    assert route is not None
    assert (route.kind, route.repeatable) == (RouteKind.STREAM, True)
    assert route.services == (WeightedService('x', 90),)
    assert route.objective == dt.timedelta(seconds=6)
    assert table.services['x'].max_connections == 370
    assert table.limits.idle_timeout == dt.timedelta(seconds=15)
    assert table.teams is not None
    assert table.teams['k2'].priority == 1


def test_keys_bind_only_where_the_configuration_has_tenants() -> None:
    """An empty list of tenants admits no key; without a list none is needed."""
    without = documents.read_configuration(row('op/config', {'version': 1}))
    empty = documents.read_configuration(
        row('op/config', {'version': 1, 'tenants': []})
    )
    assert isinstance(without, Ok)
    assert isinstance(empty, Ok)
    assert without.ok_value.teams is None
    assert empty.ok_value.teams == {}


def test_error_of_a_configuration_names_the_field() -> None:
    """The error names the malformed field, so that the node can log it."""
    outcome = documents.read_configuration(row('op/config', {'version': 'x'}))
    assert isinstance(outcome, Err)
    assert 'version' in outcome.err_value


def test_order_and_status() -> None:
    """A roll-out order is decoded, and the state of its roll-out encoded."""
    outcome = documents.read_order(
        row(
            'op/rollout/huvo',
            {'service': 'huvo', 'target': 'v2', 'duration-s': 12},
        )
    )
    assert isinstance(outcome, Ok)
    order = outcome.ok_value
    assert order == Order('huvo', 'v2', dt.timedelta(seconds=12), 3)
    put = documents.status_row(first_plan(order, dt.timedelta(), None))
    assert put.key == 'status/rollout/huvo'
    assert json.loads(put.body)['state'] == 'running'
