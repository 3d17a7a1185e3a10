"""Tests billing across processes, with an entry process that is killed."""

import collections
import dataclasses
import time
from pathlib import Path

from fleet import deployments, evidence
from fleet.launch import Fleet, Program

REQUEST_COUNT = 12
BILLING_TIMEOUT_S = 120
POLL_INTERVAL_S = 0.2


def send_request(fleet: Fleet, entry: Program) -> str:
    """Send a request through an entry process and return its request id."""
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
    """Count the billing records in the table by request id."""
    records = evidence.read_ledger(fleet, fleet.http)
    return collections.Counter(bill.request_id for bill in records)


def test_bills_of_a_killed_entry_appear_once(tmp_path: Path) -> None:
    """Each request of a killed entry process is billed exactly once.

    Its billing records must survive on other nodes and be written from there.
    """
    deployment = dataclasses.replace(deployments.BROLGA, entry_count=3)
    with Fleet(deployment, tmp_path) as fleet:
        killed_entry = fleet.entries()[1]
        request_ids = [
            send_request(fleet, killed_entry) for _ in range(REQUEST_COUNT)
        ]
        killed_entry.process.kill()
        killed_entry.process.wait()
        fleet.register([killed_entry], 'gone')
        deadline = time.monotonic() + BILLING_TIMEOUT_S
        while not billed(fleet).keys() >= set(request_ids):
            assert time.monotonic() < deadline, 'billing records are missing'
            time.sleep(POLL_INTERVAL_S)
        assert max(billed(fleet).values()) == 1
