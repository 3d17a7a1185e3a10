"""Tests the share schedule of timed roll-outs."""

import datetime as dt
import itertools

from bronzeglade.decisions import rollout_schedule
from bronzeglade.decisions.rollout_schedule import CanarySettings

SETTINGS = CanarySettings()
DURATION = dt.timedelta(seconds=20)
EXPOSURE = 0.15


def share(fraction: float) -> float:
    """Return the share after a fraction of the duration."""
    return rollout_schedule.share_at(
        SETTINGS, DURATION * fraction, DURATION, EXPOSURE
    )


def test_exposure_stays_within_bounds_before_the_last_steps() -> None:
    """A version that turns bad late must have received few requests by then."""
    fractions = [number / 1000 for number in range(680)]
    assert sum(share(fraction) for fraction in fractions) / 1000 < EXPOSURE / 2


def test_share_only_rises_and_leaves_a_comparison() -> None:
    """A falling share would move sessions back to the control version.

    The last step leaves work to the control version, to distinguish a slow
    candidate from an overload. `rollouts_test` checks that all work moves when
    the roll-out completes.
    """
    shares = [share(number / 100) for number in range(101)]
    assert all(low <= high for low, high in itertools.pairwise(shares))
    assert shares[-1] == 0.95


def test_unused_exposure_is_spent_in_the_first_step() -> None:
    """Exposure that excluded sessions did not use raises the first step.

    Sessions are included from half of the duration on, and a bad version must
    then be detected from few answers.
    """
    first = [
        rollout_schedule.steps_for(SETTINGS, EXPOSURE, spent)[0][1]
        for spent in (None, 0, 0.03, 0.075, 1)
    ]
    assert first[0] == 0.2
    assert 0.4 < first[1] <= 0.5
    assert first[1] > first[2]
    assert first[2] > first[3]
    assert first[3:] == [0.2, 0.2]
    (start, share), (end, _max_share), *_rest = rollout_schedule.steps_for(
        SETTINGS, EXPOSURE, 0
    )
    assert share * (end - start) <= EXPOSURE * SETTINGS.early_exposure_fraction


def test_late_node_takes_no_step_twice() -> None:
    """A node that resumes late must still take each step, to reveal faults."""
    assert rollout_schedule.next_share(SETTINGS.steps, 0.075, 1) == 0.2
    assert rollout_schedule.next_share(SETTINGS.steps, 0.2, 1) == 0.5
    assert rollout_schedule.next_share(SETTINGS.steps, 0.5, 1) == 0.95
    assert rollout_schedule.next_share(SETTINGS.steps, 0.95, 0.95) == 0.95
    assert rollout_schedule.next_share(SETTINGS.steps, 0.5, 0.2) == 0.5
    assert rollout_schedule.next_share(SETTINGS.steps, 0, 0.075) == 0.075


def test_complete_before_the_deadline() -> None:
    """Completion must leave time to write the status before the deadline."""
    assert not rollout_schedule.is_due(SETTINGS, DURATION * 0.8, DURATION)
    assert rollout_schedule.is_due(SETTINGS, DURATION * 0.95, DURATION)


def test_short_roll_out_has_shorter_steps() -> None:
    """Full-length steps would make a short roll-out miss its deadline."""
    long = rollout_schedule.step_time(SETTINGS, DURATION * 2)
    assert long == SETTINGS.min_step_time
    short = DURATION / 2
    steps = rollout_schedule.step_time(SETTINGS, short) * len(SETTINGS.steps)
    first = SETTINGS.steps[0][0]
    assert short * first + steps <= short * SETTINGS.complete_at
