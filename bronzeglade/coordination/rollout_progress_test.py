"""Tests several nodes that share a lease and a roll-out, under failures.

The fake table has outages, in which writes are lost, and applies some writes
late. Nodes freeze between a check and the write that follows it.
"""

import dataclasses
import datetime as dt
import enum

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bronzeglade import builders
from bronzeglade.adapters.table import ABSENT, Row, Transaction
from bronzeglade.coordination import rollout_progress
from bronzeglade.coordination.lease import (
    ROLLOUT_LEASE_KEY,
    Lease,
    LeaseSettings,
    candidates,
    decode,
)
from bronzeglade.coordination.rollout_progress import RolloutState, RolloutView
from bronzeglade.decisions import version_comparison

ROLLOUT = builders.rollout()
KEY = rollout_progress.row_key(ROLLOUT.name)
RUN = rollout_progress.run_id(ROLLOUT)
NODES = strategies.integers(0, 2)
ENDED = frozenset((RolloutState.HALTED, RolloutState.DONE))


class RoundFault(enum.Enum):
    """Fault during one round of a node."""

    NONE = 'no fault'
    DELAYED_RENEWAL = 'the lease write is delayed'
    DELAYED_STEP = 'the write of the step is delayed'
    FROZEN = 'the node freezes between check and write'


