"""Tests when a larger model is called."""

import datetime as dt

import pytest

from bronzeglade.decisions.escalation import (
    Alternative,
    EscalationSettings,
    escalation_model,
    keeps_answer,
)

SETTINGS = EscalationSettings(thresholds=(60, 50))
SECOND = dt.timedelta(seconds=1)
IDLE = Alternative(SECOND / 10, SECOND)


def test_unconfident_answers_are_not_kept() -> None:
    """A wrong answer has little value; urgent work needs more confidence."""
    assert keeps_answer(SETTINGS, 55, 1, IDLE)
    assert not keeps_answer(SETTINGS, 55, 0, IDLE)
    assert not keeps_answer(SETTINGS, 45, 7, IDLE)


def test_answer_without_confidence_is_kept() -> None:
    """Engines that report no confidence must not cause a second call."""
    assert keeps_answer(SETTINGS, None, 0, IDLE)


@pytest.mark.parametrize(('busy', 'kept'), [(0.5, 50), (0.75, 25), (1, 0)])
def test_threshold_falls_as_the_larger_model_gets_slower(
    busy: float, kept: float
) -> None:
    """In an overload, a late right answer is worth less than one in time."""
    alternative = Alternative(SECOND * busy, SECOND)
    assert keeps_answer(SETTINGS, kept, 1, alternative)
    assert kept == 0 or not keeps_answer(SETTINGS, kept - 1, 1, alternative)


@pytest.mark.parametrize(
    ('latency_ratio', 'threshold'), [(0.1, 50), (0.375, 25), (0.7, 0)]
)
def test_threshold_falls_as_latency_rises(
    latency_ratio: float, threshold: float
) -> None:
    """Large runs with distant objectives must not delay urgent requests."""
    alternative = Alternative(SECOND, 100 * SECOND, latency_ratio)
    assert keeps_answer(SETTINGS, threshold, 1, alternative)
    assert threshold == 0 or not keeps_answer(
        SETTINGS, threshold - 1, 1, alternative
    )


def test_late_request_keeps_its_answer() -> None:
    """A second run after the objective gains nothing."""
    assert keeps_answer(SETTINGS, 1, 0, Alternative(SECOND, -SECOND))


def test_no_model_is_called_after_the_largest() -> None:
    """The answer of the largest model must not cause another call."""
    assert escalation_model(('s', 'm', 'l'), 's') == 'l'
    assert escalation_model(('s', 'm', 'l'), 'l') is None
    assert escalation_model(('s',), 's') is None
    assert escalation_model((), None) is None
