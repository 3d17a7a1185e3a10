"""Periodic loops by which the nodes run roll-outs.

Every node exchanges evidence by gossip and halts a bad candidate. The holder
of the roll-out lease has candidates loaded and advances the steps.
"""

import dataclasses
import datetime as dt
from collections.abc import Callable, Mapping
from typing import Any

from result import Err

from bronzeglade.adapters.table import Row, Table, Transaction
from bronzeglade.catalog import Catalog
from bronzeglade.clock import Clock
from bronzeglade.coordination import lease as leases
from bronzeglade.coordination import rollout_progress
from bronzeglade.coordination.lease import Lease, LeaseSettings, Tenure
from bronzeglade.coordination.rollout_progress import (
    RolloutProgress,
    RolloutState,
    StoredProgress,
)
from bronzeglade.decisions import evidence as evidences
from bronzeglade.decisions.evidence import Evidence
from bronzeglade.decisions.version_comparison import (
    Judge,
    JudgeSettings,
    StepRecord,
    may_advance,
)
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.versions import VersionAssignment
from bronzeglade.manifest import Rollout

STEPS_TOPIC = 'rollout'
EVIDENCE_TOPIC = 'rollout-evidence'
JUDGE_INTERVAL = dt.timedelta(milliseconds=500)
# 3 lease candidates read every 2 s: 1.5 reads/s with any number of nodes.
COORDINATE_INTERVAL = dt.timedelta(seconds=2)
LEASE_CANDIDATE_COUNT = 3
# Fallback for gossip on every node: 11 reads/s with 330 nodes.
POLL_INTERVAL = dt.timedelta(seconds=30)
# Time until a new share has reached all nodes and their evidence follows it.
STEP_PROPAGATION_TIME = dt.timedelta(seconds=4)
# Roll-outs per evidence document: each takes 150 bytes, and a document must fit
# a datagram of 1,200 bytes. Further roll-outs are reported in rotation.
MAX_REPORTED_ROLLOUTS = 6
# Evidence documents per second that all nodes publish together. The interval of
# each node grows with their number, so that the traffic stays bounded.
FLEET_DOCUMENTS_PER_S = 60
# Origins whose last counters are stored; over twice the largest fleet.
MAX_ORIGINS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutContext:
    """Callbacks of the loops into the node.

    Attributes:
      catalog: returns the active configuration.
      peers: returns VM name and failure domain of each live peer.
      load: orders engines to load the candidate of a roll-out and returns
        whether all of them hold it.
    """

    catalog: Callable[[], Catalog | None]
    peers: Callable[[], list[tuple[str, str]]]
    load: Callable[[Rollout], bool]


class RunEvidence:
    """Evidence known to this node about one run of a roll-out.

    Attributes:
      judge: sequential test of the candidate.
      last_counters: last counters of candidate and control version by origin.
      step: current step; -1 while unknown.
      step_started_at: monotonic time at which the step started.
      requests: requests to the candidate since the step started.
      discard_until: monotonic time until which evidence may come from the
        previous share.
    """

    def __init__(self, rollout: Rollout, now: dt.timedelta) -> None:
        """Create a run without evidence.

        Args:
          rollout: the roll-out.
          now: monotonic time.
        """
        self.judge = Judge(JudgeSettings(), rollout.limits)
        self.last_counters: dict[str, tuple[Evidence, Evidence]] = {}
        self.step = -1
        self.step_started_at = now
        self.requests: float = 0
        self.discard_until: dt.timedelta | None = None

    def enter_step(self, step: int, now: dt.timedelta) -> None:
        """Set the current step and discard the evidence of the previous one.

        Evidence is discarded again after `STEP_PROPAGATION_TIME`, because peers
        change the share a little later.
        """
        if step != self.step:
            self.step = step
            self.step_started_at = now
            self.requests = 0
            self.discard_until = now + STEP_PROPAGATION_TIME
            self.judge.restart()
        elif self.discard_until is not None and now >= self.discard_until:
            self.discard_until = None
            self.judge.restart()

    def increments(
        self, origin: str, encoded: Any
    ) -> tuple[Evidence, Evidence]:
        """Return how much an origin's counters grew since its last document.

        Args:
          origin: the node that counted.
          encoded: its encoded counters of candidate and control version.
        """
        candidate, control = (
            evidences.decode(counters) for counters in encoded
        )
        previous = self.last_counters.pop(origin, (Evidence(), Evidence()))
        if previous[0].errors.count > candidate.errors.count:
            previous = (Evidence(), Evidence())  # the counters were reset
        self.last_counters[origin] = (candidate, control)
        if len(self.last_counters) > MAX_ORIGINS:
            self.last_counters.pop(next(iter(self.last_counters)))
        return candidate.minus(previous[0]), control.minus(previous[1])

    def step_record(self, now: dt.timedelta) -> StepRecord:
        """Return the evidence of the current step."""
        suspect = self.judge.verdict().suspect
        return StepRecord(self.requests, now - self.step_started_at, suspect)


