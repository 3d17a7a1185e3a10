"""Admission control of a node: release of queue entries, and shares."""

import datetime as dt
import json
import random
from typing import Any

import eventlet
import msgpack
import pytest
from result import Err, Ok

from bronzeglade import catalog as catalogs
from bronzeglade.catalog import Catalog, Configuration
from bronzeglade.clock import SystemClock
from bronzeglade.coordination.datagram import Document
from bronzeglade.entry.admission import CALLER_DISCONNECTED, TOPIC, Admission
from bronzeglade.entry.peers import Gossip
from bronzeglade.entry.workers import Worker
from fleet import deployments

MODEL = 'guide-small'


@pytest.fixture
def catalog() -> Catalog:
    """Return the configuration of deployment Brolga."""
    text = json.dumps(deployments.manifest(deployments.BROLGA)).encode()
    built, errors = catalogs.build(Configuration(1, 'd', text))
    assert built is not None, errors
    return built


@pytest.fixture
def admission(catalog: Catalog) -> Admission:
    """Return admission control with one slot."""
    worker = Worker('w', '127.0.0.1:1', 'qld-a', 'g', 1, True, MODEL)
    admission = Admission(Gossip('n-1'), SystemClock(), random.Random(1))
    admission.update(catalog, [worker], ())
    return admission


def admit(admission: Admission, catalog: Catalog, is_disconnected: Any) -> Any:
    """Request admission with a deadline of 60 s."""
    deadline = SystemClock().monotonic() + dt.timedelta(seconds=60)
    rank = catalog.ranks['patient']
    team = catalog.manifest.teams[0]
    return admission.admit(team, rank, MODEL, deadline, is_disconnected)


def test_disconnected_caller_leaves_the_queue(
    admission: Admission, catalog: Catalog
) -> None:
    """Entries of disconnected callers must not fill the queue."""
    first = admit(admission, catalog, bool)
    assert isinstance(first, Ok)
    disconnected = admit(admission, catalog, lambda: True)
    assert isinstance(disconnected, Err)
    assert disconnected.err_value is CALLER_DISCONNECTED
    admission.release(first.ok_value)
    assert not admission.queue.pools[MODEL].waiting
    assert isinstance(admit(admission, catalog, bool), Ok)


def test_killed_green_thread_leaves_the_queue(
    admission: Admission, catalog: Catalog
) -> None:
    """A green thread that ends by an exception must not leak its entry."""
    first = admit(admission, catalog, bool)
    waiter = eventlet.spawn(admit, admission, catalog, bool)
    eventlet.sleep(0)
    assert admission.queue.pools[MODEL].waiting
    waiter.kill()
    assert not admission.queue.pools[MODEL].waiting
    admission.release(first.ok_value)


def test_peer_with_unknown_demand_has_a_share(catalog: Catalog) -> None:
    """Nodes without gossip between them must not use the same slots."""
    admission = Admission(Gossip('n-1'), SystemClock(), random.Random(1))
    workers = [
        Worker(f'w{n}', '127.0.0.1:1', 'qld-a', 'g', 8, True, MODEL)
        for n in range(2)
    ]
    admission.update(catalog, workers, ['other'])
    assert admission.queue.pools[MODEL].capacity == 8


def test_node_may_use_slots_that_no_peer_requests(catalog: Catalog) -> None:
    """A node must not refuse requests while engines are idle."""
    gossip = Gossip('n-1')
    admission = Admission(gossip, SystemClock(), random.Random(1))
    workers = [
        Worker(f'w{n}', '127.0.0.1:1', 'qld-a', 'g', 8, True, MODEL)
        for n in range(2)
    ]
    peers = [f'm{number}' for number in range(7)]
    for name in peers:
        body = msgpack.packb({})
        gossip.merge(Document(f'{name}-1', TOPIC, 1, body))
    admission.update(catalog, workers, peers)
    assert admission.queue.pools[MODEL].capacity == 16


def test_capacity_is_the_share_when_peers_request_all_slots(
    catalog: Catalog,
) -> None:
    """Under overload a node must not use slots that its peers wait for."""
    gossip = Gossip('n-1')
    admission = Admission(gossip, SystemClock(), random.Random(1))
    worker = Worker('w', '127.0.0.1:1', 'qld-a', 'g', 16, True, MODEL)
    body = msgpack.packb({MODEL: [[1, 'team', 40]]})
    gossip.merge(Document('m-1', TOPIC, 1, body))
    admission.update(catalog, [worker], ['m'])
    assert admission.queue.pools[MODEL].capacity < 4
