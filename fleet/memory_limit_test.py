"""Tests that crowds keep a router process within the memory of its machine.

Bytes that were received and not read count as memory of the process. Nothing
that depends on the speed of the machine is checked.
"""

import contextlib
from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet.crowd_test import BODY_BYTES, ROUTER, CrowdedFleet
from fleet.crowd_target import CLIENTS, crowd_problems
from fleet.crowds import (
    Crowd,
    Sending,
    announced,
    chunks,
    endless_chunk_line,
    long_head,
    many_fields,
    silent,
    unfinished_head,
    whole,
)
from fleet.memory_meter import MemoryMeter
from fleet.platform import Document, RouterPorts

MEMORY_MB = 100
SOCKETS = 1000
FEW_SOCKETS = 96
FILE_DESCRIPTORS = 200  # the platform keeps these for files
CALLERS = 300
HEADS = 900
FEW_CALLERS = 8
HEADER_BYTES = 15 * 1024
# Heads that eventlet takes, and heads that the pages take.
PAGE_HEADS = (60 * 1024, 18 * 1024)
LINE_BYTES = 32 * 1024 * 1024
ORDINARY_REQUESTS = 5
PAGES = ('directory', 'ready', 'control', 'metrics')

BODIES: dict[str, tuple[Sending, ...]] = {
    'small-chunks': (chunks(3 * BODY_BYTES // 4, 512),),
    'one-byte-chunks': (chunks(BODY_BYTES // 8, 1),),
    'large-chunks': (chunks(BODY_BYTES - 1, 256 * 1024),),
    'whole-bodies': (whole(BODY_BYTES),),
    'announced-over-the-limit': (announced(2 * BODY_BYTES),),
    'sent-over-the-limit': (chunks(2 * BODY_BYTES, 64 * 1024),),
    'many-fields': (many_fields(HEADER_BYTES),),
    'all-kinds': (
        chunks(3 * BODY_BYTES // 4, 512),
        chunks(BODY_BYTES - 1, 256 * 1024),
        chunks(2 * BODY_BYTES, 64 * 1024),
        announced(2 * BODY_BYTES),
        many_fields(HEADER_BYTES),
    ),
}


class SmallMachine(CrowdedFleet):
    """A router on a machine with little memory, and a worker."""

    def __init__(self, folder: Path, sockets: int) -> None:
        """Start all processes.

        Args:
          folder: where settings files and logs are written.
          sockets: how many the router may open.
        """
        self.sockets = sockets
        super().__init__(folder)

    def port_of(self, name: str) -> int:
        """Return a port of the router by its name."""
        port: int = getattr(self.routers[ROUTER], name)
        return port

    def meter(self) -> MemoryMeter:
        """Return a meter of the router's memory."""
        ports = [self.port_of(name) for name in ('callers', *PAGES)]
        return MemoryMeter(self.processes[ROUTER].pid, ports)

    def serves(self) -> bool:
        """Return whether the pages and ordinary requests are answered."""
        statuses = {self.answer() for _ in range(ORDINARY_REQUESTS)}
        return (
            statuses == {200}
            and self.is_ready(ROUTER)
            and bool(self.listed_addresses(ROUTER))
        )

    def is_alive(self) -> bool:
        """Return whether the router process runs."""
        return self.processes[ROUTER].poll() is None

    def _settings(self, ports: RouterPorts) -> Document:
        max_fds = FILE_DESCRIPTORS + self.sockets
        return {
            **super()._settings(ports),
            'limits': {'memory-mb': MEMORY_MB, 'max-fds': max_fds},
        }


@pytest.fixture
def machine(
    tmp_path: Path, request: pytest.FixtureRequest
) -> Iterator[SmallMachine]:
    """Return a machine that serves requests; the parameter is its sockets."""
    sockets = getattr(request, 'param', SOCKETS)
    with contextlib.closing(SmallMachine(tmp_path, sockets)) as running:
        yield running


@pytest.mark.parametrize('kind', BODIES)
def test_crowd_of_callers(machine: SmallMachine, kind: str) -> None:
    """Bodies and heads that do not end, from many addresses."""
    port = machine.port_of('callers')
    crowd = Crowd(port, BODIES[kind], CALLERS, CLIENTS)
    assert not crowd_problems(machine, (crowd,), MEMORY_MB)


@pytest.mark.parametrize('header_bytes', PAGE_HEADS)
@pytest.mark.parametrize('page', PAGES)
def test_crowd_of_heads_at_a_page(
    machine: SmallMachine, page: str, header_bytes: int
) -> None:
    """Heads without their ends."""
    head = long_head(header_bytes)
    port = machine.port_of(page)
    crowd = Crowd(port, (head,), HEADS, CLIENTS)
    assert not crowd_problems(machine, (crowd,), MEMORY_MB)


@pytest.mark.parametrize('page', PAGES)
def test_chunk_line_without_end_at_a_page(
    machine: SmallMachine, page: str
) -> None:
    """The pages need no bodies."""
    line = endless_chunk_line(LINE_BYTES)
    port = machine.port_of(page)
    crowd = Crowd(port, (line,), FEW_CALLERS, CLIENTS)
    assert not crowd_problems(machine, (crowd,), MEMORY_MB)


def test_crowds_at_callers_port_and_directory(machine: SmallMachine) -> None:
    """The memory of the machine is shared by all ports."""
    heads = Crowd(
        machine.port_of('directory'),
        (long_head(PAGE_HEADS[0]),),
        HEADS,
        CLIENTS,
    )
    bodies = Crowd(
        machine.port_of('callers'), BODIES['all-kinds'], CALLERS, CLIENTS
    )
    assert not crowd_problems(machine, (heads, bodies), MEMORY_MB)


@pytest.mark.parametrize('machine', [FEW_SOCKETS], indirect=True)
@pytest.mark.parametrize('sending', [silent(), unfinished_head()])
@pytest.mark.parametrize('page', PAGES)
def test_crowd_of_connections_at_a_page(
    machine: SmallMachine, page: str, sending: Sending
) -> None:
    """Descriptors are left for all else, and other callers get the page."""
    port = machine.port_of(page)
    crowd = Crowd(port, (sending,), 2 * FEW_SOCKETS, CLIENTS)
    try:
        crowd.send()
        open_sockets = machine.open_sockets()
        beside = machine.serves()
    finally:
        crowd.close()
    assert machine.is_alive()
    assert open_sockets <= FEW_SOCKETS
    assert beside


def test_single_request_within_the_limits_is_served(
    machine: SmallMachine,
) -> None:
    """Neither a long body nor many fields are refused in calm."""
    body = 'x' * (BODY_BYTES - 1)
    fields = {f'X_{number}': '' for number in range(90)}
    with machine.meter() as meter:
        assert {machine.answer(body) for _ in range(3)} == {200}
        reply = machine.send_request(ROUTER, '/read/x', 'fields', **fields)
    assert reply.status == 200
    assert meter.peak_mb <= MEMORY_MB
