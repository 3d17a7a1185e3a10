"""Cascades, simulated: cost and quality against the expensive model alone.

Requests are of kinds that the features tell apart in part. The rating service
is noisy, 5% of its ratings are late, and in two scenarios it is out.
"""

import dataclasses
import datetime as dt
import random
import statistics

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.cascade import (
    Cascade,
    CascadeSettings,
    Features,
    RoutePlan,
    RouteStep,
)
from fleet.bench import Figure, medians, scenario

REQUESTS = 8000
NOISE = 0.08
LATE = 0.05  # of the ratings
RATED_EXPENSIVE = 0.05  # of the answers of the expensive model
INTERVAL = dt.timedelta(milliseconds=100)
DEADLINE = dt.timedelta(minutes=2)
COST_TARGET = 0.5
QUALITY_TARGET = 0.97
CHEAP = RouteStep('cheap', 100, 0.8)
EXPENSIVE = RouteStep('expensive', 1000)
ROUTE = RoutePlan('route', QUALITY_TARGET, (CHEAP, EXPENSIVE))
ALWAYS = (0, REQUESTS)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Requests alike: how many, what they look like, who handles them."""

    weight: float
    features: Features
    cheap_skill: float
    expensive_skill: float


KINDS = (
    Kind(0.3, Features(100, 50, 1), 0.99, 0.99),
    Kind(0.2, Features(300, 100, 1), 0.93, 0.99),
    Kind(0.3, Features(1500, 400, 2), 0.8, 0.98),
    Kind(0.2, Features(9000, 2000, 5), 0.15, 0.93),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Cost and quality of a run, relative to the expensive model alone."""

    cost: float
    quality: float


class Simulation:
    """One route under one course of the rating service."""

    def __init__(
        self, seed: int, outage: tuple[int, int], drift_at: int = REQUESTS
    ) -> None:
        """Create a cascade that has learned nothing.

        Args:
          seed: of every random choice.
          outage: first and last request without the rating service.
          drift_at: request from which the cheap model is much worse.
        """
        self.source = random.Random(seed)
        self.clock = ManualClock()
        self.cascade = Cascade(CascadeSettings(), self.clock)
        self.outage = outage
        self.drift_at = drift_at

    def run(self, measured_from: int = 0) -> Totals:
        """Serve every request; measure from one of them on."""
        costs: list[float] = []
        qualities: list[float] = []
        best: list[float] = []
        weights = [kind.weight for kind in KINDS]
        for number in range(REQUESTS):
            kind = self.source.choices(KINDS, weights)[0]
            cost, quality, expensive = self._serve(number, kind)
            if number >= measured_from:
                costs.append(cost)
                qualities.append(quality)
                best.append(expensive)
            self.clock.advance(INTERVAL)
        return Totals(
            statistics.fmean(costs) / EXPENSIVE.price,
            statistics.fmean(qualities) / statistics.fmean(best),
        )

    def _serve(self, number: int, kind: Kind) -> tuple[float, float, float]:
        skill = kind.cheap_skill
        if number >= self.drift_at:
            skill /= 2
        cheap = self._quality(skill, 0.93)
        expensive = self._quality(kind.expensive_skill, 0.95)
        cascade, features = self.cascade, kind.features
        first = cascade.first_step(ROUTE, features, DEADLINE)
        cost = ROUTE.steps[first.index].price
        if first.index == 0:
            rating = self._rate(number, cheap) if first.rate else None
            if rating is not None:
                cascade.rated(ROUTE, CHEAP, features, rating)
            decision = cascade.next_step(ROUTE, 0, rating, features, DEADLINE)
            if decision.accept:
                if decision.estimate is not None:
                    cascade.record_delivered_quality(ROUTE, decision.estimate)
                return cost, cheap, expensive
            cost += EXPENSIVE.price
        if self.source.random() < RATED_EXPENSIVE:
            rating = self._rate(number, expensive)
            if rating is not None:
                cascade.rated(ROUTE, EXPENSIVE, features, rating)
        cascade.record_delivered_quality(ROUTE, None)
        return cost, expensive, expensive

    def _quality(self, skill: float, good: float) -> float:
        handled = self.source.random() < skill
        return good if handled else good - 0.45

    def _rate(self, number: int, quality: float) -> float | None:
        start, end = self.outage
        late = self.source.random() < LATE
        if start <= number < end or late:
            self.cascade.record_rating_failure()
            return None
        return min(1, max(0, self.source.gauss(quality, NOISE)))


def run(seed: int) -> list[Figure]:
    """Run every course of the rating service.

    Args:
      seed: of every random choice.

    Returns:
      Measured figures with their targets.
    """
    half = REQUESTS // 2
    never = (REQUESTS, REQUESTS)
    usual = Simulation(seed, never).run()
    drifted = Simulation(seed, never, half).run(half)
    out = Simulation(seed, ALWAYS).run()
    later = Simulation(seed, (half, REQUESTS)).run(half)
    return [
        _cost('cost with ratings', usual, COST_TARGET),
        _quality('quality with ratings', usual),
        _quality('quality after the cheap model became worse', drifted),
        _cost('cost after the cheap model became worse', drifted, 1.1),
        _quality('quality, no ratings from the start', out),
        _cost('cost, no ratings from the start', out, 1.1),
        _quality('quality, ratings lost half-way', later),
        _cost('cost, ratings lost half-way', later, 1.1),
    ]


def _cost(metric: str, totals: Totals, target: float) -> Figure:
    met = totals.cost <= target
    return Figure('cascade', metric, 'ratio', 1, totals.cost, target, met)


def _quality(metric: str, totals: Totals) -> Figure:
    ours, target = totals.quality, QUALITY_TARGET
    return Figure('cascade', metric, 'ratio', 1, ours, target, ours >= target)


@scenario('cascade')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Return the medians of the runs with the given seeds."""
    return medians([run(seed) for seed in seeds])
