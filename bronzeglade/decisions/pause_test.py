"""Guards pauses that endpoints ask for: kept, bounded and over in time."""

import datetime as dt

import pytest

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.pause import Pauses, PauseSettings

SECOND = dt.timedelta(seconds=1)


def test_endpoint_gets_no_work_until_its_pause_ends() -> None:
    """Work sent earlier is refused again and keeps the endpoint busy."""
    clock = ManualClock()
    pauses = Pauses(PauseSettings(), clock)
    pauses.ask('e1', 2.5 * SECOND)
    clock.advance(2.4 * SECOND)
    assert pauses.is_paused('e1')
    clock.advance(0.1 * SECOND)
    assert not pauses.is_paused('e1')


def test_shorter_request_does_not_end_a_longer_pause() -> None:
    """Answers overtake each other, so the last one is not the newest."""
    pauses = Pauses(PauseSettings(), ManualClock())
    pauses.ask('e1', 5 * SECOND)
    pauses.ask('e1', SECOND)
    assert pauses.first_end(['e1']) == 5 * SECOND


@pytest.mark.parametrize('asked', [dt.timedelta.max, 48 * 3600 * SECOND])
def test_absurd_pause_is_bounded(asked: dt.timedelta) -> None:
    """One wrong header must not take an endpoint out for ever."""
    pauses = Pauses(PauseSettings(longest=60 * SECOND), ManualClock())
    assert pauses.ask('e1', asked) == 60 * SECOND


def test_negative_pause_is_none() -> None:
    """A time in the past asks for nothing."""
    pauses = Pauses(PauseSettings(), ManualClock())
    pauses.ask('e1', -5 * SECOND)
    assert not pauses.is_paused('e1')


def test_first_end_tells_when_a_service_takes_work_again() -> None:
    """Callers come back when the first endpoint is there, not the last."""
    pauses = Pauses(PauseSettings(), ManualClock())
    pauses.ask('e1', 3 * SECOND)
    pauses.ask('e2', 2 * SECOND)
    assert pauses.first_end(['e1', 'e2']) == 2 * SECOND
    assert pauses.first_end(['e1', 'e2', 'e3']) == dt.timedelta()
    assert pauses.first_end([]) is None
