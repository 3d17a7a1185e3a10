"""State of a running roll-out on one node, and how often it is exchanged."""

import dataclasses
import datetime as dt
import enum

from result import Result

from bronzeglade.coordination.rollout_plan import Order
from bronzeglade.decisions import attempt_timing, evidence, slowness
from bronzeglade.decisions.attempt_timing import AttemptTimer
from bronzeglade.decisions.evidence import Evidence, Observation
from bronzeglade.decisions.rollout_schedule import Exposure
from bronzeglade.decisions.slowness import SlownessSettings
from bronzeglade.decisions.traffic import Traffic
from bronzeglade.decisions.version_comparison import Judge, JudgeSettings
from bronzeglade.forwarding.evidence_record import EvidenceRecord, VersionRecord
from bronzeglade.forwarding.settings import RolloutBounds
from bronzeglade.manifest import RolloutLimits

# Minimum intervals between writes (and reads) of evidence, with and without new
# evidence about the candidate. A small fleet needs each answer early; a large
# fleet has many answers and saves calls to the store.
MIN_EVIDENCE_INTERVAL = dt.timedelta(milliseconds=700)
MIN_UNCHANGED_INTERVAL = dt.timedelta(milliseconds=2500)
# The interval grows with the number of nodes, so that their writes together do
# not overload the store. Routine writes, without a new sign of harm, can wait
# longer.
EVIDENCE_INTERVAL_PER_NODE = dt.timedelta(milliseconds=15)
MAX_EVIDENCE_INTERVAL = dt.timedelta(milliseconds=2000)
ROUTINE_INTERVAL_PER_NODE = dt.timedelta(milliseconds=60)
MAX_ROUTINE_INTERVAL = dt.timedelta(seconds=6)
# Tolerated degradation of a candidate. Latencies are compared by kind of work
# in `slowness`; forwarded answers have no ratings.
LIMITS = RolloutLimits(
    max_error_increase=0.05, max_latency_ratio=3, max_rating_drop=1
)
SLOWNESS = SlownessSettings()
# A false halt costs less than keeping a bad version. At a log-likelihood ratio
# of 3, a version exactly at the limits is halted in about 1 of 140 evaluations.
JUDGE = JudgeSettings(threshold=3, suspicion=0.5)
# Load from which an endpoint counts as busy, as a fraction of its slots. Some
# versions fail only then, and too rarely among all answers to stand out.
BUSY_LOAD = 0.5
# Mean load of the control version from which the candidate gets a load test.
# Below, the answers of all its endpoints tell more.
LOAD_TEST_LOAD = 0.25
# Weight of the newest answer in that mean.
LOAD_WEIGHT = 0.2
# From this number of requests during a roll-out on, the shares of its steps are
# fixed.
LARGE_SAMPLE_REQUESTS = 2000


class EvidenceChange(enum.Enum):
    """What a node has observed of a candidate since its last write."""

    NONE = enum.auto()
    ANSWERS = enum.auto()
    HARM = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class DecodedRow:
    """A decoded evidence row with the row version it was decoded from."""

    version: int
    outcome: Result[EvidenceRecord, str]


