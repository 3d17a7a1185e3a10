"""Tests the allocation of ports to fleets that run at the same time."""

import pytest

from fleet import ports
from fleet.ports import PortAllocator

# Outside of the range that running fleets use.
PORTS = range(9000, 9200)
COUNT = 40


# Guards against two fleets on one port: each then gets connections of the
# other, and a request fails when its routers meet foreign processes too often.
def test_fleets_that_start_together_get_different_ports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ports are not allocated twice before their processes listen."""
    monkeypatch.setattr(ports, 'LISTENING_PORTS', PORTS)
    allocators = (PortAllocator(), PortAllocator())
    allocated = [
        port for allocator in allocators for port in allocator.allocate(COUNT)
    ]
    assert len(set(allocated)) == len(allocated)


def test_blocks_are_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """An allocator leaves its block to others; without one it fails."""
    monkeypatch.setattr(ports, 'LISTENING_PORTS', PORTS)
    allocators = [PortAllocator() for _ in PORTS]
    with pytest.raises(RuntimeError):
        for allocator in allocators:
            allocator.allocate(1)
    for closed in allocators:
        closed.close()
    assert allocators[0].allocate(COUNT)
    allocators[0].close()
