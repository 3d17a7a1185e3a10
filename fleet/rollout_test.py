"""Guards the halt of a bad candidate in a fleet of processes."""

import dataclasses
import time
from collections.abc import Callable
from pathlib import Path

from bronzeglade.adapters.table import Row
from bronzeglade.coordination import rollout as rows
from bronzeglade.coordination.rollout import Progress, RolloutState
from fleet import deployments
from fleet.launch import Fleet

ROLLOUT = {
    'name': 'large-v2',
    'model': 'guide-large',
    'from_version': 'v1',
    'to_version': 'v2',
    'steps': [{'share': 0.5, 'min_requests': 100000}],
}
LIMIT_S = 90
MAX_EXPOSURE = 300  # requests; the halt comes after about 50


def send(fleet: Fleet, number: int) -> str:
    """Send a request through one of the nodes and return its version."""
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


def progress(fleet: Fleet) -> Progress | None:
    """Return the durable state of the roll-out."""
    body = fleet.table_row(rows.row_key('large-v2'))
    if body is None:
        return None
    return rows.decode_row(Row('', 1, body)).progress


def wait(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    limit = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < limit
        time.sleep(0.2)


def test_candidate_that_turns_bad_is_halted(tmp_path: Path) -> None:
    """A bad version that goes on serving exposes callers to it."""
    plan = dataclasses.replace(deployments.BROLGA, entry_count=3)
    with Fleet(plan, tmp_path) as fleet:
        document = fleet.manifest()
        fleet.publish({**document, 'rollouts': [ROLLOUT]}, 1)
        wait(lambda: progress(fleet) is not None)
        wait(lambda: 'v2' in {send(fleet, number) for number in range(30)})
        for engine in fleet.of_role('guide-llm-large'):
            faults = {'bad_version': 'v2', 'bad_quality': 0.2}
            fleet.cause(engine, faults)
        exposure = 0
        since = 0
        number = 0
        while since < 60:
            number += 1
            since += 1
            if send(fleet, number) == 'v2':
                exposure += 1
                since = 0
            assert exposure < MAX_EXPOSURE

        def is_durable() -> bool:
            stored = progress(fleet)
            return stored is not None and stored.state is RolloutState.HALTED

        wait(is_durable)
        versions = {send(fleet, number) for number in range(60)}
        assert versions == {'v1'}
