"""Tests that a planned stop of a router cuts no answer.

Each request gets a whole answer, or a refusal of a request that no worker has
run; a router that exceeds the grace period is killed, as on the platform.
"""

import signal
import subprocess  # noqa: S404
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from http import client
from pathlib import Path

import pytest

from fleet.planned_stop_rule import GRACE_S, Ending, Exchange, ending_of
from fleet.planned_stops import PipedFleet
from fleet.platform import API_HOST, API_KEY, configuration, wait_until
from fleet.stop_callers import (
    CHAT,
    LIMIT_S,
    ORDER,
    READ,
    is_closed,
    open_connection,
    send,
)

ROUTER = 'node-1'
WORKERS = ('plain-1', 'plain-2')
EVENT_INTERVAL_S = 0.1
# Less than the two seconds for which callers wait for the next event, but more
# than the time after which a stalled stream fails over.
LONG_GAP_S = 1.7
# From the signal, in the time after which no request is excused.
LATE_S = (3.02, 3.06, 3.1, 3.13, 3.17)
# When the body of an order arrives, up to the time at which the stop ends.
LATE_BODIES_S = (1, 2.9, 3.5, 4.5, 6, 6.6, 6.9, 7.1, 7.25, 7.3)
PAUSE_S = 0.1  # in which a caller notices that its connection is closed
LOGGED_REQUESTS = 60  # fill the pipe of the log


def start_fleet(folder: Path, reader: str = 'file') -> PipedFleet:
    """Return a fleet of one router and two workers with slow streams."""
    fleet = PipedFleet(folder)
    fleet.reader = reader
    document = configuration(3)
    for route in document['op/config']['routes']:
        route.update({'service': 'plain', 'timeout-ms': 10000})
        route.update({'target-latency-ms': 500, 'gap-aim-ms': 200})
        route['sizes'] = []
    fleet.put(document)
    for name in WORKERS:
        fleet.start_worker(name)
        set_interval(fleet, name, EVENT_INTERVAL_S)
    fleet.start_router(ROUTER)
    fleet.wait_until_ready(ROUTER)
    return fleet


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PipedFleet]:
    """Return a fleet whose router logs to a file."""
    started = start_fleet(tmp_path)
    try:
        yield started
    finally:
        started.close()


def set_interval(fleet: PipedFleet, worker: str, interval_s: float) -> None:
    """Set the time between the events of a worker."""
    fleet.set_faults(fleet.workers[worker], event_interval_s=interval_s)


def order_headers(request_id: str) -> dict[str, str]:
    """Return the headers of an order with a body of one byte."""
    return {
        'Host': API_HOST,
        'Request-Id': request_id,
        'Credential': API_KEY,
        'Deadline-Ms': str(int(LIMIT_S * 1000)),
        'Content-Length': '1',
    }


def restore_interval(fleet: PipedFleet) -> None:
    """Let the workers send events often again after a long gap."""
    time.sleep(LONG_GAP_S)
    for name in WORKERS:
        set_interval(fleet, name, EVENT_INTERVAL_S)


class Requests:
    """Requests to the router, each in a thread of its own."""

    def __init__(self, fleet: PipedFleet) -> None:
        """Start without requests."""
        self.fleet = fleet
        self.threads: list[threading.Thread] = []
        self.exchanges: list[Exchange] = []

    def start(self, action: Callable[..., None], *arguments: object) -> None:
        """Run an action in a new thread."""
        thread = threading.Thread(target=action, args=arguments)
        self.threads.append(thread)
        thread.start()

    def stream(
        self, event_counts: Sequence[int], at_s: float = 0, delay_s: float = 0
    ) -> None:
        """Request streams one after the other on a new connection.

        Args:
          event_counts: number of events of each stream.
          at_s: monotonic time at which to connect.
          delay_s: time from then to the first request.
        """
        time.sleep(max(0, at_s - time.monotonic()))
        port = self.fleet.routers[ROUTER].callers
        connection = open_connection(port)
        stays_open = connection is not None
        time.sleep(delay_s)
        for number, count in enumerate(event_counts):
            if connection is None or not stays_open or is_closed(connection):
                return
            name = f'{threading.get_ident()}-{number}'
            exchange, stays_open = send(
                connection, ROUTER, name, CHAT, count, number > 0
            )
            self.exchanges.append(exchange)
            time.sleep(PAUSE_S)

    def order_slowly(self, number: int, body_at_s: float) -> None:
        """Send the head of an order now, and its body later.

        Args:
          number: of the order.
          body_at_s: monotonic time at which the body follows.
        """
        request_id = f'slow-{number}'
        connection = open_connection(self.fleet.routers[ROUTER].callers)
        assert connection is not None
        connection.putrequest('POST', f'/{ORDER}/x', skip_host=True)
        for name, text in order_headers(request_id).items():
            connection.putheader(name, text)
        connection.endheaders()
        time.sleep(max(0, body_at_s - time.monotonic()))
        status, error = 0, ''
        sent_s = time.monotonic()
        try:
            connection.send(b'b')
            sent_s = time.monotonic()
            answer = connection.getresponse()
            status = answer.status
            answer.read()
        except (OSError, client.HTTPException) as failure:
            error = repr(failure)
        self.exchanges.append(
            Exchange(
                request_id,
                ORDER,
                ROUTER,
                kept=False,
                sent_s=sent_s,
                ended_s=time.monotonic(),
                limit_s=LIMIT_S,
                status=status,
                complete=not error,
                error=error,
            )
        )

    def stop_router(self) -> int:
        """Stop the router, wait for all requests and return the exit code."""
        process = self.fleet.processes[ROUTER]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
        for thread in self.threads:
            thread.join()
        return process.wait()

    def unanswered(self) -> list[Exchange]:
        """Return requests with neither a whole answer nor a true refusal."""
        runs = {
            run['id']
            for name in self.fleet.workers
            for run in self.fleet.fetch_runs(name)
        }
        answered = {Ending.WHOLE, Ending.REFUSED}
        return [
            exchange
            for exchange in self.exchanges
            if ending_of(exchange, None, exchange.request_id in runs)
            not in answered
        ]


