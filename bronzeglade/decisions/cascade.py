"""Cascades: which model of a route answers, and whether its answer is kept."""

import collections
import dataclasses
import datetime as dt
import enum
import math

from bronzeglade.clock import Clock

Bucket = tuple[str, str, int, int, bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """What is known of a request before it runs."""

    prompt_length: int  # characters
    max_tokens: int
    messages: int
    tools: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RouteStep:
    """A step of a route; `price` compares the cost of its model."""

    model: str
    price: float
    accept_rating: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePlan:
    """The steps that a team may use, cheapest first."""

    name: str
    quality_target: float
    steps: tuple[RouteStep, ...]


class Reason(enum.StrEnum):
    """Why a step was chosen."""

    ONLY = 'only'  # the route has no cheaper step
    TRY = 'try'  # its answer is rated
    EXPECTED_GOOD = 'expected_good'  # no rating service; known to be good
    EXPECTED_BAD = 'expected_bad'  # its answer would not be accepted
    NO_RATING = 'no_rating'  # no rating service; quality first
    NO_TIME = 'no_time'  # the deadline leaves no time for a second run
    RATED = 'rated'


@dataclasses.dataclass(frozen=True, slots=True)
class FirstStep:
    """The model to run; `rate` tells whether its answer is rated first."""

    index: int
    rate: bool
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether the answer of a step goes to the caller.

    `estimate` is the expected quality of the answer, None when unknown.
    """

    accept: bool
    reason: Reason
    estimate: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CascadeSettings:
    """Parameters of the learned expectation and of the rating service."""

    buckets: int = 4096  # remembered at most; the oldest use goes first
    memory: float = 200  # answers over which a bucket is averaged
    prior: float = 4  # answers of the route that a new bucket counts for
    confidence: float = 2  # standard errors below the mean
    rating_noise: float = 0.1  # standard deviation of a rating
    exploration: int = 20  # every n-th skipped request tries the cheap model
    failures: int = 3  # in a row, then the rating service is left alone
    pause: dt.timedelta = dt.timedelta(seconds=5)
    # Limit of a rating; also part of the time that two runs need.
    rating_limit: dt.timedelta = dt.timedelta(milliseconds=500)
    adjustment: float = 0.01  # of the accepted rating after each answer
    largest_offset: float = 0.15


@dataclasses.dataclass(slots=True)
class Average:
    """Mean and variance over the last samples, by weight."""

    count: float = 0
    mean: float = 0
    variance: float = 0

    def add(self, value: float, memory: float) -> None:
        """Count a value; beyond `memory` samples old ones lose weight."""
        self.count = min(self.count + 1, memory)
        difference = value - self.mean
        self.mean += difference / self.count
        part = 1 / self.count
        grown = self.variance + part * difference * difference
        self.variance = (1 - part) * grown

    def lowest(self, errors: float) -> float:
        """Return the mean less a number of standard errors."""
        if self.count <= 1:
            return 0
        return self.mean - errors * math.sqrt(self.variance / self.count)


class Cascade:
    """Learned quality and time of the steps of all routes on this node."""

    def __init__(self, settings: CascadeSettings, clock: Clock) -> None:
        """Know nothing yet: every route tries its cheapest model.

        Args:
          settings: parameters.
          clock: time of pauses of the rating service.
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
        self, route: RoutePlan, features: Features, left: dt.timedelta
    ) -> FirstStep:
        """Return the model to run first.

        Args:
          route: steps that the team may use.
          features: the request.
          left: time to the deadline.
        """
        last = len(route.steps) - 1
        if not last:
            return FirstStep(0, rate=False, reason=Reason.ONLY)
        for index, step in enumerate(route.steps[:-1]):
            chosen = self._try(route, index, step, features, left)
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
        left: dt.timedelta,
    ) -> Decision:
        """Return whether the answer of a step that was tried is accepted.

        Args:
          route: steps that the team may use.
          index: the step that answered, not the last one.
          rating: rating of the answer; None when there is none.
          features: the request.
          left: time to the deadline.
        """
        if not self._fits((route.steps[index + 1],), left):
            return Decision(accept=True, reason=Reason.NO_TIME)
        step = route.steps[index]
        wanted = self.threshold(route, step)
        if rating is None:
            if self._is_good_unrated(route, step, features):
                lowest = self._lowest(route, step, features)
                return Decision(True, Reason.EXPECTED_GOOD, lowest)
            return Decision(accept=False, reason=Reason.NO_RATING)
        estimate = self._estimate(route, step, features, rating)
        accept = rating >= step.accept_rating and estimate >= wanted
        return Decision(accept, Reason.RATED, estimate)

    def threshold(self, route: RoutePlan, step: RouteStep) -> float:
        """Return the rating from which the answer of a step is accepted.

        It is raised above the published one while the route misses its
        quality target.
        """
        return step.accept_rating + self.offsets.get(route.name, 0)

    def rated(
        self,
        route: RoutePlan,
        step: RouteStep,
        features: Features,
        rating: float,
    ) -> None:
        """Learn from the rating of an answer.

        Args:
          route: the route.
          step: the step that answered.
          features: the request.
          rating: 0 to 1.
        """
        self.failures = 0
        settings = self.settings
        whole = self.routes.setdefault((route.name, step.model), Average())
        whole.add(rating, settings.memory)
        key = _bucket(route, step, features)
        bucket = self.ratings.pop(key, None) or Average()
        bucket.add(rating, settings.memory)
        self.ratings[key] = bucket
        if len(self.ratings) > settings.buckets:
            self.ratings.popitem(last=False)

    def rating_failed(self) -> None:
        """Take note that the rating service gave no rating in time."""
        self.failures += 1
        if self.failures >= self.settings.failures:
            pause = self.settings.pause
            self.paused_until = self.clock.monotonic() + pause

    def rating_available(self) -> bool:
        """Return whether a rating may be asked for."""
        return self.clock.monotonic() >= self.paused_until

    def delivered_answer(self, route: RoutePlan, quality: float | None) -> None:
        """Adjust the threshold to the quality that callers receive.

        Args:
          route: the route.
          quality: estimate of an accepted answer; None for an answer of
            the most expensive model.
        """
        best = self.routes.get((route.name, route.steps[-1].model))
        if best is None or best.count < self.settings.prior:
            return
        mean = self.delivered.setdefault(route.name, Average())
        received = best.mean if quality is None else quality
        mean.add(received, self.settings.memory)
        # A tenth of the allowed loss is kept in reserve.
        target = best.mean * (0.1 + 0.9 * route.quality_target)
        change = self.settings.adjustment
        if mean.mean >= target:
            change = -change
        offset = self.offsets.get(route.name, 0) + change
        bounded = min(max(offset, 0), self.settings.largest_offset)
        self.offsets[route.name] = bounded

    def took(self, model: str, duration: dt.timedelta) -> None:
        """Learn how long a model takes for a whole answer."""
        average = self.durations.setdefault(model, Average())
        average.add(duration.total_seconds(), self.settings.memory)

    def expected(
        self, route: RoutePlan, step: RouteStep, features: Features
    ) -> Average:
        """Return the expected rating of a step's answer to a request."""
        bucket = self.ratings.get(_bucket(route, step, features), Average())
        whole = self.routes.get((route.name, step.model), Average())
        weight = min(self.settings.prior, whole.count)
        count = bucket.count + weight
        if not count:
            return Average()
        mean = (bucket.mean * bucket.count + whole.mean * weight) / count
        spread = bucket.variance * bucket.count + whole.variance * weight
        return Average(count, mean, spread / count)

    def _try(
        self,
        route: RoutePlan,
        index: int,
        step: RouteStep,
        features: Features,
        left: dt.timedelta,
    ) -> FirstStep | None:
        if not self.rating_available():
            if self._is_good_unrated(route, step, features):
                return FirstStep(index, False, Reason.EXPECTED_GOOD)
            return None
        last = route.steps[-1]
        if not self._fits((step, last), left - self.settings.rating_limit):
            # Without time for both, the last model is chosen if it can
            # finish, and otherwise the first one that is faster.
            if self._fits((last,), left):
                return None
            return FirstStep(index, False, Reason.NO_TIME)
        if self._is_worth(route, step, features):
            return FirstStep(index, rate=True, reason=Reason.TRY)
        return None

    def _is_worth(
        self, route: RoutePlan, step: RouteStep, features: Features
    ) -> bool:
        # Trying costs the cheap run and saves the last one when accepted.
        average = self.expected(route, step, features)
        if average.count <= self.settings.prior:
            return True
        noise = self.settings.rating_noise
        deviation = math.sqrt(average.variance + noise * noise)
        distance = (self.threshold(route, step) - average.mean) / deviation
        chance = math.erfc(distance / math.sqrt(2)) / 2
        if chance >= step.price / route.steps[-1].price:
            return True
        self.skipped[route.name] += 1
        return not self.skipped[route.name] % self.settings.exploration

    def _is_good_unrated(
        self, route: RoutePlan, step: RouteStep, features: Features
    ) -> bool:
        # Nothing corrects a wrong expectation while there are no ratings, so
        # each kind of request has to meet the quality target by itself.
        best = self.routes.get((route.name, route.steps[-1].model))
        if best is None or best.count < self.settings.prior:
            return False
        wanted = max(
            self.threshold(route, step), route.quality_target * best.mean
        )
        return self._lowest(route, step, features) >= wanted

    def _lowest(
        self, route: RoutePlan, step: RouteStep, features: Features
    ) -> float:
        average = self.expected(route, step, features)
        if average.count <= 2 * self.settings.prior:
            return 0
        return average.lowest(self.settings.confidence)

    def _estimate(
        self,
        route: RoutePlan,
        step: RouteStep,
        features: Features,
        rating: float,
    ) -> float:
        # The rating is noisy: it is drawn to the expectation in proportion
        # to the noise, as in a Kalman filter.
        average = self.expected(route, step, features)
        if average.count <= self.settings.prior:
            return rating
        noise = self.settings.rating_noise**2
        spread = max(average.variance - noise, noise)
        gain = spread / (spread + noise)
        return average.mean + gain * (rating - average.mean)

    def _fits(self, steps: tuple[RouteStep, ...], left: dt.timedelta) -> bool:
        needed = sum(self._duration(step.model) for step in steps)
        return left.total_seconds() > needed

    def _duration(self, model: str) -> float:
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
