"""Sampling of answers for rating, for roll-outs and cascades."""

import collections
import datetime as dt
from collections.abc import Callable

from result import Err

from bronzeglade.adapters.rating import RatingService, Sample
from bronzeglade.clock import Clock
from bronzeglade.decisions.evidence import Observation
from bronzeglade.entry.versions import VersionAssignment

MAX_QUEUE_LENGTH = 32  # answers; while the queue is full, others are not rated
RATING_TIMEOUT = dt.timedelta(seconds=5)
# Ratings per second of a version: target for all nodes, bounds per node.
FLEET_RATE = 20.0
MAX_NODE_RATE = 2.0
MIN_NODE_RATE = 0.1
RATE_INTERVAL = dt.timedelta(milliseconds=100)


RatingCallback = Callable[[float], None]
QueuedSample = tuple[Sample, RatingCallback | None]


class RatingSampler:
    """Rates a sample of the answers at a bounded rate."""

    def __init__(
        self,
        service: RatingService,
        clock: Clock,
        versions: VersionAssignment,
        count_nodes: Callable[[], int],
    ) -> None:
        """Create a sampler with an empty queue.

        Args:
          service: rates the answers.
          clock: monotonic time.
          versions: active roll-outs; counts the ratings as evidence.
          count_nodes: returns the number of live nodes, which share the rate.
        """
        self.service = service
        self.clock = clock
        self.versions = versions
        self.count_nodes = count_nodes
        self.queue: collections.deque[QueuedSample] = collections.deque()
        self.next_at: dict[tuple[str, str, bool], dt.timedelta] = {}

    def offer(
        self, sample: Sample, on_rated: RatingCallback | None = None
    ) -> None:
        """Queue an answer if a rating of its version is due.

        Args:
          sample: a complete answer.
          on_rated: receives the rating. Without it, the rating is counted as
            evidence, and only versions in roll-outs are rated.
        """
        rollout = self.versions.rollouts.get(sample.model)
        in_rollout = rollout is not None and sample.version in {
            rollout.from_version,
            rollout.to_version,
        }
        if len(self.queue) >= MAX_QUEUE_LENGTH or not (in_rollout or on_rated):
            return
        now = self.clock.monotonic()
        key = (sample.model, sample.version, on_rated is not None)
        if now < self.next_at.get(key, now):
            return
        rate = FLEET_RATE / max(1, self.count_nodes())
        node_rate = min(max(rate, MIN_NODE_RATE), MAX_NODE_RATE)
        self.next_at[key] = now + dt.timedelta(seconds=1 / node_rate)
        self.queue.append((sample, on_rated))

    def rate_next(self) -> None:
        """Rate the oldest queued answer, if any."""
        if not self.queue:
            return
        sample, on_rated = self.queue.popleft()
        outcome = self.service.rate(sample, RATING_TIMEOUT)
        if isinstance(outcome, Err):
            return
        rating = outcome.ok_value
        if on_rated is None:
            observation = Observation(rating=rating, counts=False)
            self.versions.observe(sample.model, sample.version, observation)
        else:
            on_rated(rating)
