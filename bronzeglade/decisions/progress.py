"""Progress of one attempt, and the durations of its phases.

The durations serve to compare model versions, often before the answers of a
slow version are complete. So an attempt in progress counts with its duration so
far, and a stream with the duration until its first events.
"""

import dataclasses
import datetime as dt
from collections.abc import Iterator

from bronzeglade.decisions.duration_histograms import Phase

# Number of stream events whose duration is compared: few enough for a result
# long before the end of the stream, and enough that a lost packet delays them
# less than a slow engine does.
MAX_COMPARED_EVENTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class TimedPhase:
    """Duration of a phase of an attempt; `open` while the phase lasts."""

    phase: Phase
    duration: dt.timedelta
    open: bool


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """Timestamps of an attempt, on the monotonic clock.

    `first_at` is the arrival of the head of the answer, `last_at` that of the
    last compared event.
    """

    started_at: dt.timedelta
    first_at: dt.timedelta | None = None
    last_at: dt.timedelta = dt.timedelta()
    events: int = 0

    def record_head(self, now: dt.timedelta) -> None:
        """Record the arrival of the head of the answer."""
        self.first_at = now
        self.last_at = now

    def record_event(self, now: dt.timedelta) -> None:
        """Record the arrival of a stream event."""
        if self.events < MAX_COMPARED_EVENTS:
            self.events += 1
            self.last_at = now

    def times(self, now: dt.timedelta, ended: bool) -> Iterator[TimedPhase]:
        """Yield the durations of the phases known so far.

        Args:
          now: the current monotonic time.
          ended: whether the answer is complete.
        """
        if self.first_at is None:
            yield TimedPhase(Phase.FIRST, now - self.started_at, open=True)
            return
        yield TimedPhase(
            Phase.FIRST, self.first_at - self.started_at, open=False
        )
        if ended or self.events == MAX_COMPARED_EVENTS:
            if self.events > 1:
                duration = self.last_at - self.first_at
                yield TimedPhase(Phase.EVENTS, duration, open=False)
        else:
            yield TimedPhase(Phase.EVENTS, now - self.first_at, open=True)
