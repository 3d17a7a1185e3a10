"""Guards when a larger model is asked."""

from bronzeglade.decisions.sizing import SizingSettings, accepts, larger

SETTINGS = SizingSettings(thresholds=(60, 50))


def test_unsure_answers_are_not_kept() -> None:
    """A wrong answer is nearly worthless; urgent work is stricter."""
    assert accepts(SETTINGS, 55, priority=1)
    assert not accepts(SETTINGS, 55, priority=0)
    assert not accepts(SETTINGS, 45, priority=7)


def test_answer_without_opinion_is_kept() -> None:
    """Engines that tell no confidence must not be asked twice."""
    assert accepts(SETTINGS, None, priority=0)


def test_largest_model_has_the_last_word() -> None:
    """Nothing is left to ask after the largest model."""
    assert larger(('s', 'm', 'l'), 's') == 'l'
    assert larger(('s', 'm', 'l'), 'l') is None
    assert larger(('s',), 's') is None
    assert larger((), None) is None
