"""Escalation to a larger model when the smaller one is not confident."""

import dataclasses
import datetime as dt
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class EscalationSettings:
    """Confidence thresholds and their reduction under load.

    `thresholds` are the minimum confidences, 0 to 100, for keeping an answer,
    by priority; the last entry applies to all further priorities. A wrong
    answer to urgent work costs more than a run of the largest model, so urgent
    work has a higher threshold.
    """

    thresholds: tuple[float, ...] = (60, 50, 50)
    # Fraction of the remaining time that the larger model may take before the
    # threshold is reduced. It is zero if the model would take all of that time.
    relaxed_fraction: float = 0.5
    # Latency ratio (see `Alternative`) above which the threshold is reduced,
    # and the ratio from which no larger model is called.
    min_latency_ratio: float = 0.15
    max_latency_ratio: float = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Alternative:
    """Cost of calling the larger model.

    `expected` is its expected time to the first event, `remaining` the time
    until the answer is late. `latency_ratio` is the current latency of the
    smaller model divided by the lowest objective of the service: other requests
    wait while a larger model uses the engines.
    """

    expected: dt.timedelta
    remaining: dt.timedelta
    latency_ratio: float = 0


def keeps_answer(
    settings: EscalationSettings,
    confidence: float | None,
    priority: int,
    alternative: Alternative,
) -> bool:
    """Return whether to keep an answer instead of calling a larger model.

    When the larger model is so busy that its answer would be late, a less
    confident answer in time is worth more, and the capacity of the larger model
    remains available to the requests that depend on it.

    Args:
      settings: thresholds.
      confidence: reported by the model for its answer; None when it reports
        none, and the answer is kept.
      priority: priority of the request; 0 is the most urgent.
      alternative: cost of calling the larger model.
    """
    if confidence is None:
        return True
    last = len(settings.thresholds) - 1
    threshold = settings.thresholds[min(max(0, priority), last)]
    return confidence >= threshold * _threshold_factor(settings, alternative)


def _threshold_factor(
    settings: EscalationSettings, alternative: Alternative
) -> float:
    """Return 1 while the larger model is fast enough, 0 when it is late."""
    if alternative.remaining <= dt.timedelta():
        return 0
    used = alternative.expected / alternative.remaining
    time_factor = (1 - used) / (1 - settings.relaxed_fraction)
    ratio_range = settings.max_latency_ratio - settings.min_latency_ratio
    ratio_factor = (
        settings.max_latency_ratio - alternative.latency_ratio
    ) / ratio_range
    return min(1, max(0, min(time_factor, ratio_factor)))


def escalation_model(sizes: Sequence[str], model: str | None) -> str | None:
    """Return the model to call when an answer is not kept, None without one.

    The largest model is called directly: an intermediate step would delay the
    first event, and intermediate sizes can answer few requests that the
    smallest cannot.

    Args:
      sizes: models, smallest first.
      model: the model that answered.
    """
    if model not in sizes or model == sizes[-1]:
        return None
    return sizes[-1]
