"""Ratings of a bounded sample of answers, as evidence for roll-outs."""

import collections
import datetime as dt
from collections.abc import Callable

from result import Err

from bronzeglade.adapters.rating import RatingService, Sample
from bronzeglade.clock import Clock
from bronzeglade.decisions.evidence import Observation
from bronzeglade.entry.versions import Versions

QUEUE_LENGTH = 32  # answers that wait for a rating; the rest is not rated
RATING_LIMIT = dt.timedelta(seconds=5)
# Ratings a second of one version over all nodes, and limits for one node.
FLEET_RATE = 20.0
HIGHEST_RATE = 2.0
LOWEST_RATE = 0.1
RATE_INTERVAL = dt.timedelta(milliseconds=100)


class RatingSampler:
    """Rates a bounded number of answers of the versions in roll-outs."""

    def __init__(
        self,
        service: RatingService,
        clock: Clock,
        versions: Versions,
        node_count: Callable[[], int],
    ) -> None:
        """Create a sampler that has rated nothing.

        Args:
          service: rates the answers.
          clock: bounds the rate.
          versions: receives the ratings.
          node_count: number of live nodes, which share the fleet's rate.
        """
        self.service = service
        self.clock = clock
        self.versions = versions
        self.node_count = node_count
        self.queue: collections.deque[Sample] = collections.deque()
        self.next_at: dict[tuple[str, str], dt.timedelta] = {}

    def offer(self, sample: Sample) -> None:
        """Queue an answer when its version is due for a rating.

        Args:
          sample: a whole answer.
        """
        rollout = self.versions.rollouts.get(sample.model)
        if rollout is None or len(self.queue) >= QUEUE_LENGTH:
            return
        if sample.version not in {rollout.from_version, rollout.to_version}:
            return
        now = self.clock.monotonic()
        key = (sample.model, sample.version)
        if now < self.next_at.get(key, now):
            return
        rate = FLEET_RATE / max(1, self.node_count())
        bounded = min(max(rate, LOWEST_RATE), HIGHEST_RATE)
        self.next_at[key] = now + dt.timedelta(seconds=1 / bounded)
        self.queue.append(sample)

    def rate_next(self) -> None:
        """Rate the oldest answer in the queue."""
        if not self.queue:
            return
        sample = self.queue.popleft()
        rating = self.service.rate(sample, RATING_LIMIT)
        if isinstance(rating, Err):
            return
        self.versions.observe(
            sample.model,
            sample.version,
            Observation(rating=rating.ok_value, counts=False),
        )