class ModelRollouts:
    """Roll-out loops of a node."""

    def __init__(
        self,
        identity: NodeIdentity,
        clock: Clock,
        table: Table,
        versions: VersionAssignment,
        context: RolloutContext,
    ) -> None:
        """Create the state of the loops, without starting them.

        Args:
          identity: names of this node.
          clock: monotonic time, for the lease and the steps.
          table: stores the rows of the lease and of roll-outs.
          versions: counters of this node and the known progress of roll-outs.
          context: callbacks into the node.
        """
        self.identity = identity
        self.clock = clock
        self.table = table
        self.versions = versions
        self.view = versions.view
        self.context = context
        self.lease = Lease(LeaseSettings(), clock, identity.origin)
        self.runs: dict[str, RunEvidence] = {}
        self.publish_at = clock.monotonic()
        self.publish_count = 0

    def judge(self) -> None:
        """Exchange evidence and halts, and halt bad candidates.

        Needs neither the lease nor the table, so that a halt takes effect
        during their outage.
        """
        rollouts = self._rollouts()
        self.versions.track(rollouts.values())
        gossip = self.versions.gossip
        for origin, document in dict(gossip.read(STEPS_TOPIC)).items():
            if origin != self.identity.origin:
                self.view.merge(document)
        self.publish_evidence(rollouts)
        self._update_runs(rollouts)
        documents = dict(gossip.read(EVIDENCE_TOPIC))
        for rollout in rollouts.values():
            self._judge_rollout(rollout, documents)
        gossip.publish(STEPS_TOPIC, self.view.document(rollouts.values()))

    def poll(self) -> None:
        """Read the rows of all roll-outs, in case gossip missed a step."""
        self._read_rows([])

    def coordinate(self) -> None:
        """Compete for the lease and, as its holder, advance the roll-outs."""
        if not self._rollouts() or not self._is_candidate():
            return
        stored_rows = self._read_rows([self.lease.settings.key])
        if stored_rows is None:
            return
        self.lease.observe(stored_rows.get(self.lease.settings.key))
        transaction = self.lease.request()
        if transaction is not None:
            self.table.commit(transaction)
            stored_rows = self._read_rows([self.lease.settings.key])
            if stored_rows is None:
                return
            self.lease.observe(stored_rows.get(self.lease.settings.key))
        if self.lease.held() is not None:
            self._advance_rollouts(stored_rows)

    def resign(self) -> None:
        """Release the lease, so that a new holder need not await its expiry."""
        transaction = self.lease.resign()
        if transaction is not None:
            self.table.commit(transaction)

    def _rollouts(self) -> Mapping[str, Rollout]:
        catalog = self.context.catalog()
        if catalog is None:
            return {}
        return {rollout.name: rollout for rollout in catalog.rollouts.values()}

    def _is_candidate(self) -> bool:
        local_node = (self.identity.vm, self.identity.failure_domain)
        return self.identity.vm in leases.candidates(
            [local_node, *self.context.peers()],
            self.lease.settings.key,
            LEASE_CANDIDATE_COUNT,
        )

    def publish_evidence(self, rollouts: Mapping[str, Rollout]) -> None:
        """Publish this node's counters to its peers if they are due.

        Args:
          rollouts: roll-outs of the active configuration, by name.
        """
        now = self.clock.monotonic()
        if now < self.publish_at:
            return
        nodes = len(self.context.peers()) + 1
        self.publish_at = now + dt.timedelta(
            seconds=nodes / FLEET_DOCUMENTS_PER_S
        )
        running = {
            name: rollout
            for name, rollout in rollouts.items()
            if self.view.halt_reason(rollout) is None
        }
        self.publish_count += 1
        first = self.publish_count * MAX_REPORTED_ROLLOUTS
        names = sorted(running)
        chosen = {
            names[(first + index) % len(names)]
            for index in range(min(MAX_REPORTED_ROLLOUTS, len(names)))
        }
        reported = {name: running[name] for name in chosen}
        self.versions.gossip.publish(
            EVIDENCE_TOPIC, self._encode_counters(reported)
        )

    def _encode_counters(
        self, rollouts: Mapping[str, Rollout]
    ) -> dict[str, Any]:
        return {
            rollout_progress.run_id(rollout): [
                evidences.encode(self.versions.counters_of(rollout, version))
                for version in (rollout.to_version, rollout.from_version)
            ]
            for rollout in rollouts.values()
        }

    def _update_runs(self, rollouts: Mapping[str, Rollout]) -> None:
        now = self.clock.monotonic()
        self.runs = {
            run: self.runs.get(run) or RunEvidence(rollout, now)
            for rollout in rollouts.values()
            for run in (rollout_progress.run_id(rollout),)
        }

    def _judge_rollout(
        self, rollout: Rollout, documents: Mapping[str, Any]
    ) -> None:
        run = rollout_progress.run_id(rollout)
        evidence = self.runs[run]
        progress = self.view.current(rollout)
        if progress is not None:
            evidence.enter_step(progress.step, self.clock.monotonic())
        candidate, control = Evidence(), Evidence()
        for origin, document in documents.items():
            encoded = document.get(run)
            if encoded is not None:
                increments = evidence.increments(origin, encoded)
                candidate = candidate.plus(increments[0])
                control = control.plus(increments[1])
        evidence.requests += candidate.errors.count
        evidence.judge.feed(candidate, control)
        verdict = evidence.judge.verdict()
        if verdict.bad:
            self.view.halt(run, verdict.measure.value)

    def _read_rows(self, keys: list[str]) -> Mapping[str, Row] | None:
        names = {
            rollout_progress.row_key(name): name for name in self._rollouts()
        }
        if not names:
            return None
        outcome = self.table.read([*keys, *names])
        if isinstance(outcome, Err):
            return None
        for key, name in names.items():
            stored = rollout_progress.decode_row(outcome.ok_value.get(key))
            if stored.progress is not None:
                self.view.update(name, stored.progress)
        return outcome.ok_value

    def _advance_rollouts(self, stored_rows: Mapping[str, Row]) -> None:
        for name, rollout in self._rollouts().items():
            stored = rollout_progress.decode_row(
                stored_rows.get(rollout_progress.row_key(name))
            )
            tenure = self.lease.held()
            if tenure is None:
                return
            changed = self._next_progress(rollout, stored, tenure)
            if changed is not None:
                self._commit(
                    rollout_progress.write(name, stored, changed, tenure)
                )

    def _commit(self, transaction: Transaction) -> None:
        # The lease may have expired while engines loaded a candidate. If the
        # outcome of the commit is unknown, the next read of the row shows it.
        if self.lease.held() is not None:
            self.table.commit(transaction)

    def _next_progress(
        self, rollout: Rollout, stored: StoredProgress, tenure: Tenure
    ) -> RolloutProgress | None:
        progress = stored.progress
        reason = self.view.halt_reason(rollout)
        if progress is None or progress.run != rollout_progress.run_id(rollout):
            progress = rollout_progress.started(
                rollout, stored, tenure, self.view.halts
            )
            if reason is None:
                return self._load_first(rollout, progress)
        if progress.state is RolloutState.HALTED:
            return None
        if reason is not None:
            return rollout_progress.halted(progress, reason, tenure)
        if progress.state is RolloutState.DONE or not self._is_step_due(
            rollout, progress
        ):
            return None
        changed = rollout_progress.advanced(rollout, progress, tenure)
        return self._load_first(rollout, changed)

    def _load_first(
        self, rollout: Rollout, changed: RolloutProgress
    ) -> RolloutProgress | None:
        # The change is made only once the engines hold the candidate. A halt
        # may be declared while `load` waits for them.
        loaded = self.context.load(rollout)
        halted = self.view.halt_reason(rollout) is not None
        return changed if loaded and not halted else None

    def _is_step_due(self, rollout: Rollout, progress: RolloutProgress) -> bool:
        evidence = self.runs.get(progress.run)
        if evidence is None or evidence.step != progress.step:
            return False
        record = evidence.step_record(self.clock.monotonic())
        return may_advance(rollout, progress.step, record)
