"""Runs version roll-outs on a node.

Chooses the version for each request, exchanges evidence with the other nodes
and writes the next step of a plan.
"""

import dataclasses
import datetime as dt
from collections.abc import Iterator, Sequence

from result import Err, Ok

from bronzeglade.adapters.table import Check, Put, Row, Table, Transaction
from bronzeglade.coordination import canary as plans
from bronzeglade.coordination.canary import Order, Plan, Stage
from bronzeglade.coordination.mirror import Mirror
from bronzeglade.decisions import canary, evidence, slowness
from bronzeglade.decisions.canary import CanarySettings
from bronzeglade.decisions.evidence import Observation
from bronzeglade.decisions.stopwatch import Task, TimedTry
from bronzeglade.forwarding import record as records
from bronzeglade.forwarding import watch as watches
from bronzeglade.forwarding.endpoint import Endpoint
from bronzeglade.forwarding.follower import propagation_time
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.record import Record
from bronzeglade.forwarding.roster import Roster
from bronzeglade.forwarding.site import Documents
from bronzeglade.forwarding.watch import Decoded, EvidenceChange, Watch
from bronzeglade.forwarding.work import Work

EVIDENCE_TABLE = 'bronzeglade_evidence'
TICK = dt.timedelta(milliseconds=250)
# Delay per rank before another node writes an overdue step.
TAKEOVER_DELAY = dt.timedelta(milliseconds=700)
MAX_EVIDENCE_ROWS = 500
# Delay before the next commit after the store has not accepted one.
COMMIT_BACKOFF = dt.timedelta(milliseconds=700)