class RunningRollout:
    """State of one running roll-out on this node."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.candidate = Evidence()
        self.control = Evidence()
        self.busy_candidate = Evidence()
        self.busy_control = Evidence()
        self.sent_to_candidate = 0
        self.sent_to_control = 0
        self.control_load = float(0)
        self.reported_failure = False
        self.timer = AttemptTimer()
        self.written = EvidenceRecord()
        self.written_at = dt.timedelta()
        self.read_at = dt.timedelta()
        self.combined = EvidenceRecord()
        self.traffic = Traffic()
        self.judge = Judge(JUDGE, LIMITS)
        self.busy_judge = Judge(JUDGE, LIMITS)
        self.suspect = False
        self.decoded: dict[str, DecodedRow] = {}
        self.overdue_since: dt.timedelta | None = None
        self.retry_at = dt.timedelta()
        self.halted = False

    def count_sent(self, is_candidate: bool) -> None:
        """Count an attempt that is sent to one of the versions."""
        if is_candidate:
            self.sent_to_candidate += 1
        else:
            self.sent_to_control += 1

    def count_candidate(self, observation: Observation, load: float) -> None:
        """Count the outcome of an attempt at the candidate version.

        Args:
          observation: the outcome.
          load: requests at the endpoint, as a fraction of its slots.
        """
        self.candidate = evidence.count(self.candidate, observation)
        if load >= BUSY_LOAD:
            self.busy_candidate = evidence.count(
                self.busy_candidate, observation
            )

    def count_control(self, observation: Observation, load: float) -> None:
        """Count the outcome of an attempt at the control version.

        Args:
          observation: the outcome.
          load: requests at the endpoint, as a fraction of its slots.
        """
        self.control = evidence.count(self.control, observation)
        if load >= BUSY_LOAD:
            self.busy_control = evidence.count(self.busy_control, observation)

    def record_control_load(self, load: float) -> None:
        """Update the mean load of the control version's endpoints.

        Args:
          load: requests at one of them, as a fraction of its slots.
        """
        self.control_load += (load - self.control_load) * LOAD_WEIGHT

    def has_first_failure(self) -> bool:
        """Return whether the candidate failed for the first time."""
        return self.candidate.errors.total > 0 and not self.reported_failure

    def add_evidence(self, combined: EvidenceRecord) -> None:
        """Add the evidence since the last call to the judges.

        Args:
          combined: observations since the order. They may be fewer than at the
            last call: a node that has evaluated those of all nodes goes back to
            its own, and the row of a restarted node begins anew.
        """
        if combined.sent() < self.combined.sent():
            self.judge.restart()
            self.busy_judge.restart()
            self.combined = EvidenceRecord()
        before = self.combined
        self.judge.feed(
            combined.candidate.evidence.minus(before.candidate.evidence),
            combined.control.evidence.minus(before.control.evidence),
        )
        self.busy_judge.feed(
            combined.candidate.busy.minus(before.candidate.busy),
            combined.control.busy.minus(before.control.busy),
        )
        self.combined = combined

    def needs_load_test(self) -> bool:
        """Return whether the control version's endpoints are under load."""
        return self.control_load >= LOAD_TEST_LOAD

    def own_record(self, now: dt.timedelta, nodes: int) -> EvidenceRecord:
        """Return this node's observations.

        Args:
          now: monotonic time.
          nodes: number of nodes; it limits the timings in the record.
        """
        candidate, control = self.timer.read(
            now, attempt_timing.max_samples_per_node(nodes)
        )
        return EvidenceRecord(
            VersionRecord(
                self.candidate,
                candidate,
                self.busy_candidate,
                self.sent_to_candidate,
            ),
            VersionRecord(
                self.control,
                control,
                self.busy_control,
                self.sent_to_control,
            ),
        )


def exposure(
    bounds: RolloutBounds,
    rollout: RunningRollout,
    elapsed: dt.timedelta,
) -> Exposure | None:
    """Return the exposure that is allowed, and the part used so far.

    The requests until the deadline are extrapolated from the present traffic.
    Returns None without requests.

    Args:
      bounds: exposure that is allowed for a bad version.
      rollout: observations of all nodes.
      elapsed: time since the roll-out was ordered.
    """
    requests = rollout.combined.sent()
    if not requests:
        return None
    requests_per_s = rollout.traffic.requests_per_s()
    remaining = rollout.order.duration - elapsed
    expected = requests + requests_per_s * max(0, remaining.total_seconds())
    allowed = bounds.share * expected
    return Exposure(
        # Few requests say little about how many more will come.
        allowed + min(allowed, bounds.slack),
        rollout.combined.candidate.sent,
        requests_per_s * rollout.order.duration.total_seconds(),
        elapsed / rollout.order.duration,
        expected >= LARGE_SAMPLE_REQUESTS,
    )


def unwritten_change(
    rollout: RunningRollout, own_record: EvidenceRecord
) -> EvidenceChange:
    """Return how the node's evidence differs from what it last wrote."""
    written = rollout.written
    if _harm(own_record) > _harm(written):
        return EvidenceChange.HARM
    if own_record.candidate != written.candidate:
        return EvidenceChange.ANSWERS
    return EvidenceChange.NONE


def _harm(record: EvidenceRecord) -> float:
    """Return the number of failed and suspiciously slow answers."""
    candidate = record.candidate
    return candidate.evidence.errors.total + slowness.count_slow_answers(
        SLOWNESS, candidate.timings, record.control.timings
    )


def writing_interval(nodes: int, change: EvidenceChange) -> dt.timedelta:
    """Return the interval between a node's writes of its evidence.

    Args:
      nodes: number of nodes that write.
      change: what the node observed since its last write.
    """
    if change is EvidenceChange.HARM:
        scaled = min(MAX_EVIDENCE_INTERVAL, EVIDENCE_INTERVAL_PER_NODE * nodes)
        return max(MIN_EVIDENCE_INTERVAL, scaled)
    scaled = min(MAX_ROUTINE_INTERVAL, ROUTINE_INTERVAL_PER_NODE * nodes)
    if change is EvidenceChange.ANSWERS:
        return max(MIN_EVIDENCE_INTERVAL, scaled)
    return max(MIN_UNCHANGED_INTERVAL, scaled)
