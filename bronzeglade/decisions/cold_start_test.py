"""Tests of the load that follows a start: all nodes see an idle endpoint."""

import dataclasses
import datetime as dt

import pytest

from bronzeglade.builders import ManualClock
from bronzeglade.coordination.membership_view import MembershipViewSettings
from bronzeglade.decisions.cold_start import (
    ColdStartLimit,
    ColdStarts,
    ColdStartSettings,
    turn_rate,
)
from bronzeglade.decisions.cold_start_simulation import (
    ENDPOINT,
    LIMIT,
    RUN_S,
    ColdFleet,
)
from bronzeglade.decisions.rate_limit import Turn

SECOND = dt.timedelta(seconds=1)
SEEDS = range(200)
TURN = Turn(1000 * SECOND, 0, 1)


def most_requests(
    size: int,
    seed: int,
    view_settings: MembershipViewSettings | None = None,
) -> int:
    """Return the most requests in one second of a disturbed fleet."""
    fleet = ColdFleet(size, seed, view_settings)
    fleet.disturb()
    fleet.run()
    return fleet.most_in_a_second()


# Guards against shares that add up to more than the endpoint bears while nodes
# join, leave, stop and are cut off.
@pytest.mark.parametrize('size', [6, 70, 200])
def test_bound_holds_in_each_second(size: int) -> None:
    """The endpoint would end, and take its running requests with it."""
    most = [most_requests(size, seed) for seed in SEEDS]
    assert max(most) <= LIMIT.per_second


# Shows that the simulation can break the bound.
def test_bound_needs_certain_shares() -> None:
    """A node that has just started would take all turns for its own."""
    careless = MembershipViewSettings(dt.timedelta(days=1), dt.timedelta())
    most = [most_requests(70, seed, careless) for seed in SEEDS]
    assert max(most) > LIMIT.per_second


@pytest.mark.parametrize('size', [1, 6, 70, 200])
def test_endpoint_gets_what_it_bears(size: int) -> None:
    """Warming up needs requests, and their callers need the endpoint."""
    fleet = ColdFleet(size, seed=1)
    fleet.run()
    expected = turn_rate(fleet.settings, LIMIT) * RUN_S
    assert len(fleet.requests) >= 0.9 * expected


@pytest.mark.parametrize(
    ('limit', 'rate'),
    [
        (LIMIT, 9.7),
        (dataclasses.replace(LIMIT, rate=2), 2),
        (dataclasses.replace(LIMIT, per_second=1), 0),
    ],
)
def test_rate_keeps_both_limits(limit: ColdStartLimit, rate: float) -> None:
    """Neither the rate that it bears nor the bound may be exceeded."""
    assert turn_rate(ColdStartSettings(), limit) == pytest.approx(rate, abs=0.1)


def test_endpoint_that_bears_nothing_gets_nothing() -> None:
    """A bound below one request leaves no turn, and no division by zero."""
    clock = ManualClock()
    starts = ColdStarts(ColdStartSettings(), clock)
    starts.record(ENDPOINT, SECOND, dataclasses.replace(LIMIT, per_second=1))
    assert starts.exhausted(TURN) == {ENDPOINT}
    assert not starts.take(ENDPOINT, TURN)
    clock.advance(SECOND)
    assert not starts.exhausted(TURN)
    assert starts.take(ENDPOINT, TURN)


def test_cold_time_passes() -> None:
    """The part that is left makes the endpoint dearer, ever less."""
    clock = ManualClock()
    starts = ColdStarts(ColdStartSettings(), clock)
    limit = dataclasses.replace(LIMIT, duration=2 * SECOND)
    assert starts.record(ENDPOINT, 2 * SECOND, limit)
    clock.advance(SECOND)
    assert starts.fractions() == {ENDPOINT: pytest.approx(0.5)}
    assert not starts.extend(ENDPOINT, SECOND / 2, limit)
    assert starts.remaining(ENDPOINT) == SECOND
    assert not starts.record(ENDPOINT, dt.timedelta(), limit)
    assert not starts.fractions()


def test_node_without_a_turn_sends_nothing() -> None:
    """A node that is unsure of its share errs towards none."""
    starts = ColdStarts(ColdStartSettings(), ManualClock())
    starts.record(ENDPOINT, SECOND, LIMIT)
    assert starts.exhausted(None) == {ENDPOINT}
    assert not starts.take(ENDPOINT, None)
