"""Tests that requested pauses are observed, bounded and end on time."""

import datetime as dt

import pytest

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.pause import Pauses, PauseSettings

SECOND = dt.timedelta(seconds=1)


def test_endpoint_gets_no_work_until_its_pause_ends() -> None:
    """Work sent during a pause would be refused and add load."""
    clock = ManualClock()
    pauses = Pauses(PauseSettings(), clock)
    pauses.request_pause('e1', 2.5 * SECOND)
    clock.advance(2.4 * SECOND)
    assert pauses.is_paused('e1')
    clock.advance(0.1 * SECOND)
    assert not pauses.is_paused('e1')


def test_shorter_request_does_not_end_a_longer_pause() -> None:
    """Answers may arrive out of order, so the last may be outdated."""
    pauses = Pauses(PauseSettings(), ManualClock())
    pauses.request_pause('e1', 5 * SECOND)
    pauses.request_pause('e1', SECOND)
    assert pauses.time_until_first_end(['e1']) == 5 * SECOND


@pytest.mark.parametrize('requested', [dt.timedelta.max, 48 * 3600 * SECOND])
def test_excessive_pause_is_bounded(requested: dt.timedelta) -> None:
    """An invalid header must not exclude an endpoint indefinitely."""
    pauses = Pauses(PauseSettings(max_duration=60 * SECOND), ManualClock())
    assert pauses.request_pause('e1', requested) == 60 * SECOND


def test_negative_pause_is_none() -> None:
    """A retry time in the past starts no pause."""
    pauses = Pauses(PauseSettings(), ManualClock())
    pauses.request_pause('e1', -5 * SECOND)
    assert not pauses.is_paused('e1')


def test_first_pause_to_end_counts_for_a_service() -> None:
    """Callers should retry when the first endpoint accepts work again."""
    pauses = Pauses(PauseSettings(), ManualClock())
    pauses.request_pause('e1', 3 * SECOND)
    pauses.request_pause('e2', 2 * SECOND)
    assert pauses.time_until_first_end(['e1', 'e2']) == 2 * SECOND
    assert pauses.time_until_first_end(['e1', 'e2', 'e3']) == dt.timedelta()
    assert pauses.time_until_first_end([]) is None
