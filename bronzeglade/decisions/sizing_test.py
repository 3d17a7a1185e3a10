"""Guards when a larger model is asked."""

import datetime as dt

import pytest

from bronzeglade.decisions.sizing import (
    Alternative,
    SizingSettings,
    accepts,
    larger,
)

SETTINGS = SizingSettings(thresholds=(60, 50))
SECOND = dt.timedelta(seconds=1)
IDLE = Alternative(SECOND / 10, SECOND)


def test_unsure_answers_are_not_kept() -> None:
    """A wrong answer is nearly worthless; urgent work is stricter."""
    assert accepts(SETTINGS, 55, 1, IDLE)
    assert not accepts(SETTINGS, 55, 0, IDLE)
    assert not accepts(SETTINGS, 45, 7, IDLE)


def test_answer_without_opinion_is_kept() -> None:
    """Engines that tell no confidence must not be asked twice."""
    assert accepts(SETTINGS, None, 0, IDLE)


@pytest.mark.parametrize(('busy', 'kept'), [(0.5, 50), (0.75, 25), (1, 0)])
def test_busy_large_model_is_left_to_those_who_need_it(
    busy: float, kept: float
) -> None:
    """In an overload a late right answer is worth less than one in time."""
    alternative = Alternative(SECOND * busy, SECOND)
    assert accepts(SETTINGS, kept, 1, alternative)
    assert kept == 0 or not accepts(SETTINGS, kept - 1, 1, alternative)


@pytest.mark.parametrize(
    ('pressure', 'threshold'), [(0.1, 50), (0.375, 25), (0.7, 0)]
)
def test_patient_work_yields_to_urgent_work_under_pressure(
    pressure: float, threshold: float
) -> None:
    """Large runs with hours to spare must not delay short objectives."""
    patient = Alternative(SECOND, 100 * SECOND, pressure)
    assert accepts(SETTINGS, threshold, 1, patient)
    assert threshold == 0 or not accepts(SETTINGS, threshold - 1, 1, patient)


def test_late_request_keeps_what_it_has() -> None:
    """Nothing is gained by a second run after the objective."""
    assert accepts(SETTINGS, 1, 0, Alternative(SECOND, -SECOND))


def test_largest_model_has_the_last_word() -> None:
    """Nothing is left to ask after the largest model."""
    assert larger(('s', 'm', 'l'), 's') == 'l'
    assert larger(('s', 'm', 'l'), 'l') is None
    assert larger(('s',), 's') is None
    assert larger((), None) is None
