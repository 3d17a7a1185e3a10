"""Load of workers, from delayed reports and from the node's own requests."""

import collections
import dataclasses
import datetime as dt
import math

from bronzeglade.clock import Clock

_SMALLEST_DEVIATION = 0.05  # below it the mean alone decides


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load report; `pool` names workers that are interchangeable."""

    pool: str
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """How reports are read.

    `report_lag` is how old a report is when it arrives; `memory` is the time
    in which what is known of other nodes' requests fades into the mean of the
    pool.
    """

    report_lag: dt.timedelta = dt.timedelta(seconds=1)
    memory: dt.timedelta = dt.timedelta(milliseconds=400)


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Expected number of requests and its standard deviation."""

    mean: float
    deviation: float

    def excess(self, limit: float) -> float:
        """Return the expected number of requests above a limit.

        The number is taken as normally distributed, so a worker that may be
        full costs something before its mean reaches the limit.
        """
        above = self.mean - limit
        if self.deviation < _SMALLEST_DEVIATION:
            return max(0, above)
        score = above / self.deviation
        density = math.exp(-score * score / 2) / math.sqrt(math.tau)
        share = (1 + math.erf(score / math.sqrt(2))) / 2
        return self.deviation * density + above * share


@dataclasses.dataclass(slots=True)
class _Report:
    pool: str
    others: float
    as_of: dt.timedelta


class LoadEstimates:
    """Requests on each worker.

    The node knows its own requests exactly. Those of other nodes are the
    reported total less its own at the time of the report. They fade into the
    mean of the pool: a worker that was idle in the last report has since been
    chosen by every node that saw that report.
    """

    def __init__(self, settings: LoadSettings, clock: Clock) -> None:
        """Know no worker.

        Args:
          settings: age of reports.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.reports: dict[str, _Report] = {}
        self.own: collections.Counter[str] = collections.Counter()
        self.changes: dict[str, collections.deque[tuple[dt.timedelta, int]]]
        self.changes = collections.defaultdict(collections.deque)
        self.sums: dict[str, tuple[float, int]] = {}

    def report(self, worker: str, load: Load) -> None:
        """Take a report that has just arrived.

        Args:
          worker: its VM.
          load: requests there when the report was made.
        """
        as_of = self.clock.monotonic() - self.settings.report_lag
        own = self.own[worker] - self._change_since(worker, as_of)
        others = max(0, load.running + load.waiting - own)
        self.forget(worker)
        self.reports[worker] = _Report(load.pool, others, as_of)
        self._add(load.pool, others, 1)

    def started(self, worker: str) -> None:
        """Count a request of this node."""
        self._change(worker, 1)

    def finished(self, worker: str) -> None:
        """Count the end of a request of this node."""
        self._change(worker, -1)

    def estimate(self, worker: str) -> Estimate:
        """Return the number of requests that the worker has now."""
        report = self.reports.get(worker)
        if report is None:
            return Estimate(self.own[worker], 0)
        total, count = self.sums[report.pool]
        mean = total / count
        age = self.clock.monotonic() - report.as_of
        kept = math.exp(-age / self.settings.memory)
        others = mean + (report.others - mean) * kept
        # Arrivals at random since the report: their variance is their mean.
        variance = max(0, mean) * (1 - kept * kept)
        return Estimate(self.own[worker] + others, math.sqrt(variance))

    def forget(self, worker: str) -> None:
        """Drop the report of a worker that has gone."""
        report = self.reports.pop(worker, None)
        if report is not None:
            self._add(report.pool, -report.others, -1)

    def _add(self, pool: str, others: float, count: int) -> None:
        total, workers = self.sums.get(pool, (0, 0))
        self.sums[pool] = (total + others, workers + count)

    def _change(self, worker: str, step: int) -> None:
        self.own[worker] += step
        now = self.clock.monotonic()
        changes = self.changes[worker]
        changes.append((now, step))
        oldest = now - 2 * self.settings.report_lag
        while changes[0][0] < oldest:
            changes.popleft()

    def _change_since(self, worker: str, since: dt.timedelta) -> int:
        return sum(step for at, step in self.changes[worker] if at > since)
