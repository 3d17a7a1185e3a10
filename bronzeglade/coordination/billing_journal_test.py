"""Tests that the ledger holds each billing record once under failures."""

import collections
import datetime as dt
from random import Random

import msgpack
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from bronzeglade.builders import ManualClock
from bronzeglade.coordination import billing_journal
from bronzeglade.coordination.billing_journal import (
    Batch,
    Journal,
    JournalSettings,
    Replicas,
)
from bronzeglade.manifest import Rank
from bronzeglade.stepped import Fault, SteppedTable, Task

VMS = ('a', 'b', 'c')  # each in its own failure domain
VM = st.sampled_from(VMS)
SMALL = JournalSettings(batch=3, limit=20, reserve=5, replica_limit=40)


class Process:
    """The journal and the replicas of one process."""

    def __init__(self, origin: str, vm: str) -> None:
        """Create a process with an empty journal."""
        self.journal = Journal(origin, vm, SMALL)
        self.replicas = Replicas(SMALL)
        self.tasks: dict[str, Task] = {}

    def start(self, table: SteppedTable, origin: str) -> None:
        """Start a flush of an origin unless one is in progress."""
        if origin in self.tasks:
            return
        now = ManualClock().now()
        replica = self.replicas.by_origin.get(origin)
        if origin == self.journal.window.origin:
            self.tasks[origin] = Task(self.journal.flush, table, now)
        elif replica is not None:
            self.tasks[origin] = Task(
                billing_journal.flush, table, replica.window, 3, now
            )


class LedgerMachine(RuleBasedStateMachine):
    """Three VMs whose processes die, pause and flush for each other."""

    def __init__(self) -> None:
        """Start one process on each VM."""
        super().__init__()
        self.table = SteppedTable()
        self.now = dt.timedelta()
        self.started = 0
        self.processes = {vm: self.new_process(vm) for vm in VMS}
        self.delayed_batches: list[tuple[str, Batch]] = []
        self.issued: dict[str, list[int]] = collections.defaultdict(list)
        self.confirmed: set[int] = set()
        self.count = 0
        self.unreplicated: set[str] = set()

    def new_process(self, vm: str) -> Process:
        """Return a process with a new origin."""
        self.started += 1
        return Process(f'{vm}-{self.started}', vm)

    def confirm(self, journal: Journal) -> None:
        """Add the durable records, whose callers receive their answers."""
        origin = journal.window.origin
        self.confirmed |= set(self.issued[origin][: journal.durable()])

    @rule(vm=VM, count=st.integers(1, 4))
    def record(self, vm: str, count: int) -> None:
        """Append billing records."""
        journal = self.processes[vm].journal
        for _ in range(count):
            self.count += 1
            self.issued[journal.window.origin].append(self.count)
            journal.append(msgpack.packb(self.count))
        self.confirm(journal)

    @rule(vm=VM, delivery=st.sampled_from(('ok', 'ok', 'lost', 'late')))
    def replicate(self, vm: str, delivery: str) -> None:
        """Send a batch; the reply may be lost or the batch delayed."""
        journal = self.processes[vm].journal
        holder = journal.holder or next(other for other in VMS if other != vm)
        journal.assign(holder)
        batch = billing_journal.parse_batch(journal.unsent().document())
        if delivery == 'late':
            self.delayed_batches.append((holder, batch))
            return
        upto, _full = self.processes[holder].replicas.hold(batch, self.now)
        if delivery == 'ok':
            journal.acknowledge(holder, upto)
            self.confirm(journal)
            if not journal.unsent().records:
                self.unreplicated.discard(vm)

    @rule(vm=VM, holder=VM)
    def change_holder(self, vm: str, holder: str) -> None:
        """Assign another replica holder, as after a membership change."""
        if vm != holder:
            self.processes[vm].journal.assign(holder)

    @precondition(lambda machine: machine.delayed_batches)
    @rule()
    def deliver_delayed(self) -> None:
        """Deliver a delayed batch whose sender has timed out."""
        holder, batch = self.delayed_batches.pop(0)
        self.processes[holder].replicas.hold(batch, self.now)

    @rule(vm=VM, fault=st.sampled_from(Fault), own=st.booleans())
    def flush(self, vm: str, fault: Fault, own: bool) -> None:
        """Start flushes, or advance those in progress by one step."""
        process = self.processes[vm]
        origins = [process.journal.window.origin]
        if not own:
            origins = list(process.replicas.by_origin)
        for origin in origins:
            process.start(self.table, origin)
            self.step(process, origin, fault)

    def step(self, process: Process, origin: str, fault: Fault) -> None:
        """Advance the flush of an origin by one step, if there is one."""
        task = process.tasks.pop(origin, None)
        if task is None:
            return
        if not task.done:
            task.step(fault)
        if not task.done:
            process.tasks[origin] = task
            return
        self.confirm(process.journal)
        replica = process.replicas.by_origin.get(origin)
        if replica is not None:
            process.replicas.remove_if_flushed(replica.window)

    @precondition(lambda machine: machine.table.delayed)
    @rule()
    def settle(self) -> None:
        """Apply a delayed commit, whose caller received an unknown outcome."""
        self.table.apply_delayed(0)

    def recovered(self) -> bool:
        """Return whether all nodes have handled the last killed process."""
        live = {
            process.journal.window.origin for process in self.processes.values()
        }
        return not self.unreplicated and all(
            live.issuperset(process.replicas.by_origin)
            for process in self.processes.values()
        )

    @precondition(lambda machine: machine.recovered())
    @rule(vm=VM)
    def kill(self, vm: str) -> None:
        """End a process and start a new one on its VM."""
        self.processes[vm] = self.new_process(vm)
        self.unreplicated = set(VMS)

    def ledger(self) -> list[int]:
        """Return all records in the ledger."""
        return [
            number
            for row in self.table.scan('ledger/', 100_000).unwrap()
            for number in msgpack.unpackb(row.body)
        ]

    @invariant()
    def no_record_is_written_twice(self) -> None:
        """Otherwise a team would be charged twice for a request."""
        counts = collections.Counter(self.ledger())
        assert max(counts.values(), default=1) == 1

    def teardown(self) -> None:
        """Flush everything; the ledger must hold all confirmed records."""
        while self.table.delayed:
            self.table.apply_delayed(0)
        for process in self.processes.values():
            self.drain(process)
        expected = set(self.confirmed)
        for process in self.processes.values():
            expected.update(self.issued[process.journal.window.origin])
            assert not process.replicas.by_origin
        self.no_record_is_written_twice()
        assert expected <= set(self.ledger())

    def drain(self, process: Process) -> None:
        """Flush all records that a process holds."""
        for _ in range(2 * self.count + 4):
            own = process.journal.window.origin
            origins = [own, *process.replicas.by_origin]
            for origin in origins:
                process.start(self.table, origin)
                task = process.tasks.get(origin)
                if task is not None:
                    task.finish()
                self.step(process, origin, Fault.NONE)


