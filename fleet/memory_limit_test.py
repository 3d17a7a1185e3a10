"""Tests that crowds keep a router process within the memory of its machine.

Bytes that were received and not read count as memory of the process. Nothing
that depends on the speed of the machine is checked.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet.crowd_test import BODY_BYTES, ROUTER, CrowdedFleet
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
CLIENTS = tuple(f'127.0.0.{number}' for number in range(2, 32))
HEADER_BYTES = 15 * 1024
# The server of the pages refuses larger heads.
PAGE_HEADER_BYTES = 60 * 1024
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

    sockets = SOCKETS

    def port_of(self, door: str) -> int:
        """Return a port of the router by its name."""
        port: int = getattr(self.routers[ROUTER], door)
        return port

    def meter(self) -> MemoryMeter:
        """Return a meter of the router's memory."""
        ports = [self.port_of(door) for door in ('callers', *PAGES)]
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


class FewSockets(SmallMachine):
    """A machine with few descriptors as well."""

    sockets = FEW_SOCKETS


@pytest.fixture
def machine(tmp_path: Path) -> Iterator[SmallMachine]:
    """Return a machine that serves requests."""
    fleet = SmallMachine(tmp_path)
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def few_sockets(tmp_path: Path) -> Iterator[FewSockets]:
    """Return a machine with few sockets that serves requests."""
    fleet = FewSockets(tmp_path)
    try:
        yield fleet
    finally:
        fleet.close()


def check_crowds(machine: SmallMachine, *crowds: Crowd) -> None:
    """Let crowds send; check memory, and the answers beside and afterwards."""
    try:
        with machine.meter() as meter:
            for crowd in crowds:
                crowd.send()
            beside = machine.serves()
    finally:
        for crowd in crowds:
            crowd.close()
    assert machine.is_alive()
    assert meter.peak_mb <= MEMORY_MB
    assert beside
    assert machine.serves()


@pytest.mark.parametrize('kind', BODIES)
def test_crowd_of_callers(machine: SmallMachine, kind: str) -> None:
    """Bodies and heads that do not end, from many addresses."""
    port = machine.port_of('callers')
    check_crowds(machine, Crowd(port, BODIES[kind], CALLERS, CLIENTS))


@pytest.mark.parametrize('page', PAGES)
def test_crowd_of_heads_at_a_page(machine: SmallMachine, page: str) -> None:
    """Heads of the size that the server takes, without their ends."""
    head = long_head(PAGE_HEADER_BYTES)
    port = machine.port_of(page)
    check_crowds(machine, Crowd(port, (head,), HEADS, CLIENTS))


@pytest.mark.parametrize('page', PAGES)
def test_chunk_line_without_end_at_a_page(
    machine: SmallMachine, page: str
) -> None:
    """The pages need no bodies."""
    line = endless_chunk_line(LINE_BYTES)
    port = machine.port_of(page)
    check_crowds(machine, Crowd(port, (line,), FEW_CALLERS, CLIENTS))


def test_crowds_at_callers_port_and_directory(machine: SmallMachine) -> None:
    """The memory of the machine is shared by all ports."""
    heads = Crowd(
        machine.port_of('directory'),
        (long_head(PAGE_HEADER_BYTES),),
        HEADS,
        CLIENTS,
    )
    bodies = Crowd(
        machine.port_of('callers'), BODIES['all-kinds'], CALLERS, CLIENTS
    )
    check_crowds(machine, heads, bodies)


@pytest.mark.parametrize('sending', [silent(), unfinished_head()])
@pytest.mark.parametrize('page', PAGES)
def test_crowd_of_connections_at_a_page(
    few_sockets: FewSockets, page: str, sending: Sending
) -> None:
    """Descriptors are left for all else, and other callers get the page."""
    port = few_sockets.port_of(page)
    crowd = Crowd(port, (sending,), 2 * FEW_SOCKETS, CLIENTS)
    try:
        crowd.send()
        open_sockets = few_sockets.open_sockets()
        beside = few_sockets.serves()
    finally:
        crowd.close()
    assert few_sockets.is_alive()
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
