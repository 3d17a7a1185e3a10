"""Load estimates from delayed reports and the node's own requests."""

import collections
import dataclasses
import datetime as dt
import math

from bronzeglade.clock import Clock

_MIN_DEVIATION = 0.05  # below this, `excess` uses the mean alone


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load report; workers of the same `pool` are interchangeable."""

    pool: str
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Settings of the load estimates.

    Attributes:
      report_lag: age of a report when it arrives.
      decay_time: time constant with which the estimate of other nodes'
        requests decays to the mean of the pool.
    """

    report_lag: dt.timedelta = dt.timedelta(seconds=1)
    decay_time: dt.timedelta = dt.timedelta(milliseconds=400)


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Estimated number of requests, with its standard deviation."""

    mean: float
    deviation: float

    def excess(self, limit: float) -> float:
        """Return the expected number of requests above a limit.

        The number is assumed to be normally distributed, so the excess is
        positive even before the mean reaches the limit.
        """
        mean_excess = self.mean - limit
        if self.deviation < _MIN_DEVIATION:
            return max(0, mean_excess)
        score = mean_excess / self.deviation
        density = math.exp(-score * score / 2) / math.sqrt(math.tau)
        probability_above = (1 + math.erf(score / math.sqrt(2))) / 2
        return self.deviation * density + mean_excess * probability_above


@dataclasses.dataclass(slots=True)
class _Report:
    pool: str
    peer_requests: float
    as_of: dt.timedelta


class LoadEstimates:
    """Estimated number of requests at each worker.

    The node's own requests are known exactly. Those of other nodes are the
    reported total minus the own requests at the time of the report. They decay
    to the mean of the pool, because every node that saw a worker idle in the
    last report has since sent requests to it.
    """

    def __init__(self, settings: LoadSettings, clock: Clock) -> None:
        """Create estimates without reports.

        Args:
          settings: age and decay of reports.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.reports: dict[str, _Report] = {}
        self.own_requests: collections.Counter[str] = collections.Counter()
        # Recent changes of `own_requests`, to find its value at the time of a
        # report.
        self.own_changes: dict[str, collections.deque[tuple[dt.timedelta, int]]]
        self.own_changes = collections.defaultdict(collections.deque)
        # Requests of other nodes and number of reporting workers, by pool.
        self.pool_totals: dict[str, tuple[float, int]] = {}

    def report(self, worker: str, load: Load) -> None:
        """Record a report that has just arrived.

        Args:
          worker: VM of the worker.
          load: requests at the worker when it made the report.
        """
        as_of = self.clock.monotonic() - self.settings.report_lag
        own = self.own_requests[worker] - self._change_since(worker, as_of)
        peer_requests = max(0, load.running + load.waiting - own)
        self.forget(worker)
        self.reports[worker] = _Report(load.pool, peer_requests, as_of)
        self._add_to_pool(load.pool, peer_requests, 1)

    def started(self, worker: str) -> None:
        """Record the start of a request of this node."""
        self._record_change(worker, 1)

    def finished(self, worker: str) -> None:
        """Record the end of a request of this node."""
        self._record_change(worker, -1)

    def estimate(self, worker: str) -> Estimate:
        """Return the estimated number of requests at the worker now."""
        report = self.reports.get(worker)
        if report is None:
            return Estimate(self.own_requests[worker], 0)
        total, count = self.pool_totals[report.pool]
        mean = total / count
        age = self.clock.monotonic() - report.as_of
        decay = math.exp(-age / self.settings.decay_time)
        peer_requests = mean + (report.peer_requests - mean) * decay
        # Arrivals since the report follow a Poisson process, whose variance is
        # its mean.
        variance = max(0, mean) * (1 - decay * decay)
        return Estimate(
            self.own_requests[worker] + peer_requests, math.sqrt(variance)
        )

    def forget(self, worker: str) -> None:
        """Discard the report of a worker."""
        report = self.reports.pop(worker, None)
        if report is not None:
            self._add_to_pool(report.pool, -report.peer_requests, -1)

    def _add_to_pool(self, pool: str, peer_requests: float, count: int) -> None:
        total, workers = self.pool_totals.get(pool, (0, 0))
        self.pool_totals[pool] = (total + peer_requests, workers + count)

    def _record_change(self, worker: str, step: int) -> None:
        self.own_requests[worker] += step
        now = self.clock.monotonic()
        own_changes = self.own_changes[worker]
        own_changes.append((now, step))
        oldest = now - 2 * self.settings.report_lag
        while own_changes[0][0] < oldest:
            own_changes.popleft()

    def _change_since(self, worker: str, since: dt.timedelta) -> int:
        return sum(step for at, step in self.own_changes[worker] if at > since)
