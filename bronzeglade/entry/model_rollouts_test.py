"""Roll-out loops of several nodes with a table in memory."""

import datetime as dt

import msgpack
from result import Err, Ok, Result

from bronzeglade import builders
from bronzeglade.adapters.table import (
    CommitError,
    Row,
    StoreError,
    Transaction,
    Unavailable,
    Unknown,
)
from bronzeglade.catalog import Catalog
from bronzeglade.coordination import rollout_progress
from bronzeglade.coordination.rollout_progress import RolloutState
from bronzeglade.decisions.evidence import FAILED, Observation
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.model_rollouts import (
    EVIDENCE_TOPIC,
    ModelRollouts,
    RolloutContext,
)
from bronzeglade.entry.peers import Gossip
from bronzeglade.entry.versions import VersionAssignment

ROLLOUT = builders.rollout()
KEY = rollout_progress.row_key(ROLLOUT.name)
ROUND_INTERVAL = dt.timedelta(seconds=2)


class FakeTable:
    """Table shared by the nodes; the outcome of every commit is unknown."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.available = True
        self.reads = 0

    def read(self, keys: object) -> Result[dict[str, Row], StoreError]:
        self.reads += 1
        return Ok(dict(self.rows)) if self.available else Err(StoreError(''))

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        return Ok([])

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        if not self.available:
            return Err(Unavailable(''))
        version = {key: row.version for key, row in self.rows.items()}
        if all(
            version.get(check.key, 0) == check.version
            for check in transaction.checks
        ):
            for put in transaction.puts:
                number = version.get(put.key, 0) + 1
                self.rows[put.key] = Row(put.key, number, put.body)
        return Err(Unknown('lost'))

    def state(self) -> RolloutState | None:
        progress = rollout_progress.decode_row(self.rows.get(KEY)).progress
        return progress.state if progress else None


class Cluster:
    """Four nodes with immediate gossip."""

    def __init__(self) -> None:
        self.clock = builders.ManualClock()
        self.table = FakeTable()
        self.catalog = builders.catalog(ROLLOUT)
        shared = Gossip('shared', self.clock)
        self.nodes: list[ModelRollouts] = []
        for index in range(4):
            gossip = Gossip(f'n{index}', self.clock)
            gossip.documents = shared.documents
            self.nodes.append(self.node(index, gossip))

    def node(self, index: int, gossip: Gossip) -> ModelRollouts:
        return ModelRollouts(
            NodeIdentity(f'n{index}', f'n{index}', f'd{index % 2}'),
            self.clock,
            self.table,
            VersionAssignment(gossip),
            RolloutContext(self.current, self.peers, lambda _rollout: True),
        )

    def current(self) -> Catalog:
        return self.catalog

    def peers(self) -> list[tuple[str, str]]:
        return [
            (node.identity.vm, node.identity.failure_domain)
            for node in self.nodes
        ]

    def run_round(self, failing: bool = False) -> None:
        for node in self.nodes:
            for _ in range(10):
                node.versions.observe('m', 'v1', Observation())
                seen = FAILED if failing else Observation()
                node.versions.observe('m', 'v2', seen)
            node.judge()
            node.coordinate()
        self.clock.advance(ROUND_INTERVAL)

    def holder(self) -> ModelRollouts:
        return next(node for node in self.nodes if node.lease.held())


def test_good_rollout_completes() -> None:
    """A roll-out must complete without an operator."""
    cluster = Cluster()
    for _ in range(20):
        cluster.run_round()
    assert cluster.table.state() is RolloutState.DONE
    # Per round, 3 lease candidates read once, and one again after its commit.
    assert cluster.table.reads <= 20 * 4


def test_bad_candidate_is_halted_without_holder_and_table() -> None:
    """Halts must work while the lease holder and the table are down."""
    cluster = Cluster()
    for _ in range(3):
        cluster.run_round()
    assert cluster.nodes[0].view.share(ROLLOUT) > 0
    cluster.nodes.remove(cluster.holder())
    cluster.table.available = False
    for _ in range(3):
        cluster.run_round(failing=True)
    for node in cluster.nodes:
        assert node.view.halt_reason(ROLLOUT) == 'errors'
        eligible = node.versions.eligible(cluster.catalog, 'm', ('v1', 'v2'))
        assert eligible.unbound == ('v1',)
    assert cluster.table.state() is RolloutState.RUNNING
    cluster.table.available = True
    for _ in range(10):
        cluster.run_round()
    assert cluster.table.state() is RolloutState.HALTED


def test_new_node_reads_a_halt_from_the_row() -> None:
    """A halt must survive all nodes that declared it."""
    cluster = Cluster()
    for _ in range(3):
        cluster.run_round()
    cluster.nodes[2].view.halt(rollout_progress.run_id(ROLLOUT), 'errors')
    for _ in range(3):
        cluster.run_round()
    new_node = cluster.node(9, Gossip('n9', cluster.clock))
    new_node.poll()
    assert new_node.view.halt_reason(ROLLOUT) == 'errors'
    assert new_node.view.share(ROLLOUT) == 0


def test_removed_rollout_stops() -> None:
    """A roll-out removed from the configuration must not advance."""
    cluster = Cluster()
    for _ in range(3):
        cluster.run_round()
    cluster.catalog = builders.catalog()
    before = dict(cluster.table.rows)
    for _ in range(10):
        cluster.run_round()
    assert cluster.table.rows == before
    eligible = cluster.nodes[0].versions.eligible(cluster.catalog, 'm', ('v1',))
    assert eligible.unbound == ('v1',)


def test_reset_counters_of_an_origin_give_no_negative_increments() -> None:
    """Negative increments after a restart of a node would hide failures."""
    cluster = Cluster()
    node = cluster.nodes[0]
    for _ in range(3):
        cluster.run_round()
    node.judge()
    cluster.clock.advance(ROUND_INTERVAL)
    node.judge()
    evidence = node.runs[rollout_progress.run_id(ROLLOUT)]
    before = evidence.requests
    node.versions.counters.clear()
    node.versions.observe('m', 'v2', Observation())
    cluster.clock.advance(ROUND_INTERVAL)
    node.judge()
    assert evidence.requests == before + 1


def test_evidence_of_many_rollouts_fits_a_datagram() -> None:
    """Evidence in larger documents is not sent, so it causes no halt."""
    cluster = Cluster()
    node = cluster.nodes[0]
    many = [
        builders.rollout(name=f'r{index}', model=f'm{index}')
        for index in range(11)
    ]
    rollouts = {rollout.name: rollout for rollout in many}
    node.versions.track(many)
    for rollout in many:
        for _ in range(5000):
            seen = Observation(False, 0.37, 0.81)
            node.versions.observe(rollout.model, 'v1', seen)
            node.versions.observe(rollout.model, 'v2', seen)
    reported: set[str] = set()
    for _ in range(3):
        node.publish_evidence(rollouts)
        gossip = node.versions.gossip
        document = gossip.read(EVIDENCE_TOPIC)[node.identity.origin]
        assert len(msgpack.packb(document)) < 1000
        reported.update(document)
        cluster.clock.advance(ROUND_INTERVAL)
    assert reported == {rollout_progress.run_id(rollout) for rollout in many}