LedgerMachine.TestCase.settings = settings(
    max_examples=800, stateful_step_count=50
)
TestLedger = LedgerMachine.TestCase


def test_least_urgent_rank_is_shed_first() -> None:
    """Urgent work must be refused last as the backlog grows."""
    journal = Journal('a-1', 'a', SMALL)
    ranks = [
        Rank(
            name=str(priority),
            priority=priority,
            first_token_ms=1,
            inter_token_ms=1,
            floor=0,
        )
        for priority in (0, 1, 2)
    ]
    shed = []
    for _ in range(15):
        journal.append(b'')
        shed.append(
            [rank.priority for rank in ranks if journal.is_shedding(rank)]
        )
    assert shed[10:] == [[], [2], [2], [1, 2], [0, 1, 2]]


def test_flushes_of_all_nodes_stay_under_the_write_limit() -> None:
    """Flushes at a fixed interval would exceed the limit at 330 nodes."""
    rng = Random(1)
    intervals = [
        billing_journal.flush_interval(330, 0, rng, SMALL) for _ in range(2000)
    ]
    mean = sum(intervals, dt.timedelta()) / len(intervals)
    assert dt.timedelta(seconds=6.4) < mean < dt.timedelta(seconds=6.8)


def test_origin_is_dead_only_after_takeover_delay() -> None:
    """A short gap in membership must not start a take-over."""
    replicas = Replicas(SMALL)
    replicas.hold(Batch('a-1', 'a', 0, 1, (b'',)), dt.timedelta())
    second = dt.timedelta(seconds=1)
    assert not replicas.due(set(), second)
    assert not replicas.due({'a'}, second * 8)
    assert not replicas.due(set(), second * 9)
    assert replicas.due(set(), second * 14)


def test_holder_rejects_batch_after_gap() -> None:
    """Otherwise records after a gap would be flushed with wrong numbers."""
    replicas = Replicas(SMALL)
    now = dt.timedelta()
    assert replicas.hold(Batch('a-1', 'a', 0, 1, (b'1',)), now) == (1, False)
    assert replicas.hold(Batch('a-1', 'a', 0, 4, (b'4',)), now) == (1, False)
    batch = Batch('a-1', 'a', 0, 2, (b'2', b'3', b'4'))
    assert replicas.hold(batch, now) == (4, False)
    held = replicas.by_origin['a-1'].window.records
    assert held == [b'1', b'2', b'3', b'4']
