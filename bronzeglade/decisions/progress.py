"""How one try gets on, and what of it counts as a time.

A slow version shows in answers that are not there yet. So a try that runs
counts with the time that it has taken so far, and a stream with its first
events, not at its end.
"""

import dataclasses
import datetime as dt
from collections.abc import Iterator

from bronzeglade.decisions.timings import Phase

# Events of a stream after which its pace is known: it has to show long before
# the end, and one lost packet delays several events by less than a slow engine.
COMPARED_EVENTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Timed:
    """A time of a part of a try; `open` when it is not over yet."""

    phase: Phase
    duration: dt.timedelta
    open: bool


@dataclasses.dataclass(slots=True)
class Progress:
    """Moments of a try, on the monotonic clock.

    `first_at` is when the head of the answer came, `last_at` when the last
    compared event did.
    """

    began: dt.timedelta
    first_at: dt.timedelta | None = None
    last_at: dt.timedelta = dt.timedelta()
    events: int = 0

    def note_first(self, now: dt.timedelta) -> None:
        """Note the head of the answer."""
        self.first_at = now
        self.last_at = now

    def note_event(self, now: dt.timedelta) -> None:
        """Note an event of a stream."""
        if self.events < COMPARED_EVENTS:
            self.events += 1
            self.last_at = now

    def times(self, now: dt.timedelta, ended: bool) -> Iterator[Timed]:
        """Return what the try tells so far.

        Args:
          now: the present moment.
          ended: whether the answer is complete.
        """
        if self.first_at is None:
            yield Timed(Phase.FIRST, now - self.began, open=True)
            return
        yield Timed(Phase.FIRST, self.first_at - self.began, open=False)
        if ended or self.events == COMPARED_EVENTS:
            if self.events > 1:
                lasted = self.last_at - self.first_at
                yield Timed(Phase.EVENTS, lasted, open=False)
        else:
            yield Timed(Phase.EVENTS, now - self.first_at, open=True)
