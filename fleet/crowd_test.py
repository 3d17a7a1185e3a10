"""Tests that crowds of large bodies neither end nor fill a router process.

Only what does not depend on the speed of the machine is checked: that the
process lives, its peak of memory, its open descriptors, and that ordinary
requests are answered beside the crowd and afterwards.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet.crowds import (
    PIECE_BYTES,
    Crowd,
    Sending,
    announced,
    chunks,
    silent,
    unfinished_head,
    whole,
)
from fleet.platform import (
    Document,
    PlatformFleet,
    RouterPorts,
    configuration,
)

ROUTER = 'node-1'
CALLERS = 64
BODY_BYTES = 2 * 1024 * 1024  # the limit of a body
OVER_BYTES = 3 * BODY_BYTES // 2
SMALL_CHUNKS_BYTES = 128 * 1024
MEMORY_MB = 128
# The platform keeps 200 of the descriptors for files.
SOCKETS = 96
DESCRIPTORS = 200 + SOCKETS
ORDINARY_REQUESTS = 5

# What the callers of a crowd send, by turns.
CROWDS: dict[str, tuple[Sending, ...]] = {
    'whole-bodies': (whole(BODY_BYTES),),
    'piece-by-piece': (whole(BODY_BYTES, PIECE_BYTES),),
    'large-chunks': (chunks(BODY_BYTES - 1, 256 * 1024),),
    'small-chunks': (chunks(SMALL_CHUNKS_BYTES, 16),),
    'one-byte-chunks': (chunks(SMALL_CHUNKS_BYTES // 4, 1),),
    'announced-over-the-limit': (announced(OVER_BYTES),),
    'sent-over-the-limit': (chunks(OVER_BYTES, 64 * 1024),),
    'two-kinds': (whole(BODY_BYTES), chunks(OVER_BYTES, 64 * 1024)),
}


class CrowdedFleet(PlatformFleet):
    """A router on a small machine, and a worker."""

    def __init__(self, folder: Path) -> None:
        """Start all processes."""
        super().__init__(folder)
        document = configuration(1)
        document['op/config']['limits'] = {'max-body-bytes': BODY_BYTES}
        self.put(document)
        self.start_worker('worker-1')
        self.start_router(ROUTER)
        self.wait_until_ready(ROUTER)

    def peak_mb(self) -> float:
        """Return the largest resident memory that the router has had."""
        pid = self.processes[ROUTER].pid
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
        peak_kb = next(
            int(line.split()[1]) for line in lines if line.startswith('VmHWM')
        )
        return peak_kb / 1024

    def open_sockets(self) -> int:
        """Return how many sockets the router has open."""
        folder = Path(f'/proc/{self.processes[ROUTER].pid}/fd')
        targets = map(_target, folder.iterdir())
        return sum(target.startswith('socket:') for target in targets)

    def answer(self, body: str = 'b') -> int:
        """Return the status of an ordinary request."""
        number = len(self.fetch_runs('worker-1'))
        request_id = f'ordinary-{number}'
        return self.send_request(
            ROUTER, '/read/x', request_id, body=body
        ).status

    def _settings(self, ports: RouterPorts) -> Document:
        return {
            **super()._settings(ports),
            'limits': {'memory-mb': MEMORY_MB, 'max-fds': DESCRIPTORS},
        }


def _target(link: Path) -> str:
    """Return what a descriptor refers to; empty if it has been closed."""
    try:
        return str(link.readlink())
    except FileNotFoundError:
        return ''


@pytest.fixture
def crowded(tmp_path: Path) -> Iterator[CrowdedFleet]:
    """Return a fleet that serves requests."""
    fleet = CrowdedFleet(tmp_path)
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.mark.parametrize('kind', CROWDS)
def test_crowd_of_bodies(crowded: CrowdedFleet, kind: str) -> None:
    """The process lives within its memory, and answers others."""
    crowd = Crowd(crowded.routers[ROUTER].callers, CROWDS[kind], CALLERS)
    try:
        crowd.send()
        beside = [crowded.answer() for _ in range(ORDINARY_REQUESTS)]
    finally:
        crowd.close()
    afterwards = [crowded.answer() for _ in range(ORDINARY_REQUESTS)]
    assert crowded.processes[ROUTER].poll() is None
    assert crowded.peak_mb() <= MEMORY_MB
    assert {*beside, *afterwards} == {200}


@pytest.mark.parametrize('sending', [silent(), unfinished_head()])
def test_crowd_of_connections(crowded: CrowdedFleet, sending: Sending) -> None:
    """Descriptors are left for endpoints, the store and other callers."""
    port = crowded.routers[ROUTER].callers
    crowd = Crowd(port, (sending,), SOCKETS * 2)
    try:
        crowd.send()
        open_sockets = crowded.open_sockets()
        beside = [crowded.answer() for _ in range(ORDINARY_REQUESTS)]
    finally:
        crowd.close()
    assert crowded.processes[ROUTER].poll() is None
    assert open_sockets <= SOCKETS
    assert set(beside) == {200}


def test_single_body_within_the_limit_is_served(crowded: CrowdedFleet) -> None:
    """A large request in calm needs no room that others hold."""
    body = 'x' * (BODY_BYTES - 1)
    assert {crowded.answer(body) for _ in range(3)} == {200}
    assert crowded.peak_mb() <= MEMORY_MB
