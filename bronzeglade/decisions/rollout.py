"""Roll-outs: who gets the candidate, when it halts, when it advances."""

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
_LOWEST_RATE = 1e-9  # keeps logarithms finite
_SEARCH_ROUNDS = 24  # of a ternary search: (2/3)^24 = 6e-5 of the range
# Part of new work that stays with the replaced version while the roll-out is
# published: without a control of the same time, a fault of the platform
# cannot be told from a bad candidate.
CONTROL_SHARE = 0.05


class Measure(enum.StrEnum):
    """What a version is judged by."""

    ERRORS = 'errors'
    LATENCY = 'latency'
    RATING = 'rating'


@dataclasses.dataclass(frozen=True, slots=True)
class JudgeSettings:
    """Parameters of the sequential test.

    `threshold` is a log likelihood ratio; for a candidate exactly at a limit,
    12 is 4.9 standard errors, exceeded in one of 2,000,000 looks.
    A candidate does not advance while a statistic is above `suspicion`.
    `windows` are numbers of calls of `feed`, in rising order; at two calls a
    second they last 2 s to 240 s.
    """

    threshold: float = 12
    suspicion: float = 4
    windows: Sequence[int] = (4, 10, 30, 100, 480)
    # A control that is expected from any version: without recent requests of
    # the replaced version a total failure is still found.
    prior_requests: float = 10
    prior_errors: float = 0.2
    least_values: float = 8  # a variance of fewer values says little
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
      share: part of new work that the candidate gets now; the control
        share is kept free.
    """
    if position(rollout.name, unit) < min(share, 1 - CONTROL_SHARE):
        return rollout.to_version
    return rollout.from_version


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """Evidence of both versions over the same time."""

    candidate: Evidence = Evidence()
    control: Evidence = Evidence()

    def plus(self, other: 'Pair') -> 'Pair':
        """Return the sum of both."""
        return Pair(
            self.candidate.plus(other.candidate),
            self.control.plus(other.control),
        )

    def minus(self, other: 'Pair') -> 'Pair':
        """Return what is left without a part."""
        return Pair(
            self.candidate.minus(other.candidate),
            self.control.minus(other.control),
        )


class Judge:
    """Sequential test of a candidate against the version it replaces.

    Over several windows that end now, the generalised likelihood ratio
    compares both versions: a short window finds severe harm within seconds,
    also after a long good time, and the long ones find slight harm. Both
    versions are compared over the same time, so a fault of the platform that
    hits both says nothing against the candidate. It takes the increments of
    counters merged over all nodes.
    """

    def __init__(self, settings: JudgeSettings, limits: RolloutLimits) -> None:
        """Create a test without evidence.

        Args:
          settings: parameters of the test.
          limits: harm that is tolerated.
        """
        self.settings = settings
        self.limits = limits
        self.recent: collections.deque[Pair] = collections.deque()
        self.restart()

    def feed(self, candidate: Evidence, control: Evidence) -> None:
        """Take in what was counted since the last call.

        Args:
          candidate: new evidence of the candidate.
          control: new evidence of the version that it replaces.
        """
        added = Pair(candidate, control)
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
        """Drop all evidence: the shares of both versions have changed.

        In a window with two shares, a fault of the platform weighs more for
        the version that got more requests while it lasted.
        """
        self.recent.clear()
        self.sums = [Pair() for _ in self.settings.windows]
        self.statistics = {measure: float(0) for measure in Measure}

    def verdict(self) -> Verdict:
        """Return what the evidence says now."""
        measure = max(Measure, key=lambda one: self.statistics[one])
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
        ratio = math.log(limits.max_latency_ratio)
        drop = limits.max_rating_drop
        for measure in Measure:
            self.statistics[measure] = 0
        for pair in self.sums:
            good, bad = pair.control, pair.candidate
            self._keep(
                Measure.ERRORS,
                failure_ratio(
                    bad.errors,
                    good.errors.plus(prior),
                    limits.max_error_increase,
                ),
            )
            self._keep(
                Measure.LATENCY, self._shift(bad.latency, good.latency, ratio)
            )
            self._keep(
                Measure.RATING,
                self._shift(negated(bad.ratings), negated(good.ratings), drop),
            )

    def _keep(self, measure: Measure, statistic: float) -> None:
        self.statistics[measure] = max(self.statistics[measure], statistic)

    def _shift(
        self, candidate: Moments, control: Moments, tolerated: float
    ) -> float:
        least = self.settings.least_values
        if min(candidate.count, control.count) < least:
            return 0
        excess = candidate.mean() - control.mean() - tolerated
        if excess <= 0:
            return 0
        both = candidate.count + control.count
        within = candidate.variance() * candidate.count
        within += control.variance() * control.count
        variance = max(self.settings.lowest_deviation**2, within / both)
        # The variance is estimated from the same values: with few of them a
        # normal distribution would take chance for harm.
        weight = candidate.count * control.count / both
        return both / 2 * math.log1p(excess * excess * weight / variance / both)


def negated(values: Moments) -> Moments:
    """Return the moments of the negated values."""
    return Moments(values.count, -values.total, values.squares)


def failure_ratio(
    candidate: Moments, control: Moments, tolerated: float
) -> float:
    """Return the log likelihood ratio of an increase above a tolerated one.

    Args:
      candidate: requests and failures of the candidate.
      control: those of the version it replaces; at least one request.
      tolerated: increase of the failure rate that is no harm.

    Returns:
      0 or more; 0 when the increase seen is within the tolerated one.
    """
    if not candidate.count:
        return 0
    seen, expected = candidate.mean(), control.mean()
    if seen <= expected + tolerated:
        return 0

    def likelihood(rate: float) -> float:
        return _binomial(control, rate) + _binomial(candidate, rate + tolerated)

    low = float(0)
    high = min(seen, 1 - tolerated)
    for _ in range(_SEARCH_ROUNDS):
        third = (high - low) / 3
        if likelihood(low + third) < likelihood(high - third):
            low += third
        else:
            high -= third
    best = _binomial(control, expected) + _binomial(candidate, seen)
    return max(0, best - likelihood((low + high) / 2))


def _binomial(seen: Moments, rate: float) -> float:
    bounded = min(max(rate, _LOWEST_RATE), 1 - _LOWEST_RATE)
    passed = seen.count - seen.total
    return seen.total * math.log(bounded) + passed * math.log(1 - bounded)


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
