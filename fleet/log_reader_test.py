"""Tests router processes whose log is read slowly, partly or not at all."""

import fcntl
import json
import os
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

import pytest

from fleet.platform import PlatformFleet, configuration

PIPE_BYTES = 4096
REQUESTS = 40  # their lines are longer than the pipe
EXIT_TIMEOUT_S = 60


class PipedFleet(PlatformFleet):
    """A fleet whose routers write to a pipe that is set before their start."""

    writer = -1

    def open_output(self, name: str) -> BinaryIO:
        """Return the pipe for a router, else a file."""
        if name in self.routers:
            return os.fdopen(self.writer, 'wb')
        return super().open_output(name)


class LoggingRouter:
    """A router whose standard output and error are a small pipe."""

    def __init__(self, fleet: PipedFleet) -> None:
        """Start the router."""
        self.fleet = fleet
        reader, writer = os.pipe()
        self.reader = reader
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        fleet.writer = writer
        fleet.start_router('node-1')
        fleet.wait_until_ready('node-1')

    def send_requests(self) -> None:
        """Send requests and check that each answer is whole."""
        for number in range(REQUESTS):
            request_id = f'r-{number}'
            reply = self.fleet.send_request('node-1', '/read/x', request_id)
            assert reply.status == 200
            assert reply.body

    def stop(self) -> None:
        """Ask the router to stop."""
        self.fleet.send_signal('node-1', signal.SIGTERM)

    def wait(self) -> int:
        """Wait until the router has ended; return its exit code."""
        return self.fleet.processes['node-1'].wait(EXIT_TIMEOUT_S)

    def read_all(self) -> bytes:
        """Read the log until the router has closed it."""
        text = b''
        while block := os.read(self.reader, PIPE_BYTES):
            text += block
        return text


@pytest.fixture
def router(tmp_path: Path) -> Iterator[LoggingRouter]:
    """Return a router with two workers."""
    fleet = PipedFleet(tmp_path)
    try:
        fleet.put(configuration(3))
        for name in ('plain-1', 'plain-2'):
            fleet.start_worker(name)
        yield LoggingRouter(fleet)
    finally:
        fleet.close()


def assert_json_lines(text: bytes) -> None:
    """Check that complete lines are JSON; the last one may be cut."""
    for line in text.split(b'\n')[:-1]:
        assert 'node' in json.loads(line)


# Routers that were restarted ended with "Second simultaneous write".
def test_router_stops_though_nobody_reads_its_log(
    router: LoggingRouter,
) -> None:
    """A full pipe affects neither the answers nor the exit code."""
    router.send_requests()
    router.stop()
    assert router.wait() == 0
    assert_json_lines(router.read_all())


# Such a router did not end at a stop.
def test_router_serves_though_its_log_is_closed(
    router: LoggingRouter,
) -> None:
    """A closed pipe affects neither the answers nor the exit code."""
    os.close(router.reader)
    router.send_requests()
    router.stop()
    assert router.wait() == 0


# The lines of a stop were lost.
def test_reader_that_comes_late_gets_the_lines_of_the_stop(
    router: LoggingRouter,
) -> None:
    """What a slow reader gets ends with the lines of the stop."""
    router.send_requests()
    router.stop()
    text = router.read_all()
    assert router.wait() == 0
    lines = [json.loads(line) for line in text.splitlines()]
    assert lines[-1]['event'] == 'stop'
    assert {'start', 'stopping', 'stopped'} <= {line['event'] for line in lines}
