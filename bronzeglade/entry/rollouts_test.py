"""Guards the loops of roll-outs with several nodes and a table in memory."""

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
from bronzeglade.coordination import rollout as rows
from bronzeglade.coordination.rollout import RolloutState
from bronzeglade.decisions.evidence import FAILED, Observation
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.peers import Gossip
from bronzeglade.entry.rollouts import (
    EVIDENCE_TOPIC,
    Rollouts,
    RolloutContext,
)
from bronzeglade.entry.versions import Versions

ROLLOUT = builders.rollout()
KEY = rows.row_key(ROLLOUT.name)
TURN = dt.timedelta(seconds=2)


class FakeTable:
    """Rows that nodes share; every reply of a commit is lost."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.available = True
        self.reads = 0

    def read(self, keys: object) -> Result[dict[str, Row], StoreError]:
        self.reads += 1
        return Ok(dict(self.rows)) if self.available else Err(StoreError(''))

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        return Ok([])

    def commit(self, wanted: Transaction) -> Result[None, CommitError]:
        if not self.available:
            return Err(Unavailable(''))
        version = {key: row.version for key, row in self.rows.items()}
        if all(version.get(one.key, 0) == one.version for one in wanted.checks):
            for put in wanted.puts:
                number = version.get(put.key, 0) + 1
                self.rows[put.key] = Row(put.key, number, put.body)
        return Err(Unknown('lost'))

    def state(self) -> RolloutState | None:
        progress = rows.decode_row(self.rows.get(KEY)).progress
        return progress.state if progress else None


class World:
    """Four nodes with gossip that arrives at once."""

    def __init__(self) -> None:
        self.clock = builders.ManualClock()
        self.table = FakeTable()
        self.catalog = builders.catalog(ROLLOUT)
        shared = Gossip('shared', self.clock)
        self.nodes: list[Rollouts] = []
        for index in range(4):
            gossip = Gossip(f'n{index}', self.clock)
            gossip.documents = shared.documents
            self.nodes.append(self.node(index, gossip))

    def node(self, index: int, gossip: Gossip) -> Rollouts:
        return Rollouts(
            NodeIdentity(f'n{index}', f'n{index}', f'd{index % 2}'),
            self.clock,
            self.table,
            Versions(gossip),
            RolloutContext(self.current, self.peers, lambda _rollout: True),
        )

    def current(self) -> Catalog:
        return self.catalog

    def peers(self) -> list[tuple[str, str]]:
        return [
            (one.identity.vm, one.identity.failure_domain) for one in self.nodes
        ]

    def turn(self, failing: bool = False) -> None:
        for node in self.nodes:
            for _ in range(10):
                node.versions.observe('m', 'v1', Observation())
                seen = FAILED if failing else Observation()
                node.versions.observe('m', 'v2', seen)
            node.judge()
            node.coordinate()
        self.clock.advance(TURN)

    def holder(self) -> Rollouts:
        return next(one for one in self.nodes if one.lease.held())


def test_good_rollout_reaches_its_end() -> None:
    """A roll-out that stops half-way needs an operator."""
    world = World()
    for _ in range(20):
        world.turn()
    assert world.table.state() is RolloutState.DONE
    # Three of four nodes watch the lease; one of them reads it back too.
    assert world.table.reads <= 20 * 4


def test_bad_candidate_is_halted_without_holder_and_table() -> None:
    """The acting node may die and the platform fail when it is needed."""
    world = World()
    for _ in range(3):
        world.turn()
    assert world.nodes[0].view.share(ROLLOUT) > 0
    world.nodes.remove(world.holder())
    world.table.available = False
    for _ in range(3):
        world.turn(failing=True)
    for node in world.nodes:
        assert node.view.halt_reason(ROLLOUT) == 'errors'
        offered = node.versions.offered(world.catalog, 'm', ('v1', 'v2'))
        assert offered.unbound == ('v1',)
    assert world.table.state() is RolloutState.RUNNING
    world.table.available = True
    for _ in range(10):
        world.turn()
    assert world.table.state() is RolloutState.HALTED


def test_new_node_learns_a_halt_from_the_row() -> None:
    """A halt must outlive every node that declared it."""
    world = World()
    for _ in range(3):
        world.turn()
    world.nodes[2].view.halt(rows.run_id(ROLLOUT), 'errors')
    for _ in range(3):
        world.turn()
    fresh = world.node(9, Gossip('n9', world.clock))
    fresh.poll()
    assert fresh.view.halt_reason(ROLLOUT) == 'errors'
    assert fresh.view.share(ROLLOUT) == 0


def test_removed_rollout_ends() -> None:
    """A roll-out that is not published must not go on."""
    world = World()
    for _ in range(3):
        world.turn()
    world.catalog = builders.catalog()
    before = dict(world.table.rows)
    for _ in range(10):
        world.turn()
    assert world.table.rows == before
    offered = world.nodes[0].versions.offered(world.catalog, 'm', ('v1',))
    assert offered.unbound == ('v1',)


def test_origin_that_counts_from_anew_adds_no_negative_evidence() -> None:
    """Negative counts would hide failures."""
    world = World()
    node = world.nodes[0]
    for _ in range(3):
        world.turn()
    node.judge()
    world.clock.advance(TURN)
    node.judge()
    trial = node.trials[rows.run_id(ROLLOUT)]
    before = trial.requests
    node.versions.counters.clear()
    node.versions.observe('m', 'v2', Observation())
    world.clock.advance(TURN)
    node.judge()
    assert trial.requests == before + 1


def test_evidence_of_many_rollouts_fits_a_datagram() -> None:
    """A document that does not fit is never sent, and no halt follows."""
    world = World()
    node = world.nodes[0]
    many = [
        builders.rollout(name=f'r{index}', model=f'm{index}')
        for index in range(11)
    ]
    rollouts = {one.name: one for one in many}
    node.versions.track(many)
    for one in many:
        for _ in range(5000):
            seen = Observation(False, 0.37, 0.81)
            node.versions.observe(one.model, 'v1', seen)
            node.versions.observe(one.model, 'v2', seen)
    reported: set[str] = set()
    for _ in range(3):
        node.publish_evidence(rollouts)
        gossip = node.versions.gossip
        document = gossip.read(EVIDENCE_TOPIC)[node.identity.origin]
        assert len(msgpack.packb(document)) < 1000
        reported.update(document)
        world.clock.advance(TURN)
    assert reported == {rows.run_id(one) for one in many}
