"""Tests of the load that callers bring about by bodies that never end."""

import dataclasses
import datetime as dt
import random

import pytest

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.memory_account import (
    Holding,
    MemoryAccount,
    MemorySettings,
)

SECOND = dt.timedelta(seconds=1)
KILOBYTE = 1024
SETTINGS = MemorySettings(capacity=100 * KILOBYTE, small=KILOBYTE)


class Node:
    """An account, and the holdings that had to give way."""

    def __init__(self) -> None:
        """Create an empty account."""
        self.clock = ManualClock()
        self.account = MemoryAccount(SETTINGS, self.clock)
        self.gave_way: list[str] = []

    def hold(
        self, kilobytes: float, client: str = 'a', name: str = ''
    ) -> Holding | None:
        """Return a holding of a client, or None if it is refused."""
        holding = self.account.open(
            client, lambda: self.gave_way.append(name or client)
        )
        grown = self.account.grow(holding, int(kilobytes * KILOBYTE))
        return holding if grown else None


def test_bodies_beyond_the_capacity_are_refused() -> None:
    """One client that keeps on sending gets no more than there is."""
    node = Node()
    held = [node.hold(30) is not None for _ in range(5)]
    assert held == [True, True, True, False, False]
    assert node.account.used <= SETTINGS.capacity
    assert not node.gave_way


def test_refused_holding_stays_ended() -> None:
    """Its bytes must not be counted after its owner has freed them."""
    node = Node()
    node.hold(90)
    grown = node.account.open('a', lambda: None)
    assert node.account.grow(grown, 5 * KILOBYTE)
    assert not node.account.grow(grown, 90 * KILOBYTE)
    assert not node.account.grow(grown, 1)
    assert node.account.used == 90 * KILOBYTE


def test_small_bodies_always_find_room() -> None:
    """An ordinary request is served beside any crowd."""
    node = Node()
    node.hold(100)
    assert all(node.hold(1) for _ in range(50))


def test_body_that_is_alone_may_be_larger() -> None:
    """A legal body is served in calm, on however small a machine."""
    node = Node()
    alone = node.hold(150)
    assert alone is not None
    assert node.hold(2) is None
    node.account.close(alone)
    assert node.hold(2) is not None


def test_stalled_bodies_give_way_first() -> None:
    """Callers that stop short of the end must not keep others out."""
    node = Node()
    node.hold(40, 'a', 'stalled')
    node.clock.advance(SECOND)
    node.hold(40, 'a', 'moving')
    assert node.hold(40, 'a')
    assert node.gave_way == ['stalled']
    assert node.account.take_gave_way() == 1


def test_body_that_moves_is_not_stalled() -> None:
    """A slow caller within the limits is served."""
    node = Node()
    slow = node.hold(80)
    for _ in range(5):
        node.clock.advance(SECOND * 0.9)
        assert slow is not None
        assert node.account.grow(slow, 1)
    assert node.hold(40) is None
    assert not node.gave_way


def test_client_that_holds_most_gives_way() -> None:
    """One client cannot take all, even if its bodies move."""
    node = Node()
    for name in ('large', 'small'):
        node.hold(60 if name == 'large' else 35, 'crowd', name)
    assert node.hold(40, 'other')
    assert node.gave_way == ['large']
    assert node.hold(40, 'crowd') is None


def test_request_at_an_endpoint_never_gives_way() -> None:
    """It may be running, and its answer is on the way."""
    node = Node()
    kept = node.hold(90, 'crowd')
    assert kept is not None
    node.account.keep(kept)
    node.clock.advance(60 * SECOND)
    assert node.hold(40, 'other') is None
    assert not node.gave_way


def test_nothing_gives_way_in_vain() -> None:
    """If it would not make room, the others go on."""
    node = Node()
    kept = node.hold(80)
    assert kept is not None
    node.account.keep(kept)
    node.hold(10, 'a', 'stalled')
    node.clock.advance(SECOND)
    assert node.hold(60, 'b') is None
    assert not node.gave_way


# A sum that drifts would in the end refuse all, or bound nothing.
@pytest.mark.parametrize('seed', range(50))
def test_sum_is_that_of_the_holdings(seed: int) -> None:
    """The account is bounded and empty once all is closed."""
    rng = random.Random(seed)
    node = Node()
    held: list[Holding] = []
    for _ in range(300):
        node.clock.advance(SECOND * rng.random())
        step = rng.random()
        if step < 0.4:
            holding = node.account.open(rng.choice('abc'), lambda: None)
            held.append(holding)
        elif step < 0.8 and held:
            node.account.grow(rng.choice(held), rng.randrange(20 * KILOBYTE))
        elif step < 0.9 and held:
            node.account.keep(rng.choice(held))
        elif held:
            node.account.close(held.pop(rng.randrange(len(held))))
        counted = sum(
            holding.size
            for holding in held
            if not holding.ended and holding.size > SETTINGS.small
        )
        assert node.account.used == counted
        largest = max((holding.size for holding in held), default=0)
        assert node.account.used <= max(SETTINGS.capacity, largest)
    for holding in held:
        node.account.close(holding)
    assert node.account.used == 0
    assert not node.account.holdings


def test_settings_hold_bodies_of_usual_size() -> None:
    """Without a stated machine, sixteen bodies of 4 MB find room."""
    default = MemorySettings()
    assert default.capacity >= 16 * 4 * KILOBYTE * KILOBYTE
    assert dataclasses.replace(default).stalled == SECOND
