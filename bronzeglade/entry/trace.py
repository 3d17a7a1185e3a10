"""What is known of one request while it is served."""

import dataclasses
import datetime as dt
from collections.abc import Callable

from bronzeglade.entry.telemetry import Labels, RequestLog, Telemetry
from bronzeglade.manifest import Rank
from bronzeglade.outcome import Refusal

NOBODY = Labels('', '')


@dataclasses.dataclass(slots=True)
class Trace:
    """Filled in by the stages of a request; counted once at its end.

    `began` and `first_token` are monotonic times; `answered` is set when the
    whole answer is billed.
    """

    request_id: str
    began: dt.timedelta = dt.timedelta()
    labels: Labels = NOBODY
    rank: Rank | None = None
    refusal: Refusal | None = None
    first_token: dt.timedelta | None = None
    answered: bool = False
    gaps: int = 0
    gap_seconds: float = 0
    log: RequestLog | None = None

    def identified(self, rank: Rank, team: str) -> None:
        """Note the caller.

        Args:
          rank: rank of the request.
          team: name of the team.
        """
        self.rank = rank
        self.labels = Labels(rank.name, team)

    def chosen(self, model: str, version: str) -> None:
        """Note the model and version that are to answer."""
        self.labels = dataclasses.replace(
            self.labels, model=model, version=version
        )

    def event(self, name: str, **fields: object) -> None:
        """Log a decision with its reasons."""
        if self.log is not None:
            self.log.event(name, **fields)

    def gap_counter(self, telemetry: Telemetry) -> Callable[[float], None]:
        """Return a function that counts a time between tokens, seconds."""
        observe = telemetry.gap_observer(self.labels)

        def count(seconds: float) -> None:
            observe(seconds)
            self.gaps += 1
            self.gap_seconds += seconds

        return count

    def is_slow(self) -> bool:
        """Return whether the mean gap missed the target of the rank.

        The mean, because one late gap of a short answer is more than the 5%
        that the target allows of all gaps.
        """
        if self.rank is None or not self.gaps:
            return False
        mean_ms = self.gap_seconds / self.gaps * 1000
        return mean_ms > self.rank.inter_token_ms


def begin(telemetry: Telemetry, trace: Trace, kind: str) -> None:
    """Start the trace of a request.

    Args:
      telemetry: the process's metrics.
      trace: a new trace.
      kind: path that was asked for.
    """
    trace.began = telemetry.clock.monotonic()
    trace.log = RequestLog(trace.request_id, kind)


def end(telemetry: Telemetry, trace: Trace) -> None:
    """Count and log the outcome of a request.

    Args:
      telemetry: the process's metrics.
      trace: what its stages noted.
    """
    outcome = _count(telemetry, trace)
    if trace.log is not None:
        taken = telemetry.clock.monotonic() - trace.began
        trace.log.end(
            outcome,
            seconds=round(taken.total_seconds(), 6),
            rank=trace.labels.rank,
            team=trace.labels.team,
            model=trace.labels.model,
            version=trace.labels.version,
        )


def _count(telemetry: Telemetry, trace: Trace) -> str:
    if trace.refusal is not None:
        telemetry.refused(trace.labels, trace.refusal)
        return trace.refusal.code
    if not trace.answered:
        telemetry.abandoned(trace.labels)
        return 'abandoned'
    if trace.rank is not None and trace.first_token is not None:
        first = trace.first_token - trace.began
        telemetry.answered(trace.labels, trace.rank, first, trace.is_slow())
    return 'whole'