class Rollouts:
    """Roll-out orders and plans of all services, as known to this node."""

    def __init__(
        self,
        table: Table,
        orders: Mirror,
        own: Mirror,
        documents: Documents,
        roster: Roster,
        log: Log,
    ) -> None:
        """Start without orders or plans.

        Args:
          table: store table for plans and evidence.
          orders: local copy of the operator's table.
          own: local copy of the router's own table.
          documents: decodes the operator's rows.
          roster: the registered router nodes.
          log: log of this node.
        """
        self.table = table
        self.operator_rows = orders
        self.own = own
        self.documents = documents
        self.roster = roster
        self.log = log
        self.clock = own.clock
        self.settings = CanarySettings()
        self.exposure = 0.1
        self.orders: dict[str, Order] = {}
        self.plans: dict[str, Plan] = {}
        self.watches: dict[str, Watch] = {}

    def refresh(self) -> None:
        """Apply the orders and plans in the local copies of the tables."""
        for key, row in self.own.rows.items():
            if key.startswith(plans.PLAN_PREFIX):
                plan = plans.decode(row)
                if isinstance(plan, Err):
                    self.log.event(
                        'unreadable_plan', key=key, reason=plan.err_value
                    )
                else:
                    self._apply_plan(plan.ok_value)
        for key, row in self.operator_rows.rows.items():
            if key.startswith(self.documents.order_prefix):
                order = self.documents.read_order(row)
                if isinstance(order, Err):
                    self.log.event(
                        'unreadable_order', key=key, reason=order.err_value
                    )
                else:
                    self._apply_order(order.ok_value)

    def select(
        self, work: Work, endpoints: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return the endpoints with the version chosen for a request."""
        plan = self.plans.get(work.service)
        order = self.orders.get(work.service)
        if order is None:
            return list(endpoints)
        target = [
            endpoint
            for endpoint in endpoints
            if endpoint.entry.version == order.target
        ]
        withdrawn = plan.withdrawn if plan else ()
        others = [
            endpoint
            for endpoint in endpoints
            if endpoint.entry.version not in {order.target, *withdrawn}
        ]
        if plan is None or plan.order != order.number:
            return others
        if plan.stage is Stage.COMPLETED:
            return target or others
        if plan.stage is Stage.ROLLED_BACK or self._is_halted(work.service):
            return others
        now = self.own.store_time()
        if work.facts.session is not None and not canary.takes_sessions(
            self.settings, now - plan.began, order.duration
        ):
            return others or target
        unit = f'{plan.service} {plan.order}'
        if canary.position(unit, work.unit) < plan.share_at(now):
            return target or others
        return others or target

    def observe(
        self, service: str, version: str, observation: Observation
    ) -> None:
        """Count the outcome of an attempt while a roll-out is running."""
        watch = self.watches.get(service)
        if watch is None:
            return
        if version == watch.order.target:
            watch.candidate = evidence.count(watch.candidate, observation)
        else:
            watch.control = evidence.count(watch.control, observation)

    def start_timing(
        self, service: str, version: str, task: Task
    ) -> TimedTry | None:
        """Start timing an attempt; return None when no roll-out is running.

        Args:
          service: service that receives the attempt.
          version: version of the endpoint.
          task: the work of the attempt, by which its times are grouped.
        """
        watch = self.watches.get(service)
        plan = self.plans.get(service)
        if watch is None or plan is None or plan.order != watch.order.number:
            return None
        return watch.stopwatch.start(
            task,
            version == watch.order.target,
            plan.share_at(self.own.store_time()),
            self.clock.monotonic(),
        )

    def end_timing(self, service: str, timed: TimedTry, complete: bool) -> None:
        """Count the duration of an attempt that has ended.

        Args:
          service: service that received the attempt.
          timed: the attempt, from `start_timing`.
          complete: whether the complete answer was received.
        """
        watch = self.watches.get(service)
        if watch is not None:
            watch.stopwatch.end(timed, self.clock.monotonic(), complete)

    def discard_timing(self, service: str, timed: TimedTry) -> None:
        """Discard an attempt that is no evidence about the version."""
        watch = self.watches.get(service)
        if watch is not None:
            watch.stopwatch.forget(timed)

    def tick(self) -> None:
        """Exchange evidence and advance the roll-outs this node may write."""
        for service, watch in list(self.watches.items()):
            plan = self.plans.get(service)
            if plan is not None and plan.order == watch.order.number:
                if plan.stage is not Stage.RUNNING:
                    self.watches.pop(service)
                    continue
                self._write_evidence(service, watch)
                self._advance(watch, plan)
            else:
                self._write_first_plan(watch, plan)

    def _apply_order(self, order: Order) -> None:
        known = self.orders.get(order.service)
        if known is not None and known.number >= order.number:
            return
        self.orders[order.service] = order
        plan = self.plans.get(order.service)
        if plan is not None and plan.order == order.number:
            if plan.stage is not Stage.RUNNING:
                return
        self.watches[order.service] = Watch(order)
        self.log.event(
            'rollout_order',
            service=order.service,
            target=order.target,
            number=order.number,
            duration_s=order.duration.total_seconds(),
        )

    def _apply_plan(self, plan: Plan) -> None:
        known = self.plans.get(plan.service)
        if known == plan:
            return
        self.plans[plan.service] = plan
        self.log.event(
            'rollout_plan',
            service=plan.service,
            target=plan.target,
            stage=plan.stage.value,
            share=plan.share,
            reason=plan.reason,
        )

    def _is_halted(self, service: str) -> bool:
        watch = self.watches.get(service)
        return watch is not None and watch.halted

    def _write_first_plan(self, watch: Watch, previous: Plan | None) -> None:
        if self.own.loaded and self._may_write(watch, ''):
            now = self.own.store_time()
            self._commit(watch, plans.first_plan(watch.order, now, previous))

    def _advance(self, watch: Watch, plan: Plan) -> None:
        if watch.halted:
            self._commit(watch, plans.rolled_back(plan, 'evidence'))
            return
        due_plan = self.due_plan(watch, plan)
        if due_plan == plan:
            watch.overdue_since = None
            if plan.writer == self.roster.myself.name:
                self._read_evidence(watch, plan)
            return
        if not self._may_write(watch, plan.writer):
            return
        self._read_evidence(watch, plan)
        if watch.halted:
            due_plan = plans.rolled_back(plan, 'evidence')
        self._commit(watch, due_plan)

    def due_plan(self, watch: Watch, plan: Plan) -> Plan:
        """Return the plan that should be in effect at the present time."""
        now = self.own.store_time()
        elapsed = now - plan.began
        duration = watch.order.duration
        propagation = propagation_time(self.roster.store_followers())
        written = plan.stepped - propagation
        step_time = canary.step_time(self.settings, duration)
        if plan.share and now - written < step_time:
            return plan
        if plan.share and watch.suspect:
            # Completion shuts down the old version's endpoints and cannot be
            # undone, so a suspect version is held back past the deadline.
            return plan
        last = self.settings.steps[-1][1]
        if plan.share == last and canary.is_due(
            self.settings, elapsed, duration
        ):
            return plans.advanced(plan, 1, Stage.COMPLETED, now)
        exposed_fraction = watches.exposed_fraction(
            watch.combined, elapsed / duration
        )
        share = canary.share_at(
            self.settings, elapsed, duration, self.exposure, exposed_fraction
        )
        steps = canary.steps_for(self.settings, self.exposure, exposed_fraction)
        share = canary.next_share(steps, plan.share, share)
        return plans.advanced(plan, share, Stage.RUNNING, now + propagation)

    def _may_write(self, watch: Watch, writer: str) -> bool:
        """Return whether this node may write the overdue step now.

        The last writer may write at once. The other nodes take over by rank,
        each rank `TAKEOVER_DELAY` later than the one before.
        """
        now = self.clock.monotonic()
        if watch.overdue_since is None:
            watch.overdue_since = now
        if writer == self.roster.myself.name:
            return True
        rank = self.roster.rank() + bool(writer)
        return now - watch.overdue_since >= TAKEOVER_DELAY * rank

    def _commit(self, watch: Watch, plan: Plan) -> None:
        if self.clock.monotonic() < watch.retry_at:
            return
        plan = dataclasses.replace(plan, writer=self.roster.myself.name)
        key = plans.PLAN_PREFIX + plan.service
        row = self.own.rows.get(key)
        check = Check(key, 0 if row is None else row.version)
        outcome = self.table.commit(
            Transaction(
                checks=(check,),
                puts=(
                    Put(key, plans.encode(plan)),
                    self.documents.status_row(plan),
                ),
            )
        )
        if isinstance(outcome, Err):
            watch.retry_at = self.clock.monotonic() + COMMIT_BACKOFF
        self.log.event(
            'rollout_step',
            service=plan.service,
            stage=plan.stage.value,
            share=plan.share,
            reason=plan.reason,
            outcome='done' if isinstance(outcome, Ok) else str(outcome.err()),
        )

    def _write_evidence(self, service: str, watch: Watch) -> None:
        now = self.clock.monotonic()
        if now - watch.written_at < watches.MIN_EVIDENCE_INTERVAL:
            return
        own_record = watch.own_record(now, self.roster.count())
        if own_record == watch.written:
            return
        interval = watches.writing_interval(
            self.roster.count(), watches.unwritten_change(watch, own_record)
        )
        if now - watch.written_at < interval:
            return
        watch.written_at = now
        key = f'{_evidence_prefix(watch.order)}{self.roster.myself.name}'
        outcome = self.table.commit(
            Transaction(puts=(Put(key, records.encode(own_record)),))
        )
        if isinstance(outcome, Ok):
            watch.written = own_record
        plan = self.plans.get(service)
        if plan is None or plan.writer != self.roster.myself.name:
            # The writer of the plan evaluates the evidence of all nodes. The
            # others evaluate their own, so that a severe fault halts the new
            # version even while the store is unavailable.
            self._evaluate(watch, own_record)

    def _read_evidence(self, watch: Watch, plan: Plan) -> None:
        now = self.clock.monotonic()
        interval = watches.writing_interval(
            self.roster.count(), EvidenceChange.HARM
        )
        if now - watch.read_at < interval:
            return
        watch.read_at = now
        outcome = self.table.scan(
            _evidence_prefix(watch.order), MAX_EVIDENCE_ROWS
        )
        if isinstance(outcome, Err):
            self.log.event(
                'evidence_unread',
                service=plan.service,
                reason=outcome.err_value.detail,
            )
            return
        own = f'{_evidence_prefix(watch.order)}{self.roster.myself.name}'
        others = [row for row in outcome.ok_value if row.key != own]
        node_records = [watch.own_record(now, self.roster.count())]
        node_records.extend(self._decode_rows(watch, others))
        self._evaluate(watch, records.total(node_records))

    def _decode_rows(
        self, watch: Watch, rows: Sequence[Row]
    ) -> Iterator[Record]:
        """Yield the records of rows, decoding each row version only once."""
        cached = watch.decoded
        watch.decoded = {}
        for row in rows:
            known = cached.get(row.key)
            if known is None or known.version != row.version:
                known = Decoded(row.version, records.decode(row.body))
                if isinstance(known.outcome, Err):
                    self.log.event(
                        'unreadable_evidence',
                        key=row.key,
                        reason=known.outcome.err_value,
                    )
            watch.decoded[row.key] = known
            if isinstance(known.outcome, Ok):
                yield known.outcome.ok_value

    def _evaluate(self, watch: Watch, combined: Record) -> None:
        candidate = combined.candidate.evidence
        control = combined.control.evidence
        watch.judge.feed(
            candidate.minus(watch.combined.candidate.evidence),
            control.minus(watch.combined.control.evidence),
        )
        watch.combined = combined
        verdict = watch.judge.verdict()
        compared = slowness.compare(
            watches.SLOWNESS,
            combined.candidate.timings,
            combined.control.timings,
            watch.stopwatch.endpoints,
        )
        slow = max(compared, key=lambda comparison: comparison.statistic)
        statistic = max(verdict.statistic, slow.statistic)
        watch.suspect = statistic >= watches.JUDGE.suspicion
        measure = verdict.measure.value
        if slow.statistic > verdict.statistic:
            measure = slow.part.value
        halts = statistic >= watches.JUDGE.threshold and not watch.halted
        watch.halted = watch.halted or halts
        self.log.event(
            'rollout_halt' if halts else 'rollout_evidence',
            service=watch.order.service,
            target=watch.order.target,
            measure=measure,
            statistic=round(statistic, 1),
            candidate=evidence.encode(candidate),
            control=evidence.encode(control),
            slow={
                comparison.part.value: (
                    *(comparison.candidate.total, comparison.candidate.count),
                    *(comparison.control.total, comparison.control.count),
                )
                for comparison in compared
            },
        )


def _evidence_prefix(order: Order) -> str:
    return f'{EVIDENCE_TABLE}/{order.service}/{order.number}/'
