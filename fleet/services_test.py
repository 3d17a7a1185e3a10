"""Tests at-most-once execution of orders across entry processes."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from fleet import deployments
from fleet.launch import Fleet

ORDER = {'order_id': 'o-1'}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run the fleet of the `brolga` deployment."""
    directory: Path = tmp_path_factory.mktemp('logs')
    with Fleet(deployments.BROLGA, directory) as running:
        yield running


def place_order(
    fleet: Fleet, entry: int, key: str, document: Any
) -> tuple[int, Any, bool]:
    """Place an order and return status, content and whether it is a replay."""
    reply = fleet.http.request(
        'POST',
        f'http://{fleet.entries()[entry].address}/services/sightings/sightings',
        json=document,
        headers={
            'Authorization': f'Bearer {fleet.api_key()}',
            'Idempotency-Key': key,
        },
        timeout=30,
    )
    replayed = reply.headers.get('Idempotency-Replayed') == 'true'
    return reply.status, json.loads(reply.data), replayed


def inject_faults(fleet: Fleet, role: str, faults: dict[str, Any]) -> None:
    """Inject faults into every stand-in with a role."""
    for program in fleet.programs_with_role(role):
        fleet.inject_faults(program, faults)


def executions(fleet: Fleet, key: str) -> int:
    """Count the executions with an idempotency key at all endpoints."""
    return sum(
        json.loads(
            fleet.http.request(
                'GET', f'http://{program.address}/executions', timeout=30
            ).data
        ).get(key, 0)
        for program in fleet.programs_with_role('sightings-api')
    )


def test_retry_on_another_entry_gets_the_stored_answer(fleet: Fleet) -> None:
    """A retry on another entry replays the stored answer.

    A second execution would count a sighting twice.
    """
    first = place_order(fleet, 0, 'k1', ORDER)
    second = place_order(fleet, 1, 'k1', ORDER)
    assert (first[0], first[2]) == (200, False)
    assert second == (200, first[1], True)
    status, error_body, _ = place_order(fleet, 1, 'k1', {'order_id': 'o-2'})
    assert (status, error_body['error']['run_state']) == (422, 'not_run')
    assert executions(fleet, 'k1') == 1


def test_unknown_outcome_stays_unknown(fleet: Fleet) -> None:
    """A retry of an order whose answer was lost is not executed again."""
    inject_faults(fleet, 'sightings-api', {'drop_after': 1})
    status, error_body, _ = place_order(fleet, 0, 'k2', ORDER)
    inject_faults(fleet, 'sightings-api', {'drop_after': 0})
    assert (status, error_body['error']['run_state']) == (502, 'unknown')
    status, error_body, _ = place_order(fleet, 1, 'k2', ORDER)
    assert (status, error_body['error']['code']) == (409, 'outcome_unknown')
    assert executions(fleet, 'k2') == 1


def test_order_is_not_run_while_the_table_is_unavailable(fleet: Fleet) -> None:
    """An order is not sent before the claim on its key is stored.

    Otherwise a retry could execute it again.
    """
    inject_faults(fleet, 'table', {'outage': 1})
    status, error_body, _ = place_order(fleet, 0, 'k3', ORDER)
    inject_faults(fleet, 'table', {'outage': 0})
    assert (status, error_body['error']['run_state']) == (503, 'not_run')
    assert executions(fleet, 'k3') == 0
