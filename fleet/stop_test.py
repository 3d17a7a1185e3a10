"""Tests what callers see while a router process of the OpenAI door stops."""

import collections
import dataclasses
import functools
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from fleet import deployments
from fleet.launch import SHORT_DRAIN_OPTIONS, Fleet, Program
from fleet.platform import PlatformFleet, configuration, wait_until
from fleet.ports import HOST

DEPLOYMENT = dataclasses.replace(
    deployments.BROLGA,
    entry_count=2,
    endpoints=deployments.BROLGA.endpoints[:1],
    models=deployments.BROLGA.models[:1],
    services=(),
    routes=(),
)
CALLERS = 16
FIRST_PART = 9  # bytes
TIMEOUT_S = 30
NO_ANSWER = 'no answer'
REFUSED = 'refused'


class HeldFleet(Fleet):
    """A fleet whose routers pause just before their planned exit."""

    def spawn(
        self, name: str, role: str, arguments: list[str], *others: Any
    ) -> Program:
        """Start a process; routers run `fleet.held_router`."""
        if role == 'entry':
            arguments = ['fleet.held_router', *arguments[1:]]
        return super().spawn(name, role, arguments, *others)


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Callable[[type[Fleet]], Fleet]]:
    """Return a function that starts a fleet of two routers."""
    fleets: list[Fleet] = []

    def start_fleet(kind: type[Fleet]) -> Fleet:
        fleets.append(kind(DEPLOYMENT, tmp_path, SHORT_DRAIN_OPTIONS))
        fleets[-1].start()
        return fleets[-1]

    yield start_fleet
    for fleet in fleets:
        fleet.stop()


def request_head(path: str) -> bytes:
    """Return a request without a body; the server closes the connection."""
    head = f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n'
    return head.encode()


def send(sock: socket.socket, content: bytes) -> None:
    """Send bytes; `read_outcome` tells if the connection has failed."""
    try:
        sock.sendall(content)
    except OSError:
        return


def read_outcome(sock: socket.socket) -> str:
    """Return the status code of the answer, or how the connection ended."""
    sock.settimeout(TIMEOUT_S)
    received = b''
    try:
        while b'\r\n' not in received:
            block = sock.recv(65536)
            if not block:
                return NO_ANSWER
            received += block
    except OSError as error:
        return repr(error)
    return received.split(b' ')[1].decode()


def call(port: int, path: str) -> str:
    """Send a request on a new connection; return its outcome."""
    try:
        sock = socket.create_connection((HOST, port), TIMEOUT_S)
    except ConnectionRefusedError:
        return REFUSED
    except OSError as error:
        return repr(error)
    with sock:
        send(sock, request_head(path))
        return read_outcome(sock)


def is_open(port: int, path: str) -> bool:
    """Return whether a page can be connected to."""
    return call(port, path) != REFUSED


def outcomes_until_refused(port: int, path: str) -> Iterator[str]:
    """Send requests, each on a new connection, and yield their outcomes."""
    outcome = ''
    while outcome != REFUSED:
        outcome = call(port, path)
        yield outcome


def is_paused(program: Program) -> bool:
    """Return whether a process is stopped by a signal."""
    status = Path(f'/proc/{program.process.pid}/stat').read_text()
    return status.rpartition(')')[2].split()[0] == 'T'


