"""Tests of workers that answer a long upload early and reset the connection."""

import functools
import socket
import struct
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from fleet.platform import PlatformFleet, Reply, configuration, wait_until
from fleet.raw_worker import RawConnection, RawWorker
from fleet.reports_test import has_logged_endpoint

UPLOADS = 8
LONG_BODY = 'x' * 3_000_000
PART = 'a part of the answer'


def answer_early(connection: RawConnection, delay_s: float) -> None:
    """Answer without a length after the head of a request, and reset."""
    received = b''
    while b'\r\n\r\n' not in received:
        received += connection.sock.recv(2048)
    head = received.decode('latin-1').lower()
    request_id = head.split('request-id: ')[1].split('\r\n')[0]
    connection.send(
        f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
        f'Server-Signature: s\r\n\r\n{PART}'
    )
    time.sleep(delay_s)
    connection.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    connection.sock.close()


@pytest.fixture(params=[0, 0.02, 0.15])
def fleet(
    request: pytest.FixtureRequest, tmp_path: Path
) -> Iterator[PlatformFleet]:
    """Return a router whose only worker answers early."""
    started = PlatformFleet(tmp_path)
    port = started.ports.allocate(1)[0]
    script = functools.partial(answer_early, delay_s=request.param)
    worker = RawWorker(port, script)
    try:
        started.put(configuration(3))
        started.start_router('node-1')
        started.workers['raw'] = port
        started.started_ms['raw'] = 1
        started.register('raw', 'plain')
        wait_until(
            functools.partial(has_logged_endpoint, started, 'raw'), 'the worker'
        )
        started.wait_until_ready('node-1')
        yield started
    finally:
        worker.close()
        started.close()


def upload(fleet: PlatformFleet, path: str, number: int) -> Reply | None:
    """Return the answer to a long request, or None if it is not complete."""
    try:
        return fleet.send_request(
            'node-1', path, f'upload-{number}', body=LONG_BODY
        )
    except urllib3.exceptions.HTTPError:
        return None


# The client got the part as a complete answer.
@pytest.mark.parametrize('path', ['/read/x', '/order/x'])
def test_early_part_of_an_answer(fleet: PlatformFleet, path: str) -> None:
    """What was reset on the way must not look complete."""
    answers = [upload(fleet, path, number) for number in range(UPLOADS)]
    complete = [answer for answer in answers if answer and answer.status == 200]
    assert not complete