class FakeTable:
    """Rows and delayed transactions, with the history of writes."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.delayed: list[Transaction] = []
        self.history: list[rollout_progress.RolloutProgress] = []
        self.tokens: list[int] = []
        self.holders: dict[int, str] = {}

    def version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else ABSENT

    def apply(self, transaction: Transaction) -> None:
        if any(
            self.version(check.key) != check.version
            for check in transaction.checks
        ):
            return
        for put in transaction.puts:
            row = Row(put.key, self.version(put.key) + 1, put.body)
            self.rows[put.key] = row
            if put.key == KEY:
                progress = rollout_progress.decode_row(row).progress
                assert progress is not None
                self.history.append(progress)
                lease = decode(self.rows[ROLLOUT_LEASE_KEY].body)
                # A write of a former lease holder must not be applied.
                assert progress.token == lease.token
            else:
                content = decode(row.body)
                self.tokens.append(content.token)
                if content.holder:
                    holder = self.holders.setdefault(
                        content.token, content.holder
                    )
                    assert holder == content.holder


@dataclasses.dataclass
class Member:
    """A node with its own monotonic clock.

    `prepared` is a write that a freeze has delayed.
    """

    clock: builders.ManualClock
    lease: Lease
    view: RolloutView
    prepared: Transaction | None = None


class Machine(RuleBasedStateMachine):
    """Rounds of nodes, table faults and gossip in any order."""

    @initialize()
    def begin(self) -> None:
        self.table = FakeTable()
        self.outage = 0
        self.members: list[Member] = []
        self.halted_at: set[int] = set()
        for index in range(3):
            clock = builders.ManualClock()
            lease = Lease(LeaseSettings(), clock, f'node-{index}')
            self.members.append(Member(clock, lease, RolloutView()))

    @rule(rounds=strategies.integers(1, 4))
    def fail_table(self, rounds: int) -> None:
        self.outage = rounds

    @rule(
        index=NODES,
        seconds=strategies.sampled_from([0.5, 2, 3, 6, 9, 13]),
        fault=strategies.sampled_from(RoundFault),
    )
    def run_round(self, index: int, seconds: float, fault: RoundFault) -> None:
        """Send a write that a freeze delayed, then run one round of a node."""
        for other in self.members:
            other.clock.advance(dt.timedelta(seconds=seconds))
        self.outage = max(0, self.outage - 1)
        member = self.members[index]
        if member.prepared is not None:
            self.send(member.prepared)
        self.read(member)
        transaction = member.lease.request()
        if transaction is not None:
            self.send(transaction, fault is RoundFault.DELAYED_RENEWAL)
            self.read(member)
        member.prepared = self.prepare(member)
        if member.prepared is not None and fault is not RoundFault.FROZEN:
            self.send(member.prepared, fault is RoundFault.DELAYED_STEP)
            member.prepared = None

    @rule(index=NODES)
    def resign(self, index: int) -> None:
        transaction = self.members[index].lease.resign()
        if transaction is not None:
            self.send(transaction)

    def read(self, member: Member) -> None:
        if not self.outage:
            member.lease.observe(self.table.rows.get(ROLLOUT_LEASE_KEY))
            progress = rollout_progress.decode_row(
                self.table.rows.get(KEY)
            ).progress
            if progress is not None:
                member.view.update(ROLLOUT.name, progress)

    def prepare(self, member: Member) -> Transaction | None:
        tenure = member.lease.held()
        if tenure is None or self.outage:
            return None
        stored = rollout_progress.decode_row(self.table.rows.get(KEY))
        progress = stored.progress
        reason = member.view.halt_reason(ROLLOUT)
        if progress is None:
            changed = rollout_progress.started(ROLLOUT, stored, tenure, ())
        elif progress.state in ENDED:
            return None
        elif reason is None:
            changed = rollout_progress.advanced(ROLLOUT, progress, tenure)
        else:
            changed = rollout_progress.halted(progress, reason, tenure)
        return rollout_progress.write(ROLLOUT.name, stored, changed, tenure)

    @rule()
    def apply_delayed(self) -> None:
        if self.table.delayed:
            self.table.apply(self.table.delayed.pop(0))

    @rule(index=NODES, choice=strategies.integers(0, 5))
    def halt(self, index: int, choice: int) -> None:
        if choice == 5:
            self.members[index].view.halt(RUN, 'errors')
            self.halted_at.add(index)

    @rule(source=NODES, receiver=NODES)
    def gossip(self, source: int, receiver: int) -> None:
        document = self.members[source].view.document([ROLLOUT])
        self.members[receiver].view.merge(document)
        if source in self.halted_at:
            self.halted_at.add(receiver)

    def send(self, transaction: Transaction, is_delayed: bool = False) -> None:
        if is_delayed:
            self.table.delayed.append(transaction)
        elif not self.outage:
            self.table.apply(transaction)

    @invariant()
    def one_holder(self) -> None:
        held = [member.lease.held() for member in self.members]
        assert len([tenure for tenure in held if tenure is not None]) <= 1

    @invariant()
    def tokens_only_rise(self) -> None:
        assert self.table.tokens == sorted(self.table.tokens)

    @invariant()
    def no_step_twice_or_skipped(self) -> None:
        steps = [
            progress.step
            for progress in self.table.history
            if progress.state is RolloutState.RUNNING
        ]
        assert steps == list(range(len(steps)))
        sequences = [progress.sequence for progress in self.table.history]
        assert sequences == list(range(1, len(sequences) + 1))

    @invariant()
    def halt_is_never_undone(self) -> None:
        states = [progress.state for progress in self.table.history]
        if RolloutState.HALTED in states:
            assert states[-1] is RolloutState.HALTED
            assert states.count(RolloutState.HALTED) == 1
        for index in self.halted_at:
            assert self.members[index].view.halt_reason(ROLLOUT) is not None

    @invariant()
    def no_new_work_where_the_halt_is_known(self) -> None:
        for index in self.halted_at:
            share = self.members[index].view.share(ROLLOUT)
            for unit in ('a', 'b', 'c'):
                version = version_comparison.assign(unit, ROLLOUT, share)
                assert version == ROLLOUT.from_version


TestMachine = Machine.TestCase
TestMachine.settings = settings(max_examples=200, stateful_step_count=50)


def test_frozen_holder_stops_by_its_own_clock() -> None:
    """A holder that resumes after its term must not act as leader."""
    clock = builders.ManualClock()
    lease = Lease(LeaseSettings(), clock, 'a')
    lease.observe(None)
    transaction = lease.request()
    assert transaction is not None
    clock.advance(dt.timedelta(seconds=1))
    lease.observe(Row(ROLLOUT_LEASE_KEY, 1, transaction.puts[0].body))
    tenure = lease.held()
    assert tenure is not None
    assert tenure.until == dt.timedelta(seconds=8)
    clock.advance(dt.timedelta(seconds=7))
    assert lease.held() is None


def test_candidates_are_in_different_failure_domains() -> None:
    """The loss of one failure domain must leave a candidate."""
    live = [(f'n{index}', f'd{index % 3}') for index in range(330)]
    chosen = candidates(live, ROLLOUT_LEASE_KEY, 3)
    assert {dict(live)[name] for name in chosen} == {'d0', 'd1', 'd2'}
    assert chosen == candidates(reversed(live), ROLLOUT_LEASE_KEY, 3)


def test_halted_run_stays_halted_when_its_name_is_used_again() -> None:
    """Publishing a halted pair of versions again must not restart it."""
    clock = builders.ManualClock()
    lease = Lease(LeaseSettings(), clock, 'a')
    lease.observe(None)
    transaction = lease.request()
    assert transaction is not None
    lease.observe(Row(ROLLOUT_LEASE_KEY, 1, transaction.puts[0].body))
    tenure = lease.held()
    assert tenure is not None
    first = rollout_progress.started(
        ROLLOUT, rollout_progress.decode_row(None), tenure, ()
    )
    stopped = rollout_progress.halted(first, 'errors', tenure)
    other = builders.rollout(to_version='v3')
    stored = rollout_progress.StoredProgress(stopped, 2)
    replaced = rollout_progress.started(other, stored, tenure, {RUN})
    restarted = RolloutView()
    restarted.update(
        ROLLOUT.name, rollout_progress.unpack(rollout_progress.pack(replaced))
    )
    assert restarted.halt_reason(other) is None
    assert restarted.share(other) == other.steps[0].share
    assert restarted.halt_reason(ROLLOUT) == rollout_progress.FORMER_REASON
    assert restarted.share(ROLLOUT) == 0
