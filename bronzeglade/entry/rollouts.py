"""Loops of roll-outs: evidence and halts; lease, orders and steps."""

import dataclasses
import datetime as dt
from collections.abc import Callable, Mapping
from typing import Any

from result import Err

from bronzeglade.adapters.table import Row, Table, Transaction
from bronzeglade.catalog import Catalog
from bronzeglade.clock import Clock
from bronzeglade.coordination import lease as leases
from bronzeglade.coordination import rollout as rows
from bronzeglade.coordination.lease import Lease, LeaseSettings, Tenure
from bronzeglade.coordination.rollout import (
    Progress,
    RolloutState,
    StoredProgress,
)
from bronzeglade.decisions import evidence as evidences
from bronzeglade.decisions.evidence import Evidence
from bronzeglade.decisions.rollout import (
    Judge,
    JudgeSettings,
    StepRecord,
    may_advance,
)
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.versions import Versions
from bronzeglade.manifest import Rollout

STEPS_TOPIC = 'rollout'
EVIDENCE_TOPIC = 'rollout-evidence'
JUDGE_INTERVAL = dt.timedelta(milliseconds=500)
# 3 candidates read the lease every 2 s: 1.5 reads/s at any number of nodes.
COORDINATE_INTERVAL = dt.timedelta(seconds=2)
CANDIDATE_COUNT = 3
# Every node reads the rows in case gossip fails: 11 reads/s at 330 nodes.
POLL_INTERVAL = dt.timedelta(seconds=30)
# Time in which a new share reaches the nodes and its evidence comes back.
STEP_SPREAD = dt.timedelta(seconds=4)
# Roll-outs in one document of evidence: 150 bytes each, and a document must
# fit a datagram of 1,200 bytes. More of them take turns.
REPORTED_ROLLOUTS = 6
# Nodes for each second between two documents of evidence of a node: with more
# nodes the documents are merged less often, so their bytes stay bounded.
NODES_PER_SECOND = 60
# Origins whose counters are remembered, twice the largest fleet and more.
KEPT_ORIGINS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutContext:
    """What the loops ask the node for.

    `peers` returns name and failure domain of the other live nodes; `load`
    returns whether the engines hold the candidate of a roll-out.
    """

    catalog: Callable[[], Catalog | None]
    peers: Callable[[], list[tuple[str, str]]]
    load: Callable[[Rollout], bool]


class Trial:
    """What this node has seen of one run."""

    def __init__(self, rollout: Rollout, now: dt.timedelta) -> None:
        """Start without evidence."""
        self.judge = Judge(JudgeSettings(), rollout.limits)
        self.seen: dict[str, tuple[Evidence, Evidence]] = {}
        self.step = -1
        self.since = now
        self.requests: float = 0
        self.mixed_until: dt.timedelta | None = None

    def enter(self, step: int, now: dt.timedelta) -> None:
        """Count from anew when the step is another one.

        The evidence is dropped twice, as other nodes change the share a
        little later.
        """
        if step != self.step:
            self.step = step
            self.since = now
            self.requests = 0
            self.mixed_until = now + STEP_SPREAD
            self.judge.restart()
        elif self.mixed_until is not None and now >= self.mixed_until:
            self.mixed_until = None
            self.judge.restart()

    def take(self, origin: str, packed: Any) -> tuple[Evidence, Evidence]:
        """Return what an origin counted since its last document."""
        candidate, control = (evidences.decode(one) for one in packed)
        before = self.seen.pop(origin, (Evidence(), Evidence()))
        if before[0].errors.count > candidate.errors.count:
            before = (Evidence(), Evidence())  # the origin counts from anew
        self.seen[origin] = (candidate, control)
        if len(self.seen) > KEPT_ORIGINS:
            self.seen.pop(next(iter(self.seen)))
        return candidate.minus(before[0]), control.minus(before[1])

    def record(self, now: dt.timedelta) -> StepRecord:
        """Return what was seen since the present step was taken."""
        suspect = self.judge.verdict().suspect
        return StepRecord(self.requests, now - self.since, suspect)


