"""Which of several model sizes answers: the smallest that is sure enough."""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class SizingSettings:
    """Confidence, 0 to 100, from which an answer is kept, by priority.

    The last entry holds for all further priorities. A wrong answer to urgent
    work costs more than a run of the largest model, so it needs more.
    """

    thresholds: tuple[float, ...] = (60, 50, 50)


def accepts(
    settings: SizingSettings, confidence: float | None, priority: int
) -> bool:
    """Return whether an answer is kept instead of asking a larger model.

    Args:
      settings: thresholds.
      confidence: the model's opinion of its answer, or None for no opinion.
      priority: rank of the request; 0 is the most urgent.
    """
    if confidence is None:
        return True
    last = len(settings.thresholds) - 1
    return confidence >= settings.thresholds[min(max(0, priority), last)]


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
