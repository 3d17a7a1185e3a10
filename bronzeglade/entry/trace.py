"""The record of one request while it is served, for metrics and logs."""

import dataclasses
import datetime as dt
from collections.abc import Callable

from bronzeglade.entry.telemetry import Labels, RequestLog, Telemetry
from bronzeglade.manifest import Rank
from bronzeglade.outcome import Refusal

UNIDENTIFIED = Labels('', '')


@dataclasses.dataclass(slots=True)
class Trace:
    """Collects data from the stages of a request; counted once at its end.

    `started_at` and `first_token_at` are monotonic times. `answered` is set
    once the complete answer is billed; for requests other than chat
    completions, when the response starts. `gap_count` and `gap_seconds` are the
    number and the sum of the times between tokens.
    """

    request_id: str
    started_at: dt.timedelta = dt.timedelta()
    labels: Labels = UNIDENTIFIED
    rank: Rank | None = None
    refusal: Refusal | None = None
    first_token_at: dt.timedelta | None = None
    answered: bool = False
    gap_count: int = 0
    gap_seconds: float = 0
    log: RequestLog | None = None

    def set_caller(self, rank: Rank, team: str) -> None:
        """Record the caller.

        Args:
          rank: rank of the request.
          team: name of the team.
        """
        self.rank = rank
        self.labels = Labels(rank.name, team)

    def set_version(self, model: str, version: str) -> None:
        """Record the model and version that were chosen to answer."""
        self.labels = dataclasses.replace(
            self.labels, model=model, version=version
        )

    def event(self, name: str, **fields: object) -> None:
        """Log an event of the request, if logging has started."""
        if self.log is not None:
            self.log.event(name, **fields)

    def gap_counter(self, telemetry: Telemetry) -> Callable[[float], None]:
        """Return a function that records a time between tokens, in seconds."""
        observe = telemetry.gap_observer(self.labels)

        def record(seconds: float) -> None:
            observe(seconds)
            self.gap_count += 1
            self.gap_seconds += seconds

        return record

    def is_slow(self) -> bool:
        """Return whether the mean gap missed the target of the rank.

        The target allows 5% of the gaps to be late. In a short answer a single
        late gap exceeds 5%, so the mean is compared instead.
        """
        if self.rank is None or not self.gap_count:
            return False
        mean_ms = self.gap_seconds / self.gap_count * 1000
        return mean_ms > self.rank.inter_token_ms


def begin(telemetry: Telemetry, trace: Trace, kind: str) -> None:
    """Start the trace and the log of a request.

    Args:
      telemetry: metrics of the process.
      trace: a new trace.
      kind: the request path.
    """
    trace.started_at = telemetry.clock.monotonic()
    trace.log = RequestLog(trace.request_id, kind)


def end(telemetry: Telemetry, trace: Trace) -> None:
    """Count and log the outcome of a request.

    Args:
      telemetry: metrics of the process.
      trace: the completed trace.
    """
    outcome = _count(telemetry, trace)
    if trace.log is not None:
        duration = telemetry.clock.monotonic() - trace.started_at
        trace.log.end(
            outcome,
            seconds=round(duration.total_seconds(), 6),
            rank=trace.labels.rank,
            team=trace.labels.team,
            model=trace.labels.model,
            version=trace.labels.version,
        )


def _count(telemetry: Telemetry, trace: Trace) -> str:
    if trace.refusal is not None:
        telemetry.record_refusal(trace.labels, trace.refusal)
        return trace.refusal.code
    if not trace.answered:
        telemetry.record_abandoned(trace.labels)
        return 'abandoned'
    if trace.rank is not None and trace.first_token_at is not None:
        first_token = trace.first_token_at - trace.started_at
        telemetry.record_answer(
            trace.labels, trace.rank, first_token, trace.is_slow()
        )
    return 'whole'
