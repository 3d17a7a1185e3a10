"""Timing of the attempts at two versions, including those in progress."""

import collections
import dataclasses
import datetime as dt
import itertools

from bronzeglade.decisions import duration_histograms
from bronzeglade.decisions.duration_histograms import (
    Cell,
    Phase,
    Stratum,
    Timings,
    TimingSource,
)
from bronzeglade.decisions.progress import AttemptProgress, TimedPhase

# Maximum number of timings per version that all nodes together report, newest
# first. More would not change a verdict, but cost the node that advances the
# roll-out more time to read.
MAX_SAMPLES = 2000
MIN_SAMPLES_PER_NODE = 8

_EndedTimings = collections.deque[Cell]


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """Work of an attempt and the endpoint that runs it.

    `kind` is the type of request. Events of one `model` arrive at the same
    pace for all kinds. `first_level` is the amount of work before the answer
    begins, `events_level` the load of the endpoint. `endpoints` is the number
    of endpoints that could have run the attempt.
    """

    kind: str
    model: str
    first_level: int
    events_level: int
    failure_domain: str
    endpoint: str
    endpoints: int


@dataclasses.dataclass(eq=False, slots=True)
class TimedAttempt:
    """A timed attempt; `share` is the candidate's share when it began."""

    task: Task
    is_candidate: bool
    share: float
    progress: AttemptProgress


class AttemptTimer:
    """Times the attempts of one node during a roll-out."""

    def __init__(self) -> None:
        """Start without attempts."""
        self.running: dict[int, TimedAttempt] = {}
        self.candidate = _EndedTimings(maxlen=MAX_SAMPLES)
        self.control = _EndedTimings(maxlen=MAX_SAMPLES)
        self.endpoints = 0  # maximum observed for the candidate

    def start(
        self, task: Task, is_candidate: bool, share: float, now: dt.timedelta
    ) -> TimedAttempt:
        """Start timing an attempt."""
        timed = TimedAttempt(task, is_candidate, share, AttemptProgress(now))
        self.running[id(timed)] = timed
        if is_candidate:
            self.endpoints = max(self.endpoints, task.endpoints)
        return timed

    def end(
        self, timed: TimedAttempt, now: dt.timedelta, complete: bool
    ) -> None:
        """Count an attempt that has ended.

        Args:
          timed: the attempt; ignored when it is not in progress.
          now: current monotonic time.
          complete: whether its answer is complete.
        """
        if self.running.pop(id(timed), None) is None:
            return
        ended = self.candidate if timed.is_candidate else self.control
        for phase_time in timed.progress.times(now, complete):
            ended.append(_cell(timed, phase_time))

    def forget(self, timed: TimedAttempt) -> None:
        """Discard an attempt that gives no evidence about its version."""
        self.running.pop(id(timed), None)

    def read(
        self, now: dt.timedelta, max_samples: int = MAX_SAMPLES
    ) -> tuple[Timings, Timings]:
        """Return the timings of the candidate and of the control version.

        Args:
          now: current monotonic time.
          max_samples: limit of timings of ended attempts per version, newest
            first; attempts in progress are added.
        """
        candidate = _newest(self.candidate, max_samples)
        control = _newest(self.control, max_samples)
        for timed in self.running.values():
            counters = candidate if timed.is_candidate else control
            for phase_time in timed.progress.times(now, ended=False):
                counters[_cell(timed, phase_time)] += 1
        return candidate, control


def max_samples_per_node(nodes: int) -> int:
    """Return the maximum number of timings per version that a node reports.

    Args:
      nodes: number of reporting nodes.
    """
    return max(MIN_SAMPLES_PER_NODE, MAX_SAMPLES // max(1, nodes))


def _newest(ended: _EndedTimings, max_samples: int) -> Timings:
    first = max(0, len(ended) - max_samples)
    return collections.Counter(itertools.islice(ended, first, None))


def _cell(timed: TimedAttempt, phase_time: TimedPhase) -> Cell:
    task = timed.task
    is_first = phase_time.phase is Phase.FIRST
    kind = f'{task.kind} {task.model}' if is_first else task.model
    level = task.first_level if is_first else task.events_level
    # Control timings omit the endpoint, to bound the size of a stored row.
    endpoint = task.endpoint if timed.is_candidate else ''
    return Cell(
        Stratum(phase_time.phase, kind, level, timed.share),
        TimingSource(task.failure_domain, endpoint, phase_time.open),
        duration_histograms.bin_of(phase_time.duration),
    )
