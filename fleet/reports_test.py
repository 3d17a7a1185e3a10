"""Tests a router process against failures that other operators reported.

An endpoint is a scripted worker in the test's own process.
"""

import collections
import functools
import itertools
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
import urllib3

from fleet.platform import (
    PlatformFleet,
    Reply,
    configuration,
    wait_until,
)
from fleet.ports import HOST
from fleet.raw_worker import RawConnection, RawWorker

Script = Callable[[RawConnection], None]
FIRST_HALF = b'POST /order/x HTTP/1.1\r\nHost: api.example\r\n'
SECOND_HALF = (
    b'Request-Id: late\r\nCredential: key-1\r\n'
    b'Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n'
)
BLOCK = 'x' * 60_000
UNREADABLE_EVENTS = frozenset(
    f'unreadable_{kind}'
    for kind in ('node', 'plan', 'order', 'entry', 'datagram')
)
# Resident memory that an unbounded answer may add; the process itself takes
# about 40 MB.
MAX_ADDED_KB = 8 * 1024


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Return a fleet of one router with a configuration, without workers."""
    started = PlatformFleet(tmp_path)
    try:
        started.put(configuration(3))
        started.start_router('node-1')
        yield started
    finally:
        started.close()


@pytest.fixture
def serve(fleet: PlatformFleet) -> Iterator[Callable[..., RawWorker]]:
    """Return a function that starts and registers a scripted worker."""
    workers: list[RawWorker] = []

    def start(script: Script, service: str = 'plain') -> RawWorker:
        name = f'raw-{len(workers)}'
        port = fleet.ports.allocate(1)[0]
        fleet.workers[name] = port
        fleet.started_ms[name] = 1
        workers.append(RawWorker(port, script))
        fleet.register(name, service)
        wait_until(functools.partial(has_logged_endpoint, fleet, name), name)
        fleet.wait_until_ready('node-1')
        return workers[-1]

    yield start
    for worker in workers:
        worker.close()


def has_logged_endpoint(fleet: PlatformFleet, endpoint: str) -> bool:
    """Return whether the router has logged a change of an endpoint."""
    return any(
        line.get('event') == 'endpoint' and line.get('endpoint') == endpoint
        for line in fleet.log_entries('node-1')
    )


def resident_kb(fleet: PlatformFleet) -> int:
    """Return the resident memory of the router in KB."""
    pid = fleet.processes['node-1'].pid
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    return next(
        int(line.split()[1]) for line in lines if line.startswith('VmRSS')
    )


def answer_all(connection: RawConnection) -> None:
    """Answer every request with its own id."""
    while True:
        request_id = connection.read_request()
        connection.answer(request_id, request_id)


@pytest.mark.parametrize('named', [True, False])
def test_late_second_copy_of_an_answer(
    fleet: PlatformFleet, serve: Callable[..., RawWorker], named: bool
) -> None:
    """A repeated answer must not go to the next caller on the connection."""

    def repeating(connection: RawConnection) -> None:
        previous_id: str | None = None
        while True:
            request_id = connection.read_request()
            if previous_id is not None:
                connection.answer(previous_id if named else None, previous_id)
            connection.answer(request_id, request_id)
            previous_id = request_id

    serve(repeating)
    for number in range(6):
        reply = fleet.send_request('node-1', '/read/x', f'r{number}')
        assert reply.status == 502 or reply.body == f'r{number}'


def test_request_that_arrives_during_a_planned_stop(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """A request on an accepted connection is answered before the exit."""
    serve(answer_all)
    address = (HOST, fleet.routers['node-1'].callers)
    early = socket.create_connection(address)
    early.sendall(FIRST_HALF)
    fleet.send_signal('node-1', signal.SIGTERM)
    wait_until(lambda: not fleet.is_ready('node-1'), 'node-1 is not ready')
    time.sleep(1.5)  # callers may use the address for three seconds
    late = socket.create_connection(address)
    late.sendall(FIRST_HALF)
    early.sendall(SECOND_HALF)
    time.sleep(2)
    late.sendall(SECOND_HALF)
    for sock in (early, late):
        sock.settimeout(10)
        assert sock.recv(65536).startswith(b'HTTP/1.1 200')
        sock.close()
    assert fleet.processes['node-1'].wait(30) == 0


def test_requests_that_keep_coming_during_a_planned_stop(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """Connections in the accept queue are answered, not closed, at the exit."""
    serve(answer_all)
    outcomes: collections.Counter[str] = collections.Counter()
    stop = threading.Event()

    def call(caller: int) -> None:
        number = 0
        while not stop.is_set():
            number += 1
            outcome = order_once(fleet, f'{caller}-{number}')
            outcomes[outcome] += 1
            if outcome == 'refused':
                return

    threads = [
        threading.Thread(target=call, args=(caller,)) for caller in range(16)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    fleet.send_signal('node-1', signal.SIGTERM)
    assert fleet.processes['node-1'].wait(30) == 0
    stop.set()
    for thread in threads:
        thread.join()
    assert outcomes['HTTP/1.1 200 '] + outcomes['HTTP/1.1 200 OK'] > 100
    assert 'closed' not in outcomes
    assert all(text == 'refused' or ' 200' in text for text in outcomes)


def working(seconds: float) -> Script:
    """Return a script that answers each request after some time."""

    def script(connection: RawConnection) -> None:
        while True:
            request_id = connection.read_request()
            time.sleep(seconds)
            connection.answer(request_id, request_id)

    return script


# Guards against requests that a stopping process accepts and then cuts off,
# because it ends before they do.
def test_late_request_on_a_new_connection_is_not_cut_by_a_planned_stop(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """A caller that still uses the address gets an answer or a refusal."""
    serve(working(4.6))
    fleet.send_signal('node-1', signal.SIGTERM)
    time.sleep(2.7)
    status_line = order_once(fleet, 'late')
    assert status_line.split(' ')[1:2] in [['200'], ['503']]
    assert fleet.processes['node-1'].wait(30) == 0


def streaming_slowly(
    may_end: threading.Event,
) -> Callable[[RawConnection], None]:
    """Return a script for streams: the first ends on demand, others late."""

    def script(connection: RawConnection) -> None:
        for count in itertools.count():
            request_id = connection.read_request()
            connection.send(
                f'{SIGNED.replace("ID", request_id)}'
                'Transfer-Encoding: chunked\r\n\r\n'
                '11\r\nid: 1\ndata: one\n\n\r\n'
            )
            if count == 0:
                may_end.wait(20)
            else:
                time.sleep(4.6)
            connection.send('11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n')

    return script


# Guards against requests that a stopping process accepts and then cuts off,
# because it ends before they do.
def test_next_request_on_a_connection_is_not_cut_by_a_planned_stop(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """A request after a stream that began before the stop is not cut."""
    may_end = threading.Event()
    serve(streaming_slowly(may_end), 'models')
    order = FIRST_HALF.replace(b'order', b'chat') + SECOND_HALF
    address = (HOST, fleet.routers['node-1'].callers)
    with socket.create_connection(address) as sock:
        sock.settimeout(10)
        sock.sendall(order)
        received = sock.recv(65536)
        fleet.send_signal('node-1', signal.SIGTERM)
        sock.sendall(order.replace(b'late', b'next'))
        time.sleep(2.7)
        may_end.set()
        while block := sock.recv(65536):
            received += block
    answers = received.split(b'HTTP/1.1 ')[1:]
    assert answers[0].endswith(b'0\r\n\r\n')
    for answer in answers[1:]:
        assert answer.startswith(b'503') or answer.endswith(b'0\r\n\r\n')
    assert fleet.processes['node-1'].wait(30) == 0


def order_once(fleet: PlatformFleet, request_id: str) -> str:
    """Send an order on a new connection; return the outcome.

    Returns:
      The status line, `closed` without an answer, `refused` without a
      connection, or the error.
    """
    address = (HOST, fleet.routers['node-1'].callers)
    try:
        sock = socket.create_connection(address, 10)
    except OSError:
        return 'refused'
    with sock:
        sock.settimeout(10)
        try:
            sock.sendall(
                FIRST_HALF + SECOND_HALF.replace(b'late', request_id.encode())
            )
            received = sock.recv(65536)
        except OSError as error:
            return repr(error)
    return received.partition(b'\r\n')[0].decode() or 'closed'


def test_malformed_messages_on_every_address(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """Malformed messages must not stop the router or block valid messages."""
    serve(answer_all)
    ports = fleet.routers['node-1']
    garbage = (
        b'\x00' * 100,
        b'GET',
        b'GET /' + b'%' * 9000,
        b'\xff\xfe\r\n\r\n',
    )
    tcp_ports = (
        ports.callers,
        ports.ready,
        ports.directory,
        ports.control,
        ports.metrics,
    )
    for port in tcp_ports:
        for content in (*garbage, b'GET /copies?wait_ms=x HTTP/1.1\r\n\r\n'):
            with socket.create_connection((HOST, port), 5) as sock:
                sock.sendall(content)
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        for content in (*garbage, b'\x93\x03\xa1a\x80', b'\x93\x00\xa1a\xc0'):
            sock.sendto(content, (HOST, ports.exchange))
    fleet.put(
        {
            'bronzeglade/node/x': {'name': 1},
            'bronzeglade/rollout/plain': {'stage': 'unheard of'},
            'op/rollout/plain': {'service': [], 'duration-s': 'long'},
            'servers/odd-1': {'address': 'nowhere', 'slots': -1},
            'servers/odd-2': {'service': 'plain', 'born': 'x', 'slots': '6'},
        }
    )
    # A newer configuration still takes effect, and requests are served.
    fleet.put(configuration(5, atlas=['key-5']))
    wait_until(
        lambda: (
            fleet.send_request('node-1', '/read/x', 'r', key='key-5').status
            == 200
        ),
        'the new key is accepted',
    )
    # A separate loop reads each table, so these are logged in any order.
    wait_until(
        lambda: UNREADABLE_EVENTS <= logged_events(fleet),
        'every unreadable message is logged',
    )
    assert fleet.processes['node-1'].poll() is None


def logged_events(fleet: PlatformFleet) -> set[str]:
    """Return the names of the events that the router has logged."""
    return {str(line.get('event')) for line in fleet.log_entries('node-1')}


def test_endpoint_removed_from_the_store_finishes_its_work(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """A request on a removed endpoint is neither repeated nor aborted."""
    request_received = threading.Event()
    may_finish = threading.Event()
    runs: list[str] = []

    def slow(connection: RawConnection) -> None:
        while True:
            runs.append(connection.read_request())
            request_received.set()
            may_finish.wait(20)
            connection.answer(runs[-1], 'done')

    serve(slow)
    serve(answer_all)
    replies: list[Reply] = []

    def order(number: int) -> None:
        replies.append(
            fleet.send_request(
                'node-1', '/order/x', f'o{number}', Deadline_Ms='15000'
            )
        )

    # Send orders until the slow endpoint has received one.
    threads: list[threading.Thread] = []
    while not request_received.is_set():
        threads.append(threading.Thread(target=order, args=(len(threads),)))
        threads[-1].start()
        request_received.wait(0.5)
    fleet.put({'servers/raw-0': None})
    wait_until(
        lambda: has_logged_removal(fleet, 'raw-0'), 'the endpoint is removed'
    )
    may_finish.set()
    for thread in threads:
        thread.join()
    assert {reply.status for reply in replies} == {200}
    assert len(runs) == 1


def has_logged_removal(fleet: PlatformFleet, endpoint: str) -> bool:
    """Return whether the router has logged the removal of an endpoint."""
    return any(
        line.get('event') == 'endpoint'
        and line.get('endpoint') == endpoint
        and line.get('after') is None
        for line in fleet.log_entries('node-1')
    )


def flood_script(head: str, block: str) -> Script:
    """Return a script that sends a head, then a block 2000 times.

    `ID` in the head stands for the request id.
    """

    def script(connection: RawConnection) -> None:
        request_id = connection.read_request()
        connection.send(head.replace('ID', request_id))
        for _ in range(2000):
            connection.send(block)

    return script


def complete_status(fleet: PlatformFleet, request_id: str) -> int:
    """Return the status of an answer; 0 if it is incomplete."""
    try:
        return fleet.send_request('node-1', '/read/x', request_id).status
    except urllib3.exceptions.HTTPError:
        return 0


SIGNED = 'HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\n'
FLOODS: dict[str, tuple[str, str]] = {
    'head': ('HTTP/1.1 200 OK\r\nA: ', BLOCK),
    'body': (f'{SIGNED}\r\n', BLOCK),
    'chunks': (
        f'{SIGNED}Transfer-Encoding: chunked\r\n\r\n',
        f'ea60\r\n{BLOCK}\r\n',
    ),
}


@pytest.mark.parametrize('kind', FLOODS)
def test_unbounded_answer(
    fleet: PlatformFleet, serve: Callable[..., RawWorker], kind: str
) -> None:
    """An unbounded answer is not buffered in full; the router still responds.

    Its connection is closed and the caller gets no complete answer.
    """
    worker = serve(flood_script(*FLOODS[kind]))
    before = resident_kb(fleet)
    thread = threading.Thread(target=complete_status, args=(fleet, 'flood'))
    thread.start()
    while thread.is_alive():
        fleet.page_status(fleet.routers['node-1'].ready, '/api/readiness')
        assert resident_kb(fleet) - before < MAX_ADDED_KB
    assert worker.connection_closed.wait(10)
    assert complete_status(fleet, 'again') != 200
    assert fleet.is_ready('node-1')
