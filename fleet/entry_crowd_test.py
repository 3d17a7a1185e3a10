"""Tests that crowds keep `bronzeglade entry` within the memory of its VM.

Bytes that were received and not read count as memory of the process.
"""

import dataclasses
from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet import deployments
from fleet.crowd_target import CLIENTS, crowd_problems
from fleet.crowds import (
    Crowd,
    Sending,
    endless_chunk_line,
    long_head,
    whole,
)
from fleet.launch import Fleet, Program
from fleet.memory_meter import MemoryMeter

MEMORY_MB = 128
HELD_BYTES = 16 * 1024 * 1024
BODY_BYTES = 2 * 1024 * 1024
LINE_BYTES = 32 * 1024 * 1024
# The server refuses larger heads.
HEADER_BYTES = 60 * 1024
CALLERS = 100
CONNECTIONS = 300
HEADS = 1200
CHAT_PATH, PEER_PATH = '/v1/chat/completions', '/peer/x'


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run the fleet of the `brolga` deployment with little room for bodies."""
    directory: Path = tmp_path_factory.mktemp('logs')
    options = {
        'held_limit': HELD_BYTES,
        'body_limit': BODY_BYTES,
        'connection_limit': CONNECTIONS,
    }
    with Fleet(deployments.BROLGA, directory, options) as running:
        yield running


def with_key(fleet: Fleet, sending: Sending) -> Sending:
    """Return what a caller with an API key sends."""
    key = f'Authorization: Bearer {fleet.api_key()}'
    return dataclasses.replace(
        sending, header=f'{key}\r\n{sending.header}', path=CHAT_PATH
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A router process of the fleet."""

    fleet: Fleet
    program: Program

    def meter(self) -> MemoryMeter:
        """Return a meter of its memory."""
        ports = (self.program.port, self.program.control_port)
        return MemoryMeter(self.program.process.pid, ports)

    def is_alive(self) -> bool:
        """Return whether it runs."""
        return self.program.process.poll() is None

    def serves(self) -> bool:
        """Return whether it answers a request."""
        return self.fleet.serves(self.program)

    def problems(self, crowd: Crowd) -> list[str]:
        """Return what a crowd did to it."""
        return crowd_problems(self, (crowd,), MEMORY_MB)


def test_bodies_of_callers(fleet: Fleet) -> None:
    """Bodies of legal size that stop just short of their end."""
    entry = fleet.entries()[0]
    sending = with_key(fleet, whole(BODY_BYTES))
    crowd = Crowd(entry.port, (sending,), CALLERS, CLIENTS)
    assert not Entry(fleet, entry).problems(crowd)


def test_bodies_at_the_control_port(fleet: Fleet) -> None:
    """A body is read before its signature can be checked."""
    entry = fleet.entries()[1]
    sending = dataclasses.replace(whole(BODY_BYTES), path=PEER_PATH)
    crowd = Crowd(entry.control_port, (sending,), CALLERS, CLIENTS)
    assert not Entry(fleet, entry).problems(crowd)


def test_chunk_line_without_end(fleet: Fleet) -> None:
    """Chunked bodies are refused, and nothing of them is kept."""
    entry = fleet.entries()[2]
    sending = with_key(fleet, endless_chunk_line(LINE_BYTES))
    crowd = Crowd(entry.port, (sending,), CALLERS // 10, CLIENTS)
    assert not Entry(fleet, entry).problems(crowd)


def test_heads_without_end(fleet: Fleet) -> None:
    """Connections are bounded, and so are their heads."""
    entry = fleet.entries()[3]
    head = (long_head(HEADER_BYTES),)
    for port in (entry.port, entry.control_port):
        crowd = Crowd(port, head, HEADS, CLIENTS)
        assert not Entry(fleet, entry).problems(crowd)
