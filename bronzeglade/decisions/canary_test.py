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


def test_share_only_rises_and_ends_with_all() -> None:
    """A session that got the new version must keep it."""
    shares = [share(number / 100) for number in range(101)]
    assert all(low <= high for low, high in itertools.pairwise(shares))
    assert shares[-1] == 1


def test_late_node_takes_no_step_twice() -> None:
    """After a pause of the acting node each step still shows its faults."""
    assert canary.next_share(SETTINGS, 0.075, 1) == 0.2
    assert canary.next_share(SETTINGS, 0.2, 1) == 0.5
    assert canary.next_share(SETTINGS, 0.5, 1) == 1
    assert canary.next_share(SETTINGS, 0.5, 0.2) == 0.5
    assert canary.next_share(SETTINGS, 0, 0.075) == 0.075


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
