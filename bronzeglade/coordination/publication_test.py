"""Tests for the use of configurations without recent confirmation."""

import datetime as dt

import pytest

from bronzeglade.builders import ManualClock, entry_settings, manifest_text
from bronzeglade.catalog import Configuration, digest_of
from bronzeglade.coordination.datagram import Heartbeat
from bronzeglade.coordination.head import Published
from bronzeglade.coordination.publication import (
    Publication,
    Staleness,
    short_digest,
)
from bronzeglade.coordination.simulation import Simulation
from bronzeglade.entry.heartbeats import new_member

SECOND = dt.timedelta(seconds=1)
TEXT = manifest_text()
PUBLISHED = Published(Configuration(1, digest_of(TEXT), TEXT), 'id', 'operator')


@pytest.mark.parametrize(
    ('seconds', 'staleness'),
    [
        (60, Staleness.CURRENT),
        (61, Staleness.CANDIDATES_SUSPENDED),
        (90 * 60, Staleness.CANDIDATES_SUSPENDED),
        (90 * 60 + 1, Staleness.EXPIRED),
    ],
)
def test_staleness_follows_the_age(seconds: int, staleness: Staleness) -> None:
    """A disconnected node must not serve a withdrawn version for ever."""
    clock = ManualClock()
    settings = entry_settings()
    local_member = new_member(settings, 'o', clock.now())
    publication = Publication(settings, local_member, clock)
    assert publication.staleness() is Staleness.EXPIRED
    publication.adopt_if_newer(PUBLISHED, clock.monotonic())
    clock.sleep(SECOND * seconds)
    assert publication.staleness() is staleness


def test_only_confirmations_of_the_same_generation_count() -> None:
    """A confirmation of another manifest must not renew this one."""
    clock = ManualClock()
    settings = entry_settings()
    local_member = new_member(settings, 'o', clock.now())
    peer = new_member(entry_settings(1), 'p', clock.now())
    publication = Publication(settings, local_member, clock)
    publication.adopt_if_newer(PUBLISHED, clock.monotonic())
    clock.sleep(SECOND * 100)
    digest = short_digest(PUBLISHED.configuration)
    for generation, confirmed_digest in (
        (1, b'other'),
        (2, digest),
        (0, digest),
    ):
        publication.receive_heartbeat(
            peer, Heartbeat(generation, confirmed_digest, SECOND)
        )
    assert publication.confirmed_age() == SECOND * 100
    publication.receive_heartbeat(peer, Heartbeat(1, digest, SECOND * 5))
    assert publication.confirmed_age() == SECOND * 5


def test_start_during_an_outage_adopts_highest_peer_generation() -> None:
    """A starting node must not serve a manifest that was replaced."""
    simulation = Simulation(4)
    simulation.run(SECOND * 3)
    first = next(iter(simulation.nodes.values()))
    first.distribution.commit(PUBLISHED)
    simulation.run(SECOND)
    simulation.table.available = False
    started = simulation.start(3)
    assert not started.publication.ready(3)
    simulation.run(SECOND * 2)
    assert started.publication.ready(3)
    assert started.publication.generation() == 1
    age = started.publication.confirmed_age()
    assert age is not None
    assert SECOND * 2 <= age <= SECOND * 4
