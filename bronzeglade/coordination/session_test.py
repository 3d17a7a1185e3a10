"""Guards one version per session across nodes and failures of the table."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from bronzeglade.coordination import session as bindings
from bronzeglade.coordination.seal import SharedKey
from bronzeglade.coordination.session import Bound, Session, Want
from bronzeglade.stepped import Fault, SteppedTable, Task

KEPT = ('v1', 'v2')
KEY = st.sampled_from(('k', 'l', 'm'))
FAULT = st.sampled_from((Fault.NONE, Fault.NONE, *Fault))
SESSION = Session('team', 'session/1', 'model')


class SessionMachine(RuleBasedStateMachine):
    """Nodes that bind the same sessions to different versions at a time."""

    def __init__(self) -> None:
        """Start without bindings."""
        super().__init__()
        self.table = SteppedTable()
        self.tasks: list[Task] = []
        self.seen: dict[str, str] = {}

    def resolve(self, wants: list[Want]) -> None:
        """Bind sessions and compare with what other nodes have answered."""
        found = bindings.resolve(self.table, wants)
        for key, bound in found.items():
            assert self.seen.setdefault(key, bound.version) == bound.version

    @rule(
        sessions=st.sets(KEY, min_size=1),
        preferred=st.sampled_from(KEPT),
        exists=st.booleans(),
    )
    def bind(self, sessions: set[str], preferred: str, exists: bool) -> None:
        """Start a batch of a node."""
        wants = [Want(key, preferred, KEPT, exists) for key in sorted(sessions)]
        self.tasks.append(Task(self.resolve, wants))

    @rule(index=st.integers(0, 3), fault=FAULT, count=st.integers(0, 5))
    def step(self, index: int, fault: Fault, count: int) -> None:
        """Let a batch go on, with a fault of its next call."""
        if index >= len(self.tasks):
            return
        task = self.tasks[index]
        task.step(fault)
        for _ in range(count):
            if not task.done:
                task.step()
        self.tasks = [one for one in self.tasks if not one.done]

    @precondition(lambda machine: machine.table.delayed)
    @rule()
    def settle(self) -> None:
        """Apply a commit whose node has refused its requests since."""
        self.table.settle(0)

    def teardown(self) -> None:
        """After all faults each session has the version that was answered."""
        for task in self.tasks:
            task.finish()
        while self.table.delayed:
            self.table.settle(0)
        for key, version in self.seen.items():
            assert bindings.decode(self.table.rows[key]) == version


SessionMachine.TestCase.settings = settings(
    max_examples=800, stateful_step_count=30
)
TestSessions = SessionMachine.TestCase


def test_binding_moves_only_from_a_version_that_may_not_be_kept() -> None:
    """A session that moves with each change of shares loses its version."""
    table = SteppedTable()
    key = SESSION.row_key
    assert bindings.resolve(table, [Want(key, 'v1', KEPT)])[key] == Bound('v1')
    assert table.reads == 0
    kept = bindings.resolve(table, [Want(key, 'v2', KEPT)])
    assert kept[key] == Bound('v1')
    assert table.reads == 1
    moved = bindings.resolve(table, [Want(key, 'v2', ('v2',))])
    assert moved[key] == Bound('v2', left='v1')


def test_token_is_valid_for_its_session_only() -> None:
    """A token of another session or a forged one would choose a version."""
    keys = bindings.token_keys((SharedKey(1, b'secret'),))
    token = bindings.sign(keys, SESSION, 'v1')
    other = Session('other', SESSION.session_id, SESSION.model)
    stale = bindings.token_keys((SharedKey(1, b'forged'),))
    assert bindings.verify(keys, SESSION, token) == 'v1'
    assert bindings.verify(keys, other, token) is None
    assert bindings.verify(stale, SESSION, token) is None
    for text in ('', '=', 'é', 'A', token[:-2], 'x' * 10_000):
        assert bindings.verify(keys, SESSION, text) is None
