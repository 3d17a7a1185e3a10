"""Runs version roll-outs on a node.

Chooses the version for each request, exchanges evidence with the other nodes
and writes the next step of a plan.
"""

import dataclasses
import datetime as dt
from collections.abc import Iterator, Sequence

from eliot import write_traceback
from result import Err, Ok

from bronzeglade.adapters.table import Check, Put, Row, Table, Transaction
from bronzeglade.coordination import rollout_plan
from bronzeglade.coordination.rollout_plan import Order, Plan, Stage
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.decisions import evidence, rollout_schedule, slowness
from bronzeglade.decisions.attempt_timing import Task, TimedAttempt
from bronzeglade.decisions.evidence import Observation
from bronzeglade.decisions.rollout_schedule import CanarySettings, Exposure
from bronzeglade.forwarding import evidence_record, running_rollout
from bronzeglade.forwarding.accepted_request import AcceptedRequest
from bronzeglade.forwarding.decoding import RowDecoder
from bronzeglade.forwarding.endpoint import Endpoint
from bronzeglade.forwarding.evidence_record import EvidenceRecord
from bronzeglade.forwarding.follower import propagation_time
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.platform_interface import Documents
from bronzeglade.forwarding.roster import Roster
from bronzeglade.forwarding.settings import RolloutBounds
from bronzeglade.forwarding.running_rollout import (
    DecodedRow,
    EvidenceChange,
    RunningRollout,
)

EVIDENCE_TABLE = 'bronzeglade_evidence'
TICK = dt.timedelta(milliseconds=250)
# Delay, multiplied by the rank of a node, before it writes an overdue step of
# another node.
TAKEOVER_DELAY = dt.timedelta(milliseconds=700)
MAX_EVIDENCE_ROWS = 500
# Delay before the next commit after a failed one.
COMMIT_BACKOFF = dt.timedelta(milliseconds=700)


