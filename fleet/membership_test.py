"""Guards the list of nodes against real processes that end without a word."""

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet.platform import PlatformFleet, configuration, wait_until
from fleet.ports import HOST

NAMES = ('node-1', 'node-2', 'node-3')


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Return three routers that know each other, and a worker."""
    started = PlatformFleet(tmp_path)
    try:
        started.put(configuration(3))
        started.start_worker('plain-1')
        for name in NAMES:
            started.start_router(name)
        for name in NAMES:
            started.wait_ready(name)
        wait_until(lambda: listed(started, 'node-1') == set(NAMES), 'all nodes')
        yield started
    finally:
        started.close()


def listed(fleet: PlatformFleet, name: str) -> set[str]:
    """Return the nodes that a node tells callers."""
    addresses = fleet.addresses(name)
    return {
        one.name
        for one in fleet.routers.values()
        if f'{HOST}:{one.callers}' in addresses
    }


def test_killed_node_leaves_the_directory(fleet: PlatformFleet) -> None:
    """Callers would be sent to its address until an operator came."""
    fleet.signal('node-3', signal.SIGKILL)
    fleet.processes['node-3'].wait()
    left = {'node-1', 'node-2'}
    wait_until(lambda: listed(fleet, 'node-1') == left, 'node-1 drops it')
    wait_until(lambda: listed(fleet, 'node-2') == left, 'node-2 drops it')
    fleet.start_router('node-3')
    fleet.wait_ready('node-3')
    wait_until(lambda: listed(fleet, 'node-1') == set(NAMES), 'it is back')


def test_paused_node_puts_itself_back(fleet: PlatformFleet) -> None:
    """A node that only was frozen must not be lost for good."""
    fleet.signal('node-2', signal.SIGSTOP)
    wait_until(
        lambda: listed(fleet, 'node-1') == {'node-1', 'node-3'}, 'it is dropped'
    )
    fleet.signal('node-2', signal.SIGCONT)
    wait_until(lambda: listed(fleet, 'node-1') == set(NAMES), 'it is back')
    assert fleet.send_request('node-2', '/read/x', 'r1').status == 200
