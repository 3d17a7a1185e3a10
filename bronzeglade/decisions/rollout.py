"""Roll-outs: who gets the candidate, when it halts, when it advances."""

import dataclasses
import datetime as dt
import enum
import math
from collections.abc import Callable, Sequence

import xxhash

from bronzeglade.decisions.evidence import Evidence, Moments
from bronzeglade.manifest import Rollout, RolloutLimits

_HASH_RANGE = float(1 << 64)
# Largest probability of an error in an alternative hypothesis; 1 would make
# a single success exclude it.
_HIGHEST_ERROR = 0.9


class Measure(enum.StrEnum):
    """What a version is judged by."""

    ERRORS = 'errors'
    LATENCY = 'latency'
    RATING = 'rating'


@dataclasses.dataclass(frozen=True, slots=True)
class JudgeSettings:
    """Parameters of the sequential test.

    `threshold` is a log likelihood ratio. Under equal versions a statistic
    reaches 12 at most once in exp(12) = 163,000 samples on average.
    A candidate does not advance while a statistic is above `suspicion`.
    """

    threshold: float = 12
    suspicion: float = 4
    error_factors: Sequence[float] = (1, 4, 16)
    latency_factors: Sequence[float] = (1, 3)
    rating_factors: Sequence[float] = (1, 4, 10)
    # Samples over which the reference of the replaced version is averaged:
    # the long one is precise, the short one follows faults of the platform
    # that hit both versions.
    long_window: float = 2000
    short_window: float = 60
    least_ratings: float = 30
    lowest_error: float = 0.002
    lowest_deviation: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the test; `measure` is the one with the largest statistic."""

    measure: Measure
    statistic: float
    bad: bool
    suspect: bool


def position(rollout: str, unit: str) -> float:
    """Return where a session or request lies in a roll-out, 0 to 1.

    Shares only rise, so a unit that got the candidate gets it again.

    Args:
      rollout: name of the roll-out.
      unit: identity of the session, or of a request without session.
    """
    digest = xxhash.xxh3_64_intdigest(f'{rollout} {unit}'.encode())
    return digest / _HASH_RANGE


def assign(unit: str, rollout: Rollout, share: float) -> str:
    """Return the version of a new session or request.

    Args:
      unit: identity of the session, or of a request without session.
      rollout: the roll-out of the model.
      share: part of new work that the candidate gets now.
    """
    if position(rollout.name, unit) < share:
        return rollout.to_version
    return rollout.from_version


class _Reference:
    """Mean and variance of the replaced version over recent samples."""

    def __init__(self, prior: Moments, window: float) -> None:
        """Start from a prior; `window` bounds the number of samples."""
        self.moments = prior
        self.window = window

    def add(self, more: Moments) -> None:
        """Count samples; old ones lose weight beyond the window."""
        summed = self.moments.plus(more)
        excess = self.window / max(summed.count, self.window)
        self.moments = summed.scaled(excess)

    def mean(self) -> float:
        """Return the mean, 0 without samples."""
        return self.moments.mean() if self.moments.count else 0

    def error(self) -> float:
        """Return the standard error of the mean, 0 without samples."""
        if not self.moments.count:
            return 0
        return math.sqrt(self.moments.variance() / self.moments.count)


class _Test:
    """Cumulative sums of one measure, one for each size of the harm.

    `sign` is 1 when larger values are worse and -1 otherwise.
    """

    def __init__(
        self,
        settings: JudgeSettings,
        prior: Moments,
        sign: float,
        harms: Sequence[float],
    ) -> None:
        """Start at zero."""
        self.settings = settings
        self.sign = sign
        self.harms = harms
        self.long = _Reference(prior, settings.long_window)
        self.short = _Reference(Moments(), settings.short_window)
        self.sums = [float(0) for _ in harms]

    def feed(
        self,
        candidate: Moments,
        control: Moments,
        likelihood: Callable[[Moments, float, float], float],
    ) -> None:
        """Count samples of both versions.

        Args:
          candidate: new samples of the candidate.
          control: new samples of the replaced version.
          likelihood: log likelihood ratio of samples, given the reference
            and the size of the harm.
        """
        self.long.add(control)
        self.short.add(control)
        reference = self.reference()
        self.sums = [
            max(0, total + likelihood(candidate, reference, harm))
            for total, harm in zip(self.sums, self.harms, strict=True)
        ]

    def reference(self) -> float:
        """Return the mean to compare with, in favour of the candidate."""
        mean = self.long.mean() + self.sign * self.long.error()
        if self.short.moments.count < self.settings.short_window / 2:
            return mean
        worse = max if self.sign > 0 else min
        return worse(mean, self.short.mean())


class Judge:
    """Sequential test of a candidate against the version it replaces.

    A statistic for each measure and size of the harm sums log likelihood
    ratios and never falls below zero (CUSUM), so a version that turns bad
    after a long good time is found as soon as one that was always bad. It
    takes the increments of counters merged over all nodes.
    """

    def __init__(self, settings: JudgeSettings, limits: RolloutLimits) -> None:
        """Create a test without evidence.

        Args:
          settings: parameters of the test.
          limits: harm at which the roll-out is to halt.
        """
        self.settings = settings
        increase = limits.max_error_increase or settings.lowest_error
        drop = limits.max_rating_drop or settings.lowest_error
        ratio = math.log(limits.max_latency_ratio)
        # Priors: 1 failure in 50 requests; latency at the target.
        self.errors = _Test(
            settings,
            Moments(50, 1, 1),
            1,
            [increase * factor for factor in settings.error_factors],
        )
        self.latency = _Test(
            settings,
            Moments(5, 0, 5),
            1,
            [ratio * factor for factor in settings.latency_factors],
        )
        self.rating = _Test(
            settings,
            Moments(),
            -1,
            [drop * factor for factor in settings.rating_factors],
        )

    def feed(self, candidate: Evidence, control: Evidence) -> None:
        """Take in what was counted since the last call.

        Args:
          candidate: new evidence of the candidate.
          control: new evidence of the version that it replaces.
        """
        self.errors.feed(candidate.errors, control.errors, self._failures)
        self.latency.feed(candidate.latency, control.latency, self._slowness)
        self.rating.feed(candidate.ratings, control.ratings, self._drop)

    def verdict(self) -> Verdict:
        """Return what the evidence says now."""
        tests = {
            Measure.ERRORS: self.errors,
            Measure.LATENCY: self.latency,
            Measure.RATING: self.rating,
        }
        measure = max(tests, key=lambda one: max(tests[one].sums))
        statistic = max(tests[measure].sums)
        return Verdict(
            measure,
            statistic,
            bad=statistic >= self.settings.threshold,
            suspect=statistic >= self.settings.suspicion,
        )

    def _failures(
        self, seen: Moments, reference: float, increase: float
    ) -> float:
        expected = min(
            max(reference, self.settings.lowest_error), _HIGHEST_ERROR / 2
        )
        harmed = min(expected + increase, _HIGHEST_ERROR)
        passed = seen.count - seen.total
        return seen.total * math.log(harmed / expected) + passed * math.log(
            (1 - harmed) / (1 - expected)
        )

    def _slowness(self, seen: Moments, reference: float, shift: float) -> float:
        above = seen.total - seen.count * (reference + shift / 2)
        return shift * above / self._variance(self.latency)

    def _drop(self, seen: Moments, reference: float, drop: float) -> float:
        if self.rating.long.moments.count < self.settings.least_ratings:
            return 0
        below = seen.count * (reference - drop / 2) - seen.total
        return drop * below / self._variance(self.rating)

    def _variance(self, test: _Test) -> float:
        lowest = self.settings.lowest_deviation**2
        return max(lowest, test.long.moments.variance())


@dataclasses.dataclass(frozen=True, slots=True)
class StepRecord:
    """What a node has seen of the present step."""

    requests: float
    lasted: dt.timedelta
    suspect: bool


def may_advance(rollout: Rollout, step: int, seen: StepRecord) -> bool:
    """Return whether the next step may be taken.

    Args:
      rollout: its steps.
      step: index of the present step.
      seen: evidence since that step was taken.
    """
    wanted = rollout.steps[step]
    return (
        not seen.suspect
        and seen.requests >= wanted.min_requests
        and seen.lasted.total_seconds() >= wanted.min_seconds
    )
