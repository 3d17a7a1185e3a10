"""Tests of router processes whose store is restored from a backup."""

import contextlib
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet.platform import API_KEY, PlatformFleet, configuration, wait_until

NODES = ('node-1', 'node-2')
LOST_S = 2.0
LOST_KEY = 'key-2'


@contextlib.contextmanager
def running_fleet(folder: Path, *keys: str) -> Iterator[PlatformFleet]:
    """Return a fleet with a worker and routers that serve some keys."""
    started = PlatformFleet(folder)
    try:
        started.put(configuration(1, atlas=list(keys)))
        started.start_worker('worker-1')
        for name in NODES:
            started.start_router(name)
        for name in NODES:
            started.wait_until_ready(name)
        yield started
    finally:
        started.close()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Return routers that serve requests."""
    with running_fleet(tmp_path, API_KEY, LOST_KEY) as started:
        yield started


def status(fleet: PlatformFleet, name: str, key: str) -> int:
    """Return the status of a request with a key."""
    request_id = f'{name}-{time.monotonic_ns()}'
    return fleet.send_request(name, '/read/x', request_id, key).status


def wait_for_status(fleet: PlatformFleet, key: str, expected: int) -> None:
    """Wait until all routers answer requests with a key with a status."""
    wait_until(
        lambda: {status(fleet, name, key) for name in NODES} == {expected},
        f'all answer {expected}',
    )


# A router ignored a restored store until its versions had passed those from
# before: no configuration, no worker and no order reached it.
def test_routers_follow_a_restored_store(fleet: PlatformFleet) -> None:
    """What was taken away stays so, and later changes apply."""
    time.sleep(LOST_S)
    fleet.put(configuration(2, atlas=[API_KEY]))
    wait_for_status(fleet, LOST_KEY, 401)
    fleet.restore_store(LOST_S / 2)
    for _ in range(5):
        assert {status(fleet, name, LOST_KEY) for name in NODES} == {401}
        assert {status(fleet, name, API_KEY) for name in NODES} == {200}
    fleet.repeat_writes()
    fleet.put(configuration(3, atlas=[API_KEY, 'key-3']))
    wait_for_status(fleet, 'key-3', 200)
    assert status(fleet, NODES[0], LOST_KEY) == 401
    restored = [
        entry
        for entry in fleet.log_entries(NODES[0])
        if entry.get('event') == 'store_restored'
    ]
    assert {entry['table'] for entry in restored} >= {'op', 'servers'}
