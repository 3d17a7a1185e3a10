"""Counters of the outcomes of a version, which nodes exchange."""

import dataclasses
import math
from collections.abc import Iterable, Sequence

# Bound of the numbers that are read; their sums and products are finite.
MAX_SUM = 1e12
MAX_LOG_RATIO = 3.0  # bound of abs(log(latency / target)), natural logarithm


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Outcome of one request or rating.

    `latency_ratio` is the time to the first token divided by the target of the
    priority; `rating` is between 0 and 1. Either is None when unknown.
    """

    error: bool = False
    latency_ratio: float | None = None
    rating: float | None = None
    counts: bool = True  # False when the request is counted separately


FAILED = Observation(error=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Moments:
    """Number, sum and sum of squares of a set of values."""

    count: float = 0
    total: float = 0
    squares: float = 0

    def plus(self, other: 'Moments') -> 'Moments':
        """Return the moments of the values of both."""
        return Moments(
            self.count + other.count,
            self.total + other.total,
            self.squares + other.squares,
        )

    def scaled(self, factor: float) -> 'Moments':
        """Return the moments with every value weighted by a factor."""
        return Moments(
            self.count * factor, self.total * factor, self.squares * factor
        )

    def mean(self) -> float:
        """Return the mean; requires at least one value."""
        return self.total / self.count

    def variance(self) -> float:
        """Return the population variance; requires at least one value."""
        return max(0, self.squares / self.count - self.mean() ** 2)


def moments(value: float) -> Moments:
    """Return the moments of one value."""
    return Moments(1, value, value * value)


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Counters of one version, each with its own number of values.

    `errors` counts requests; its total is the number of failed ones.
    `latency` holds natural logarithms of latency divided by target.
    """

    errors: Moments = Moments()
    latency: Moments = Moments()
    ratings: Moments = Moments()

    def plus(self, other: 'Evidence') -> 'Evidence':
        """Return the sum of both counters."""
        return Evidence(
            self.errors.plus(other.errors),
            self.latency.plus(other.latency),
            self.ratings.plus(other.ratings),
        )

    def minus(self, earlier: 'Evidence') -> 'Evidence':
        """Return the increments since an earlier state of the counters."""
        return Evidence(
            self.errors.plus(earlier.errors.scaled(-1)),
            self.latency.plus(earlier.latency.scaled(-1)),
            self.ratings.plus(earlier.ratings.scaled(-1)),
        )


def count(evidence: Evidence, observation: Observation) -> Evidence:
    """Return the counters with one more observation."""
    added = Evidence()
    if observation.counts:
        added = Evidence(errors=moments(float(observation.error)))
    if observation.latency_ratio is not None:
        logarithm = math.log(max(observation.latency_ratio, 1e-6))
        bounded = min(logarithm, MAX_LOG_RATIO)
        value = max(bounded, -MAX_LOG_RATIO)
        added = dataclasses.replace(added, latency=moments(value))
    if observation.rating is not None:
        value = min(max(observation.rating, 0), 1)
        added = dataclasses.replace(added, ratings=moments(value))
    return evidence.plus(added)


def total(nodes: Iterable[Evidence]) -> Evidence:
    """Return the sum of the counters of several nodes."""
    merged = Evidence()
    for evidence in nodes:
        merged = merged.plus(evidence)
    return merged


def encode(evidence: Evidence) -> list[float]:
    """Return the counters as a list for MessagePack."""
    return [
        round(number, 3)
        for values in (evidence.errors, evidence.latency, evidence.ratings)
        for number in (values.count, values.total, values.squares)
    ]


def decode(document: Sequence[float]) -> Evidence:
    """Return the counters from a list made by `encode`.

    Raises:
      ValueError or TypeError: the document is malformed.
    """
    errors, latency, ratings = (
        _decode_moments(document[start : start + 3]) for start in (0, 3, 6)
    )
    return Evidence(errors, latency, ratings)


def _decode_moments(numbers: Sequence[float]) -> Moments:
    counted, summed, squares = numbers
    # Comparisons with NaN are false, and ones with a text raise TypeError.
    if not (
        0 <= counted <= MAX_SUM
        and abs(summed) <= MAX_SUM
        and 0 <= squares <= MAX_SUM
    ):
        raise ValueError('number out of range')
    return Moments(counted, summed, squares)
