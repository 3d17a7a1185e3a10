"""Tests that a router follows its tables after each odd row of another writer.

A row is followed by a new worker and by a new configuration, which the router
must take up.
"""

import base64
import functools
import json
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from bronzeglade import malformed
from fleet.platform import (
    HTTP_POOL,
    PlatformFleet,
    configuration,
    wait_until,
)
from fleet.ports import HOST
from fleet.reports_test import answer_all, logged_events
from fleet.raw_worker import RawWorker

ENTRY = {
    'service': 'plain',
    'address': f'{HOST}:1',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'sequence': 1,
    'born': 1,
}
ORDER = {'service': 'plain', 'target': 'v2', 'duration-s': 0}
PLAN = {
    'service': 'plain',
    'target': 'v2',
    'order': 1,
    'stage': 'running',
    'share': 0.5,
    'began': 0,
    'stepped': 0,
    'withdrawn': [],
}
NODE = {
    'name': 'node-9',
    'failure_domain': 'a',
    'callers': [HOST, 65536],
    'control': [HOST, 65536],
    'exchange': [HOST, 65536],
}


def encoded(document: object) -> bytes:
    """Return a document as JSON."""
    return json.dumps(document).encode()


# Rows by case: key, body and the event that must be logged.
ROWS: dict[str, tuple[str, bytes, str | None]] = {
    'port of 5000 digits': (
        'servers/odd',
        encoded({**ENTRY, 'address': f'{HOST}:{"9" * 5000}'}),
        'unreadable_entry',
    ),
    'port out of range': (
        'servers/odd',
        encoded({**ENTRY, 'address': f'{HOST}:65536'}),
        'unreadable_entry',
    ),
    'slots beyond a float': (
        'servers/odd',
        encoded({**ENTRY, 'slots': 10**400}),
        'unreadable_entry',
    ),
    'deep list as an entry': (
        'servers/odd',
        malformed.DEEP_LIST.encode(),
        'unreadable_entry',
    ),
    'deep field of an entry': (
        'servers/odd',
        encoded(ENTRY)[:-1]
        + b', "z": '
        + malformed.DEEP_OBJECT.encode()
        + b'}',
        'unreadable_entry',
    ),
    'key with a line break': (
        'servers/odd\r\nx: y',
        encoded(ENTRY),
        'unreadable_entry',
    ),
    'key with a lone surrogate': ('servers/\ud800', encoded(ENTRY), None),
    'empty entry': ('servers/odd', b'', 'unreadable_entry'),
    'order without a duration': (
        'op/rollout/plain',
        encoded(ORDER),
        'unreadable_order',
    ),
    'deep order': (
        'op/rollout/plain',
        malformed.DEEP_LIST.encode(),
        'unreadable_order',
    ),
    'deep plan': (
        'bronzeglade/rollout/plain',
        malformed.DEEP_LIST.encode(),
        'unreadable_plan',
    ),
    'plan with a text as share': (
        'bronzeglade/rollout/plain',
        encoded({**PLAN, 'share': 'x'}),
        'unreadable_plan',
    ),
    'plan of an unhashable service': (
        'bronzeglade/rollout/plain',
        encoded({**PLAN, 'service': []}),
        'unreadable_plan',
    ),
    'node with a port out of range': (
        'bronzeglade/node/node-9',
        encoded(NODE),
        'unreadable_node',
    ),
    'node under a foreign key': (
        'bronzeglade/node/node-8',
        encoded({**NODE, 'exchange': [HOST, 1]}),
        'unreadable_node',
    ),
}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Return a fleet of one router with a configuration."""
    started = PlatformFleet(tmp_path)
    try:
        started.put(configuration(3))
        started.start_router('node-1')
        yield started
    finally:
        started.close()


@pytest.fixture
def serve(fleet: PlatformFleet) -> Iterator[Callable[[str], None]]:
    """Return a function that starts and registers a worker by name."""
    workers: list[RawWorker] = []

    def start(name: str) -> None:
        port = fleet.ports.allocate(1)[0]
        workers.append(RawWorker(port, answer_all))
        fleet.workers[name] = port
        fleet.started_ms[name] = 1
        fleet.register(name)
        wait_until(functools.partial(knows_endpoint, fleet, name), name)

    yield start
    for worker in workers:
        worker.close()


def put_raw(fleet: PlatformFleet, key: str, body: bytes) -> None:
    """Write a row whose body may be no JSON."""
    table, _, name = key.partition('/')
    row = {
        'table': table,
        'part': '',
        'key': name,
        'value': base64.b64encode(body).decode(),
    }
    url = f'http://{HOST}:{fleet.store_port}/admin/put-raw'
    content = json.dumps({'writes': [row]}).encode()
    assert HTTP_POOL.request('POST', url, body=content).status == 200


def knows_endpoint(fleet: PlatformFleet, name: str) -> bool:
    """Return whether the router has logged that it knows an endpoint."""
    return any(
        line.get('event') == 'endpoint' and line.get('endpoint') == name
        for line in fleet.log_entries('node-1')
    )


@pytest.mark.parametrize('case', ROWS)
def test_router_follows_its_tables_after_an_odd_row(
    fleet: PlatformFleet, serve: Callable[[str], None], case: str
) -> None:
    """One odd row stopped the following of a table for as long as it stayed."""
    serve('before')
    fleet.wait_until_ready('node-1')
    key, body, event = ROWS[case]
    put_raw(fleet, key, body)
    if event is not None:
        wait_until(lambda: event in logged_events(fleet), f'{event} is logged')
    serve('after')
    fleet.put(configuration(5, atlas=['key-5']))
    wait_until(
        lambda: (
            fleet.send_request('node-1', '/read/x', 'r', key='key-5').status
            == 200
        ),
        'the new key is accepted',
    )
    fleet.start_router('node-2')
    wait_until(functools.partial(knows_node, fleet), 'the new node is known')
    assert 'eliot:traceback' not in (fleet.folder / 'node-1.log').read_text()
    assert fleet.processes['node-1'].poll() is None


def knows_node(fleet: PlatformFleet) -> bool:
    """Return whether the first router has logged that the second joined."""
    return any(
        line.get('event') == 'nodes' and 'node-2' in line['joined']
        for line in fleet.log_entries('node-1')
    )
