"""Tests of when a node is sure who shares a limit with it."""

import datetime as dt

from bronzeglade.builders import ManualClock
from bronzeglade.coordination.membership_view import (
    MembershipView,
    MembershipViewSettings,
)

SECOND = dt.timedelta(seconds=1)
SETTINGS = MembershipViewSettings()


def certain_view() -> tuple[MembershipView, ManualClock]:
    """Return the view of node `b` of three, which is sure of it."""
    clock = ManualClock()
    view = MembershipView('b', SETTINGS, clock)
    view.update(['c', 'a', 'b'])
    clock.advance(SETTINGS.spread)
    return view, clock


def test_place_among_the_nodes() -> None:
    """All nodes must number each other in the same way."""
    view, clock = certain_view()
    turn = view.turn(9 * SECOND, clock.monotonic())
    assert turn is not None
    assert (turn.rank, turn.nodes, turn.now) == (1, 3, 9 * SECOND)


def test_change_makes_a_node_unsure() -> None:
    """Other nodes may not have learned of it."""
    view, clock = certain_view()
    view.update(['a', 'b', 'c'])
    assert view.is_certain(clock.monotonic())
    view.update(['a', 'b'])
    assert not view.is_certain(clock.monotonic())
    clock.advance(SETTINGS.spread)
    assert view.is_certain(clock.monotonic())


def test_node_that_hears_of_nothing_is_unsure() -> None:
    """It may have missed a change: it was paused, or is cut off."""
    view, clock = certain_view()
    heard_at = clock.monotonic()
    assert not view.is_certain(None)
    clock.advance(SETTINGS.max_age)
    assert view.is_certain(heard_at)
    clock.advance(SECOND)
    assert not view.is_certain(heard_at)


def test_node_that_is_not_registered_is_unsure() -> None:
    """The others do not count it."""
    view, clock = certain_view()
    view.update(['a', 'c'])
    clock.advance(SETTINGS.spread)
    assert view.turn(SECOND, clock.monotonic()) is None
