"""What one node knows of a running roll-out, and how urgent its news are."""

import dataclasses
import datetime as dt
import enum

from result import Result

from bronzeglade.coordination.canary import Order
from bronzeglade.decisions import slowness, stopwatch
from bronzeglade.decisions.evidence import Evidence
from bronzeglade.decisions.rollout import Judge, JudgeSettings
from bronzeglade.decisions.slowness import SlownessSettings
from bronzeglade.decisions.stopwatch import Stopwatch
from bronzeglade.forwarding.record import Record, VersionRecord
from bronzeglade.manifest import RolloutLimits

# Evidence is written and read this often while a roll-out runs, and written
# less often by a node that saw nothing more of the new version. In a small
# fleet each answer of it counts; a large one has many and saves calls.
EVIDENCE_INTERVAL = dt.timedelta(milliseconds=700)
CALM_INTERVAL = dt.timedelta(milliseconds=2500)
# Many nodes write less often each, so that they do not fill the store.
EVIDENCE_PER_NODE = dt.timedelta(milliseconds=15)
LONGEST_EVIDENCE = dt.timedelta(milliseconds=2000)
CALM_PER_NODE = dt.timedelta(milliseconds=60)
LONGEST_CALM = dt.timedelta(seconds=6)
# Harm that a new version may do. Its times are compared by kind of work, see
# `slowness`; nothing is rated here.
LIMITS = RolloutLimits(
    max_error_increase=0.05, max_latency_ratio=3, max_rating_drop=1
)
SLOWNESS = SlownessSettings()
# A bad version is cheaper to halt early than to keep: at a log likelihood ratio
# of 6 a good one is halted in about one of 400 looks at the limit of harm.
JUDGE = JudgeSettings(threshold=6, suspicion=2)
# Tries from which on a step has enough answers at its least share.
MANY_REQUESTS = 1000


class News(enum.Enum):
    """What a node has seen of a new version."""

    NONE = enum.auto()
    ANSWERS = enum.auto()
    HARM = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Decoded:
    """A version of a node's row, and the record that it holds."""

    version: int
    outcome: Result[Record, str]


class Watch:
    """What this node knows of one running roll-out."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.candidate = Evidence()
        self.control = Evidence()
        self.stopwatch = Stopwatch()
        self.written = Record()
        self.written_at = dt.timedelta()
        self.read_at = dt.timedelta()
        self.seen = Record()
        self.judge = Judge(JUDGE, LIMITS)
        self.suspect = False
        self.decoded: dict[str, Decoded] = {}
        self.lagging_since: dt.timedelta | None = None
        self.paused_until = dt.timedelta()
        self.halted = False

    def mine(self, now: dt.timedelta, nodes: int) -> Record:
        """Return what this node has seen, in a fleet of some nodes."""
        candidate, control = self.stopwatch.read(
            now, stopwatch.max_samples_per_node(nodes)
        )
        return Record(
            VersionRecord(self.candidate, candidate),
            VersionRecord(self.control, control),
        )


def spent(seen: Record, passed: float) -> float | None:
    """Return the part of all requests that the new version had.

    None where it need not be known: with many requests, the least share of a
    step has enough answers to tell a bad version.

    Args:
      seen: of all nodes.
      passed: part of the duration.
    """
    new = seen.candidate.evidence.errors.count
    both = new + seen.control.evidence.errors.count
    return new / both * passed if 0 < both < MANY_REQUESTS else None


def news_of(watch: Watch, mine: Record) -> News:
    """Return what the node has seen of the new version since its last row."""
    before = watch.written
    if _harm(mine) > _harm(before):
        return News.HARM
    if mine.candidate != before.candidate:
        return News.ANSWERS
    return News.NONE


def _harm(seen: Record) -> float:
    """Return failures of the new version and answers that look slow."""
    candidate = seen.candidate
    return candidate.evidence.errors.total + slowness.count_slow_answers(
        SLOWNESS, candidate.timings, seen.control.timings
    )


def writing_interval(nodes: int, news: News) -> dt.timedelta:
    """Return how often a node writes its evidence.

    Args:
      nodes: how many write.
      news: what it saw of the new version and has not written yet.
    """
    if news is News.HARM:
        scaled = min(LONGEST_EVIDENCE, EVIDENCE_PER_NODE * nodes)
        return max(EVIDENCE_INTERVAL, scaled)
    scaled = min(LONGEST_CALM, CALM_PER_NODE * nodes)
    if news is News.ANSWERS:
        return max(EVIDENCE_INTERVAL, scaled)
    return max(CALM_INTERVAL, scaled)
