"""Roll-out decisions: version assignment, halting and advancing.

Sessions and requests are assigned to the candidate version by hash. A
sequential test compares it with the control version, which it replaces.
"""

import collections
import dataclasses
import datetime as dt
import enum
import math
from collections.abc import Sequence

import xxhash

from bronzeglade.decisions.evidence import Evidence, Moments
from bronzeglade.manifest import Rollout, RolloutLimits

_HASH_RANGE = float(1 << 64)
_MIN_RATE = 1e-9  # keeps logarithms finite
# A ternary search narrows its range to (2/3)^24 = 6e-5 of the initial one.
_SEARCH_ITERATIONS = 24
# Fraction of new work that stays with the control version until the roll-out
# ends. Without control requests from the same time, a platform fault cannot be
# distinguished from a bad candidate.
CONTROL_SHARE = 0.05


class Measure(enum.StrEnum):
    """Quality measure by which two versions are compared."""

    ERRORS = 'errors'
    LATENCY = 'latency'
    RATING = 'rating'


@dataclasses.dataclass(frozen=True, slots=True)
class JudgeSettings:
    """Parameters of the sequential test.

    `threshold` is a log likelihood ratio. For a candidate exactly at a limit,
    12 corresponds to 4.9 standard errors, which one evaluation in 2,000,000
    exceeds. A candidate does not advance while a statistic is at or above
    `suspicion`. `windows` are lengths in calls of `feed`, in ascending order;
    at two calls per second they cover 2 s to 240 s.
    """

    threshold: float = 12
    suspicion: float = 4
    windows: Sequence[int] = (4, 10, 30, 100, 480)
    # Prior added to the control counts, so that a total failure of the
    # candidate is detected without recent control requests.
    prior_requests: float = 10
    prior_errors: float = 0.2
    # With fewer values the variance is too unreliable for the test.
    min_values: float = 8
    min_deviation: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the test; `measure` has the largest statistic."""

    measure: Measure
    statistic: float
    bad: bool
    suspect: bool


def position(rollout: str, unit: str) -> float:
    """Hash a session or request to a fixed number from 0 to 1.

    A session or request is assigned to the candidate when this number is below
    the current share. Shares only rise, so it keeps the candidate from then on.

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
      share: fraction of new work for the candidate; capped so that the
        control version keeps `CONTROL_SHARE`.
    """
    if position(rollout.name, unit) < min(share, 1 - CONTROL_SHARE):
        return rollout.to_version
    return rollout.from_version


@dataclasses.dataclass(frozen=True, slots=True)
class EvidencePair:
    """Evidence for both versions over the same period."""

    candidate: Evidence = Evidence()
    control: Evidence = Evidence()

    def plus(self, other: 'EvidencePair') -> 'EvidencePair':
        """Return the sum of two pairs, version by version."""
        return EvidencePair(
            self.candidate.plus(other.candidate),
            self.control.plus(other.control),
        )

    def minus(self, other: 'EvidencePair') -> 'EvidencePair':
        """Return the difference of two pairs, version by version."""
        return EvidencePair(
            self.candidate.minus(other.candidate),
            self.control.minus(other.control),
        )


class Judge:
    """Sequential test of the candidate against the control version.

    A generalised likelihood ratio compares both versions over several sliding
    windows. Short windows detect severe harm within seconds, even after a long
    period without faults; long windows detect slight harm. Both versions are
    compared over the same period, so a platform fault that affects both does
    not count against the candidate. The input is the increments of counters
    merged over all nodes.
    """

    def __init__(self, settings: JudgeSettings, limits: RolloutLimits) -> None:
        """Create a test without evidence.

        Args:
          settings: parameters of the test.
          limits: tolerated harm per measure.
        """
        self.settings = settings
        self.limits = limits
        self.recent: collections.deque[EvidencePair] = collections.deque()
        self.restart()

    def feed(self, candidate: Evidence, control: Evidence) -> None:
        """Add the evidence counted since the last call and run the test.

        Args:
          candidate: new evidence for the candidate.
          control: new evidence for the control version.
        """
        added = EvidencePair(candidate, control)
        self.recent.append(added)
        for index, window in enumerate(self.settings.windows):
            summed = self.sums[index].plus(added)
            if len(self.recent) > window:
                summed = summed.minus(self.recent[-window - 1])
            self.sums[index] = summed
        if len(self.recent) > self.settings.windows[-1]:
            self.recent.popleft()
        self._compare()

    def restart(self) -> None:
        """Discard all evidence after the shares of the versions changed.

        In a window that spans two shares, a platform fault weighs more for the
        version that received more requests during the fault.
        """
        self.recent.clear()
        self.sums = [EvidencePair() for _ in self.settings.windows]
        self.statistics = {measure: float(0) for measure in Measure}

    def verdict(self) -> Verdict:
        """Return the result for the evidence so far."""
        measure = max(Measure, key=lambda key: self.statistics[key])
        statistic = self.statistics[measure]
        return Verdict(
            measure,
            statistic,
            bad=statistic >= self.settings.threshold,
            suspect=statistic >= self.settings.suspicion,
        )

    def _compare(self) -> None:
        limits = self.limits
        prior = Moments(
            self.settings.prior_requests, self.settings.prior_errors
        )
        log_ratio = math.log(limits.max_latency_ratio)
        max_drop = limits.max_rating_drop
        for measure in Measure:
            self.statistics[measure] = 0
        for pair in self.sums:
            control, candidate = pair.control, pair.candidate
            self._raise_statistic(
                Measure.ERRORS,
                failure_ratio(
                    candidate.errors,
                    control.errors.plus(prior),
                    limits.max_error_increase,
                ),
            )
            self._raise_statistic(
                Measure.LATENCY,
                self._mean_shift_ratio(
                    candidate.latency, control.latency, log_ratio
                ),
            )
            self._raise_statistic(
                Measure.RATING,
                self._mean_shift_ratio(
                    negated(candidate.ratings),
                    negated(control.ratings),
                    max_drop,
                ),
            )

    def _raise_statistic(self, measure: Measure, statistic: float) -> None:
        self.statistics[measure] = max(self.statistics[measure], statistic)

    def _mean_shift_ratio(
        self, candidate: Moments, control: Moments, tolerated: float
    ) -> float:
        min_values = self.settings.min_values
        if min(candidate.count, control.count) < min_values:
            return 0
        excess = candidate.mean() - control.mean() - tolerated
        if excess <= 0:
            return 0
        count = candidate.count + control.count
        squared_deviations = candidate.variance() * candidate.count
        squared_deviations += control.variance() * control.count
        variance = max(
            self.settings.min_deviation**2, squared_deviations / count
        )
        # Student's t form: the variance is estimated from the same values, and
        # with few values a normal distribution would report chance as harm.
        weight = candidate.count * control.count / count
        return (
            count / 2 * math.log1p(excess * excess * weight / variance / count)
        )


def negated(values: Moments) -> Moments:
    """Return the moments of the negated values."""
    return Moments(values.count, -values.total, values.squares)


def failure_ratio(
    candidate: Moments, control: Moments, tolerated: float
) -> float:
    """Return the log likelihood ratio of a harmful increase of failures.

    Args:
      candidate: requests and failures of the candidate.
      control: requests and failures of the control version; at least one
        request.
      tolerated: increase of the failure rate that is not harmful.

    Returns:
      0 or more; 0 when the observed increase is at most `tolerated`.
    """
    if not candidate.count:
        return 0
    observed, expected = candidate.mean(), control.mean()
    if observed <= expected + tolerated:
        return 0

    def log_likelihood(rate: float) -> float:
        return _binomial_log_likelihood(
            control, rate
        ) + _binomial_log_likelihood(candidate, rate + tolerated)

    low = float(0)
    high = min(observed, 1 - tolerated)
    for _ in range(_SEARCH_ITERATIONS):
        third = (high - low) / 3
        if log_likelihood(low + third) < log_likelihood(high - third):
            low += third
        else:
            high -= third
    max_log_likelihood = _binomial_log_likelihood(
        control, expected
    ) + _binomial_log_likelihood(candidate, observed)
    return max(0, max_log_likelihood - log_likelihood((low + high) / 2))


def _binomial_log_likelihood(outcomes: Moments, rate: float) -> float:
    bounded = min(max(rate, _MIN_RATE), 1 - _MIN_RATE)
    successes = outcomes.count - outcomes.total
    return outcomes.total * math.log(bounded) + successes * math.log(
        1 - bounded
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StepRecord:
    """Evidence known to one node for the current step of a roll-out."""

    requests: float
    elapsed: dt.timedelta
    suspect: bool


def may_advance(rollout: Rollout, step: int, record: StepRecord) -> bool:
    """Return whether the roll-out may take its next step.

    Args:
      rollout: the roll-out of the model.
      step: index of the current step.
      record: evidence since that step was taken.
    """
    current = rollout.steps[step]
    return (
        not record.suspect
        and record.requests >= current.min_requests
        and record.elapsed.total_seconds() >= current.min_seconds
    )
