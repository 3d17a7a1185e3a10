"""Stateful tests of membership and publication under faults."""

import dataclasses
import datetime as dt
from typing import Any

import msgpack
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from result import Ok

from bronzeglade.builders import manifest_text
from bronzeglade.catalog import Configuration, digest_of
from bronzeglade.coordination.head import (
    HEAD_KEY,
    Published,
    Superseded,
    generation_key,
)
from bronzeglade.coordination.simulation import SimulatedNode, Simulation

SECOND = dt.timedelta(seconds=1)
# After a partition, a pause or a restart, live nodes may be considered dead for
# this long.
SETTLING_TIME = dt.timedelta(seconds=40)
INDEXES = strategies.integers(0, 4)


class Cluster(RuleBasedStateMachine):
    """Five nodes, two operators and a table service."""

    @initialize(seed=strategies.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Start all nodes and let them find each other."""
        self.simulation = Simulation(5, seed)
        self.simulation.run(SECOND * 3)
        self.generations: dict[SimulatedNode, int] = {}
        self.winners: dict[int, str] = {}
        self.refused: set[str] = set()
        self.publications: list[Published] = []
        self.disturbed_until = self.simulation.clock.monotonic()
        self.dead: set[tuple[str, str]] = set()

    def node(self, index: int) -> SimulatedNode:
        """Return the n-th node."""
        return list(self.simulation.nodes.values())[index]

    def disturb(self) -> None:
        """Allow live nodes to be considered dead for SETTLING_TIME."""
        self.disturbed_until = self.simulation.clock.monotonic() + SETTLING_TIME

    def step(self) -> None:
        """Run one step and check that no live node is newly considered dead."""
        conditions = self.simulation.conditions
        paused = any(node.paused for node in self.simulation.nodes.values())
        if paused or len(set(conditions.partitions.values())) > 1:
            self.disturb()
        self.simulation.step()
        settled = self.simulation.clock.monotonic() > self.disturbed_until
        dead = {
            (node.address, address)
            for node in self.simulation.nodes.values()
            for address in node.dead_addresses()
        }
        assert not (settled and dead - self.dead), (
            'a live node is considered dead'
        )
        self.dead = dead

    @rule(seconds=strategies.integers(1, 20))
    def run(self, seconds: int) -> None:
        """Run the simulation for some seconds."""
        for _step in range(seconds * 20):
            self.step()

    @rule(
        loss=strategies.sampled_from((0, 0.05, 0.15)),
        duplicates=strategies.sampled_from((0, 0.3)),
        delay=strategies.sampled_from((10, 100, 400)),
    )
    def change_network(
        self, loss: float, duplicates: float, delay: int
    ) -> None:
        """Set loss, duplication and delay, which also reorders messages."""
        conditions = self.simulation.conditions
        conditions.loss = loss
        conditions.duplicates = duplicates
        conditions.delay = dt.timedelta(milliseconds=delay)

    @rule(sides=strategies.lists(strategies.booleans(), min_size=5, max_size=5))
    def partition(self, sides: list[bool]) -> None:
        """Partition the nodes, or heal a partition."""
        self.simulation.conditions.partitions = {
            address: int(side)
            for address, side in zip(self.simulation.nodes, sides, strict=True)
        }

    @rule(index=INDEXES, paused=strategies.booleans())
    def pause(self, index: int, paused: bool) -> None:
        """Pause or resume a process."""
        self.node(index).paused = paused

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        """Replace a process by a new one at the same address."""
        self.disturb()
        self.generations.pop(self.node(index), None)
        self.simulation.start(index)

    @rule(available=strategies.booleans(), lost=strategies.booleans())
    def change_table(self, available: bool, lost: bool) -> None:
        """Start or end an outage; lose the reply of the next commit."""
        self.simulation.table.available = available
        self.simulation.table.lose_reply = lost

    @rule(index=INDEXES)
    def publish(self, index: int) -> None:
        """Publish a successor of the generation that a node has."""
        self.commit(index, self.new_publication(index))

    @rule(first=INDEXES, second=INDEXES)
    def race(self, first: int, second: int) -> None:
        """Let an operator commit between another one's read and commit."""
        slower = self.new_publication(first)
        faster = self.new_publication(second)
        table = self.simulation.table
        table.before_commit = lambda: self.commit(second, faster)
        self.commit(first, slower)
        table.before_commit = None

    @rule(first=INDEXES, second=INDEXES)
    def replace_before_read_back(self, first: int, second: int) -> None:
        """Lose a commit's reply and commit a successor before it is read."""
        earlier = self.new_publication(first)
        generation = earlier.configuration.generation + 1
        template = self.new_publication(second)
        later = dataclasses.replace(
            template,
            configuration=dataclasses.replace(
                template.configuration, generation=generation
            ),
        )
        self.publications[-1] = later
        table = self.simulation.table
        table.lose_reply = True
        table.after_lost_reply = lambda: self.commit(second, later)
        self.commit(first, earlier)
        table.lose_reply = False
        table.after_lost_reply = None

    @rule(number=strategies.integers(0, 1000))
    def repeat_push(self, number: int) -> None:
        """Deliver an earlier configuration push again."""
        self.simulation.repeat_push(number)

    @rule(index=INDEXES, number=strategies.integers(0, 20))
    def repeat(self, index: int, number: int) -> None:
        """Repeat a publication through any node."""
        if self.publications:
            number %= len(self.publications)
            self.commit(index, self.publications[number])

    def new_publication(self, index: int) -> Published:
        """Return a publication that replaces the generation of a node."""
        name = f'publication-{len(self.publications)}'
        text = manifest_text(name)
        generation = self.node(index).publication.generation() + 1
        published = Published(
            Configuration(generation, digest_of(text), text), name, 'operator'
        )
        self.publications.append(published)
        return published

    def commit(self, index: int, published: Published) -> None:
        """Publish, record the outcome and check it against earlier ones."""
        outcome = self.node(index).distribution.commit(published)
        name = published.publication_id
        generation = published.configuration.generation
        if isinstance(outcome, Ok):
            assert self.winners.setdefault(generation, name) == name
            assert name not in self.refused
        elif isinstance(outcome.err_value, Superseded):
            assert self.winners.get(generation) != name
            self.refused.add(name)

    @invariant()
    def one_winner(self) -> None:
        """Each generation has one publication, even if replies were lost."""
        for row in self.simulation.table.scan(
            'config/generation/', 99
        ).unwrap_or([]):
            assert (
                msgpack.unpackb(row.body)['publication_id'] not in self.refused
            )
        for generation, name in self.winners.items():
            row = self.simulation.table.rows[generation_key(generation)]
            content: dict[str, Any] = msgpack.unpackb(row.body)
            assert content['publication_id'] == name
            assert name not in self.refused
            assert row.version == 1

    @invariant()
    def generations_never_decrease(self) -> None:
        """A node must not return to a manifest that was replaced."""
        for node in self.simulation.nodes.values():
            generation = node.publication.generation()
            assert generation >= self.generations.get(node, 0)
            self.generations[node] = generation

    def teardown(self) -> None:
        """Check that all nodes converge after the end of all faults."""
        if not hasattr(self, 'simulation'):
            return
        simulation = self.simulation
        simulation.conditions.partitions = {}
        simulation.conditions.loss = 0
        simulation.table.available = True
        for node in simulation.nodes.values():
            node.paused = False
        self.disturb()
        for _step in range(60 * 20):
            self.step()
        head = simulation.table.rows.get(HEAD_KEY)
        last = 0 if head is None else msgpack.unpackb(head.body)['generation']
        for node in simulation.nodes.values():
            assert node.publication.generation() == last
            assert len(node.membership.usable()) == 4
            assert not last or not node.publication.candidates_suspended()


TestCluster = Cluster.TestCase
TestCluster.settings = settings(max_examples=12, stateful_step_count=12)
