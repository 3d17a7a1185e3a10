"""Tests that a shutdown accepts only requests that it can finish."""

import datetime as dt

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.shutdown import (
    ABANDON_FRACTION,
    DURATION_WINDOW,
    LISTED_MARGIN,
    UNLISTED_MARGIN,
    LongestDurations,
    plan_shutdown,
)

SECOND = dt.timedelta(seconds=1)
SHUTDOWN = plan_shutdown(100 * SECOND, 8 * SECOND, 3 * SECOND)
LONG_LIMIT = 25 * SECOND
TIMES = st.timedeltas(dt.timedelta(), 30 * SECOND)


# Guards against requests that are accepted late in a shutdown and cut off.
@given(elapsed=TIMES, limit=TIMES, expected=st.none() | TIMES)
@settings(derandomize=True, deadline=None, max_examples=500)
def test_accepted_request_has_time_to_finish(
    elapsed: dt.timedelta, limit: dt.timedelta, expected: dt.timedelta | None
) -> None:
    """Either its limit or a multiple of the expected duration fits."""
    now = SHUTDOWN.started_at + elapsed
    remaining = 8 * SECOND * ABANDON_FRACTION - elapsed
    margin = LISTED_MARGIN if elapsed < 3 * SECOND else UNLISTED_MARGIN
    estimate = limit if expected is None else expected * margin
    assert SHUTDOWN.accepts(now, limit, expected) == (
        min(limit, estimate) <= remaining
    )


@pytest.mark.parametrize(
    ('elapsed_s', 'expected_s', 'accepted'),
    [
        (0, 3.6, True),
        (0, 3.7, False),
        (2.9, 1, True),
        (2.9, 2.3, False),
        (3, 0.4, True),
        (3, 0.45, False),
        (7.3, 0.01, False),
    ],
)
def test_long_limit_is_accepted_if_requests_are_short(
    elapsed_s: float, expected_s: float, accepted: bool
) -> None:
    """A request is refused only if it may not be finished in time."""
    now = SHUTDOWN.started_at + elapsed_s * SECOND
    expected = expected_s * SECOND
    assert SHUTDOWN.accepts(now, LONG_LIMIT, expected) == accepted


def test_short_grace_period_ends_the_listing_too() -> None:
    """The listener closes before running requests are abandoned."""
    shutdown = plan_shutdown(dt.timedelta(), SECOND, 3 * SECOND)
    assert shutdown.listed_until == shutdown.abandon_at
    assert shutdown.abandon_at < shutdown.exit_at


def test_longest_duration_is_forgotten_after_two_windows() -> None:
    """A peak counts for at least one window and at most two."""
    clock = ManualClock()
    durations = LongestDurations(clock)
    assert durations.longest('chat') is None
    durations.record('chat', 5 * SECOND)
    durations.record('chat', SECOND)
    assert durations.longest('chat') == 5 * SECOND
    clock.advance(DURATION_WINDOW)
    durations.record('chat', SECOND)
    assert durations.longest('chat') == 5 * SECOND
    clock.advance(DURATION_WINDOW)
    durations.record('chat', SECOND)
    assert durations.longest('chat') == SECOND
    clock.advance(2 * DURATION_WINDOW)
    assert durations.longest('chat') is None
