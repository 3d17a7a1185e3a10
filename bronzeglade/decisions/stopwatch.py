"""Times of the tries of two versions, running ones included."""

import collections
import dataclasses
import datetime as dt
import itertools

from bronzeglade.decisions import timings
from bronzeglade.decisions.progress import Progress, TimedPhase
from bronzeglade.decisions.timings import Cell, Part, Place, Stratum, Timings

# Newest times of one version that all nodes tell together, each its part: more
# would not change a verdict, and the acting node reads them all.
MOST_TIMES = 2000
FEWEST_TIMES = 8  # of one node

_Ended = collections.deque[Cell]


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """What a try has to do, and where.

    `kind` is what is asked, `model` who answers; the events of one model come
    alike, whatever is asked. The levels tell how much the endpoint has to do
    before the answer begins, and how loaded it is. `endpoints` is the number
    that could have run it.
    """

    kind: str
    model: str
    first_level: int
    events_level: int
    failure_domain: str
    endpoint: str
    endpoints: int


@dataclasses.dataclass(eq=False, slots=True)
class TimedTry:
    """A try that runs; `share` is that of the new version when it began."""

    task: Task
    is_candidate: bool
    share: float
    progress: Progress


class Stopwatch:
    """What one node has timed during a roll-out."""

    def __init__(self) -> None:
        """Know of no try."""
        self.running: dict[int, TimedTry] = {}
        self.candidate = _Ended(maxlen=MOST_TIMES)
        self.control = _Ended(maxlen=MOST_TIMES)
        self.endpoints = 0  # of the new version, as far as they are known

    def start(
        self, task: Task, is_candidate: bool, share: float, now: dt.timedelta
    ) -> TimedTry:
        """Begin to time a try."""
        timed = TimedTry(task, is_candidate, share, Progress(now))
        self.running[id(timed)] = timed
        if is_candidate:
            self.endpoints = max(self.endpoints, task.endpoints)
        return timed

    def end(self, timed: TimedTry, now: dt.timedelta, complete: bool) -> None:
        """Count a try that has ended.

        Args:
          timed: the try.
          now: the present moment.
          complete: whether its answer is complete.
        """
        if self.running.pop(id(timed), None) is None:
            return
        ended = self.candidate if timed.is_candidate else self.control
        for one in timed.progress.times(now, complete):
            ended.append(_cell(timed, one))

    def forget(self, timed: TimedTry) -> None:
        """Drop a try that tells nothing of the version."""
        self.running.pop(id(timed), None)

    def read(
        self, now: dt.timedelta, most: int = MOST_TIMES
    ) -> tuple[Timings, Timings]:
        """Return the times of the new version and of the old one.

        Args:
          now: the present moment.
          most: newest times of ended tries of each version that count.
        """
        candidate = _newest(self.candidate, most)
        control = _newest(self.control, most)
        for timed in self.running.values():
            counters = candidate if timed.is_candidate else control
            for one in timed.progress.times(now, ended=False):
                counters[_cell(timed, one)] += 1
        return candidate, control


def times_for(nodes: int) -> int:
    """Return the times that one node tells of each version.

    Args:
      nodes: how many tell theirs.
    """
    return max(FEWEST_TIMES, MOST_TIMES // max(1, nodes))


def _newest(ended: _Ended, most: int) -> Timings:
    first = max(0, len(ended) - most)
    return collections.Counter(itertools.islice(ended, first, None))


def _cell(timed: TimedTry, one: TimedPhase) -> Cell:
    task = timed.task
    first = one.part is Part.FIRST
    kind = f'{task.kind} {task.model}' if first else task.model
    level = task.first_level if first else task.events_level
    # The endpoints of the old version are not told apart.
    endpoint = task.endpoint if timed.is_candidate else ''
    return Cell(
        Stratum(one.part, kind, level, timed.share),
        Place(task.failure_domain, endpoint, one.open),
        timings.bin_of(one.duration),
    )
