"""Tests the list of nodes with processes that are killed or paused."""

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet.platform import PlatformFleet, configuration, wait_until
from fleet.ports import HOST

NAMES = ('node-1', 'node-2', 'node-3')


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Run three routers, each of which lists all of them, and a worker."""
    platform_fleet = PlatformFleet(tmp_path)
    try:
        platform_fleet.put(configuration(3))
        platform_fleet.start_worker('plain-1')
        for name in NAMES:
            platform_fleet.start_router(name)
        for name in NAMES:
            platform_fleet.wait_until_ready(name)
        wait_until(
            lambda: listed_nodes(platform_fleet, 'node-1') == set(NAMES),
            'all nodes',
        )
        yield platform_fleet
    finally:
        platform_fleet.close()


def listed_nodes(fleet: PlatformFleet, name: str) -> set[str]:
    """Return the names of the nodes in a node's directory for callers."""
    addresses = fleet.listed_addresses(name)
    return {
        router.name
        for router in fleet.routers.values()
        if f'{HOST}:{router.callers}' in addresses
    }


def test_killed_node_leaves_the_directory(fleet: PlatformFleet) -> None:
    """A killed node is removed and, after a restart, listed again.

    Without removal callers would use its address until an operator intervenes.
    """
    fleet.send_signal('node-3', signal.SIGKILL)
    fleet.processes['node-3'].wait()
    remaining = {'node-1', 'node-2'}
    wait_until(
        lambda: listed_nodes(fleet, 'node-1') == remaining, 'node-1 drops it'
    )
    wait_until(
        lambda: listed_nodes(fleet, 'node-2') == remaining, 'node-2 drops it'
    )
    fleet.start_router('node-3')
    fleet.wait_until_ready('node-3')
    wait_until(
        lambda: listed_nodes(fleet, 'node-1') == set(NAMES), 'it is back'
    )


def test_paused_node_puts_itself_back(fleet: PlatformFleet) -> None:
    """A node that was removed while paused is listed again."""
    fleet.send_signal('node-2', signal.SIGSTOP)
    wait_until(
        lambda: listed_nodes(fleet, 'node-1') == {'node-1', 'node-3'},
        'it is dropped',
    )
    fleet.send_signal('node-2', signal.SIGCONT)
    wait_until(
        lambda: listed_nodes(fleet, 'node-1') == set(NAMES), 'it is back'
    )
    assert fleet.send_request('node-2', '/read/x', 'r1').status == 200