class ServiceRollouts:
    """Roll-out orders and plans of all services, as known to this node."""

    def __init__(
        self,
        table: Table,
        orders: TableMirror,
        router_rows: TableMirror,
        documents: Documents,
        roster: Roster,
        log: Log,
    ) -> None:
        """Start without orders or plans.

        Args:
          table: store table for plans and evidence.
          orders: local copy of the operator's table.
          router_rows: local copy of the table that router nodes write.
          documents: decodes the operator's rows.
          roster: the registered router nodes.
          log: log of this node.
        """
        self.table = table
        self.operator_rows = orders
        self.router_rows = router_rows
        self.documents = documents
        self.roster = roster
        self.log = log
        self.clock = router_rows.clock
        self.plan_decoder = RowDecoder(
            rollout_plan.decode, 'unreadable_plan', log
        )
        self.order_decoder = RowDecoder(
            documents.read_order, 'unreadable_order', log
        )
        self.settings = CanarySettings()
        self.bounds = RolloutBounds(share=0.1, slack=0)
        self.orders: dict[str, Order] = {}
        self.plans: dict[str, Plan] = {}
        self.running: dict[str, RunningRollout] = {}
        # The newest row of each order, by its number. The order itself keeps
        # the number that it got first.
        self.order_rows: dict[str, int] = {}
        # Plans that a restored store has lost, and when to write them again.
        self.lost_plans: dict[str, dt.timedelta] = {}
        self.era = 0

    def refresh(self) -> None:
        """Apply the orders and plans in the local copies of the tables."""
        self._begin_era()
        rows = _with_prefix(self.router_rows, rollout_plan.PLAN_PREFIX)
        plans = self.plan_decoder.read(rows)
        for plan in plans:
            self._apply_plan(plan)
        if self.router_rows.is_restoring():
            for service in self.plans.keys() - {plan.service for plan in plans}:
                self._record_lost_plan(self.plans[service])
        orders = _with_prefix(self.operator_rows, self.documents.order_prefix)
        for order in self.order_decoder.read(orders):
            self._apply_order(order)
        self._adopt_numbers()

    def select(
        self, request: AcceptedRequest, endpoints: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return the endpoints with the version chosen for a request."""
        plan = self.plans.get(request.service)
        order = self.orders.get(request.service)
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
        if plan.stage is Stage.ROLLED_BACK or self._is_halted(request.service):
            return others
        now = self.router_rows.store_time()
        if (
            request.facts.session is not None
            and not rollout_schedule.includes_sessions(
                self.settings, now - plan.began, order.duration
            )
        ):
            return others or target
        unit = f'{plan.service} {plan.order}'
        if rollout_schedule.position(unit, request.unit) < plan.share_at(now):
            return target or others
        return others or target

    def concentrate(
        self, request: AcceptedRequest, endpoints: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return the endpoints that a request may use during a load test.

        While the control version is under load, most requests of the candidate
        go to few of its endpoints, the same ones on all nodes.

        Args:
          request: the request.
          endpoints: available endpoints of the version selected for it.
        """
        rollout = self.running.get(request.service)
        plan = self.plans.get(request.service)
        if (
            rollout is None
            or plan is None
            or plan.order != rollout.order.number
            or not rollout.needs_load_test()
            or any(
                endpoint.entry.version != plan.target for endpoint in endpoints
            )
        ):
            return list(endpoints)
        unit = f'{plan.service} {plan.order} load test'
        if (
            rollout_schedule.position(unit, request.unit)
            >= self.settings.load_test_fraction
        ):
            return list(endpoints)
        count = rollout_schedule.tested_endpoints(
            self.settings,
            plan.share_at(self.router_rows.store_time()),
            len(endpoints),
        )
        return sorted(
            endpoints,
            key=lambda endpoint: rollout_schedule.position(unit, endpoint.name),
        )[:count]

    def observe(
        self,
        service: str,
        version: str,
        observation: Observation,
        load: float = 0,
    ) -> None:
        """Count the outcome of an attempt while a roll-out is running.

        Args:
          service: service that received the attempt.
          version: version of the endpoint.
          observation: the outcome.
          load: requests at the endpoint, as a fraction of its slots.
        """
        rollout = self.running.get(service)
        if rollout is None:
            return
        if version == rollout.order.target:
            rollout.count_candidate(observation, load)
        else:
            rollout.count_control(observation, load)

    def record_load(self, service: str, version: str, load: float) -> None:
        """Record the load that an endpoint reports while a roll-out is running.

        Args:
          service: service of the endpoint.
          version: version of the endpoint.
          load: its requests, as a fraction of its slots.
        """
        rollout = self.running.get(service)
        if rollout is not None and version != rollout.order.target:
            rollout.record_control_load(load)

    def start_timing(
        self, service: str, version: str, task: Task
    ) -> TimedAttempt | None:
        """Start timing an attempt; return None when no roll-out is running.

        Args:
          service: service that receives the attempt.
          version: version of the endpoint.
          task: the work of the attempt, by which its times are grouped.
        """
        rollout = self.running.get(service)
        plan = self.plans.get(service)
        if (
            rollout is None
            or plan is None
            or plan.order != rollout.order.number
        ):
            return None
        is_candidate = version == rollout.order.target
        rollout.count_sent(is_candidate)
        return rollout.timer.start(
            task,
            is_candidate,
            plan.share_at(self.router_rows.store_time()),
            self.clock.monotonic(),
        )

    def end_timing(
        self, service: str, timed: TimedAttempt, complete: bool
    ) -> None:
        """Count the duration of an attempt that has ended.

        Args:
          service: service that received the attempt.
          timed: the attempt, from `start_timing`.
          complete: whether the complete answer was received.
        """
        rollout = self.running.get(service)
        if rollout is not None:
            rollout.timer.end(timed, self.clock.monotonic(), complete)

    def discard_timing(self, service: str, timed: TimedAttempt) -> None:
        """Discard an attempt that is no evidence about the version."""
        rollout = self.running.get(service)
        if rollout is not None:
            rollout.timer.forget(timed)

    def tick(self) -> None:
        """Exchange evidence and advance the roll-outs this node may write."""
        for service, due_at in list(self.lost_plans.items()):
            if self.clock.monotonic() >= due_at:
                self._restore_plan(self.plans[service])
        for service, rollout in list(self.running.items()):
            try:
                self._tick(service, rollout)
            except Exception:
                # A failure of one roll-out must not affect the others.
                write_traceback()

    def _tick(self, service: str, rollout: RunningRollout) -> None:
        plan = self.plans.get(service)
        if plan is None or plan.order != rollout.order.number:
            self._write_first_plan(rollout, plan)
        elif plan.stage is Stage.RUNNING:
            self._write_evidence(service, rollout)
            self._advance(rollout, plan)
        else:
            self.running.pop(service)

    def _begin_era(self) -> None:
        """Write what a restored store may have lost again, in due time."""
        if self.router_rows.era == self.era:
            return
        self.era = self.router_rows.era
        for rollout in self.running.values():
            rollout.written = EvidenceRecord()
            # Rows of other nodes may have the same versions and other content.
            rollout.decoded = {}

    def _adopt_numbers(self) -> None:
        """Number each order as its plan does, the same on all nodes."""
        for service, order in self.orders.items():
            plan = self.plans.get(service)
            if plan is None or not rollout_plan.continues(plan, order):
                continue
            adopted = dataclasses.replace(order, number=plan.order)
            self.orders[service] = adopted
            rollout = self.running.get(service)
            if rollout is not None:
                rollout.order = adopted

    def _is_new(self, order: Order, version: int) -> bool:
        """Return whether a row contains another order than the known one.

        Args:
          order: the order in the row.
          version: version of the row.
        """
        known = self.orders.get(order.service)
        if known is None:
            return True
        newest = self.order_rows.get(order.service, known.number)
        if order.number <= newest:
            return False
        rows = self.operator_rows
        is_first = newest < rollout_plan.order_number(rows.era, 0)
        if rollout_plan.is_repeated(order, known):
            if is_first or rows.is_restoring():
                self.order_rows[order.service] = order.number
                return False
        elif rows.is_restoring() and version <= rows.restored_at:
            # An earlier order, until the operator has repeated the known one.
            return False
        return True

    def _apply_order(self, row_order: Order) -> None:
        order = dataclasses.replace(
            row_order,
            number=rollout_plan.order_number(
                self.operator_rows.era, row_order.number
            ),
        )
        if not self._is_new(order, row_order.number):
            return
        self.orders[order.service] = order
        self.order_rows[order.service] = order.number
        plan = self.plans.get(order.service)
        if plan is not None and plan.order == order.number:
            if plan.stage is not Stage.RUNNING:
                return
        self.running[order.service] = RunningRollout(order)
        self.log.event(
            'rollout_order',
            service=order.service,
            target=order.target,
            number=order.number,
            duration_s=order.duration.total_seconds(),
        )

    def _apply_plan(self, plan: Plan) -> None:
        known = self.plans.get(plan.service)
        if known is not None and rollout_plan.is_outdated(plan, known):
            self._record_lost_plan(known)
            return
        self.lost_plans.pop(plan.service, None)
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

    def _record_lost_plan(self, plan: Plan) -> None:
        """Keep a plan that the store has lost, and write it again.

        Its writer does so at once, other nodes only if the writer does not.
        """
        if plan.service in self.lost_plans:
            return
        due_at = self.clock.monotonic()
        if plan.writer != self.roster.local_node.name:
            due_at += TAKEOVER_DELAY * (self.roster.rank() + 1)
        self.lost_plans[plan.service] = due_at
        self.log.event(
            'rollout_plan_lost',
            service=plan.service,
            target=plan.target,
            stage=plan.stage.value,
            share=plan.share,
        )

    def _restore_plan(self, plan: Plan) -> None:
        self.lost_plans[plan.service] = self.clock.monotonic() + COMMIT_BACKOFF
        self._commit_plan(plan)

    def _is_halted(self, service: str) -> bool:
        rollout = self.running.get(service)
        return rollout is not None and rollout.halted

    def _write_first_plan(
        self, rollout: RunningRollout, previous: Plan | None
    ) -> None:
        if self.router_rows.loaded and self._may_write(rollout, ''):
            now = self.router_rows.store_time()
            self._commit(
                rollout, rollout_plan.first_plan(rollout.order, now, previous)
            )

    def _advance(self, rollout: RunningRollout, plan: Plan) -> None:
        if rollout.halted:
            self._commit(rollout, rollout_plan.rolled_back(plan, 'evidence'))
            return
        due_plan = self.due_plan(rollout, plan)
        if due_plan == plan:
            rollout.overdue_since = None
            if plan.writer == self.roster.local_node.name:
                self._read_evidence(rollout, plan)
            return
        if not self._may_write(rollout, plan.writer):
            return
        if (
            due_plan.share >= self.settings.last_share
            and plan.writer == self.roster.local_node.name
        ):
            # The steps that move most of the traffic need the newest evidence.
            rollout.read_at = dt.timedelta()
        self._read_evidence(rollout, plan)
        due_plan = self.due_plan(rollout, plan)
        if rollout.halted:
            due_plan = rollout_plan.rolled_back(plan, 'evidence')
        if due_plan != plan:
            self._commit(rollout, due_plan)

    def due_plan(self, rollout: RunningRollout, plan: Plan) -> Plan:
        """Return the plan that should be in effect at the present time."""
        now = self.router_rows.store_time()
        elapsed = now - plan.began
        duration = rollout.order.duration
        propagation = propagation_time(self.roster.store_followers())
        written = plan.stepped - propagation
        step_time = rollout_schedule.step_time(self.settings, duration)
        if plan.share and now - written < step_time:
            return plan
        if plan.share and rollout.suspect:
            # Completion shuts down the control version's endpoints and cannot
            # be undone, so a suspect candidate does not advance.
            if elapsed < duration * self.settings.give_up_at:
                return plan
            return rollout_plan.rolled_back(plan, 'suspect at the deadline')
        under_load = rollout.needs_load_test()
        pace = self.settings.loaded if under_load else self.settings.calm
        elapsed_fraction = elapsed / duration
        if (
            plan.share == self.settings.last_share
            and elapsed_fraction >= pace.complete_at
        ):
            return rollout_plan.advanced(plan, 1, Stage.COMPLETED, now)
        share = rollout_schedule.next_share(
            self.settings,
            plan.share,
            rollout_schedule.share_at(
                self.settings,
                pace,
                elapsed_fraction,
                self.bounds.share,
                self._exposure(rollout, plan, elapsed),
            ),
        )
        return rollout_plan.advanced(
            plan, share, Stage.RUNNING, now + propagation
        )

    def _exposure(
        self, rollout: RunningRollout, plan: Plan, elapsed: dt.timedelta
    ) -> Exposure | None:
        """Return the exposure by which the next share is sized, if known.

        Only the writer of the plan knows the requests of all nodes.
        """
        if plan.writer != self.roster.local_node.name:
            return None
        return running_rollout.exposure(self.bounds, rollout, elapsed)

    def _may_write(self, rollout: RunningRollout, writer: str) -> bool:
        """Return whether this node may write the overdue step now.

        The last writer may write at once. The other nodes take over in the
        order of their ranks, at intervals of `TAKEOVER_DELAY`.
        """
        now = self.clock.monotonic()
        if rollout.overdue_since is None:
            rollout.overdue_since = now
        if writer == self.roster.local_node.name:
            return True
        rank = self.roster.rank() + bool(writer)
        return now - rollout.overdue_since >= TAKEOVER_DELAY * rank

    def _commit(self, rollout: RunningRollout, plan: Plan) -> None:
        if self.clock.monotonic() < rollout.retry_at:
            return
        if not self._commit_plan(plan):
            rollout.retry_at = self.clock.monotonic() + COMMIT_BACKOFF

    def _commit_plan(self, plan: Plan) -> bool:
        """Write a plan and the status of its order; return whether it is done.

        The row must be as this node knows it.
        """
        plan = dataclasses.replace(plan, writer=self.roster.local_node.name)
        key = rollout_plan.PLAN_PREFIX + plan.service
        row = self.router_rows.rows.get(key)
        check = Check(key, 0 if row is None else row.version)
        outcome = self.table.commit(
            Transaction(
                checks=(check,),
                puts=(
                    Put(key, rollout_plan.encode(plan)),
                    self.documents.status_row(plan),
                ),
            )
        )
        self.log.event(
            'rollout_step',
            service=plan.service,
            stage=plan.stage.value,
            share=plan.share,
            reason=plan.reason,
            outcome='done' if isinstance(outcome, Ok) else str(outcome.err()),
        )
        return isinstance(outcome, Ok)

    def _write_evidence(self, service: str, rollout: RunningRollout) -> None:
        now = self.clock.monotonic()
        urgent = rollout.has_first_failure()
        if (
            not urgent
            and now - rollout.written_at < running_rollout.MIN_EVIDENCE_INTERVAL
        ):
            return
        own_record = rollout.own_record(now, self.roster.count())
        if own_record == rollout.written:
            return
        plan = self.plans.get(service)
        change = running_rollout.unwritten_change(rollout, own_record)
        if change is EvidenceChange.NONE and self._needs_counts(rollout, plan):
            change = EvidenceChange.ANSWERS
        interval = running_rollout.writing_interval(self.roster.count(), change)
        if not urgent and now - rollout.written_at < interval:
            return
        rollout.written_at = now
        rollout.reported_failure = rollout.candidate.errors.total > 0
        key = f'{_evidence_prefix(rollout.order)}{self.roster.local_node.name}'
        outcome = self.table.commit(
            Transaction(puts=(Put(key, evidence_record.encode(own_record)),))
        )
        if isinstance(outcome, Ok):
            rollout.written = own_record
        if plan is None or plan.writer != self.roster.local_node.name:
            # The writer of the plan evaluates the evidence of all nodes. The
            # others evaluate their own, so that a severe fault halts the
            # candidate even while the store is unavailable.
            self._evaluate(rollout, own_record)

    def _needs_counts(self, rollout: RunningRollout, plan: Plan | None) -> bool:
        if plan is None:
            return False
        elapsed = self.router_rows.store_time() - plan.began
        return rollout_schedule.needs_counts(
            self.settings, elapsed / rollout.order.duration
        )

    def _read_evidence(self, rollout: RunningRollout, plan: Plan) -> None:
        now = self.clock.monotonic()
        interval = running_rollout.writing_interval(
            self.roster.count(), EvidenceChange.HARM
        )
        if now - rollout.read_at < interval:
            return
        rollout.read_at = now
        outcome = self.table.scan(
            _evidence_prefix(rollout.order), MAX_EVIDENCE_ROWS
        )
        if isinstance(outcome, Err):
            self.log.event(
                'evidence_read_failed',
                service=plan.service,
                reason=outcome.err_value.detail,
            )
            return
        own_key = (
            f'{_evidence_prefix(rollout.order)}{self.roster.local_node.name}'
        )
        others = [row for row in outcome.ok_value if row.key != own_key]
        node_records = [rollout.own_record(now, self.roster.count())]
        node_records.extend(self._decode_rows(rollout, others))
        combined = evidence_record.total(node_records)
        rollout.traffic.record(
            self.router_rows.store_time() - plan.began, combined.sent()
        )
        self._evaluate(rollout, combined)

    def _decode_rows(
        self, rollout: RunningRollout, rows: Sequence[Row]
    ) -> Iterator[EvidenceRecord]:
        """Yield the records of rows, decoding each row version only once."""
        cached = rollout.decoded
        rollout.decoded = {}
        for row in rows:
            known = cached.get(row.key)
            if known is None or known.version != row.version:
                known = DecodedRow(
                    row.version, evidence_record.decode(row.body)
                )
                if isinstance(known.outcome, Err):
                    self.log.event(
                        'unreadable_evidence',
                        key=row.key,
                        reason=known.outcome.err_value,
                    )
            rollout.decoded[row.key] = known
            if isinstance(known.outcome, Ok):
                yield known.outcome.ok_value

    def _evaluate(
        self, rollout: RunningRollout, combined: EvidenceRecord
    ) -> None:
        candidate = combined.candidate.evidence
        control = combined.control.evidence
        rollout.add_evidence(combined)
        verdict = max(
            rollout.judge.verdict(),
            rollout.busy_judge.verdict(),
            key=lambda result: result.statistic,
        )
        compared = slowness.compare(
            running_rollout.SLOWNESS,
            combined.candidate.timings,
            combined.control.timings,
            rollout.timer.endpoints,
        )
        slowest = max(compared, key=lambda comparison: comparison.statistic)
        statistic = max(verdict.statistic, slowest.statistic)
        rollout.suspect = statistic >= running_rollout.JUDGE.suspicion
        measure = verdict.measure.value
        if slowest.statistic > verdict.statistic:
            measure = slowest.phase.value
        halts = (
            statistic >= running_rollout.JUDGE.threshold and not rollout.halted
        )
        rollout.halted = rollout.halted or halts
        self.log.event(
            'rollout_halt' if halts else 'rollout_evidence',
            service=rollout.order.service,
            target=rollout.order.target,
            measure=measure,
            statistic=round(statistic, 1),
            candidate=evidence.encode(candidate),
            control=evidence.encode(control),
            busy=(
                *evidence.encode(combined.candidate.busy)[1::-1],
                *evidence.encode(combined.control.busy)[1::-1],
            ),
            sent=(combined.candidate.sent, combined.control.sent),
            slow={
                comparison.phase.value: (
                    *(comparison.candidate.total, comparison.candidate.count),
                    *(comparison.control.total, comparison.control.count),
                )
                for comparison in compared
            },
        )


def _evidence_prefix(order: Order) -> str:
    return f'{EVIDENCE_TABLE}/{order.service}/{order.number}/'


def _with_prefix(mirror: TableMirror, prefix: str) -> list[Row]:
    return [row for key, row in mirror.rows.items() if key.startswith(prefix)]
