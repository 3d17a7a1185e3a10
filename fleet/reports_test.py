"""Guards the platform's door against what other operators have reported."""

import collections
import functools
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
HALF_HEAD = b'POST /order/x HTTP/1.1\r\nHost: api.example\r\n'
OTHER_HALF = (
    b'Request-Id: late\r\nCredential: key-1\r\n'
    b'Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n'
)
BLOCK = 'x' * 60_000
UNREADABLE = frozenset(
    f'unreadable_{what}'
    for what in ('node', 'plan', 'order', 'entry', 'datagram')
)
# Resident memory that a flood may add, in KB; the process takes about 40 MB.
MOST_ADDED_KB = 8 * 1024


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Return a router with a configuration and no worker yet."""
    started = PlatformFleet(tmp_path)
    try:
        started.put(configuration(3))
        started.start_router('node-1')
        yield started
    finally:
        started.close()


@pytest.fixture
def serve(fleet: PlatformFleet) -> Iterator[Callable[..., RawWorker]]:
    """Return a function that registers a worker with a script."""
    workers: list[RawWorker] = []

    def start(script: Script, service: str = 'plain') -> RawWorker:
        name = f'raw-{len(workers)}'
        port = fleet.ports.take(1)[0]
        fleet.workers[name] = port
        fleet.born[name] = 1
        workers.append(RawWorker(port, script))
        fleet.register(name, service)
        wait_until(functools.partial(knows, fleet, name), name)
        fleet.wait_ready('node-1')
        return workers[-1]

    yield start
    for worker in workers:
        worker.close()


def knows(fleet: PlatformFleet, endpoint: str) -> bool:
    """Return whether the router has logged an endpoint."""
    return any(
        line.get('event') == 'endpoint' and line.get('endpoint') == endpoint
        for line in fleet.log('node-1')
    )


def resident_kb(fleet: PlatformFleet) -> int:
    """Return the resident memory of the router."""
    pid = fleet.processes['node-1'].pid
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    return next(
        int(line.split()[1]) for line in lines if line.startswith('VmRSS')
    )


def answering(connection: RawConnection) -> None:
    """Answer every request with its own id."""
    while True:
        request_id = connection.read_request()
        connection.answer(request_id, request_id)


@pytest.mark.parametrize('named', [True, False])
def test_late_second_copy_of_an_answer(
    fleet: PlatformFleet, serve: Callable[..., RawWorker], named: bool
) -> None:
    """The next caller on the connection must not get it for its own."""

    def repeating(connection: RawConnection) -> None:
        first: str | None = None
        while True:
            request_id = connection.read_request()
            if first is not None:
                connection.answer(first if named else None, first)
            connection.answer(request_id, request_id)
            first = request_id

    serve(repeating)
    for number in range(6):
        reply = fleet.ask('node-1', '/read/x', f'r{number}')
        assert reply.status == 502 or reply.body == f'r{number}'


def test_request_that_arrives_during_a_planned_stop(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """A connection that was accepted gets its answer before the end."""
    serve(answering)
    address = (HOST, fleet.routers['node-1'].callers)
    early = socket.create_connection(address)
    early.sendall(HALF_HEAD)
    fleet.signal('node-1', signal.SIGTERM)
    wait_until(lambda: not fleet.is_ready('node-1'), 'it stops')
    time.sleep(1.5)  # callers may use the address for three seconds
    late = socket.create_connection(address)
    late.sendall(HALF_HEAD)
    early.sendall(OTHER_HALF)
    time.sleep(2)
    late.sendall(OTHER_HALF)
    for sock in (early, late):
        sock.settimeout(10)
        assert sock.recv(65536).startswith(b'HTTP/1.1 200')
        sock.close()
    assert fleet.processes['node-1'].wait(30) == 0


def test_requests_that_keep_coming_during_a_planned_stop(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """Under load, some connections wait to be accepted when it ends."""
    serve(answering)
    ends: collections.Counter[str] = collections.Counter()
    over = threading.Event()

    def call(caller: int) -> None:
        number = 0
        while not over.is_set():
            number += 1
            end = order_once(fleet, f'{caller}-{number}')
            ends[end] += 1
            if end == 'refused':
                return

    threads = [
        threading.Thread(target=call, args=(caller,)) for caller in range(16)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    fleet.signal('node-1', signal.SIGTERM)
    assert fleet.processes['node-1'].wait(30) == 0
    over.set()
    for thread in threads:
        thread.join()
    assert ends['HTTP/1.1 200 '] + ends['HTTP/1.1 200 OK'] > 100
    assert 'closed' not in ends
    assert all(one == 'refused' or ' 200' in one for one in ends)


def order_once(fleet: PlatformFleet, request_id: str) -> str:
    """Send an order on a new connection; return how it ended."""
    address = (HOST, fleet.routers['node-1'].callers)
    try:
        sock = socket.create_connection(address, 10)
    except OSError:
        return 'refused'
    with sock:
        sock.settimeout(10)
        try:
            sock.sendall(
                HALF_HEAD + OTHER_HALF.replace(b'late', request_id.encode())
            )
            received = sock.recv(65536)
        except OSError as error:
            return repr(error)
    return received.partition(b'\r\n')[0].decode() or 'closed'


def test_malformed_messages_on_every_address(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """None of them may end the process or what follows them."""
    serve(answering)
    addresses = fleet.routers['node-1']
    garbage = (
        b'\x00' * 100,
        b'GET',
        b'GET /' + b'%' * 9000,
        b'\xff\xfe\r\n\r\n',
    )
    tcp_ports = (
        addresses.callers,
        addresses.ready,
        addresses.directory,
        addresses.control,
        addresses.metrics,
    )
    for port in tcp_ports:
        for content in (*garbage, b'GET /copies?wait_ms=x HTTP/1.1\r\n\r\n'):
            with socket.create_connection((HOST, port), 5) as sock:
                sock.sendall(content)
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        for content in (*garbage, b'\x93\x03\xa1a\x80', b'\x93\x00\xa1a\xc0'):
            sock.sendto(content, (HOST, addresses.exchange))
    fleet.put(
        {
            'bronzeglade/node/x': {'name': 1},
            'bronzeglade/rollout/plain': {'stage': 'unheard of'},
            'op/rollout/plain': {'service': [], 'duration-s': 'long'},
            'servers/odd-1': {'address': 'nowhere', 'slots': -1},
            'servers/odd-2': {'service': 'plain', 'born': 'x', 'slots': '6'},
        }
    )
    # The newest configuration is still taken, and requests are served.
    fleet.put(configuration(5, atlas=['key-5']))
    wait_until(
        lambda: fleet.ask('node-1', '/read/x', 'r', key='key-5').status == 200,
        'the new key works',
    )
    # Each table is read by a loop of its own.
    wait_until(lambda: UNREADABLE <= events(fleet), 'all of it is logged')
    assert fleet.processes['node-1'].poll() is None


def events(fleet: PlatformFleet) -> set[str]:
    """Return the names of the events that the router has logged."""
    return {str(line.get('event')) for line in fleet.log('node-1')}


def test_endpoint_that_is_silent_towards_the_store_finishes_its_work(
    fleet: PlatformFleet, serve: Callable[..., RawWorker]
) -> None:
    """Its entry lapses while it works on: no second run, and no cut."""
    began = threading.Event()
    may_end = threading.Event()
    runs: list[str] = []

    def slow(connection: RawConnection) -> None:
        while True:
            runs.append(connection.read_request())
            began.set()
            may_end.wait(20)
            connection.answer(runs[-1], 'done')

    serve(slow)
    serve(answering)
    replies: list[Reply] = []

    def order(number: int) -> None:
        replies.append(
            fleet.ask('node-1', '/order/x', f'o{number}', Deadline_Ms='15000')
        )

    # One order after the other, until the slow endpoint has one.
    threads: list[threading.Thread] = []
    while not began.is_set():
        threads.append(threading.Thread(target=order, args=(len(threads),)))
        threads[-1].start()
        began.wait(0.5)
    fleet.put({'servers/raw-0': None})
    wait_until(lambda: lapsed(fleet, 'raw-0'), 'the entry is gone')
    may_end.set()
    for thread in threads:
        thread.join()
    assert {one.status for one in replies} == {200}
    assert len(runs) == 1


def lapsed(fleet: PlatformFleet, endpoint: str) -> bool:
    """Return whether the router has logged that an endpoint is gone."""
    return any(
        line.get('event') == 'endpoint'
        and line.get('endpoint') == endpoint
        and line.get('after') is None
        for line in fleet.log('node-1')
    )


def flooding(head: str, block: str) -> Script:
    """Return a script that sends a head and then a block without end."""

    def script(connection: RawConnection) -> None:
        request_id = connection.read_request()
        connection.send(head.replace('ID', request_id))
        for _ in range(2000):
            connection.send(block)

    return script


def whole_status(fleet: PlatformFleet, request_id: str) -> int:
    """Return the status of an answer; 0 when it is not whole."""
    try:
        return fleet.ask('node-1', '/read/x', request_id).status
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
def test_bytes_without_end(
    fleet: PlatformFleet, serve: Callable[..., RawWorker], kind: str
) -> None:
    """They must fill no memory, and other requests are served meanwhile."""
    worker = serve(flooding(*FLOODS[kind]))
    before = resident_kb(fleet)
    thread = threading.Thread(target=whole_status, args=(fleet, 'flood'))
    thread.start()
    while thread.is_alive():
        fleet.page(fleet.routers['node-1'].ready, '/api/readiness')
        assert resident_kb(fleet) - before < MOST_ADDED_KB
    assert worker.closed.wait(10)
    assert whole_status(fleet, 'again') != 200
    assert fleet.is_ready('node-1')
