"""Guards billing across processes: a killed entry's bills appear once."""

import collections
import dataclasses
import time
from pathlib import Path

from fleet import deployments, evidence
from fleet.launch import Fleet, Program

REQUESTS = 12
LIMIT_S = 120
POLL_S = 0.2


def ask(fleet: Fleet, entry: Program) -> str:
    """Send a request through an entry process; return its identity."""
    reply = fleet.http.request(
        'POST',
        f'http://{entry.address}/v1/chat/completions',
        json={
            'model': fleet.model(),
            'messages': [{'role': 'user', 'content': 'hello'}],
            'max_tokens': 1,
        },
        headers={'Authorization': f'Bearer {fleet.api_key()}'},
        timeout=30,
    )
    assert reply.status == 200, reply.data
    return str(reply.headers['X-Request-Id'])


def billed(fleet: Fleet) -> collections.Counter[str]:
    """Count the records of the ledger by request."""
    records = evidence.ledger(fleet, fleet.http)
    return collections.Counter(bill.request_id for bill in records)


def test_bills_of_a_killed_entry_appear_once(tmp_path: Path) -> None:
    """An answered request whose bill dies with its entry is never paid."""
    plan = dataclasses.replace(deployments.BROLGA, entry_count=3)
    with Fleet(plan, tmp_path) as fleet:
        victim = fleet.entries()[1]
        asked = [ask(fleet, victim) for _ in range(REQUESTS)]
        victim.process.kill()
        victim.process.wait()
        fleet.register([victim], 'gone')
        limit = time.monotonic() + LIMIT_S
        while not billed(fleet).keys() >= set(asked):
            assert time.monotonic() < limit, 'bills are missing'
            time.sleep(POLL_S)
        assert max(billed(fleet).values()) == 1
