"""Roll-outs on one node: which version a request gets, evidence, progress."""

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
from bronzeglade.decisions.stopwatch import Task, TimedAttempt
from bronzeglade.forwarding import record as records
from bronzeglade.forwarding import watch as watches
from bronzeglade.forwarding.endpoint import Endpoint
from bronzeglade.forwarding.follower import propagation_time
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.record import Record
from bronzeglade.forwarding.roster import Roster
from bronzeglade.forwarding.site import Documents
from bronzeglade.forwarding.watch import Decoded, News, Watch
from bronzeglade.forwarding.work import Work

EVIDENCE_TABLE = 'bronzeglade_evidence'
TICK = dt.timedelta(milliseconds=250)
# Another node acts in place of the one whose turn it is after this time.
TAKEOVER = dt.timedelta(milliseconds=700)
EVIDENCE_ROWS = 500
# Pause after a step that the store did not take.
COMMIT_PAUSE = dt.timedelta(milliseconds=700)


class Rollouts:
    """Orders and plans of all services, as this node sees them."""

    def __init__(
        self,
        table: Table,
        orders: Mirror,
        own: Mirror,
        documents: Documents,
        roster: Roster,
        log: Log,
    ) -> None:
        """Know no order.

        Args:
          table: where plans and evidence are written.
          orders: copy of the operator's table.
          own: copy of the product's table.
          documents: decoding of the operator's rows.
          roster: the nodes that take part.
          log: of the node.
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
        """Take the orders and plans of the follower."""
        for key, row in self.own.rows.items():
            if key.startswith(plans.PLAN_PREFIX):
                plan = plans.decode(row)
                if isinstance(plan, Err):
                    self.log.event(
                        'unreadable_plan', key=key, reason=plan.err_value
                    )
                else:
                    self._take_plan(plan.ok_value)
        for key, row in self.operator_rows.rows.items():
            if key.startswith(self.documents.order_prefix):
                order = self.documents.read_order(row)
                if isinstance(order, Err):
                    self.log.event(
                        'unreadable_order', key=key, reason=order.err_value
                    )
                else:
                    self._take_order(order.ok_value)

    def select(
        self, work: Work, endpoints: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return the endpoints whose version a request may use."""
        plan = self.plans.get(work.service)
        order = self.orders.get(work.service)
        if order is None:
            return list(endpoints)
        target = [one for one in endpoints if one.entry.version == order.target]
        withdrawn = plan.withdrawn if plan else ()
        others = [
            one
            for one in endpoints
            if one.entry.version not in {order.target, *withdrawn}
        ]
        if plan is None or plan.order != order.number:
            return others
        if plan.stage is Stage.COMPLETED:
            return target or others
        if plan.stage is Stage.ROLLED_BACK or self._is_halted(work.service):
            return others
        now = self.own.store_time()
        if work.facts.session is not None and not canary.includes_sessions(
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
        """Count the outcome of a try during a roll-out."""
        watch = self.watches.get(service)
        if watch is None:
            return
        if version == watch.order.target:
            watch.candidate = evidence.count(watch.candidate, observation)
        else:
            watch.control = evidence.count(watch.control, observation)

    def start_timing(
        self, service: str, version: str, task: Task
    ) -> TimedAttempt | None:
        """Begin to time a try; return None when no roll-out runs.

        Args:
          service: that is asked.
          version: of the endpoint.
          task: what the try has to do.
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

    def end_timing(
        self, service: str, timed: TimedAttempt, complete: bool
    ) -> None:
        """Count the time of a try that has ended.

        Args:
          service: that was asked.
          timed: the try.
          complete: whether its answer is complete.
        """
        watch = self.watches.get(service)
        if watch is not None:
            watch.stopwatch.end(timed, self.clock.monotonic(), complete)

    def forget_timing(self, service: str, timed: TimedAttempt) -> None:
        """Drop a try that tells nothing of the version."""
        watch = self.watches.get(service)
        if watch is not None:
            watch.stopwatch.forget(timed)

    def tick(self) -> None:
        """Exchange evidence and move the roll-outs that are this node's."""
        for service, watch in list(self.watches.items()):
            plan = self.plans.get(service)
            if plan is not None and plan.order == watch.order.number:
                if plan.stage is not Stage.RUNNING:
                    self.watches.pop(service)
                    continue
                self._write_evidence(service, watch)
                self._advance(watch, plan)
            else:
                self._begin(watch, plan)

    def _take_order(self, order: Order) -> None:
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

    def _take_plan(self, plan: Plan) -> None:
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

    def _begin(self, watch: Watch, before: Plan | None) -> None:
        if self.own.loaded and self._is_turn(watch, ''):
            now = self.own.store_time()
            self._commit(watch, plans.first_plan(watch.order, now, before))

    def _advance(self, watch: Watch, plan: Plan) -> None:
        if watch.halted:
            self._commit(watch, plans.rolled_back(plan, 'evidence'))
            return
        wanted = self.wanted(watch, plan)
        if wanted == plan:
            watch.lagging_since = None
            if plan.writer == self.roster.myself.name:
                self._read_evidence(watch, plan)
            return
        if not self._is_turn(watch, plan.writer):
            return
        self._read_evidence(watch, plan)
        if watch.halted:
            wanted = plans.rolled_back(plan, 'evidence')
        self._commit(watch, wanted)

    def wanted(self, watch: Watch, plan: Plan) -> Plan:
        """Return the plan that should hold by now."""
        now = self.own.store_time()
        elapsed = now - plan.began
        duration = watch.order.duration
        propagation = propagation_time(self.roster.store_followers())
        written = plan.stepped - propagation
        step_time = canary.step_time(self.settings, duration)
        if plan.share and now - written < step_time:
            return plan
        if plan.share and watch.suspect:
            # The old version's endpoints end with the roll-out: what looks
            # slow is not completed, even if that is late.
            return plan
        last = self.settings.steps[-1][1]
        if plan.share == last and canary.is_due(
            self.settings, elapsed, duration
        ):
            return plans.advanced(plan, 1, Stage.COMPLETED, now)
        spent = watches.spent(watch.seen, elapsed / duration)
        share = canary.share_at(
            self.settings, elapsed, duration, self.exposure, spent
        )
        steps = canary.steps_for(self.settings, self.exposure, spent)
        share = canary.next_share(steps, plan.share, share)
        return plans.advanced(plan, share, Stage.RUNNING, now + propagation)

    def _is_turn(self, watch: Watch, writer: str) -> bool:
        """Return whether this node acts now.

        The node that wrote the plan goes on; the others follow by rank, each
        after a while.
        """
        now = self.clock.monotonic()
        if watch.lagging_since is None:
            watch.lagging_since = now
        if writer == self.roster.myself.name:
            return True
        rank = self.roster.rank() + bool(writer)
        return now - watch.lagging_since >= TAKEOVER * rank

    def _commit(self, watch: Watch, plan: Plan) -> None:
        if self.clock.monotonic() < watch.paused_until:
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
            watch.paused_until = self.clock.monotonic() + COMMIT_PAUSE
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
        if now - watch.written_at < watches.EVIDENCE_INTERVAL:
            return
        mine = watch.mine(now, self.roster.count())
        if mine == watch.written:
            return
        interval = watches.writing_interval(
            self.roster.count(), watches.news_of(watch, mine)
        )
        if now - watch.written_at < interval:
            return
        watch.written_at = now
        key = f'{_evidence_prefix(watch.order)}{self.roster.myself.name}'
        outcome = self.table.commit(
            Transaction(puts=(Put(key, records.encode(mine)),))
        )
        if isinstance(outcome, Ok):
            watch.written = mine
        plan = self.plans.get(service)
        if plan is None or plan.writer != self.roster.myself.name:
            # The acting node judges the evidence of all nodes, this one its
            # own, so that a severe fault stops it without the store.
            self._judge(watch, mine)

    def _read_evidence(self, watch: Watch, plan: Plan) -> None:
        now = self.clock.monotonic()
        interval = watches.writing_interval(self.roster.count(), News.HARM)
        if now - watch.read_at < interval:
            return
        watch.read_at = now
        outcome = self.table.scan(_evidence_prefix(watch.order), EVIDENCE_ROWS)
        if isinstance(outcome, Err):
            self.log.event(
                'evidence_unread',
                service=plan.service,
                reason=outcome.err_value.detail,
            )
            return
        own = f'{_evidence_prefix(watch.order)}{self.roster.myself.name}'
        others = [row for row in outcome.ok_value if row.key != own]
        parts = [watch.mine(now, self.roster.count())]
        parts.extend(self._decoded(watch, others))
        self._judge(watch, records.total(parts))

    def _decoded(self, watch: Watch, rows: Sequence[Row]) -> Iterator[Record]:
        """Return the records of rows; each version is decoded once."""
        before = watch.decoded
        watch.decoded = {}
        for row in rows:
            known = before.get(row.key)
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

    def _judge(self, watch: Watch, seen: Record) -> None:
        candidate = seen.candidate.evidence
        control = seen.control.evidence
        watch.judge.feed(
            candidate.minus(watch.seen.candidate.evidence),
            control.minus(watch.seen.control.evidence),
        )
        watch.seen = seen
        verdict = watch.judge.verdict()
        compared = slowness.compare(
            watches.SLOWNESS,
            seen.candidate.timings,
            seen.control.timings,
            watch.stopwatch.endpoints,
        )
        slow = max(compared, key=lambda one: one.statistic)
        statistic = max(verdict.statistic, slow.statistic)
        watch.suspect = statistic >= watches.JUDGE.suspicion
        measure = verdict.measure.value
        if slow.statistic > verdict.statistic:
            measure = slow.phase.value
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
                one.phase.value: (
                    *(one.candidate.total, one.candidate.count),
                    *(one.control.total, one.control.count),
                )
                for one in compared
            },
        )


def _evidence_prefix(order: Order) -> str:
    return f'{EVIDENCE_TABLE}/{order.service}/{order.number}/'