# Guards against the reset of connections that wait in the accept queues when
# the process exits: their callers cannot know whether their requests ran.
def test_connections_that_wait_at_the_exit_are_answered(
    start: Callable[[type[Fleet]], Fleet],
) -> None:
    """Callers of both addresses get an answer or cannot connect."""
    router = start(HeldFleet).entries()[-1]
    router.process.send_signal(signal.SIGTERM)
    wait_until(lambda: is_paused(router), 'the router is about to exit')
    targets = {
        router.port: request_head('/v1/models'),
        router.control_port: request_head('/metrics'),
    }
    socks = [
        (socket.create_connection((HOST, port), TIMEOUT_S), head)
        for port, head in targets.items()
        for _ in range(CALLERS)
    ]
    for complete, head in socks[::2]:
        complete.sendall(head)
    for partial, head in socks[1::2]:
        partial.sendall(head[:FIRST_PART])
    router.process.send_signal(signal.SIGCONT)
    time.sleep(0.5)  # the listener is closed meanwhile
    for partial, head in socks[1::2]:
        send(partial, head[FIRST_PART:])
    outcomes = [read_outcome(sock) for sock, _ in socks]
    for sock, _ in socks:
        sock.close()
    assert outcomes[:CALLERS] == ['503' for _ in range(CALLERS)]
    assert outcomes[CALLERS:] == ['200' for _ in range(CALLERS)]
    assert router.process.wait(TIMEOUT_S) == 0
    assert call(router.port, '/v1/models') == REFUSED
    assert call(router.control_port, '/metrics') == REFUSED


# Guards against connections that are still open at the exit: a caller that uses
# one again at that moment cannot know whether its request ran.
def test_stopping_router_ends_persistent_connections(
    start: Callable[[type[Fleet]], Fleet],
) -> None:
    """Callers learn with an answer, before the refusals, to connect anew."""
    router = start(Fleet).entries()[-1]
    request = request_head('/v1/models').replace(b'close', b'keep-alive')
    answer = b''
    with socket.create_connection((HOST, router.port), TIMEOUT_S) as sock:
        sock.settimeout(TIMEOUT_S)
        router.process.send_signal(signal.SIGTERM)
        while b'Connection: close' not in answer:
            sock.sendall(request)
            answer = sock.recv(65536)
    assert answer.startswith(b'HTTP/1.1 401')
    assert router.process.wait(TIMEOUT_S) == 0


# Guards against the same reset where the stop of one router follows another.
def test_callers_during_planned_stops_get_answers(
    start: Callable[[type[Fleet]], Fleet],
) -> None:
    """Callers that go from router to router never lose a connection."""
    fleet = start(Fleet)
    routers = fleet.entries()
    outcomes: collections.Counter[str] = collections.Counter()

    def call_until_refused() -> None:
        for router in routers:
            outcomes.update(outcomes_until_refused(router.port, '/v1/models'))

    threads = [
        threading.Thread(target=call_until_refused) for _ in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for router in routers:
        router.process.send_signal(signal.SIGTERM)
        assert router.process.wait(TIMEOUT_S) == 0
    for thread in threads:
        thread.join()
    assert outcomes['401'] > CALLERS
    assert outcomes.keys() <= {'401', '503', REFUSED}


# Guards against pages that vanish with the process: a scraper or a node that
# connects at that moment is reset.
def test_pages_during_a_planned_stop_get_answers(tmp_path: Path) -> None:
    """Callers of every page of the platform's router get an answer."""
    fleet = PlatformFleet(tmp_path)
    fleet.put(configuration(3))
    fleet.start_router('node-1')
    ports = fleet.routers['node-1']
    targets = (
        (ports.ready, '/api/readiness'),
        (ports.directory, '/api/directory'),
        (ports.control, '/copies?wait_ms=0'),
        (ports.metrics, '/metrics'),
    )
    outcomes: collections.Counter[str] = collections.Counter()

    def call_until_refused(port: int, path: str) -> None:
        outcomes.update(outcomes_until_refused(port, path))

    for port, path in targets:
        wait_until(functools.partial(is_open, port, path), f'{path} answers')
    threads = [
        threading.Thread(target=call_until_refused, args=target)
        for target in targets
        for _ in range(CALLERS // 4)
    ]
    for thread in threads:
        thread.start()
    try:
        fleet.send_signal('node-1', signal.SIGTERM)
        assert fleet.processes['node-1'].wait(TIMEOUT_S) == 0
    finally:
        fleet.close()
        for thread in threads:
            thread.join()
    assert outcomes.pop(REFUSED) == len(threads)
    assert all(outcome.isdecimal() for outcome in outcomes)
