"""Tests of the bindings that callers with sessions receive."""

from collections.abc import Mapping, Sequence

from result import Err, Result

from bronzeglade.adapters.table import (
    CommitError,
    Put,
    Row,
    StoreError,
    Transaction,
    Unavailable,
)
from bronzeglade.coordination import session as bindings
from bronzeglade.coordination.seal import SharedKey
from bronzeglade.entry.sessions import (
    Binding,
    ModelVersions,
    SessionRequest,
    Sessions,
)
from bronzeglade.stepped import SteppedTable

KEYS = (SharedKey(1, b'secret'),)
BOTH = ModelVersions(('v1', 'v2'), ('v1', 'v2'), 'v2')
ONLY_V2 = ModelVersions(('v2',), ('v2',), 'v2')
ROLLOUT_REMOVED = ModelVersions(('v1',), ('v1', 'v2'), 'v1')


class UnavailableTable(SteppedTable):
    """A table service during an outage."""

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Return an outage error."""
        return Err(StoreError('outage'))

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Return an outage error; nothing is written."""
        return Err(Unavailable('outage'))


def bind(
    sessions: Sessions, versions: ModelVersions, token: str | None = None
) -> Binding:
    """Return the binding of session `s` of the team for the model."""
    request = SessionRequest('team', 's', token, 'model')
    return sessions.bind(request, versions).unwrap()


def test_bound_session_needs_no_table() -> None:
    """Bound sessions must not depend on the table, which may be down."""
    table = SteppedTable()
    sessions = Sessions(table, KEYS)
    token = bind(sessions, BOTH).token
    reads, commits = table.reads, table.rows['session/team/s/model'].version
    assert bind(sessions, ROLLOUT_REMOVED).version == 'v2'
    assert bind(Sessions(table, KEYS), ROLLOUT_REMOVED, token).version == 'v2'
    assert (table.reads, commits) == (reads, 1)


def test_rebinding_from_a_withdrawn_version_is_reported_once() -> None:
    """Every node must report to the caller that its session was rebound."""
    table = SteppedTable()
    first = Sessions(table, KEYS)
    token = bind(first, ModelVersions(('v1',), ('v1',), 'v1')).token
    rebound = bind(first, ONLY_V2)
    assert (rebound.version, rebound.rebound_from) == ('v2', 'v1')
    assert bind(first, ONLY_V2).rebound_from is None
    other = bind(Sessions(table, KEYS), ONLY_V2, token)
    assert (other.version, other.rebound_from) == ('v2', 'v1')


def test_row_decides_between_cache_and_token() -> None:
    """A node with an outdated cache must not revert a rebinding."""
    table = SteppedTable()
    node = Sessions(table, KEYS)
    bind(node, ModelVersions(('v1',), ('v1', 'v2'), 'v1'))
    key = 'session/team/s/model'
    table.commit(Transaction(puts=(Put(key, bindings.encode('v2')),)))
    session = bindings.Session('team', 's', 'model')
    token = bindings.sign(node.keys, session, 'v2')
    assert bind(node, BOTH, token).version == 'v2'


def test_unknown_session_is_refused_during_an_outage() -> None:
    """Choosing between two versions could break an earlier binding."""
    sessions = Sessions(UnavailableTable(), KEYS)
    request = SessionRequest('team', 's', None, 'model')
    refusal = sessions.bind(request, BOTH).unwrap_err()
    assert (refusal.status, refusal.run_state.value) == (503, 'not_run')
    assert refusal.retry_after is not None
    assert bind(sessions, ONLY_V2) == Binding('v2')
