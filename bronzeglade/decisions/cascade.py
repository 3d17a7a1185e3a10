"""Model cascades: which model answers, and whether its answer is accepted.

A route lists models by price. A cheap model may answer first; its answer is
rated, and if it is not accepted, the most expensive model answers.
"""

import collections
import dataclasses
import datetime as dt
import enum
import math

from bronzeglade.clock import Clock

# Route, model, bit lengths of the prompt length and of max_tokens, and whether
# the request uses tools or has more than 3 messages.
Bucket = tuple[str, str, int, int, bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """Features of a request that are known before it runs."""

    prompt_length: int  # characters
    max_tokens: int
    messages: int
    tools: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RouteStep:
    """Step of a route; only the ratios of prices of its steps matter."""

    model: str
    price: float
    accept_rating: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePlan:
    """Steps of a route that a team may use, cheapest first."""

    name: str
    quality_target: float
    steps: tuple[RouteStep, ...]


class Reason(enum.StrEnum):
    """Reason for choosing a step or accepting an answer."""

    ONLY = 'only'  # the route has a single step
    TRIAL = 'try'  # a cheaper model answers and its answer is rated
    EXPECTED_GOOD = 'expected_good'  # no rating; good by earlier ratings
    EXPECTED_BAD = 'expected_bad'  # cheaper answers would be rejected
    NO_RATING = 'no_rating'  # no rating; quality takes precedence over cost
    NO_TIME = 'no_time'  # the deadline leaves no time for a second run
    RATED = 'rated'  # decided by the rating


@dataclasses.dataclass(frozen=True, slots=True)
class FirstStep:
    """First step to run; with `rate`, its answer is rated before delivery."""

    index: int
    rate: bool
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether the answer of a step is delivered to the caller.

    `estimate` is the expected quality of the answer, None when unknown.
    """

    accept: bool
    reason: Reason
    estimate: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CascadeSettings:
    """Parameters of the quality estimates and of the rating service."""

    max_buckets: int = 4096  # the least recently updated bucket is evicted
    max_samples: float = 200  # effective number of answers in an average
    prior_samples: float = 4  # weight of the route average in a bucket
    standard_errors: float = 2  # of the lower bound below the mean
    rating_noise: float = 0.1  # standard deviation of a rating
    exploration_interval: int = 20  # every n-th skipped trial is run
    max_failures: int = 3  # consecutive failures before the service is paused
    rating_pause: dt.timedelta = dt.timedelta(seconds=5)
    # Time-out of a rating; the time reserved for two runs includes it.
    rating_timeout: dt.timedelta = dt.timedelta(milliseconds=500)
    offset_step: float = 0.01  # change of the threshold after each answer
    max_offset: float = 0.15  # of the threshold above the configured rating


@dataclasses.dataclass(slots=True)
class Average:
    """Running mean and variance, exponentially weighted beyond a limit."""

    count: float = 0
    mean: float = 0
    variance: float = 0

    def add(self, value: float, max_samples: float) -> None:
        """Add a value; beyond `max_samples`, older values lose weight."""
        self.count = min(self.count + 1, max_samples)
        difference = value - self.mean
        self.mean += difference / self.count
        weight = 1 / self.count
        increased = self.variance + weight * difference * difference
        self.variance = (1 - weight) * increased

    def lower_bound(self, standard_errors: float) -> float:
        """Return the mean less a number of standard errors.

        Returns:
          0 with fewer than two values.
        """
        if self.count <= 1:
            return 0
        return self.mean - standard_errors * math.sqrt(
            self.variance / self.count
        )


class Cascade:
    """Quality and duration estimates of one node for steps of all routes."""

    def __init__(self, settings: CascadeSettings, clock: Clock) -> None:
        """Start without estimates; every route starts with its cheapest model.

        Args:
          settings: parameters.
          clock: monotonic time for pauses of the rating service.
        """
        self.settings = settings
        self.clock = clock
        self.ratings: collections.OrderedDict[Bucket, Average] = (
            collections.OrderedDict()
        )
        self.routes: dict[tuple[str, str], Average] = {}
        self.durations: dict[str, Average] = {}
        self.delivered: dict[str, Average] = {}
        self.offsets: dict[str, float] = {}
        self.skipped: collections.Counter[str] = collections.Counter()
        self.failures = 0
        self.paused_until = clock.monotonic()

    def first_step(
        self, route: RoutePlan, features: Features, remaining: dt.timedelta
    ) -> FirstStep:
        """Return the step to run first.

        Args:
          route: steps that the team may use.
          features: features of the request.
          remaining: time until the deadline.
        """
        last = len(route.steps) - 1
        if not last:
            return FirstStep(0, rate=False, reason=Reason.ONLY)
        for index, step in enumerate(route.steps[:-1]):
            chosen = self._choose(route, index, step, features, remaining)
            if chosen is not None:
                return chosen
        available = self.rating_available()
        reason = Reason.EXPECTED_BAD if available else Reason.NO_RATING
        return FirstStep(last, rate=False, reason=reason)

    def next_step(
        self,
        route: RoutePlan,
        index: int,
        rating: float | None,
        features: Features,
        remaining: dt.timedelta,
    ) -> Decision:
        """Return whether the answer of a step is accepted.

        Otherwise the last step answers. At most one other step is run before
        it, to bound the latency.

        Args:
          route: steps that the team may use.
          index: the step that answered, not the last one.
          rating: rating of the answer; None without a rating.
          features: features of the request.
          remaining: time until the deadline.
        """
        if not self._can_finish((route.steps[-1],), remaining):
            return Decision(accept=True, reason=Reason.NO_TIME)
        step = route.steps[index]
        threshold = self.threshold(route, step)
        if rating is None:
            if self._is_good_unrated(route, step, features):
                lower_bound = self._lower_bound(route, step, features)
                return Decision(True, Reason.EXPECTED_GOOD, lower_bound)
            return Decision(accept=False, reason=Reason.NO_RATING)
        estimate = self._estimate(route, step, features, rating)
        accept = rating >= step.accept_rating and estimate >= threshold
        return Decision(accept, Reason.RATED, estimate)

    def threshold(self, route: RoutePlan, step: RouteStep) -> float:
        """Return the minimum estimate for accepting the answer of a step.

        It rises above the configured rating while the route misses its quality
        target.
        """
        return step.accept_rating + self.offsets.get(route.name, 0)

    def record_rating(
        self,
        route: RoutePlan,
        step: RouteStep,
        features: Features,
        rating: float,
    ) -> None:
        """Update the quality estimates with the rating of an answer.

        Args:
          route: the route.
          step: the step that answered.
          features: features of the request.
          rating: quality of the answer, from 0 to 1.
        """
        self.failures = 0
        settings = self.settings
        route_average = self.routes.setdefault(
            (route.name, step.model), Average()
        )
        route_average.add(rating, settings.max_samples)
        key = _bucket(route, step, features)
        bucket = self.ratings.pop(key, None) or Average()
        bucket.add(rating, settings.max_samples)
        self.ratings[key] = bucket
        if len(self.ratings) > settings.max_buckets:
            self.ratings.popitem(last=False)

    def record_rating_failure(self) -> None:
        """Record that the rating service gave no rating in time."""
        self.failures += 1
        if self.failures >= self.settings.max_failures:
            pause = self.settings.rating_pause
            self.paused_until = self.clock.monotonic() + pause

    def rating_available(self) -> bool:
        """Return whether the rating service may be called."""
        return self.clock.monotonic() >= self.paused_until

    def record_delivered_quality(
        self, route: RoutePlan, quality: float | None
    ) -> None:
        """Adjust the threshold of a route to the delivered quality.

        Args:
          route: the route.
          quality: estimate for an accepted answer; None for an answer of the
            most expensive model.
        """
        best = self.routes.get((route.name, route.steps[-1].model))
        if best is None or best.count < self.settings.prior_samples:
            return
        average = self.delivered.setdefault(route.name, Average())
        delivered = best.mean if quality is None else quality
        average.add(delivered, self.settings.max_samples)
        # Reserves a tenth of the tolerated quality loss.
        target = best.mean * (0.1 + 0.9 * route.quality_target)
        change = self.settings.offset_step
        if average.mean >= target:
            change = -change
        offset = self.offsets.get(route.name, 0) + change
        bounded = min(max(offset, 0), self.settings.max_offset)
        self.offsets[route.name] = bounded

    def record_duration(self, model: str, duration: dt.timedelta) -> None:
        """Update the estimated duration of a model's complete answer."""
        average = self.durations.setdefault(model, Average())
        average.add(duration.total_seconds(), self.settings.max_samples)

    def expected(
        self, route: RoutePlan, step: RouteStep, features: Features
    ) -> Average:
        """Return the expected rating of a step's answer to a request.

        The average of similar requests is combined with that of the route.
        """
        bucket = self.ratings.get(_bucket(route, step, features), Average())
        route_average = self.routes.get((route.name, step.model), Average())
        weight = min(self.settings.prior_samples, route_average.count)
        count = bucket.count + weight
        if not count:
            return Average()
        mean = (
            bucket.mean * bucket.count + route_average.mean * weight
        ) / count
        weighted_variance = (
            bucket.variance * bucket.count + route_average.variance * weight
        )
        return Average(count, mean, weighted_variance / count)

    def _choose(
        self,
        route: RoutePlan,
        index: int,
        step: RouteStep,
        features: Features,
        remaining: dt.timedelta,
    ) -> FirstStep | None:
        if not self.rating_available():
            if self._is_good_unrated(route, step, features):
                return FirstStep(index, False, Reason.EXPECTED_GOOD)
            return None
        last = route.steps[-1]
        if not self._can_finish(
            (step, last), remaining - self.settings.rating_timeout
        ):
            # Without time for both runs, the last model is chosen if it can
            # finish in time, and otherwise the cheaper model.
            if self._can_finish((last,), remaining):
                return None
            return FirstStep(index, False, Reason.NO_TIME)
        if self._is_trial_worthwhile(route, step, features):
            return FirstStep(index, rate=True, reason=Reason.TRIAL)
        return None

    def _is_trial_worthwhile(
        self, route: RoutePlan, step: RouteStep, features: Features
    ) -> bool:
        # A trial costs a run of the cheaper model, and saves a run of the last
        # model if the answer is accepted.
        average = self.expected(route, step, features)
        if average.count <= self.settings.prior_samples:
            return True
        noise = self.settings.rating_noise
        deviation = math.sqrt(average.variance + noise * noise)
        distance = (self.threshold(route, step) - average.mean) / deviation
        acceptance_probability = math.erfc(distance / math.sqrt(2)) / 2
        if acceptance_probability >= step.price / route.steps[-1].price:
            return True
        self.skipped[route.name] += 1
        return not self.skipped[route.name] % self.settings.exploration_interval

    def _is_good_unrated(
        self, route: RoutePlan, step: RouteStep, features: Features
    ) -> bool:
        # Without ratings a wrong estimate is not corrected, so each bucket of
        # requests has to meet the quality target on its own.
        best = self.routes.get((route.name, route.steps[-1].model))
        if best is None or best.count < self.settings.prior_samples:
            return False
        required = max(
            self.threshold(route, step), route.quality_target * best.mean
        )
        return self._lower_bound(route, step, features) >= required

    def _lower_bound(
        self, route: RoutePlan, step: RouteStep, features: Features
    ) -> float:
        average = self.expected(route, step, features)
        if average.count <= 2 * self.settings.prior_samples:
            return 0
        return average.lower_bound(self.settings.standard_errors)

    def _estimate(
        self,
        route: RoutePlan,
        step: RouteStep,
        features: Features,
        rating: float,
    ) -> float:
        # Kalman filter update: the noisier ratings are, the closer the estimate
        # stays to the expected rating.
        average = self.expected(route, step, features)
        if average.count <= self.settings.prior_samples:
            return rating
        noise_variance = self.settings.rating_noise**2
        quality_variance = max(
            average.variance - noise_variance, noise_variance
        )
        gain = quality_variance / (quality_variance + noise_variance)
        return average.mean + gain * (rating - average.mean)

    def _can_finish(
        self, steps: tuple[RouteStep, ...], remaining: dt.timedelta
    ) -> bool:
        needed = sum(self._max_duration_s(step.model) for step in steps)
        return remaining.total_seconds() > needed

    def _max_duration_s(self, model: str) -> float:
        average = self.durations.get(model)
        if average is None:
            return 0
        return average.mean + 2 * math.sqrt(average.variance)


def _bucket(route: RoutePlan, step: RouteStep, features: Features) -> Bucket:
    return (
        route.name,
        step.model,
        features.prompt_length.bit_length(),
        features.max_tokens.bit_length(),
        features.tools or features.messages > 3,
    )
