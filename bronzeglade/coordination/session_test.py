"""Tests that a session has one version across nodes and table failures."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from bronzeglade.coordination import session as bindings
from bronzeglade.coordination.seal import SharedKey
from bronzeglade.coordination.session import (
    BoundVersion,
    Session,
    VersionRequest,
)
from bronzeglade.stepped import Fault, SteppedTable, Task

KEPT = ('v1', 'v2')
KEY = st.sampled_from(('k', 'l', 'm'))
FAULT = st.sampled_from((Fault.NONE, Fault.NONE, *Fault))
SESSION = Session('team', 'session/1', 'model')


class SessionMachine(RuleBasedStateMachine):
    """Nodes that concurrently bind the same sessions to different versions."""

    def __init__(self) -> None:
        """Create an empty table."""
        super().__init__()
        self.table = SteppedTable()
        self.tasks: list[Task] = []
        self.seen: dict[str, str] = {}

    def resolve(self, requests: list[VersionRequest]) -> None:
        """Bind sessions and compare the versions with earlier answers."""
        found = bindings.resolve(self.table, requests)
        for key, bound in found.items():
            assert self.seen.setdefault(key, bound.version) == bound.version

    @rule(
        sessions=st.sets(KEY, min_size=1),
        preferred=st.sampled_from(KEPT),
        exists=st.booleans(),
    )
    def bind(self, sessions: set[str], preferred: str, exists: bool) -> None:
        """Start resolving a batch of sessions on a node."""
        requests = [
            VersionRequest(key, preferred, KEPT, exists)
            for key in sorted(sessions)
        ]
        self.tasks.append(Task(self.resolve, requests))

    @rule(index=st.integers(0, 3), fault=FAULT, count=st.integers(0, 5))
    def step(self, index: int, fault: Fault, count: int) -> None:
        """Resume a batch, with a fault in its next call of the table."""
        if index >= len(self.tasks):
            return
        task = self.tasks[index]
        task.step(fault)
        for _ in range(count):
            if not task.done:
                task.step()
        self.tasks = [pending for pending in self.tasks if not pending.done]

    @precondition(lambda machine: machine.table.delayed)
    @rule()
    def settle(self) -> None:
        """Apply a delayed commit, whose node has refused the requests."""
        self.table.apply_delayed(0)

    def teardown(self) -> None:
        """Finish all work; each row must hold the version that was answered."""
        for task in self.tasks:
            task.finish()
        while self.table.delayed:
            self.table.apply_delayed(0)
        for key, version in self.seen.items():
            assert bindings.decode(self.table.rows[key]) == version


SessionMachine.TestCase.settings = settings(
    max_examples=800, stateful_step_count=30
)
TestSessions = SessionMachine.TestCase


def test_binding_moves_only_from_a_version_that_may_not_be_kept() -> None:
    """A change of the preferred version must not move bound sessions."""
    table = SteppedTable()
    key = SESSION.row_key
    assert bindings.resolve(table, [VersionRequest(key, 'v1', KEPT)])[
        key
    ] == BoundVersion('v1')
    assert table.reads == 0
    kept = bindings.resolve(table, [VersionRequest(key, 'v2', KEPT)])
    assert kept[key] == BoundVersion('v1')
    assert table.reads == 1
    moved = bindings.resolve(table, [VersionRequest(key, 'v2', ('v2',))])
    assert moved[key] == BoundVersion('v2', replaced='v1')


def test_token_is_valid_for_its_session_only() -> None:
    """A forged token or that of another session must not select a version."""
    keys = bindings.token_keys((SharedKey(1, b'secret'),))
    token = bindings.sign(keys, SESSION, 'v1')
    other = Session('other', SESSION.session_id, SESSION.model)
    stale = bindings.token_keys((SharedKey(1, b'forged'),))
    assert bindings.verify(keys, SESSION, token) == 'v1'
    assert bindings.verify(keys, other, token) is None
    assert bindings.verify(stale, SESSION, token) is None
    for text in ('', '=', 'é', 'A', token[:-2], 'x' * 10_000):
        assert bindings.verify(keys, SESSION, text) is None
