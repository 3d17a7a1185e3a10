"""Guards the platform's door: real processes against stand-ins."""

import functools
import signal
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from fleet.platform import (
    KEY,
    Document,
    PlatformFleet,
    Reply,
    configuration,
    wait_until,
)

from fleet.ports import HOST


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Return two routers, two plain workers and two model workers."""
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
            started.wait_ready(name)
        yield started
    finally:
        started.close()


def runs(fleet: PlatformFleet, request_id: str) -> int:
    """Return how often a request has run."""
    return sum(
        one['id'] == request_id
        for name in fleet.workers
        for one in fleet.seen(name)
    )


def is_refused(fleet: PlatformFleet, name: str) -> bool:
    """Return whether a node refuses the first key."""
    return fleet.ask(name, '/read/x', 'r').status == 401


def logged(fleet: PlatformFleet, name: str, event: str) -> list[Document]:
    """Return the log lines of an event."""
    return [line for line in fleet.log(name) if line.get('event') == event]


def test_requests_of_every_kind_are_served(fleet: PlatformFleet) -> None:
    """The whole path: directory, key, route, worker, answer."""
    listed = {f'{HOST}:{one.callers}' for one in fleet.routers.values()}
    wait_until(lambda: fleet.addresses('node-1') == listed, 'both nodes')
    for path in ('/read/x', '/order/x'):
        reply = fleet.ask('node-1', path, f'id{path}')
        assert (reply.status, reply.body) == (200, 'done')
        assert reply.headers['Server-Signature']
    stream = fleet.ask('node-2', '/chat/x', 'c1', Model='*', Token_Count='10,4')
    assert stream.body.count('id: ') == 4
    seen = [one for name in fleet.workers for one in fleet.seen(name)]
    assert {one['credential'] for one in seen} == {None}
    assert {one['tenant'] for one in seen} == {'atlas'}
    # The small model is not sure, so the large one answers.
    models = {one['model'] for one in seen if one['id'] == 'c1'}
    assert models == {'small', 'large'}
    assert fleet.page(fleet.routers['node-1'].metrics, '/metrics') == 200
    lines = [
        line for line in fleet.log('node-2') if line.get('request') == 'c1'
    ]
    assert lines[-1]['outcome'] == 'answered'


def test_failures_of_workers_are_told_truly(fleet: PlatformFleet) -> None:
    """Idempotent requests go on elsewhere; orders run at most once."""
    for name in ('plain-1', 'plain-2'):
        fleet.fault(fleet.workers[name], lose=1)
    assert fleet.ask('node-1', '/order/x', 'o1').status == 502
    assert runs(fleet, 'o1') == 1
    assert fleet.ask('node-1', '/read/x', 'r1').status == 200
    for name in ('plain-1', 'plain-2'):
        fleet.fault(fleet.workers[name], reset=1, refuse=-1)
    refused = fleet.ask('node-2', '/order/x', 'o2')
    assert refused.status == 503
    assert float(refused.headers['Retry-After']) > 0
    assert runs(fleet, 'o2') == 0
    for name in ('model-1', 'model-2'):
        fleet.fault(fleet.workers[name], cut=1)
    stream = fleet.ask(
        'node-1', '/chat/x', 'c2', Model='large', Token_Count='10,6'
    )
    numbers = [f'id: {number}' for number in range(1, 7)]
    assert [
        line for line in stream.body.splitlines() if line.startswith('id')
    ] == numbers


def test_revoked_key_stops_at_once_everywhere(fleet: PlatformFleet) -> None:
    """A key that is taken away must not work on any node."""
    fleet.put(configuration(5, atlas=['key-2']))
    for name in fleet.routers:
        wait_until(
            functools.partial(is_refused, fleet, name),
            f'{name} knows of the revocation',
        )
        assert fleet.ask(name, '/read/x', 'r2', key='key-2').status == 200


def test_node_without_the_store_learns_from_a_peer(
    fleet: PlatformFleet,
) -> None:
    """A start while the store is down must not end the service."""
    wait_until(lambda: len(fleet.addresses('node-2')) == 2, 'both nodes')
    fleet.fault(fleet.store_port, outage=1)
    fleet.signal('node-1', signal.SIGKILL)
    fleet.processes['node-1'].wait()
    fleet.start_router('node-1')
    fleet.wait_ready('node-1')
    assert fleet.ask('node-1', '/read/x', 'r1').status == 200
    assert fleet.ask('node-2', '/read/x', 'r2').status == 200


def test_lost_history_is_read_anew(fleet: PlatformFleet) -> None:
    """Changes that the feed no longer has must not be missed."""
    fleet.post(fleet.store_port, '/admin/compact', {})
    fleet.put(configuration(9, atlas=['key-9']))
    wait_until(
        lambda: fleet.ask('node-1', '/read/x', 'r', key='key-9').status == 200,
        'the new key works',
    )


def test_draining_worker_gets_no_new_work(fleet: PlatformFleet) -> None:
    """A worker that leaves must not get requests that it cannot finish."""
    fleet.register('plain-1', state='draining')
    wait_until(
        lambda: (
            ['plain', 'v1', True]
            in [line['after'] for line in logged(fleet, 'node-1', 'endpoint')]
        ),
        'node-1 knows that the worker leaves',
    )
    for number in range(6):
        fleet.ask('node-1', '/read/x', f'after-{number}')
    names = [one['id'] for one in fleet.seen('plain-1')]
    assert all(not one.startswith('after') for one in names)


def test_planned_stop_finishes_what_runs(fleet: PlatformFleet) -> None:
    """A planned stop leaves the directory and cuts no request."""
    wait_until(lambda: len(fleet.addresses('node-2')) == 2, 'both nodes')
    for name in ('plain-1', 'plain-2'):
        # Longer than callers may keep the address of the node.
        fleet.fault(fleet.workers[name], work_s=4)
    replies: list[Reply] = []
    asking = threading.Thread(
        target=lambda: replies.append(fleet.ask('node-1', '/order/x', 'o'))
    )
    asking.start()
    wait_until(lambda: runs(fleet, 'o') == 1, 'the order runs')
    fleet.signal('node-1', signal.SIGTERM)
    own = f'{HOST}:{fleet.routers["node-1"].callers}'
    wait_until(lambda: own not in fleet.addresses('node-2'), 'it is dropped')
    assert not fleet.is_ready('node-1')
    asking.join()
    assert replies[0].status == 200
    assert fleet.processes['node-1'].wait(30) == 0


def test_changed_settings_are_taken(fleet: PlatformFleet) -> None:
    """SIGHUP must reload the settings and lose no request."""
    path = fleet.folder / 'node-1.json'
    path.write_text(path.read_text().replace('"grace-s": 8', '"grace-s": 9'))
    fleet.signal('node-1', signal.SIGHUP)
    wait_until(
        lambda: bool(logged(fleet, 'node-1', 'reload')),
        'the settings are reloaded',
    )
    assert fleet.ask('node-1', '/read/x', 'r', key=KEY).status == 200
