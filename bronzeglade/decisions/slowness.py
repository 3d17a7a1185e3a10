"""Test whether the candidate takes longer than the control for the same work.

An answer is slow when it takes a multiple of the time that most answers of the
control version take for the same kind and amount of work. The fractions of slow
answers of both versions are compared in the same way as failure rates.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from bronzeglade.decisions.duration_histograms import (
    BINS_PER_DOUBLING,
    LEVEL_FACTOR,
    MAX_LEVEL,
    Cell,
    Phase,
    Stratum,
    Timings,
)
from bronzeglade.decisions.evidence import Moments
from bronzeglade.decisions.version_comparison import failure_ratio

Bins = collections.Counter[int]
# Bins by which a limit rises per level of additional work: time grows at most
# in proportion to the work, since part of it is a fixed cost.
BINS_PER_LEVEL = int(math.log2(LEVEL_FACTOR) * BINS_PER_DOUBLING)
# Numbers of answers and of slow answers, by the share of new work that the
# candidate got when the attempt started.
ByShare = Mapping[float, Moments]
# Selects comparable control answers: the stratum, and the failure domain or ''
# for all domains.
_Scope = tuple[Stratum, str]


@dataclasses.dataclass(frozen=True, slots=True)
class SlownessSettings:
    """Limits for slow answers and for the tolerated fraction of them.

    An answer is slow if it takes more than 2 ** `doublings` times the
    `quantile` of comparable control answers; at least `min_control_answers` of
    these are required. An increase of the fraction of slow answers by up to
    `tolerated` is not harmful.

    A single endpoint can be slow for reasons unrelated to the version. So the
    endpoints with the most slow answers are excluded: one in
    `endpoints_per_exclusion`, and at least one if there are several. Without
    them the statistic must still reach `min_statistic_elsewhere`.

    The prior keeps the control's fraction of slow answers above zero.
    """

    quantile: float = 0.8
    doublings: int = 1
    tolerated: float = 0.1
    min_control_answers: int = 8
    min_candidate_answers: int = 4
    endpoints_per_exclusion: int = 3
    min_statistic_elsewhere: float = 2
    prior_requests: float = 10
    prior_slow: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Slowness:
    """Slow answers of both versions and the log likelihood ratio of harm."""

    phase: Phase
    candidate: Moments
    control: Moments
    statistic: float


def compare(
    settings: SlownessSettings,
    candidate: Timings,
    control: Timings,
    endpoints: int,
) -> list[Slowness]:
    """Compare two versions for each timed phase of an attempt.

    Args:
      settings: limits of harm.
      candidate: timings of the candidate, by endpoint.
      control: timings of the control version.
      endpoints: number of endpoints of the candidate.
    """
    if not candidate:
        return [Slowness(phase, Moments(), Moments(), 0) for phase in Phase]
    limits = _Limits(settings, control)
    return [
        _compare_phase(
            settings,
            phase,
            _by_endpoint(limits, _of_phase(candidate, phase)),
            limits.count(_of_phase(control, phase)),
            endpoints,
        )
        for phase in Phase
    ]


def count_slow_answers(
    settings: SlownessSettings, candidate: Timings, control: Timings
) -> float:
    """Return how many candidate answers look slow by the data of one node.

    One node has too few control answers for a reliable limit, so a single
    comparable answer suffices here.

    Args:
      settings: limits of harm.
      candidate: timings of the candidate on this node.
      control: timings of the control version on this node.
    """
    if not candidate:
        return 0
    relaxed = dataclasses.replace(settings, min_control_answers=1)
    return _total(_Limits(relaxed, control).count(candidate).values()).total


def _compare_phase(
    settings: SlownessSettings,
    phase: Phase,
    candidate: Sequence[ByShare],
    control: ByShare,
    endpoints: int,
) -> Slowness:
    endpoint_count = max(endpoints, len(candidate))
    excluded = max(
        int(endpoint_count > 1),
        endpoint_count // settings.endpoints_per_exclusion,
    )
    included = sorted(candidate, key=_slow_answers_key)[
        : max(0, len(candidate) - excluded)
    ]
    all_endpoints = _compare_answers(
        settings, phase, _merged(candidate), control
    )
    included_endpoints = _compare_answers(
        settings, phase, _merged(included), control
    )
    if included_endpoints.statistic >= settings.min_statistic_elsewhere:
        return all_endpoints
    return dataclasses.replace(
        all_endpoints,
        statistic=min(all_endpoints.statistic, included_endpoints.statistic),
    )


def _compare_answers(
    settings: SlownessSettings,
    phase: Phase,
    candidate: ByShare,
    control: ByShare,
) -> Slowness:
    # A share with too few control answers is skipped: a platform fault may
    # have caused all slow answers of the candidate at that time.
    shares = [
        share
        for share in candidate
        if control.get(share, Moments()).count >= settings.min_control_answers
    ]
    candidate_total = _total(candidate[share] for share in shares)
    control_total = _reweighted(
        {share: candidate[share].count for share in shares}, control
    )
    statistic = float(0)
    if candidate_total.count >= settings.min_candidate_answers:
        prior = Moments(settings.prior_requests, settings.prior_slow)
        statistic = failure_ratio(
            candidate_total, control_total.plus(prior), settings.tolerated
        )
    return Slowness(phase, candidate_total, control_total, statistic)


def _reweighted(
    candidate_counts: Mapping[float, float], control: ByShare
) -> Moments:
    """Return the control answers, weighted by the candidate's mix of shares.

    The candidate gets most of its requests late. Without weights, a load peak
    at that time would make a larger fraction of its answers slow than of the
    control's.

    Args:
      candidate_counts: number of candidate answers by share.
      control: control answers by share.
    """
    answers = sum(candidate_counts.values())
    if not answers:
        return Moments()
    weights = {
        share: count / answers for share, count in candidate_counts.items()
    }
    slow = sum(
        weight * control[share].mean() for share, weight in weights.items()
    )
    inverse_count = sum(
        weight**2 / control[share].count for share, weight in weights.items()
    )
    # Effective sample size of the weighted answers.
    count = 1 / inverse_count
    return Moments(count, slow * count, slow * count)


class _Limits:
    """Highest bins that are not slow, by work, share and failure domain."""

    def __init__(self, settings: SlownessSettings, control: Timings) -> None:
        self.settings = settings
        self.bins: dict[_Scope, Bins] = {}
        self.limits: dict[_Scope, int | None] = {}
        for (stratum, source, index), number in control.items():
            if not source.open:
                scopes = _scopes(stratum, source.failure_domain)
                for scope in itertools.chain(*scopes):
                    bins = self.bins.setdefault(scope, collections.Counter())
                    bins[index] += number

    def count(self, timings: Mapping[Cell, int]) -> ByShare:
        """Return the numbers of comparable answers and of slow ones.

        An attempt whose phase has not ended counts only once it is slow.
        """
        compared: dict[float, int] = collections.defaultdict(int)
        slow: dict[float, int] = collections.defaultdict(int)
        for (stratum, source, index), number in timings.items():
            limit = self._cached_limit((stratum, source.failure_domain))
            if limit is None:
                continue
            is_slow = index > limit
            if is_slow or not source.open:
                compared[stratum.share] += number
                slow[stratum.share] += number * is_slow
        return {
            share: Moments(number, slow[share], slow[share])
            for share, number in compared.items()
        }

    def _cached_limit(self, scope: _Scope) -> int | None:
        if scope not in self.limits:
            self.limits[scope] = self._limit(*scope)
        return self.limits[scope]

    def _limit(self, stratum: Stratum, failure_domain: str) -> int | None:
        """Return the highest bin that is not slow; None when unknown.

        Where the control version has no answers for this amount of work, such
        as prompts that are not cached, the nearest level with enough answers
        sets the limit.
        """
        for level in sorted(
            range(MAX_LEVEL + 1), key=_level_distance_key(stratum)
        ):
            near = stratum._replace(level=level)
            typical = self._typical_bin(near, failure_domain)
            if typical is not None:
                added = max(0, stratum.level - level) * BINS_PER_LEVEL
                return (
                    typical
                    + added
                    + self.settings.doublings * BINS_PER_DOUBLING
                )
        return None

    def _typical_bin(self, stratum: Stratum, failure_domain: str) -> int | None:
        """Return the bin of the quantile; None with too few answers.

        Answers given at the same share are preferred. A whole failure domain
        can be slow, so slower control answers there raise the limit.
        """
        for all_domains, own_domain in _scopes(stratum, failure_domain):
            bins = self.bins.get(all_domains)
            if bins is None or bins.total() < self.settings.min_control_answers:
                continue
            typical = _quantile(bins, self.settings.quantile)
            local = self.bins.get(own_domain)
            if local is None:
                return typical
            return max(typical, _quantile(local, self.settings.quantile))
        return None


def _scopes(
    stratum: Stratum, failure_domain: str
) -> tuple[tuple[_Scope, _Scope], ...]:
    """Return scopes for the stratum's share, then for all shares.

    Each pair covers all failure domains and the given one.
    """
    all_shares = stratum._replace(share=0)
    return (
        ((stratum, ''), (stratum, failure_domain)),
        ((all_shares, ''), (all_shares, failure_domain)),
    )


def _by_endpoint(limits: _Limits, candidate: Timings) -> list[ByShare]:
    by_endpoint: dict[str, Timings] = collections.defaultdict(Timings)
    for cell, number in candidate.items():
        by_endpoint[cell.source.endpoint][cell] += number
    return [limits.count(timings) for timings in by_endpoint.values()]


def _merged(endpoints: Iterable[ByShare]) -> ByShare:
    merged: dict[float, Moments] = {}
    for by_share in endpoints:
        for share, counted in by_share.items():
            merged[share] = merged.get(share, Moments()).plus(counted)
    return merged


def _level_distance_key(stratum: Stratum) -> Callable[[int], tuple[int, int]]:
    """Return a sort key: nearest level first, the lower of two equally near."""
    return lambda other: (abs(other - stratum.level), other)


def _slow_answers_key(counted: ByShare) -> tuple[float, float]:
    summed = _total(counted.values())
    return summed.total, -summed.count


def _total(counts: Iterable[Moments]) -> Moments:
    summed = Moments()
    for counted in counts:
        summed = summed.plus(counted)
    return summed


def _of_phase(timings: Timings, phase: Phase) -> Timings:
    return collections.Counter(
        {
            cell: number
            for cell, number in timings.items()
            if cell.stratum.phase is phase
        }
    )


def _quantile(bins: Bins, fraction: float) -> int:
    """Return the lowest bin up to which a fraction of the values lies."""
    rank = bins.total() * fraction
    cumulative = 0
    for index in sorted(bins):
        cumulative += bins[index]
        if cumulative >= rank:
            return index
    return max(bins, default=0)
