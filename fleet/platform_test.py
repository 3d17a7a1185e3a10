"""Tests router processes against stand-ins of the store and the workers."""

import functools
import signal
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet.platform import (
    API_KEY,
    Document,
    PlatformFleet,
    Reply,
    configuration,
    wait_until,
)

from fleet.ports import HOST


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Return a fleet of two routers, two plain and two model workers."""
    started = PlatformFleet(tmp_path)
    try:
        started.put(configuration(3))
        for name in ('plain-1', 'plain-2'):
            started.start_worker(name)
        for name in ('model-1', 'model-2'):
            started.start_worker(name, 'models')
        for name in ('node-1', 'node-2'):
            started.start_router(name)
        for name in ('node-1', 'node-2'):
            started.wait_until_ready(name)
        yield started
    finally:
        started.close()


def count_runs(fleet: PlatformFleet, request_id: str) -> int:
    """Return how often the workers have executed a request."""
    return sum(
        run['id'] == request_id
        for name in fleet.workers
        for run in fleet.fetch_runs(name)
    )


def is_refused(fleet: PlatformFleet, name: str) -> bool:
    """Return whether a node refuses the default API key."""
    return fleet.send_request(name, '/read/x', 'r').status == 401


def lists(fleet: PlatformFleet, name: str, addresses: set[str]) -> bool:
    """Return whether the directory of a node lists just these addresses."""
    return fleet.listed_addresses(name) == addresses


def log_lines(fleet: PlatformFleet, name: str, event: str) -> list[Document]:
    """Return the log lines of an event."""
    return [
        line for line in fleet.log_entries(name) if line.get('event') == event
    ]


def test_requests_of_every_kind_are_served(fleet: PlatformFleet) -> None:
    """Covers the directory, keys, routes, workers and answers."""
    listed = {f'{HOST}:{router.callers}' for router in fleet.routers.values()}
    wait_until(
        lambda: fleet.listed_addresses('node-1') == listed,
        'node-1 lists both nodes',
    )
    for path in ('/read/x', '/order/x'):
        reply = fleet.send_request('node-1', path, f'id{path}')
        assert (reply.status, reply.body) == (200, 'done')
        assert reply.headers['Server-Signature']
    stream = fleet.send_request(
        'node-2', '/chat/x', 'c1', Model='*', Token_Count='10,4'
    )
    assert stream.body.count('id: ') == 4
    runs = [run for name in fleet.workers for run in fleet.fetch_runs(name)]
    assert {run['credential'] for run in runs} == {None}
    assert {run['tenant'] for run in runs} == {'atlas'}
    # The small model reports low confidence, so the large one answers.
    models = {run['model'] for run in runs if run['id'] == 'c1'}
    assert models == {'small', 'large'}
    assert fleet.page_status(fleet.routers['node-1'].metrics, '/metrics') == 200
    lines = [
        line
        for line in fleet.log_entries('node-2')
        if line.get('request') == 'c1'
    ]
    assert lines[-1]['outcome'] == 'answered'


def test_worker_failures_are_reported(fleet: PlatformFleet) -> None:
    """Idempotent requests are retried; orders run at most once.

    Answers are lost, requests refused and streams cut. An order whose answer
    is lost gets 502; one that no worker has executed gets 503 and can be
    retried.
    """
    for name in ('plain-1', 'plain-2'):
        fleet.set_faults(fleet.workers[name], lose=1)
    assert fleet.send_request('node-1', '/order/x', 'o1').status == 502
    assert count_runs(fleet, 'o1') == 1
    assert fleet.send_request('node-1', '/read/x', 'r1').status == 200
    for name in ('plain-1', 'plain-2'):
        fleet.set_faults(fleet.workers[name], reset=1, refuse=-1)
    refused = fleet.send_request('node-2', '/order/x', 'o2')
    assert refused.status == 503
    assert float(refused.headers['Retry-After']) > 0
    assert count_runs(fleet, 'o2') == 0
    for name in ('model-1', 'model-2'):
        fleet.set_faults(fleet.workers[name], cut=1)
    stream = fleet.send_request(
        'node-1', '/chat/x', 'c2', Model='large', Token_Count='10,6'
    )
    numbers = [f'id: {number}' for number in range(1, 7)]
    assert [
        line for line in stream.body.splitlines() if line.startswith('id')
    ] == numbers


def test_revoked_key_stops_at_once_everywhere(fleet: PlatformFleet) -> None:
    """A revoked key must not be accepted on any node."""
    fleet.put(configuration(5, atlas=['key-2']))
    for name in fleet.routers:
        wait_until(
            functools.partial(is_refused, fleet, name),
            f'{name} refuses the revoked key',
        )
        assert (
            fleet.send_request(name, '/read/x', 'r2', key='key-2').status == 200
        )


def test_node_without_the_store_reads_from_a_peer(
    fleet: PlatformFleet,
) -> None:
    """A node that starts during a store outage must serve requests."""
    wait_until(
        lambda: len(fleet.listed_addresses('node-2')) == 2,
        'node-2 lists both nodes',
    )
    fleet.set_faults(fleet.store_port, outage=1)
    fleet.send_signal('node-1', signal.SIGKILL)
    fleet.processes['node-1'].wait()
    fleet.start_router('node-1')
    fleet.wait_until_ready('node-1')
    assert fleet.send_request('node-1', '/read/x', 'r1').status == 200
    assert fleet.send_request('node-2', '/read/x', 'r2').status == 200


def test_compacted_changes_are_read_again(fleet: PlatformFleet) -> None:
    """Changes that the store has compacted away must not be missed."""
    fleet.post(fleet.store_port, '/admin/compact', {})
    fleet.put(configuration(9, atlas=['key-9']))
    wait_until(
        lambda: (
            fleet.send_request('node-1', '/read/x', 'r', key='key-9').status
            == 200
        ),
        'the new key is accepted',
    )


def test_draining_worker_gets_no_new_work(fleet: PlatformFleet) -> None:
    """A draining worker must not get requests that it cannot finish."""
    fleet.register('plain-1', state='draining')
    wait_until(
        lambda: (
            ['plain', 'v1', True]
            in [
                line['after'] for line in log_lines(fleet, 'node-1', 'endpoint')
            ]
        ),
        'node-1 has logged that the worker drains',
    )
    for number in range(6):
        fleet.send_request('node-1', '/read/x', f'after-{number}')
    request_ids = [run['id'] for run in fleet.fetch_runs('plain-1')]
    assert all(not key.startswith('after') for key in request_ids)


def test_planned_stop_finishes_what_runs(fleet: PlatformFleet) -> None:
    """A node that stops leaves the directory and aborts no request."""
    wait_until(
        lambda: len(fleet.listed_addresses('node-2')) == 2,
        'node-2 lists both nodes',
    )
    for name in ('plain-1', 'plain-2'):
        # Longer than callers may cache the address of the node.
        fleet.set_faults(fleet.workers[name], work_s=4)
    replies: list[Reply] = []
    thread = threading.Thread(
        target=lambda: replies.append(
            fleet.send_request('node-1', '/order/x', 'o')
        )
    )
    thread.start()
    wait_until(lambda: count_runs(fleet, 'o') == 1, 'the order runs')
    fleet.send_signal('node-1', signal.SIGTERM)
    own_address = f'{HOST}:{fleet.routers["node-1"].callers}'
    wait_until(
        lambda: own_address not in fleet.listed_addresses('node-2'),
        'node-2 does not list node-1',
    )
    assert not fleet.is_ready('node-1')
    thread.join()
    assert replies[0].status == 200
    assert fleet.processes['node-1'].wait(30) == 0


# The directory listed a killed node until its row was removed.
def test_killed_node_leaves_the_directory_before_its_row(
    fleet: PlatformFleet,
) -> None:
    """Each caller that connects to it loses a try."""
    fleet.start_router('node-3')
    fleet.wait_until_ready('node-3')
    addresses = {
        name: f'{HOST}:{ports.callers}' for name, ports in fleet.routers.items()
    }
    for name in fleet.routers:
        wait_until(
            functools.partial(lists, fleet, name, set(addresses.values())),
            f'{name} lists all nodes',
        )
    fleet.send_signal('node-1', signal.SIGKILL)
    fleet.processes['node-1'].wait()
    live = {addresses['node-2'], addresses['node-3']}
    for name in ('node-2', 'node-3'):
        wait_until(
            functools.partial(lists, fleet, name, live),
            f'{name} lists the two live nodes',
        )
        assert not log_lines(fleet, name, 'node_removed')
    fleet.start_router('node-1')
    fleet.wait_until_ready('node-1')
    for name in fleet.routers:
        wait_until(
            functools.partial(lists, fleet, name, set(addresses.values())),
            f'{name} lists all nodes again',
        )


def test_sighup_reloads_settings(fleet: PlatformFleet) -> None:
    """SIGHUP reloads the settings; requests are still served."""
    path = fleet.folder / 'node-1.json'
    path.write_text(path.read_text().replace('"grace-s": 8', '"grace-s": 9'))
    fleet.send_signal('node-1', signal.SIGHUP)
    wait_until(
        lambda: bool(log_lines(fleet, 'node-1', 'reload')),
        'the settings are reloaded',
    )
    assert (
        fleet.send_request('node-1', '/read/x', 'r', key=API_KEY).status == 200
    )
