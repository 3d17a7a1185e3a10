"""Which of several model sizes answers: the smallest that is sure enough."""

import dataclasses
import datetime as dt
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class SizingSettings:
    """Confidence, 0 to 100, from which an answer is kept, by priority.

    The last entry holds for all further priorities. A wrong answer to urgent
    work costs more than a run of the largest model, so it needs more.
    """

    thresholds: tuple[float, ...] = (60, 50, 50)
    # Part of the time left that the larger model may take before the
    # threshold falls; it is zero when nothing of that time would be left.
    relaxed_part: float = 0.5
    # Pressure, as below, up to which the threshold stands, and from which no
    # larger model is asked.
    low_pressure: float = 0.15
    high_pressure: float = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Alternative:
    """The larger model: its expected time to the first event.

    `left` is the time until the answer is late. `pressure` is the present
    latency of the smallest model as a part of the shortest objective that its
    engines serve: what a large run takes there, others wait for.
    """

    expected: dt.timedelta
    left: dt.timedelta
    pressure: float = 0


def accepts(
    settings: SizingSettings,
    confidence: float | None,
    priority: int,
    alternative: Alternative,
) -> bool:
    """Return whether an answer is kept instead of asking a larger model.

    When the larger model is so busy that its answer would be late, a less
    sure answer in time is worth more, and the larger model keeps its capacity
    for the requests that need it most.

    Args:
      settings: thresholds.
      confidence: the model's opinion of its answer, or None for no opinion.
      priority: rank of the request; 0 is the most urgent.
      alternative: what asking the larger model would take.
    """
    if confidence is None:
        return True
    last = len(settings.thresholds) - 1
    threshold = settings.thresholds[min(max(0, priority), last)]
    return confidence >= threshold * _slack(settings, alternative)


def _slack(settings: SizingSettings, alternative: Alternative) -> float:
    """Return 1 while the larger model is fast enough, 0 when it is late."""
    if alternative.left <= dt.timedelta():
        return 0
    used = alternative.expected / alternative.left
    in_time = (1 - used) / (1 - settings.relaxed_part)
    span = settings.high_pressure - settings.low_pressure
    calm = (settings.high_pressure - alternative.pressure) / span
    return min(1, max(0, min(in_time, calm)))


def larger(sizes: Sequence[str], model: str | None) -> str | None:
    """Return the model to ask after one whose answer is not kept.

    The largest one is asked at once: another step costs time to the first
    event, and the sizes between answer little that the smallest does not.

    Args:
      sizes: models, smallest first.
      model: the one that answered.
    """
    if model not in sizes or model == sizes[-1]:
        return None
    return sizes[-1]
