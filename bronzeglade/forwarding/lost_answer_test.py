"""Bounds the time for which nodes act on rows whose change was not answered.

An answer of the store, or of another node, is lost in each way; the store is
well. All runs are in virtual time.
"""

import dataclasses
import random

import eventlet
import pytest

from bronzeglade import virtual_time
from bronzeglade.forwarding.simulated_store import (
    TABLES,
    Loss,
    Losses,
    SimulatedFollowers,
    SimulatedStore,
)
from bronzeglade.virtual_time import VirtualClock

# Nodes are bound by the store's state after this time (`contact-ms`).
MAX_STALE_S = 3.0
# With one answer lost, endpoints are left before they may end (`drain-ms`).
MAX_STALE_ENDPOINTS_S = 2.0
MAX_CALLS_PER_S = 2.0  # of a node, without changes
SEEDS = range(25)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Answers that are lost when a table changes.

    Answers are lost in a row, in the ways of `kinds`, by one node or by all
    with `everywhere`; with `peers`, also the first answers of other nodes.
    Without `table`, the table is drawn. With `busy`, other tables change all
    the time.
    """

    size: int
    kinds: tuple[Loss, ...]
    everywhere: bool = False
    peers: bool = False
    table: str = ''
    busy: bool = False


def time_until_known(case: Case, seed: int) -> float:
    """Return the time until all nodes act on a change.

    Args:
      case: which answers are lost.
      seed: draws the table, the kind of change, its time and the node.
    """

    def simulate(clock: VirtualClock) -> float:
        rng = random.Random(seed)
        fleet = SimulatedFollowers(clock, case.size, seed)
        if case.busy:
            eventlet.spawn(change_version, fleet.store)
        fleet.run(rng.uniform(15, 30))
        table = case.table or rng.choice(TABLES)
        one = rng.randrange(case.size)
        nodes = range(case.size) if case.everywhere else [one]
        fleet.store.losses.append(
            Losses(table, frozenset(nodes), case.kinds, case.peers)
        )
        change = rng.choice([SimulatedStore.put, SimulatedStore.remove])
        version = change(fleet.store, table)
        return fleet.time_to_know(table, version)

    return virtual_time.run(simulate)


def change_version(store: SimulatedStore) -> None:
    """Change the store's version without end, as evidence of nodes does."""
    while True:
        store.version += 1
        eventlet.sleep(0.3)


# A node followed a table with calls of up to 13 s, whose answer may be lost: it
# used endpoints that had left, and it took one lost answer for an outage.
@pytest.mark.parametrize('loss', Loss)
@pytest.mark.parametrize('everywhere', [False, True], ids=['one', 'all'])
@pytest.mark.parametrize('size', [1, 3, 8])
def test_one_lost_answer(size: int, everywhere: bool, loss: Loss) -> None:
    """The change is known in time, an endpoint's before it may end."""
    case = Case(size, (loss,), everywhere)
    times = [time_until_known(case, seed) for seed in SEEDS]
    assert max(times) <= MAX_STALE_S
    for busy in (False, True):
        case = dataclasses.replace(case, table='endpoints', busy=busy)
        times = [time_until_known(case, seed) for seed in SEEDS]
        assert max(times) <= MAX_STALE_ENDPOINTS_S


@pytest.mark.parametrize('first', Loss)
@pytest.mark.parametrize('second', Loss)
@pytest.mark.parametrize(
    ('size', 'everywhere'), [(1, True), (3, False), (8, True)]
)
def test_two_answers_lost_in_a_row(
    size: int, everywhere: bool, first: Loss, second: Loss
) -> None:
    """The call that checks for a lost answer may lose its own."""
    case = Case(size, (first, second), everywhere, busy=True)
    times = [time_until_known(case, seed) for seed in SEEDS]
    assert max(times) <= MAX_STALE_S


@pytest.mark.parametrize('loss', Loss)
def test_lost_answers_of_store_and_watchers(loss: Loss) -> None:
    """A watcher loses an answer, and its answer to a node is lost, too."""
    case = Case(8, (loss,), everywhere=True, peers=True)
    times = [time_until_known(case, seed) for seed in SEEDS]
    assert max(times) <= MAX_STALE_S


@pytest.mark.parametrize('seed', SEEDS)
def test_silent_store_is_noticed_before_rows_expire(seed: int) -> None:
    """Rows that expire in an outage are kept only if it was noticed."""

    def simulate(clock: VirtualClock) -> float:
        fleet = SimulatedFollowers(clock, 1, seed)
        fleet.run(random.Random(seed).uniform(15, 30))
        fleet.store.silent = True
        fleet.run(MAX_STALE_S)
        return fleet.nodes[0].tables.endpoints.failing_for().total_seconds()

    assert virtual_time.run(simulate) > 0


@pytest.mark.parametrize('size', [3, 80])
def test_calls_while_nothing_changes(size: int) -> None:
    """Finding lost answers must not cost many calls of the store."""

    def simulate(clock: VirtualClock) -> float:
        fleet = SimulatedFollowers(clock, size, seed=1)
        fleet.run(30)
        before = fleet.store.calls
        fleet.run(60)
        return (fleet.store.calls - before) / 60 / size

    assert virtual_time.run(simulate) <= MAX_CALLS_PER_S
