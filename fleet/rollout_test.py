"""Tests the halt of a bad candidate version in a fleet of processes."""

import dataclasses
import time
from collections.abc import Callable
from pathlib import Path

from bronzeglade.adapters.table import Row
from bronzeglade.coordination import rollout_progress
from bronzeglade.coordination.rollout_progress import (
    RolloutProgress,
    RolloutState,
)
from fleet import deployments
from fleet.launch import Fleet

ROLLOUT = {
    'name': 'large-v2',
    'model': 'guide-large',
    'from_version': 'v1',
    'to_version': 'v2',
    'steps': [{'share': 0.5, 'min_requests': 100000}],
}
WAIT_TIMEOUT_S = 90
MAX_EXPOSURE = 300  # requests; the halt normally comes after about 50


def send(fleet: Fleet, number: int) -> str:
    """Send a request through the n-th node and return the version used."""
    entries = fleet.entries()
    reply = fleet.http.request(
        'POST',
        f'http://{entries[number % len(entries)].address}/v1/chat/completions',
        json={
            'model': 'guide-large',
            'messages': [{'role': 'user', 'content': f'bird {number}'}],
            'max_tokens': 1,
        },
        headers={'Authorization': f'Bearer {fleet.api_key()}'},
        timeout=10,
    )
    return reply.headers.get('X-Version', '')


def progress(fleet: Fleet) -> RolloutProgress | None:
    """Return the progress of the roll-out that is stored in the table."""
    body = fleet.table_row(rollout_progress.row_key('large-v2'))
    if body is None:
        return None
    return rollout_progress.decode_row(Row('', 1, body)).progress


def wait(condition: Callable[[], bool]) -> None:
    """Poll until a condition holds; fail after the time limit."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.2)


def test_candidate_that_turns_bad_is_halted(tmp_path: Path) -> None:
    """A candidate whose quality drops is halted after few requests.

    The halt is stored, and all requests return to the control version.
    """
    deployment = dataclasses.replace(deployments.BROLGA, entry_count=3)
    with Fleet(deployment, tmp_path) as fleet:
        document = fleet.manifest()
        fleet.publish({**document, 'rollouts': [ROLLOUT]}, 1)
        wait(lambda: progress(fleet) is not None)
        wait(lambda: 'v2' in {send(fleet, number) for number in range(30)})
        for engine in fleet.programs_with_role('guide-llm-large'):
            faults = {'bad_version': 'v2', 'bad_quality': 0.2}
            fleet.inject_faults(engine, faults)
        exposure = 0
        requests_since_candidate = 0
        number = 0
        while requests_since_candidate < 60:
            number += 1
            requests_since_candidate += 1
            if send(fleet, number) == 'v2':
                exposure += 1
                requests_since_candidate = 0
            assert exposure < MAX_EXPOSURE

        def is_halt_stored() -> bool:
            stored = progress(fleet)
            return stored is not None and stored.state is RolloutState.HALTED

        wait(is_halt_stored)
        versions = {send(fleet, number) for number in range(60)}
        assert versions == {'v1'}
