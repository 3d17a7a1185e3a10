"""Tests that the directory names the nodes that live, and no others."""

import datetime as dt

import pytest

from bronzeglade.forwarding.simulated_fleet import SimulatedFleet

SECOND = dt.timedelta(seconds=1)
# Callers must not be sent to a node that has been off for longer.
MAX_NAMED = dt.timedelta(seconds=3)
SMALL = ('a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'c-1')
LARGE = (
    *(f'a-{number:02}' for number in range(20)),
    *(f'b-{number:02}' for number in range(4)),
)
MANY_OFF = LARGE[:12]


# A directory listed a node that had lost power until its registration was
# removed, over 9 s later.
@pytest.mark.parametrize(
    ('fleet_of', 'off'),
    [
        (SMALL, ('a-1',)),
        (SMALL, ('a-3',)),
        (SMALL, ('b-1',)),
        (SMALL, ('b-2',)),
        (SMALL, ('c-1',)),
        (SMALL, ('a-1', 'a-2')),
        (SMALL, ('a-1', 'a-2', 'a-3')),
        (SMALL, ('a-1', 'b-1', 'c-1')),
        (SMALL, SMALL[1:]),
        (SMALL, SMALL[:-1]),
        (LARGE, ('a-00', 'a-01', 'a-02')),
        (LARGE, MANY_OFF),
        (('a-1', 'a-2'), ('a-1',)),
    ],
)
@pytest.mark.parametrize('seed', [1, 2])
def test_node_that_is_off_is_soon_no_longer_named(
    fleet_of: tuple[str, ...], off: tuple[str, ...], seed: int
) -> None:
    """Each caller that connects to it loses a try."""
    fleet = SimulatedFleet(*fleet_of, seed=seed)
    fleet.kill(*off)
    assert fleet.time_named(*off) <= MAX_NAMED


# Between two ends that follow each other, nodes rely on others that end next.
def test_nodes_that_end_one_after_the_other_are_soon_no_longer_named() -> None:
    """Each is off for three seconds at most before callers are spared it."""
    fleet = SimulatedFleet(*SMALL)
    for name in ('a-1', 'b-1', 'a-2', 'c-1'):
        fleet.kill(name)
        fleet.run(SECOND / 2)
    assert fleet.time_named('a-1', 'b-1', 'a-2', 'c-1') <= MAX_NAMED


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('fleet_of', [SMALL, LARGE, ('a-1',)])
def test_live_nodes_are_named_though_datagrams_are_lost(
    fleet_of: tuple[str, ...], seed: int
) -> None:
    """A directory without live nodes sends all callers to the others."""
    fleet = SimulatedFleet(*fleet_of, seed=seed)
    fleet.loss = 0.1
    assert fleet.missing(10 * SECOND) == 0


def test_node_that_stands_still_for_a_second_is_named() -> None:
    """Such a node serves its callers right after."""
    fleet = SimulatedFleet(*SMALL)
    for name in ('a-1', 'b-2', 'c-1'):
        fleet.live[name].frozen = True
    assert fleet.missing(SECOND) == 0
    for name in ('a-1', 'b-2', 'c-1'):
        fleet.live[name].frozen = False
    assert fleet.missing(5 * SECOND) == 0


def test_node_that_stood_still_names_the_others() -> None:
    """It has heard nobody meanwhile, and first has to read what arrived."""
    fleet = SimulatedFleet(*SMALL)
    fleet.live['a-1'].frozen = True
    fleet.run(20 * SECOND / 4)
    fleet.live['a-1'].frozen = False
    # Before it has run.
    assert fleet.live['a-1'].listed('a') >= {'a-2', 'a-3'}
    assert fleet.missing(5 * SECOND) == 0


@pytest.mark.parametrize('deaf', [('a-1',), ('c-1',), SMALL])
def test_node_that_receives_no_datagrams_names_the_others(
    deaf: tuple[str, ...],
) -> None:
    """The others run, and answer its calls."""
    fleet = SimulatedFleet(*SMALL)
    fleet.deaf = set(deaf)
    assert fleet.missing(10 * SECOND) == 0


def test_node_that_is_cut_off_names_all() -> None:
    """It reaches neither nodes nor store, and knows nothing of the others."""
    fleet = SimulatedFleet(*SMALL)
    fleet.cut = {'a-1'}
    fleet.live['a-1'].lose_store()
    fleet.run(8 * SECOND)
    assert fleet.live['a-1'].listed('a') >= {'a-1', 'a-2', 'a-3'}


def test_node_that_starts_again_is_named_soon() -> None:
    """Its row is still there, and it serves at once."""
    fleet = SimulatedFleet(*SMALL)
    fleet.kill('a-1')
    fleet.run(5 * SECOND)
    fleet.start('a-1')
    fleet.run(SECOND)
    assert fleet.missing(5 * SECOND) == 0


def test_node_that_is_added_is_named_at_once() -> None:
    """Callers use it as soon as it is registered."""
    fleet = SimulatedFleet(*SMALL)
    fleet.start('b-3')
    fleet.run(SECOND)
    assert fleet.missing(5 * SECOND) == 0


def test_nodes_that_start_together_name_each_other() -> None:
    """None of them has heard of another yet."""
    fleet = SimulatedFleet(*SMALL)
    fleet.kill(*SMALL)
    for name in SMALL:
        fleet.start(name)
    fleet.run(SECOND / 4)
    assert fleet.missing(5 * SECOND) == 0
