"""Tests that all that a node grants to callers fits its machine."""

import subprocess  # noqa: S404
import sys

import pytest

from bronzeglade.forwarding import resources
from bronzeglade.forwarding.settings import MachineLimits

MEGABYTE = 1024 * 1024


def test_limits_follow_the_machine() -> None:
    """Together they leave room for all else on the smallest machines."""
    machine = MachineLimits(160 * MEGABYTE, 1438)
    resident = 40 * MEGABYTE
    held = resources.memory_settings(machine, resident).capacity
    connections = resources.max_connections(
        machine, resident, resources.CALLERS
    )
    assert 10 * 4 * MEGABYTE <= held <= 60 * MEGABYTE
    assert 500 <= connections <= 719
    needed = held + connections * resources.CALLERS.connection_bytes + resident
    assert needed <= 0.85 * 160 * MEGABYTE


@pytest.mark.parametrize('memory_mb', [100, 160, 200, 300, 552])
def test_grants_fit_the_machine(memory_mb: int) -> None:
    """A seventh of what is left after the start is granted to nobody."""
    machine = MachineLimits(memory_mb * MEGABYTE, 1_000_000)
    resident = 55 * MEGABYTE
    left = machine.memory - resident if machine.memory else 0
    granted = resources.memory_settings(machine, resident).capacity
    for share in resources.PORTS:
        connections = resources.max_connections(machine, resident, share)
        granted += connections * share.connection_bytes
    assert granted <= left * 6 / 7


def test_sockets_are_left_for_endpoints() -> None:
    """All ports together leave a quarter of the sockets."""
    assert sum(share.sockets for share in resources.PORTS) <= 0.75


def test_limits_of_an_unknown_machine() -> None:
    """Settings without limits of the machine bound callers all the same."""
    machine = MachineLimits()
    assert resources.memory_settings(machine, 1).capacity == 64 * MEGABYTE
    tiny = MachineLimits(MEGABYTE, 4)
    assert resources.memory_settings(tiny, 9 * MEGABYTE).capacity == 0
    for share in resources.PORTS:
        assert (
            resources.max_connections(machine, 1, share)
            >= resources.MIN_CONNECTIONS
        )
        assert (
            resources.max_connections(tiny, 9 * MEGABYTE, share)
            == resources.MIN_CONNECTIONS
        )


# The peak that the kernel reports is inherited across exec.
def test_resident_memory_is_that_of_the_process_itself() -> None:
    """A process that a large one has started is not taken for large."""
    ballast = b'x' * (300 * MEGABYTE)
    program = (
        'from bronzeglade.forwarding import resources\n'
        'print(resources.resident_bytes())'
    )
    output = subprocess.run(  # noqa: S603
        [sys.executable, '-W', 'ignore', '-c', program],
        capture_output=True,
        check=True,
    )
    assert int(output.stdout) < len(ballast) / 2