@pytest.fixture
def requests(fleet: PipedFleet) -> Requests:
    """Return the requests to the router of the fleet."""
    return Requests(fleet)


# Guards against accepting a request when its answer cannot end in time.
@pytest.mark.parametrize(('delay_s', 'events'), [(0, 46), (0.9, 38)])
def test_stream_on_a_new_connection_late_in_the_stop(
    requests: Requests, delay_s: float, events: int
) -> None:
    """Streams are requested on connections opened just before the close."""
    for late_s in LATE_S:
        at_s = time.monotonic() + late_s
        requests.start(requests.stream, [events], at_s, delay_s)
    requests.stop_router()
    assert not requests.unanswered()


# Guards against serving a kept connection when the answer cannot end in time.
def test_stream_on_a_kept_connection_late_in_the_stop(
    requests: Requests,
) -> None:
    """A stream of 4 s follows on one that ended 3 to 5 s after the signal."""
    first_counts = (35, 45, 55)
    for count in first_counts:
        requests.start(requests.stream, [count, 40])
    # An answer that begins after the signal would close its connection.
    wait_until(
        lambda: has_answers(requests.fleet, len(first_counts)),
        'all streams have begun',
    )
    requests.stop_router()
    assert len(requests.exchanges) >= len(first_counts)
    assert not requests.unanswered()


# Guards against taking an order late in the stop that is cut at its end.
def test_order_whose_body_arrives_late_in_the_stop(requests: Requests) -> None:
    """An order may not be repeated, so its caller needs to know its fate."""
    for name in WORKERS:
        requests.fleet.set_faults(requests.fleet.workers[name], work_s=0.4)
    signalled_s = time.monotonic()
    for number, late_s in enumerate(LATE_BODIES_S):
        requests.start(requests.order_slowly, number, signalled_s + late_s)
    time.sleep(PAUSE_S)
    assert requests.stop_router() == 0
    assert len(requests.exchanges) == len(LATE_BODIES_S)
    assert not requests.unanswered()


# Guards against leaving an order without an answer when its worker ends too.
def test_order_whose_worker_ends_in_the_stop(requests: Requests) -> None:
    """The outcome is unknown, and the caller learns that."""
    fleet = requests.fleet
    for name in WORKERS:
        fleet.set_faults(fleet.workers[name], work_s=4)
    for number in range(4):
        requests.start(requests.order_slowly, number, 0)
    wait_until(lambda: has_runs(fleet, 4), 'the orders run')
    process = fleet.processes[ROUTER]
    process.send_signal(signal.SIGTERM)
    time.sleep(PAUSE_S)
    for name in WORKERS:
        fleet.processes[name].kill()
    for thread in requests.threads:
        thread.join()
    assert len(requests.exchanges) == 4
    assert {exchange.status for exchange in requests.exchanges} == {502}
    assert process.wait(GRACE_S) == 0


# Guards against ending the stream of a slow endpoint when no other takes it.
@pytest.mark.parametrize('others', ['leave', 'refuse', 'are slow'])
def test_slow_stream_that_no_other_endpoint_takes(
    requests: Requests, others: str
) -> None:
    """The caller waits longer for an event than the endpoint takes."""
    fleet = requests.fleet
    requests.start(requests.stream, [30])
    wait_until(lambda: has_answers(fleet, 1), 'the stream has begun')
    for name in WORKERS:
        if fleet.fetch_runs(name) or others == 'are slow':
            set_interval(fleet, name, LONG_GAP_S)
        elif others == 'leave':
            fleet.register(name, state='draining')
        else:
            fleet.set_faults(fleet.workers[name], refuse=-1)
    requests.start(restore_interval, fleet)
    requests.stop_router()
    assert not requests.unanswered()


# Guards against a failure at the end of a stop when the log is a pipe.
@pytest.mark.parametrize('reader', ['fast', 'slow', 'silent', 'closed'])
def test_log_pipe_does_not_fail_the_stop(reader: str, tmp_path: Path) -> None:
    """The exit code is 0, and a stream that runs at the signal is whole."""
    fleet = start_fleet(tmp_path, reader)
    requests = Requests(fleet)
    try:
        connection = open_connection(fleet.routers[ROUTER].callers)
        assert connection is not None
        for number in range(LOGGED_REQUESTS):
            send(connection, ROUTER, f'log-{number}', READ, kept=number > 0)
        connection.close()
        requests.start(requests.stream, [10])
        wait_until(lambda: has_runs(fleet, LOGGED_REQUESTS + 1), 'it runs')
        exit_code = requests.stop_router()
        unanswered = requests.unanswered()
    finally:
        fleet.close()
    assert not unanswered
    assert exit_code == 0


def has_runs(fleet: PipedFleet, count: int) -> bool:
    """Return whether the workers have started a number of runs."""
    return sum(len(fleet.fetch_runs(name)) for name in fleet.workers) >= count


def has_answers(fleet: PipedFleet, count: int) -> bool:
    """Return whether the router has begun to forward a number of answers."""
    events = [line.get('event') for line in fleet.log_entries(ROUTER)]
    return events.count('answer') >= count