class Rollouts:
    """The part of every node in roll-outs."""

    def __init__(
        self,
        identity: NodeIdentity,
        clock: Clock,
        table: Table,
        versions: Versions,
        context: RolloutContext,
    ) -> None:
        """Create the loops' state; nothing runs yet.

        Args:
          identity: names of this node.
          clock: counts lease and steps.
          table: rows of the lease and of roll-outs.
          versions: evidence of this node and what is known of steps.
          context: what the loops ask the node for.
        """
        self.identity = identity
        self.clock = clock
        self.table = table
        self.versions = versions
        self.view = versions.view
        self.context = context
        self.lease = Lease(LeaseSettings(), clock, identity.origin)
        self.trials: dict[str, Trial] = {}
        self.publish_at = clock.monotonic()
        self.turns = 0

    def judge(self) -> None:
        """Exchange evidence and halts; halt what the evidence condemns.

        Neither the lease nor the table is needed.
        """
        rollouts = self._rollouts()
        self.versions.track(rollouts.values())
        gossip = self.versions.gossip
        for origin, document in dict(gossip.read(STEPS_TOPIC)).items():
            if origin != self.identity.origin:
                self.view.merge(document)
        self.publish_evidence(rollouts)
        self._keep_trials(rollouts)
        documents = dict(gossip.read(EVIDENCE_TOPIC))
        for rollout in rollouts.values():
            self._judge_one(rollout, documents)
        gossip.publish(STEPS_TOPIC, self.view.document(rollouts.values()))

    def poll(self) -> None:
        """Read the rows of all roll-outs in case gossip missed a step."""
        self._read([])

    def coordinate(self) -> None:
        """Watch the lease as a candidate; lead as its holder."""
        if not self._rollouts() or not self._is_candidate():
            return
        found = self._read([self.lease.settings.key])
        if found is None:
            return
        self.lease.observe(found.get(self.lease.settings.key))
        wanted = self.lease.request()
        if wanted is not None:
            self.table.commit(wanted)
            found = self._read([self.lease.settings.key])
            if found is None:
                return
            self.lease.observe(found.get(self.lease.settings.key))
        if self.lease.held() is not None:
            self._lead(found)

    def resign(self) -> None:
        """Give up the lease, so that its next holder need not wait."""
        wanted = self.lease.resign()
        if wanted is not None:
            self.table.commit(wanted)

    def _rollouts(self) -> Mapping[str, Rollout]:
        catalog = self.context.catalog()
        if catalog is None:
            return {}
        return {one.name: one for one in catalog.rollouts.values()}

    def _is_candidate(self) -> bool:
        this = (self.identity.vm, self.identity.failure_domain)
        return self.identity.vm in leases.candidates(
            [this, *self.context.peers()],
            self.lease.settings.key,
            CANDIDATE_COUNT,
        )

    def publish_evidence(self, rollouts: Mapping[str, Rollout]) -> None:
        """Tell the other nodes what this node has counted, when it is due.

        Args:
          rollouts: those of the manifest in force.
        """
        now = self.clock.monotonic()
        if now < self.publish_at:
            return
        nodes = len(self.context.peers()) + 1
        self.publish_at = now + dt.timedelta(seconds=nodes / NODES_PER_SECOND)
        running = {
            name: rollout
            for name, rollout in rollouts.items()
            if self.view.halt_reason(rollout) is None
        }
        self.turns += 1
        first = self.turns * REPORTED_ROLLOUTS
        names = sorted(running)
        chosen = {
            names[(first + index) % len(names)]
            for index in range(min(REPORTED_ROLLOUTS, len(names)))
        }
        reported = {name: running[name] for name in chosen}
        self.versions.gossip.publish(EVIDENCE_TOPIC, self._counted(reported))

    def _counted(self, rollouts: Mapping[str, Rollout]) -> dict[str, Any]:
        return {
            rows.run_id(rollout): [
                evidences.encode(self.versions.counted(rollout, version))
                for version in (rollout.to_version, rollout.from_version)
            ]
            for rollout in rollouts.values()
        }

    def _keep_trials(self, rollouts: Mapping[str, Rollout]) -> None:
        now = self.clock.monotonic()
        self.trials = {
            run: self.trials.get(run) or Trial(rollout, now)
            for rollout in rollouts.values()
            for run in (rows.run_id(rollout),)
        }

    def _judge_one(
        self, rollout: Rollout, documents: Mapping[str, Any]
    ) -> None:
        run = rows.run_id(rollout)
        trial = self.trials[run]
        progress = self.view.current(rollout)
        if progress is not None:
            trial.enter(progress.step, self.clock.monotonic())
        candidate, control = Evidence(), Evidence()
        for origin, document in documents.items():
            packed = document.get(run)
            if packed is not None:
                more = trial.take(origin, packed)
                candidate = candidate.plus(more[0])
                control = control.plus(more[1])
        trial.requests += candidate.errors.count
        trial.judge.feed(candidate, control)
        verdict = trial.judge.verdict()
        if verdict.bad:
            self.view.halt(run, verdict.measure.value)

    def _read(self, keys: list[str]) -> Mapping[str, Row] | None:
        names = {rows.row_key(name): name for name in self._rollouts()}
        if not names:
            return None
        outcome = self.table.read([*keys, *names])
        if isinstance(outcome, Err):
            return None
        for key, name in names.items():
            stored = rows.decode_row(outcome.ok_value.get(key))
            if stored.progress is not None:
                self.view.update(name, stored.progress)
        return outcome.ok_value

    def _lead(self, found: Mapping[str, Row]) -> None:
        for name, rollout in self._rollouts().items():
            stored = rows.decode_row(found.get(rows.row_key(name)))
            tenure = self.lease.held()
            if tenure is None:
                return
            changed = self._next(rollout, stored, tenure)
            if changed is not None:
                self._commit(rows.write(name, stored, changed, tenure))

    def _commit(self, transaction: Transaction) -> None:
        # Orders may have taken long since the tenure was read; an outcome
        # that is not known is seen in the next read of the row.
        if self.lease.held() is not None:
            self.table.commit(transaction)

    def _next(
        self, rollout: Rollout, stored: StoredProgress, tenure: Tenure
    ) -> Progress | None:
        progress = stored.progress
        reason = self.view.halt_reason(rollout)
        if progress is None or progress.run != rows.run_id(rollout):
            progress = rows.started(rollout, stored, tenure, self.view.halts)
            if reason is None:
                return self._unless_halted(rollout, progress)
        if progress.state is RolloutState.HALTED:
            return None
        if reason is not None:
            return rows.halted(progress, reason, tenure)
        if progress.state is RolloutState.DONE or not self._is_due(
            rollout, progress
        ):
            return None
        changed = rows.advanced(rollout, progress, tenure)
        return self._unless_halted(rollout, changed)

    def _unless_halted(
        self, rollout: Rollout, changed: Progress
    ) -> Progress | None:
        # A halt may be declared while the engines are asked.
        loaded = self.context.load(rollout)
        halted = self.view.halt_reason(rollout) is not None
        return changed if loaded and not halted else None

    def _is_due(self, rollout: Rollout, progress: Progress) -> bool:
        trial = self.trials.get(progress.run)
        if trial is None or trial.step != progress.step:
            return False
        seen = trial.record(self.clock.monotonic())
        return may_advance(rollout, progress.step, seen)
