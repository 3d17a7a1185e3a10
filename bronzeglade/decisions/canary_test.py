"""Guards how much a new version gets, and when."""

import datetime as dt
import itertools

from bronzeglade.decisions import canary
from bronzeglade.decisions.canary import CanarySettings

SETTINGS = CanarySettings()
DURATION = dt.timedelta(seconds=20)
EXPOSURE = 0.15


def share(part: float) -> float:
    """Return the share at a part of the duration."""
    return canary.share_at(SETTINGS, DURATION * part, DURATION, EXPOSURE)


def test_exposure_stays_within_bounds_before_the_last_steps() -> None:
    """A version that turns bad late must not have had too much by then."""
    parts = [number / 1000 for number in range(680)]
    assert sum(share(part) for part in parts) / 1000 < EXPOSURE / 2


def test_share_only_rises_and_leaves_a_comparison() -> None:
    """A session must keep its version; the rest tells slow from overloaded.

    `rollouts_test` holds that all work moves when the roll-out is complete.
    """
    shares = [share(number / 100) for number in range(101)]
    assert all(low <= high for low, high in itertools.pairwise(shares))
    assert shares[-1] == 0.95


def test_exposure_that_sessions_left_is_spent_in_the_first_step() -> None:
    """Sessions join at half; then few answers must tell a bad version fast."""
    first = [
        canary.steps_for(SETTINGS, EXPOSURE, spent)[0][1]
        for spent in (None, 0, 0.03, 0.075, 1)
    ]
    assert first[0] == 0.2
    assert 0.4 < first[1] <= 0.5
    assert first[1] > first[2]
    assert first[2] > first[3]
    assert first[3:] == [0.2, 0.2]
    (start, share), (end, _most), *_rest = canary.steps_for(
        SETTINGS, EXPOSURE, 0
    )
    assert share * (end - start) <= EXPOSURE * SETTINGS.early_part


def test_late_node_takes_no_step_twice() -> None:
    """After a pause of the acting node each step still shows its faults."""
    assert canary.next_share(SETTINGS.steps, 0.075, 1) == 0.2
    assert canary.next_share(SETTINGS.steps, 0.2, 1) == 0.5
    assert canary.next_share(SETTINGS.steps, 0.5, 1) == 0.95
    assert canary.next_share(SETTINGS.steps, 0.95, 0.95) == 0.95
    assert canary.next_share(SETTINGS.steps, 0.5, 0.2) == 0.5
    assert canary.next_share(SETTINGS.steps, 0, 0.075) == 0.075


def test_complete_before_the_deadline() -> None:
    """The status must be written before the deadline."""
    assert not canary.is_due(SETTINGS, DURATION * 0.8, DURATION)
    assert canary.is_due(SETTINGS, DURATION * 0.95, DURATION)


def test_short_roll_out_has_shorter_steps() -> None:
    """A short roll-out must be complete before its deadline as well."""
    long = canary.step_time(SETTINGS, DURATION * 2)
    assert long == SETTINGS.shortest_step
    short = DURATION / 2
    steps = canary.step_time(SETTINGS, short) * len(SETTINGS.steps)
    first = SETTINGS.steps[0][0]
    assert short * first + steps <= short * SETTINGS.complete_at
