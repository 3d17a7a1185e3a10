"""Whether a new version takes longer for the same work than the old one.

An answer is slow when it takes a multiple of what most answers of the old
version take for the same kind and amount of work. Slow answers of both
versions are compared like failures.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from bronzeglade.decisions.evidence import Moments
from bronzeglade.decisions.rollout import failure_ratio
from bronzeglade.decisions.timings import (
    BINS_PER_DOUBLING,
    HIGHEST_LEVEL,
    LEVEL_FACTOR,
    Cell,
    Part,
    Stratum,
    Timings,
)

Bins = collections.Counter[int]
# A level more takes at most that much longer, as work has a fixed part.
BINS_PER_LEVEL = int(math.log2(LEVEL_FACTOR) * BINS_PER_DOUBLING)
# Answers and slow ones, by the share of the new version at their time.
ByShare = Mapping[float, Moments]
# Answers of the old version that are comparable with one: the work, and the
# failure domain or '' for all.
_Scope = tuple[Stratum, str]


@dataclasses.dataclass(frozen=True, slots=True)
class SlownessSettings:
    """What counts as slow, and how many slow answers are harm.

    An answer is slow that takes more than two to the power of `doublings` times
    as long as `quantile` of the old version's answers, and the old version
    needs `least_control` answers to tell. `tolerated` is the increase of the
    part of slow answers that is no harm. An endpoint can be slow by itself:
    without one in `left_out` of them, and at least one of several, those with
    most slow answers, the others must still show the harm, with a statistic of
    at least `least_elsewhere`. The prior keeps the old version's part away from
    zero.
    """

    quantile: float = 0.8
    doublings: int = 1
    tolerated: float = 0.1
    least_control: int = 8
    least_values: int = 4
    left_out: int = 3
    least_elsewhere: float = 2
    prior_requests: float = 10
    prior_slow: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Slowness:
    """Slow answers of both versions, and the log likelihood ratio of harm."""

    part: Part
    candidate: Moments
    control: Moments
    statistic: float


def compare(
    settings: SlownessSettings,
    candidate: Timings,
    control: Timings,
    endpoints: int,
) -> list[Slowness]:
    """Compare two versions, by the part of a try that is timed.

    Args:
      settings: what counts as harm.
      candidate: times of the new version, by endpoint.
      control: times of the old one.
      endpoints: number of endpoints of the new version.
    """
    if not candidate:
        return [Slowness(part, Moments(), Moments(), 0) for part in Part]
    limits = _Limits(settings, control)
    return [
        _compare_part(
            settings,
            part,
            _by_endpoint(limits, _of_part(candidate, part)),
            limits.count(_of_part(control, part)),
            endpoints,
        )
        for part in Part
    ]


def suspects(
    settings: SlownessSettings, candidate: Timings, control: Timings
) -> float:
    """Return how many answers of the new version look slow to one node.

    A node alone has too few answers of the old version to be sure.

    Args:
      settings: what counts as slow.
      candidate: times of the new version on this node.
      control: times of the old one.
    """
    if not candidate:
        return 0
    alone = dataclasses.replace(settings, least_control=1)
    return _total(_Limits(alone, control).count(candidate).values()).total


def _compare_part(
    settings: SlownessSettings,
    part: Part,
    new: Sequence[ByShare],
    old: ByShare,
    endpoints: int,
) -> Slowness:
    known = max(endpoints, len(new))
    dropped = max(int(known > 1), known // settings.left_out)
    kept = sorted(new, key=_least_slow)[: max(0, len(new) - dropped)]
    everywhere = _slowness(settings, part, _merged(new), old)
    elsewhere = _slowness(settings, part, _merged(kept), old)
    if elsewhere.statistic >= settings.least_elsewhere:
        return everywhere
    return dataclasses.replace(
        everywhere, statistic=min(everywhere.statistic, elsewhere.statistic)
    )


def _slowness(
    settings: SlownessSettings, part: Part, new: ByShare, old: ByShare
) -> Slowness:
    # A share for which the old version has too few answers tells nothing: all
    # that the new one was slow then may be the platform's fault.
    shares = [
        share
        for share in new
        if old.get(share, Moments()).count >= settings.least_control
    ]
    candidate = _total(new[share] for share in shares)
    control = _same_mix({share: new[share].count for share in shares}, old)
    statistic = float(0)
    if candidate.count >= settings.least_values:
        prior = Moments(settings.prior_requests, settings.prior_slow)
        statistic = failure_ratio(
            candidate, control.plus(prior), settings.tolerated
        )
    return Slowness(part, candidate, control, statistic)


def _same_mix(wanted: Mapping[float, float], old: ByShare) -> Moments:
    """Return the old version's answers as if they came when the new one's did.

    The new version gets most of its requests late. A load at that time makes
    more of its answers slow than of the old version's, by that alone.

    Args:
      wanted: answers of the new version by share.
      old: those of the old version.
    """
    answers = sum(wanted.values())
    if not answers:
        return Moments()
    weights = {share: count / answers for share, count in wanted.items()}
    slow = sum(weight * old[share].mean() for share, weight in weights.items())
    spread = sum(
        weight**2 / old[share].count for share, weight in weights.items()
    )
    # As many answers as tell as much as these do with their weights.
    count = 1 / spread
    return Moments(count, slow * count, slow * count)


class _Limits:
    """The bins from which answers are slow, by work, time and domain."""

    def __init__(self, settings: SlownessSettings, control: Timings) -> None:
        self.settings = settings
        self.bins: dict[_Scope, Bins] = {}
        self.known: dict[_Scope, int | None] = {}
        for (stratum, place, index), number in control.items():
            if not place.open:
                scopes = _scopes(stratum, place.failure_domain)
                for scope in itertools.chain(*scopes):
                    bins = self.bins.setdefault(scope, collections.Counter())
                    bins[index] += number

    def count(self, timings: Mapping[Cell, int]) -> ByShare:
        """Return how many answers can be compared, and how many are slow.

        One that is not there yet says nothing before it is slow.
        """
        compared: dict[float, int] = collections.defaultdict(int)
        slow: dict[float, int] = collections.defaultdict(int)
        for (stratum, place, index), number in timings.items():
            limit = self._known_limit((stratum, place.failure_domain))
            if limit is None:
                continue
            is_slow = index > limit
            if is_slow or not place.open:
                compared[stratum.share] += number
                slow[stratum.share] += number * is_slow
        return {
            share: Moments(number, slow[share], slow[share])
            for share, number in compared.items()
        }

    def _known_limit(self, scope: _Scope) -> int | None:
        if scope not in self.known:
            self.known[scope] = self._limit(*scope)
        return self.known[scope]

    def _limit(self, stratum: Stratum, failure_domain: str) -> int | None:
        """Return the last bin that is not slow; None when it is unknown.

        Where the old version did no such work, as on empty caches, its answers
        to other amounts of work of the kind set the limit.
        """
        for level in sorted(range(HIGHEST_LEVEL + 1), key=_distance(stratum)):
            near = stratum._replace(level=level)
            limit = self._typical(near, failure_domain)
            if limit is not None:
                more = max(0, stratum.level - level) * BINS_PER_LEVEL
                return (
                    limit + more + self.settings.doublings * BINS_PER_DOUBLING
                )
        return None

    def _typical(self, stratum: Stratum, failure_domain: str) -> int | None:
        """Return the bin of the quantile; None when there are too few answers.

        Answers of the same time tell most. A failure domain can be slow as a
        whole, so the old version's answers there count as well.
        """
        for everywhere, near in _scopes(stratum, failure_domain):
            bins = self.bins.get(everywhere)
            if bins is None or bins.total() < self.settings.least_control:
                continue
            typical = _quantile(bins, self.settings.quantile)
            local = self.bins.get(near)
            if local is None:
                return typical
            return max(typical, _quantile(local, self.settings.quantile))
        return None


def _scopes(
    then: Stratum, failure_domain: str
) -> tuple[tuple[_Scope, _Scope], ...]:
    """Return the same work everywhere and in the domain: then, and always."""
    always = then._replace(share=0)
    return (
        ((then, ''), (then, failure_domain)),
        ((always, ''), (always, failure_domain)),
    )


def _by_endpoint(limits: _Limits, candidate: Timings) -> list[ByShare]:
    by_endpoint: dict[str, Timings] = collections.defaultdict(Timings)
    for cell, number in candidate.items():
        by_endpoint[cell.place.endpoint][cell] += number
    return [limits.count(one) for one in by_endpoint.values()]


def _merged(parts: Iterable[ByShare]) -> ByShare:
    merged: dict[float, Moments] = {}
    for one in parts:
        for share, counted in one.items():
            merged[share] = merged.get(share, Moments()).plus(counted)
    return merged


def _distance(stratum: Stratum) -> Callable[[int], tuple[int, int]]:
    """Return how near other levels are; less work comes before more."""
    return lambda other: (abs(other - stratum.level), other)


def _least_slow(counted: ByShare) -> tuple[float, float]:
    summed = _total(counted.values())
    return summed.total, -summed.count


def _total(parts: Iterable[Moments]) -> Moments:
    summed = Moments()
    for one in parts:
        summed = summed.plus(one)
    return summed


def _of_part(timings: Timings, part: Part) -> Timings:
    return collections.Counter(
        {
            cell: number
            for cell, number in timings.items()
            if cell.stratum.part is part
        }
    )


def _quantile(bins: Bins, part: float) -> int:
    """Return the first bin up to which a part of the values lies."""
    wanted = bins.total() * part
    seen = 0
    for index in sorted(bins):
        seen += bins[index]
        if seen >= wanted:
            return index
    return max(bins, default=0)
