"""Counters of what a version did, as a node sends them to the others."""

import dataclasses
import math
from collections.abc import Iterable, Sequence

LONGEST_LOG_RATIO = 3.0  # natural log of latency over target, either way


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Outcome of one request or rating.

    `latency_ratio` is the time to the first token over the target of the
    rank; `rating` is 0 to 1. Either is None when it is not known.
    """

    error: bool = False
    latency_ratio: float | None = None
    rating: float | None = None
    counts: bool = True  # false for a rating that follows its request


FAILED = Observation(error=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Moments:
    """Number, sum and sum of squares of values."""

    count: float = 0
    total: float = 0
    squares: float = 0

    def plus(self, other: 'Moments') -> 'Moments':
        """Return the sum of both."""
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
        """Return the mean; there must be a value."""
        return self.total / self.count

    def variance(self) -> float:
        """Return the variance; there must be a value."""
        return max(0, self.squares / self.count - self.mean() ** 2)


def moments(value: float) -> Moments:
    """Return the moments of one value."""
    return Moments(1, value, value * value)


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Counters of one version; errors and ratings have their own totals.

    `errors` counts requests, and its total is the number of failed ones.
    `latency` holds logarithms of latency over target.
    """

    errors: Moments = Moments()
    latency: Moments = Moments()
    ratings: Moments = Moments()

    def plus(self, other: 'Evidence') -> 'Evidence':
        """Return the sum of both."""
        return Evidence(
            self.errors.plus(other.errors),
            self.latency.plus(other.latency),
            self.ratings.plus(other.ratings),
        )

    def minus(self, earlier: 'Evidence') -> 'Evidence':
        """Return what was counted since an earlier state of the counters."""
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
        bounded = min(logarithm, LONGEST_LOG_RATIO)
        value = max(bounded, -LONGEST_LOG_RATIO)
        added = dataclasses.replace(added, latency=moments(value))
    if observation.rating is not None:
        value = min(max(observation.rating, 0), 1)
        added = dataclasses.replace(added, ratings=moments(value))
    return evidence.plus(added)


def total(parts: Iterable[Evidence]) -> Evidence:
    """Return the sum of the counters of several nodes."""
    merged = Evidence()
    for part in parts:
        merged = merged.plus(part)
    return merged


def encode(evidence: Evidence) -> list[float]:
    """Return the counters as a list for MessagePack."""
    return [
        round(number, 3)
        for part in (evidence.errors, evidence.latency, evidence.ratings)
        for number in (part.count, part.total, part.squares)
    ]


def decode(document: Sequence[float]) -> Evidence:
    """Return the counters of a list made by `encode`."""
    return Evidence(
        Moments(*document[:3]), Moments(*document[3:6]), Moments(*document[6:9])
    )
