"""Tests that idempotency keys give at-most-once execution under failures."""

import collections
import datetime as dt
import uuid
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from bronzeglade.builders import ManualClock
from bronzeglade.coordination import idempotency
from bronzeglade.coordination.idempotency import (
    KeyedRequest,
    KeyState,
    StoredAnswer,
)
from bronzeglade.entry.idempotency_claims import (
    IdempotencyClaims,
    without_oversized_body,
)
from bronzeglade.outcome import BrokenInvariantError, Refusal, RunState
from bronzeglade.stepped import (
    Fault,
    SteppedTable,
    Task,
    pause_task,
)

NODE = st.integers(0, 2)
MINUTE = dt.timedelta(minutes=1)
RETRY = st.sampled_from((Fault.NONE, Fault.NONE, *Fault))


class OrderMachine(RuleBasedStateMachine):
    """Nodes that compete for two keys, with a table service that fails."""

    def __init__(self) -> None:
        """Start three nodes."""
        super().__init__()
        self.clock = ManualClock()
        self.table = SteppedTable()
        self.nodes = [self.new_node() for _ in range(3)]
        self.tasks: list[tuple[int, Task]] = []
        self.executed: dict[str, list[str]] = collections.defaultdict(list)
        self.not_run: set[str] = set()
        self.count = 0
        self.killed = False

    def new_node(self) -> IdempotencyClaims:
        """Return a node without claims."""
        return IdempotencyClaims(
            self.table, self.clock, Random(1), 2 * MINUTE, lambda: 2
        )

    def run(
        self,
        node: IdempotencyClaims,
        key: str,
        body: bytes,
        execution: KeyState,
    ) -> None:
        """Handle a request; `execution` is its outcome at the endpoint."""
        self.count += 1
        identity = str(self.count)
        keyed_request = KeyedRequest('team', key, body, identity)
        found = node.claim(keyed_request)
        if found is None:
            pause_task()
            keyed_request.mark_sent()
            if execution is KeyState.NOT_RUN:
                keyed_request.mark_not_sent()
                self.not_run.add(identity)
            else:
                self.executed[key].append(identity)
            pause_task()
            answer = StoredAnswer(200, 'text/plain', body)
            node.store_outcome(
                keyed_request,
                execution,
                answer if execution is KeyState.RAN else None,
            )
        elif isinstance(found, StoredAnswer):
            assert found.body == body
        elif found.run_state is RunState.NOT_RUN:
            self.not_run.add(identity)

    @rule(
        node=NODE,
        key=st.sampled_from('kl'),
        body=st.sampled_from((b'x', b'x', b'y')),
        execution=st.sampled_from(
            (KeyState.RAN, KeyState.UNKNOWN, KeyState.NOT_RUN)
        ),
    )
    def request(
        self, node: int, key: str, body: bytes, execution: KeyState
    ) -> None:
        """Start a request."""
        task = Task(self.run, self.nodes[node], key, body, execution)
        self.tasks.append((node, task))

    @rule(node=NODE)
    def retry_unfinished(self, node: int) -> None:
        """Start a background run that stores pending outcomes of a node."""
        self.tasks.append((node, Task(self.nodes[node].retry_unfinished)))

    @rule(index=st.integers(0, 2), fault=RETRY, count=st.integers(0, 7))
    def step(self, index: int, fault: Fault, count: int) -> None:
        """Resume a task, with a fault in its next call of the table."""
        if index >= len(self.tasks):
            return
        task = self.tasks[index][1]
        task.step(fault)
        for _ in range(count):
            if not task.done:
                task.step()
        self.tasks = [entry for entry in self.tasks if not entry[1].done]

    @precondition(lambda machine: machine.table.delayed)
    @rule()
    def settle(self) -> None:
        """Apply a delayed commit, whose caller received an unknown outcome."""
        self.table.apply_delayed(0)

    @rule(node=NODE)
    def kill(self, node: int) -> None:
        """End the process of a node and start a new one."""
        self.tasks = [entry for entry in self.tasks if entry[0] != node]
        self.nodes[node] = self.new_node()
        self.killed = True

    @rule(minutes=st.integers(0, 3))
    def wait(self, minutes: int) -> None:
        """Advance the clock."""
        self.clock.advance(minutes * MINUTE)

    @invariant()
    def no_key_runs_twice(self) -> None:
        """A second execution would print an order or count a sighting twice."""
        assert all(len(runs) == 1 for runs in self.executed.values())

    @invariant()
    def not_run_is_true(self) -> None:
        """Callers repeat a request that was reported as not run."""
        for runs in self.executed.values():
            assert self.not_run.isdisjoint(runs)

    def teardown(self) -> None:
        """Finish all work; no key may stay claimed unless a node was killed."""
        for _node, task in self.tasks:
            task.finish()
        for node in self.nodes:
            for _ in range(self.count + 1):
                node.retry_unfinished()
        while self.table.delayed:
            self.table.apply_delayed(0)
        self.no_key_runs_twice()
        self.not_run_is_true()
        if not self.killed:
            rows = self.table.scan('idempotency/', 9).unwrap()
            states = {idempotency.decode(row).state for row in rows}
            assert KeyState.CLAIMED not in states


