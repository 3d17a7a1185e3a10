"""Tests the choice of the model and the acceptance of cheap answers."""

import datetime as dt

from bronzeglade import builders
from bronzeglade.decisions.cascade import (
    Cascade,
    CascadeSettings,
    Features,
    Reason,
    RoutePlan,
    RouteStep,
)

CHEAP = RouteStep('cheap', 1, 0.8)
LAST = RouteStep('last', 10)
ROUTE = RoutePlan('route', 0.97, (CHEAP, LAST))
FEATURES = Features(100, 100, 1)
LONG = dt.timedelta(minutes=1)
SETTINGS = CascadeSettings()


def learned(cheap: float, count: int = 40) -> Cascade:
    """Return a cascade with ratings of both models."""
    cascade = Cascade(SETTINGS, builders.ManualClock())
    for index in range(count):
        noise = 0.05 if index % 2 else -0.05
        cascade.record_rating(ROUTE, CHEAP, FEATURES, cheap + noise)
        cascade.record_rating(ROUTE, LAST, FEATURES, 0.9 + noise)
    return cascade


def fail_ratings(cascade: Cascade) -> None:
    """Record failed ratings until the rating service is paused."""
    for _ in range(SETTINGS.max_failures):
        cascade.record_rating_failure()


def test_unknown_route_tries_the_cheap_model() -> None:
    """Without a first trial of the cheap model, no cost would be saved."""
    cascade = Cascade(SETTINGS, builders.ManualClock())
    first = cascade.first_step(ROUTE, FEATURES, LONG)
    assert (first.index, first.rate) == (0, True)
    low = cascade.next_step(ROUTE, 0, 0.7, FEATURES, LONG)
    high = cascade.next_step(ROUTE, 0, 0.9, FEATURES, LONG)
    assert (low.accept, high.accept) == (False, True)


def test_model_with_bad_ratings_is_tried_at_intervals() -> None:
    """A model that has improved must be detected."""
    cascade = learned(cheap=0.3)
    indexes = [
        cascade.first_step(ROUTE, FEATURES, LONG).index for _ in range(40)
    ]
    assert indexes.count(0) == 40 // SETTINGS.exploration_interval


def test_without_ratings_quality_takes_precedence() -> None:
    """An unrated answer of a weak model must not reach the caller."""
    unknown = Cascade(SETTINGS, builders.ManualClock())
    weak, good = learned(cheap=0.83), learned(cheap=0.92)
    for cascade in (unknown, weak, good):
        fail_ratings(cascade)
    first_steps = [
        cascade.first_step(ROUTE, FEATURES, LONG)
        for cascade in (unknown, weak, good)
    ]
    assert [step.index for step in first_steps] == [1, 1, 0]
    assert first_steps[1].reason is Reason.NO_RATING
    assert not weak.next_step(ROUTE, 0, None, FEATURES, LONG).accept
    assert good.next_step(ROUTE, 0, None, FEATURES, LONG).accept


def test_rating_service_is_called_again_after_a_pause() -> None:
    """Costs must not stay higher after an outage of the service."""
    clock = builders.ManualClock()
    cascade = Cascade(SETTINGS, clock)
    fail_ratings(cascade)
    assert not cascade.rating_available()
    clock.advance(SETTINGS.rating_pause)
    assert cascade.rating_available()


def test_no_escalation_that_cannot_finish() -> None:
    """A late answer is worth less than a cheap one in time."""
    cascade = learned(cheap=0.85)
    for _ in range(20):
        cascade.record_duration('cheap', dt.timedelta(seconds=1))
        cascade.record_duration('last', dt.timedelta(seconds=5))
    short = dt.timedelta(seconds=4)
    decision = cascade.next_step(ROUTE, 0, 0.1, FEATURES, short)
    assert (decision.accept, decision.reason) == (True, Reason.NO_TIME)
    first = cascade.first_step(ROUTE, FEATURES, short)
    assert (first.index, first.reason) == (0, Reason.NO_TIME)
    # Enough time for the last model, but not for both.
    assert cascade.first_step(ROUTE, FEATURES, short * 1.4).index == 1
    assert cascade.first_step(ROUTE, FEATURES, LONG).rate


def test_threshold_rises_while_quality_is_missed() -> None:
    """Answers accepted just above the threshold may miss the target."""
    cascade = learned(cheap=0.85)
    for _ in range(10):
        cascade.record_delivered_quality(ROUTE, 0.82)
    assert cascade.threshold(ROUTE, CHEAP) > CHEAP.accept_rating
    for _ in range(300):
        cascade.record_delivered_quality(ROUTE, None)
    assert cascade.threshold(ROUTE, CHEAP) <= CHEAP.accept_rating


def test_memory_is_bounded() -> None:
    """Callers choose the features and could otherwise exhaust memory."""
    settings = CascadeSettings(max_buckets=8)
    cascade = Cascade(settings, builders.ManualClock())
    for power in range(20):
        features = Features(1 << power, 1, 1)
        cascade.record_rating(ROUTE, CHEAP, features, 0.9)
    assert len(cascade.ratings) == 8
