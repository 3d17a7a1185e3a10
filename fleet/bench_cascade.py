"""Simulation of cascades: cost and quality relative to the expensive model.

The features of a request identify its class only in part. The rating service
is noisy, 5% of its ratings are late, and in two scenarios it has an outage.
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
RATING_NOISE = 0.08  # standard deviation of ratings
LATE_RATING_FRACTION = 0.05  # late ratings count as failures
EXPENSIVE_RATED_FRACTION = 0.05  # of the answers of the expensive model
ARRIVAL_INTERVAL = dt.timedelta(milliseconds=100)
DEADLINE = dt.timedelta(minutes=2)
COST_TARGET = 0.5
QUALITY_TARGET = 0.97
CHEAP = RouteStep('cheap', 100, 0.8)
EXPENSIVE = RouteStep('expensive', 1000)
ROUTE = RoutePlan('route', QUALITY_TARGET, (CHEAP, EXPENSIVE))
WHOLE_RUN = (0, REQUESTS)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of similar requests."""

    weight: float  # fraction of all requests
    features: Features
    cheap_success_rate: float  # fraction that the cheap model answers well
    expensive_success_rate: float


REQUEST_CLASSES = (
    RequestClass(0.3, Features(100, 50, 1), 0.99, 0.99),
    RequestClass(0.2, Features(300, 100, 1), 0.93, 0.99),
    RequestClass(0.3, Features(1500, 400, 2), 0.8, 0.98),
    RequestClass(0.2, Features(9000, 2000, 5), 0.15, 0.93),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RelativeTotals:
    """Mean cost and quality of a run, relative to the expensive model."""

    cost: float
    quality: float


class Simulation:
    """A route whose rating service and cheap model may fail during the run."""

    def __init__(
        self, seed: int, outage: tuple[int, int], drift_at: int = REQUESTS
    ) -> None:
        """Create a cascade without any ratings.

        Args:
          seed: seed of all random choices.
          outage: numbers of the first request without the rating service and
            of the first request after the outage.
          drift_at: number of the request from which the cheap model answers
            only half as many requests well.
        """
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.cascade = Cascade(CascadeSettings(), self.clock)
        self.outage = outage
        self.drift_at = drift_at

    def run(self, measured_from: int = 0) -> RelativeTotals:
        """Serve all requests; return the totals from a request number on."""
        costs: list[float] = []
        qualities: list[float] = []
        expensive_qualities: list[float] = []
        weights = [request_class.weight for request_class in REQUEST_CLASSES]
        for number in range(REQUESTS):
            request_class = self.rng.choices(REQUEST_CLASSES, weights)[0]
            cost, quality, expensive = self._serve(number, request_class)
            if number >= measured_from:
                costs.append(cost)
                qualities.append(quality)
                expensive_qualities.append(expensive)
            self.clock.advance(ARRIVAL_INTERVAL)
        return RelativeTotals(
            statistics.fmean(costs) / EXPENSIVE.price,
            statistics.fmean(qualities) / statistics.fmean(expensive_qualities),
        )

    def _serve(
        self, number: int, request_class: RequestClass
    ) -> tuple[float, float, float]:
        success_rate = request_class.cheap_success_rate
        if number >= self.drift_at:
            success_rate /= 2
        cheap = self._quality(success_rate, 0.93)
        expensive = self._quality(request_class.expensive_success_rate, 0.95)
        cascade, features = self.cascade, request_class.features
        first = cascade.first_step(ROUTE, features, DEADLINE)
        cost = ROUTE.steps[first.index].price
        if first.index == 0:
            rating = self._rate(number, cheap) if first.rate else None
            if rating is not None:
                cascade.record_rating(ROUTE, CHEAP, features, rating)
            decision = cascade.next_step(ROUTE, 0, rating, features, DEADLINE)
            if decision.accept:
                if decision.estimate is not None:
                    cascade.record_delivered_quality(ROUTE, decision.estimate)
                return cost, cheap, expensive
            cost += EXPENSIVE.price
        if self.rng.random() < EXPENSIVE_RATED_FRACTION:
            rating = self._rate(number, expensive)
            if rating is not None:
                cascade.record_rating(ROUTE, EXPENSIVE, features, rating)
        cascade.record_delivered_quality(ROUTE, None)
        return cost, expensive, expensive

    def _quality(self, success_rate: float, good_quality: float) -> float:
        is_good = self.rng.random() < success_rate
        return good_quality if is_good else good_quality - 0.45

    def _rate(self, number: int, quality: float) -> float | None:
        start, end = self.outage
        is_late = self.rng.random() < LATE_RATING_FRACTION
        if start <= number < end or is_late:
            self.cascade.record_rating_failure()
            return None
        return min(1, max(0, self.rng.gauss(quality, RATING_NOISE)))


def run(seed: int) -> list[Figure]:
    """Run the simulation with and without outages and drift.

    Args:
      seed: seed of all random choices.
    """
    midpoint = REQUESTS // 2
    no_outage = (REQUESTS, REQUESTS)
    normal = Simulation(seed, no_outage).run()
    drifted = Simulation(seed, no_outage, midpoint).run(midpoint)
    unrated = Simulation(seed, WHOLE_RUN).run()
    outage_midway = Simulation(seed, (midpoint, REQUESTS)).run(midpoint)
    return [
        _cost_figure('cost with ratings', normal, COST_TARGET),
        _quality_figure('quality with ratings', normal),
        _quality_figure('quality after the cheap model became worse', drifted),
        _cost_figure('cost after the cheap model became worse', drifted, 1.1),
        _quality_figure('quality, no ratings from the start', unrated),
        _cost_figure('cost, no ratings from the start', unrated, 1.1),
        _quality_figure('quality, ratings lost half-way', outage_midway),
        _cost_figure('cost, ratings lost half-way', outage_midway, 1.1),
    ]


def _cost_figure(metric: str, totals: RelativeTotals, target: float) -> Figure:
    met = totals.cost <= target
    return Figure('cascade', metric, 'ratio', 1, totals.cost, target, met)


def _quality_figure(metric: str, totals: RelativeTotals) -> Figure:
    ours, target = totals.quality, QUALITY_TARGET
    return Figure('cascade', metric, 'ratio', 1, ours, target, ours >= target)


@scenario('cascade')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Return the medians of cost and quality over the seeds."""
    return medians([run(seed) for seed in seeds])
