"""Tests of nodes whose store is restored from a backup, in virtual time.

The store is away, comes back without its last changes, and gives their versions
out again. Its writers then repeat what they wrote.
"""

import dataclasses
import random

import eventlet
import pytest

from bronzeglade import virtual_time
from bronzeglade.adapters.table import Row
from bronzeglade.coordination.table_mirror import RESTORING_TIME
from bronzeglade.forwarding.simulated_store import (
    ROW,
    TABLES,
    SimulatedFollowers,
    SimulatedStore,
)
from bronzeglade.virtual_time import VirtualClock

# Nodes are bound by the store's state after this time (`contact-ms`).
MAX_STALE_S = 3.0
# What the store has lost may be kept for as long as its writers may take to
# repeat it.
MAX_SETTLING_S = MAX_STALE_S + RESTORING_TIME.total_seconds()
MAX_CALLS_PER_S = 4.0  # of a node, while the store comes back
COUNTED_S = 5.0
SEEDS = {6: range(200), 70: range(20), 200: range(6)}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What nodes did after the store was back.

    `stale_s` is the time until all acted on what the store has, and `calls_s`
    the calls of the store by each node in a second.
    """

    stale_s: float
    calls_s: float


def restore(size: int, seed: int) -> Outcome:
    """Return what nodes do when their store is restored.

    Args:
      size: number of nodes.
      seed: draws the changes, and those of them that are lost.
    """

    def simulate(clock: VirtualClock) -> Outcome:
        rng = random.Random(seed)
        fleet = SimulatedFollowers(clock, size, seed)
        fleet.run(rng.uniform(13, 16))
        change_some(fleet, rng, rng.randint(1, 6))
        lost = rng.randint(1, len(fleet.store.backups) - 3)
        fleet.store.down = rng.random() < 0.7
        fleet.run(rng.uniform(0, 2))
        before = dict(fleet.store.rows)
        fleet.store.restore(lost)
        fleet.store.down = False
        calls = fleet.store.calls
        began_s = clock.elapsed_s
        # Versions beyond those that nodes have hide that changes were lost.
        fleet.store.version += rng.choice([0, 0, lost, lost + 3])
        fleet.run(rng.uniform(0, 1))
        repeat_writes(fleet.store, before)
        change_some(fleet, rng, rng.randint(0, 2))
        stale_s = time_until_current(fleet)
        fleet.run(max(0, began_s + COUNTED_S - clock.elapsed_s))
        calls_s = (fleet.store.calls - calls) / (clock.elapsed_s - began_s)
        return Outcome(stale_s, calls_s / size)

    return virtual_time.run(simulate)


def change_some(
    fleet: SimulatedFollowers, rng: random.Random, count: int
) -> None:
    """Write or remove rows, one after the other."""
    for _ in range(count):
        table = rng.choice(TABLES)
        change = rng.choice([SimulatedStore.put, SimulatedStore.remove])
        change(fleet.store, table)
        fleet.run(rng.uniform(0, 0.8))


def repeat_writes(store: SimulatedStore, before: dict[str, Row]) -> None:
    """Write again what the store had before it was restored."""
    for table in TABLES:
        key = f'{table}/{ROW}'
        if key in before:
            store.put(table)
        elif key in store.rows:
            store.remove(table)


def time_until_current(fleet: SimulatedFollowers) -> float:
    """Return the time until all nodes act on what the store has."""
    began_s = fleet.clock.elapsed_s
    while not all(
        node.is_current(table) for node in fleet.nodes for table in TABLES
    ):
        if fleet.clock.elapsed_s - began_s > 60:
            raise AssertionError('a node never acts on what the store has')
        eventlet.sleep(0.05)
    return fleet.clock.elapsed_s - began_s


# A node took no answer for newer until the versions had passed the one that it
# had, and then lacked the changes in between for good.
@pytest.mark.parametrize('size', SEEDS)
def test_nodes_follow_a_restored_store(size: int) -> None:
    """Nodes act on the new state in time, without calls in a loop."""
    outcomes = [restore(size, seed) for seed in SEEDS[size]]
    assert max(outcome.stale_s for outcome in outcomes) <= MAX_SETTLING_S
    assert max(outcome.calls_s for outcome in outcomes) <= MAX_CALLS_PER_S
