"""Tests that an evacuated failure domain gets no work, whatever fails."""

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet.platform import API_KEY, PlatformFleet
from fleet.restored_store_test import (
    NODES,
    running_fleet,
    status,
    wait_for_status,
)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Return routers that serve requests."""
    with running_fleet(tmp_path, API_KEY) as started:
        yield started


def test_evacuation_outlasts_outages_and_kills(fleet: PlatformFleet) -> None:
    """The order holds while the store is away and after a restart."""
    fleet.put({'op/evacuate/a': {}})
    wait_for_status(fleet, API_KEY, 503)
    fleet.set_faults(fleet.store_port, outage=1)
    assert {status(fleet, name, API_KEY) for name in NODES} == {503}
    fleet.send_signal(NODES[0], signal.SIGKILL)
    fleet.processes[NODES[0]].wait()
    fleet.start_router(NODES[0])
    fleet.set_faults(fleet.store_port, outage=0)
    fleet.wait_until_ready(NODES[0])
    runs = len(fleet.fetch_runs('worker-1'))
    assert {status(fleet, name, API_KEY) for name in NODES} == {503}
    assert len(fleet.fetch_runs('worker-1')) == runs
    fleet.put({'op/evacuate/a': None})
    wait_for_status(fleet, API_KEY, 200)