OrderMachine.TestCase.settings = settings(
    max_examples=700, stateful_step_count=40
)
TestOrders = OrderMachine.TestCase


def claim(
    node: IdempotencyClaims, body: bytes = b'x'
) -> tuple[KeyedRequest, object]:
    """Claim the same key with a new attempt."""
    keyed_request = KeyedRequest('team', 'key/1', body, uuid.uuid4().hex)
    return keyed_request, node.claim(keyed_request)


def test_retry_receives_state_of_key() -> None:
    """A retry must not run in any of these states; each has its own error."""
    machine = OrderMachine()
    node = machine.nodes[0]
    keyed_request, found = claim(node)
    assert found is None
    keyed_request.mark_sent()
    outcomes = [claim(node)[1], claim(node, b'other')[1]]
    machine.clock.advance(3 * MINUTE)
    outcomes.append(claim(node)[1])
    large = StoredAnswer(
        200, 'text/plain', b'x' * (idempotency.MAX_ANSWER_BYTES + 1)
    )
    node.store_outcome(
        keyed_request, KeyState.RAN, without_oversized_body(large)
    )
    outcomes.append(claim(node)[1])
    refusals = [outcome for outcome in outcomes if isinstance(outcome, Refusal)]
    assert [(refusal.code, refusal.status) for refusal in refusals] == [
        ('attempt_running', 409),
        ('idempotency_key_reused', 422),
        ('outcome_unknown', 409),
        ('answer_not_kept', 409),
    ]
    assert refusals[0].retry_after is not None
    assert refusals[3].run_state is RunState.RAN


def test_sent_attempt_is_neither_sent_again_nor_marked_not_run() -> None:
    """Either bug in the sending code must fail an invariant."""
    keyed_request = KeyedRequest('team', 'key', b'x', '1')
    with pytest.raises(BrokenInvariantError, match='at-most-once'):
        keyed_request.mark_sent()
    keyed_request.claimed_at = ManualClock().now()
    keyed_request.mark_sent()
    with pytest.raises(BrokenInvariantError, match='at-most-once'):
        keyed_request.mark_sent()
    with pytest.raises(BrokenInvariantError, match='not-run-is-true'):
        keyed_request.entry(KeyState.NOT_RUN, ManualClock().now())


def test_delayed_take_over_is_never_applied_after_its_release() -> None:
    """Otherwise an attempt that never sends would keep the key claimed."""
    table, now = SteppedTable(), ManualClock().now()
    first = KeyedRequest('team', 'key', b'x', '1')
    assert idempotency.finish(table, first, first.entry(KeyState.NOT_RUN, now))
    late = KeyedRequest('team', 'key', b'x', '2')
    task = Task(idempotency.claim, table, late, now)
    for _ in range(4):  # the first commit, which conflicts, and the read
        task.step()
    task.step(Fault.DELAYED)
    found = task.finish()
    assert isinstance(found, idempotency.NotStored)
    assert found.pending
    assert idempotency.finish(table, late, late.entry(KeyState.NOT_RUN, now))
    table.apply_delayed(0)
    assert (
        idempotency.claim(table, KeyedRequest('team', 'key', b'x', '3'), now)
        is None
    )


def test_rows_are_removed_after_a_day() -> None:
    """Expired rows must not fill the table."""
    machine = OrderMachine()
    claim(machine.nodes[0])
    machine.clock.advance(idempotency.RETENTION - MINUTE)
    assert idempotency.sweep(machine.table, machine.clock.now()) == 0
    machine.clock.advance(3 * MINUTE)
    assert idempotency.sweep(machine.table, machine.clock.now()) == 1
    assert not machine.table.rows
