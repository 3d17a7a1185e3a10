"""Guards against places in the queue that nobody gives back."""

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
from bronzeglade.entry.admission import GONE, TOPIC, Admission
from bronzeglade.entry.peers import Gossip
from bronzeglade.entry.workers import Worker
from fleet import deployments

MODEL = 'guide-small'


@pytest.fixture
def catalog() -> Catalog:
    """Return Brolga's configuration."""
    text = json.dumps(deployments.manifest(deployments.BROLGA)).encode()
    built, errors = catalogs.build(Configuration(1, 'd', text))
    assert built is not None, errors
    return built


@pytest.fixture
def admission(catalog: Catalog) -> Admission:
    """Return an admission with one slot."""
    worker = Worker('w', '127.0.0.1:1', 'qld-a', 'g', 1, True, MODEL)
    admission = Admission(Gossip('n-1'), SystemClock(), random.Random(1))
    admission.update(catalog, [worker], ())
    return admission


def enter(admission: Admission, catalog: Catalog, is_gone: Any) -> Any:
    """Ask for the slot with a long deadline."""
    deadline = SystemClock().monotonic() + dt.timedelta(seconds=60)
    rank = catalog.ranks['patient']
    team = catalog.manifest.teams[0]
    return admission.enter(team, rank, MODEL, deadline, is_gone)


def test_caller_that_leaves_frees_its_place(
    admission: Admission, catalog: Catalog
) -> None:
    """A queue full of callers that left turns away those that wait."""
    first = enter(admission, catalog, bool)
    assert isinstance(first, Ok)
    left = enter(admission, catalog, lambda: True)
    assert isinstance(left, Err)
    assert left.err_value is GONE
    admission.leave(first.ok_value)
    assert not admission.queue.pools[MODEL].waiting
    assert isinstance(enter(admission, catalog, bool), Ok)


def test_killed_waiter_frees_its_place(
    admission: Admission, catalog: Catalog
) -> None:
    """A green thread that ends by an error must not keep its place."""
    first = enter(admission, catalog, bool)
    waiter = eventlet.spawn(enter, admission, catalog, bool)
    eventlet.sleep(0)
    assert admission.queue.pools[MODEL].waiting
    waiter.kill()
    assert not admission.queue.pools[MODEL].waiting
    admission.leave(first.ok_value)


def test_silent_node_has_a_share(catalog: Catalog) -> None:
    """Two nodes that do not hear each other must not use all slots twice."""
    admission = Admission(Gossip('n-1'), SystemClock(), random.Random(1))
    workers = [
        Worker(f'w{n}', '127.0.0.1:1', 'qld-a', 'g', 8, True, MODEL)
        for n in range(2)
    ]
    admission.update(catalog, workers, ['other'])
    assert admission.queue.pools[MODEL].capacity == 8


def test_one_node_may_use_what_the_others_leave_free(catalog: Catalog) -> None:
    """A caller of one node must not be refused while the fleet is idle."""
    gossip = Gossip('n-1')
    admission = Admission(gossip, SystemClock(), random.Random(1))
    workers = [
        Worker(f'w{n}', '127.0.0.1:1', 'qld-a', 'g', 8, True, MODEL)
        for n in range(2)
    ]
    others = [f'm{number}' for number in range(7)]
    for name in others:
        body = msgpack.packb({})
        gossip.merge(Document(f'{name}-1', TOPIC, 1, body))
    admission.update(catalog, workers, others)
    assert admission.queue.pools[MODEL].capacity == 16


def test_shares_bind_when_the_others_want_all(catalog: Catalog) -> None:
    """In a flood a node must not use slots that others wait for."""
    gossip = Gossip('n-1')
    admission = Admission(gossip, SystemClock(), random.Random(1))
    worker = Worker('w', '127.0.0.1:1', 'qld-a', 'g', 16, True, MODEL)
    body = msgpack.packb({MODEL: [[1, 'team', 40]]})
    gossip.merge(Document('m-1', TOPIC, 1, body))
    admission.update(catalog, [worker], ['m'])
    assert admission.queue.pools[MODEL].capacity < 4
