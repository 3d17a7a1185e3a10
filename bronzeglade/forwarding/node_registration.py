"""Removes the rows of dead nodes, and restores the row of this node.

A node that ends without a planned stop leaves its row behind: callers are still
sent to its address, and it counts in every share. A node that receives nothing
from it probes it directly, and then removes its row on the condition that the
row is unchanged, so that a restarted node stays registered. There is no vote: a
node that was removed by mistake, because it was frozen or disconnected, finds
its row missing and writes it again.
"""

import dataclasses
import datetime as dt
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from result import Err, Ok

from bronzeglade.adapters.table import Check, Put, Table, Transaction
from bronzeglade.coordination.liveness import ExpectedNode, FailureDetector
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.forwarding import roster
from bronzeglade.forwarding.exchange_message import MessageKind
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.roster import NODE_PREFIX, Roster, RouterNode

CHECK_INTERVAL = dt.timedelta(seconds=1)
# Maximum delay until a written row appears in the local copy of the table.
MAX_COPY_LAG = dt.timedelta(seconds=3)
# Silence of a node from which it is logged.
LOGGED_SILENCE = dt.timedelta(seconds=2)
# Nodes of other failure domains rank after this many nodes of the domain of a
# silent node, so that its own domain acts first.
REMOTE_RANK_OFFSET = 4
# Calls a node directly; returns whether it answered.
Probe = Callable[[RouterNode], bool]


class NodeRegistration:
    """Maintains the rows of registered nodes on behalf of this node."""

    def __init__(
        self,
        registered: Roster,
        failure_detector: FailureDetector,
        rows: TableMirror,
        table: Table,
        probe: Probe,
        log: Log,
        rng: random.Random,
    ) -> None:
        """Start without suspects.

        Args:
          registered: the registered nodes.
          failure_detector: tracks when each node last sent a message.
          rows: local copy of the table with the rows of nodes.
          table: store table to which rows are written.
          probe: calls a node directly.
          log: log of this node.
          rng: chooses the node to probe.
        """
        self.rng = rng
        self.roster = registered
        self.failure_detector = failure_detector
        self.rows = rows
        self.table = table
        self.probe = probe
        self.log = log
        self.written_at: dt.timedelta | None = None
        self.unanswered_probe: str | None = (
            None  # name probed once without an answer
        )
        self.logged_silent: set[str] = set()

    def record_message(self, kind: MessageKind, sender: str) -> None:
        """Record from a load message that its sender is running.

        Args:
          kind: `DOMAIN` counts for all nodes of the failure domain.
          sender: name of a node or a failure domain.
        """
        if kind is not MessageKind.DOMAIN:
            self.failure_detector.record_message(sender)
            return
        for name, node in self.roster.nodes.items():
            if node.failure_domain == sender:
                self.failure_detector.record_message(name)

    def run_checks(self) -> None:
        """Register again if removed, and probe or remove one silent node."""
        if self._was_forgotten():
            self.write_row()
        elif self._was_removed():
            self._rejoin()
        if self.failure_detector.is_isolated():
            self._probe_any_node()
        suspects = self.failure_detector.suspects(self._expected())
        self._log_silences()
        if not suspects or self.rows.failing_since is not None:
            self.unanswered_probe = None
            return
        name = suspects[0]
        node = self.roster.nodes[name]
        answered = self.probe(node)
        self.log.event('node_probed', probed=name, answered=answered)
        if answered:
            self.unanswered_probe = None
            self.failure_detector.record_message(name)
        elif self.unanswered_probe == name:
            self.unanswered_probe = None
            self._remove(name)
        else:
            # A single answer may be lost; the next check probes again.
            self.unanswered_probe = name

    def _log_silences(self) -> None:
        """Log each node that falls silent, and each that is heard again."""
        silences = self.failure_detector.silences()
        silent = {
            name
            for name, silence in silences.items()
            if silence >= LOGGED_SILENCE
        }
        for name in sorted(silent ^ self.logged_silent):
            silence = silences.get(name, dt.timedelta())
            self.log.event(
                'node_silent' if name in silent else 'node_heard',
                other=name,
                silent_ms=silence // dt.timedelta(milliseconds=1),
            )
        self.logged_silent = silent

    def _probe_any_node(self) -> None:
        """Probe a random node, since this node may be disconnected."""
        others = [
            node
            for name, node in sorted(self.roster.nodes.items())
            if name != self.roster.local_node.name
        ]
        if others:
            node = self.rng.choice(others)
            if self.probe(node):
                self.failure_detector.record_message(node.name)

    def write_row(self) -> bool:
        """Write the row of this node; return whether it succeeded."""
        local_node = self.roster.local_node
        put = Put(NODE_PREFIX + local_node.name, roster.encode(local_node))
        outcome = self.table.commit(Transaction(puts=(put,)))
        if isinstance(outcome, Err):
            self.log.event('registration_failed', reason=str(outcome.err_value))
            return False
        self.written_at = self.rows.clock.monotonic()
        self.log.event('registered', rejoins=local_node.rejoins)
        return True

    def remove_row(self) -> bool:
        """Remove the row of this node; return whether it succeeded."""
        key = NODE_PREFIX + self.roster.local_node.name
        outcome = self.table.commit(Transaction(deletes=(key,)))
        if isinstance(outcome, Err):
            self.log.event(
                'unregistration_failed', reason=str(outcome.err_value)
            )
        return isinstance(outcome, Ok)

    def _was_forgotten(self) -> bool:
        """Return whether a restored store lacks the row of this node."""
        return (
            self.written_at is not None
            and self.rows.is_restoring()
            and NODE_PREFIX + self.roster.local_node.name not in self.rows.rows
        )

    def _was_removed(self) -> bool:
        """Return whether another node has removed the row of this node."""
        if self.written_at is None or self.rows.failing_since is not None:
            return False
        if NODE_PREFIX + self.roster.local_node.name in self.rows.rows:
            return False
        age = self.rows.clock.monotonic() - self.written_at
        return age >= MAX_COPY_LAG

    def _rejoin(self) -> None:
        local_node = self.roster.local_node
        self.log.event('rejoining', rejoins=local_node.rejoins + 1)
        self.roster.local_node = dataclasses.replace(
            local_node, rejoins=local_node.rejoins + 1
        )
        self.write_row()

    def _remove(self, name: str) -> None:
        row = self.rows.rows.get(NODE_PREFIX + name)
        if row is None:
            return
        outcome = self.table.commit(
            Transaction(
                checks=(Check(row.key, row.version),), deletes=(row.key,)
            )
        )
        self.log.event(
            'node_removed',
            removed=name,
            row_version=row.version,
            outcome='done' if isinstance(outcome, Ok) else str(outcome.err()),
        )

    def _expected(self) -> Mapping[str, ExpectedNode]:
        """Return the nodes from which this node should receive messages."""
        near = self.roster.domain_nodes()
        aggregators = self.roster.aggregators()
        if self.roster.local_node not in aggregators:
            return self._ranked(aggregators, near, 0)
        expected = self._ranked(near, near, 0)
        remote = self.roster.remote_aggregators()
        for domain in remote:
            others = [
                node
                for other, nodes in remote.items()
                if other != domain
                for node in nodes
            ]
            expected |= self._ranked(
                [
                    node
                    for node in self.roster.nodes.values()
                    if node.failure_domain == domain
                ],
                sorted(
                    [*aggregators, *others], key=lambda monitor: monitor.name
                ),
                REMOTE_RANK_OFFSET,
            )
        return expected

    def _ranked(
        self,
        nodes: Iterable[RouterNode],
        monitors: Sequence[RouterNode],
        offset: int,
    ) -> dict[str, ExpectedNode]:
        """Return expected nodes with the rank of this node among the monitors.

        Args:
          nodes: the expected nodes.
          monitors: nodes that remove a silent node, in the order of ranks.
          offset: rank of the first monitor.
        """
        names = [monitor.name for monitor in monitors]
        return {
            node.name: ExpectedNode(
                offset + self._rank(names, node.name), node.rejoins
            )
            for node in nodes
            if node.name != self.roster.local_node.name
            and node.name in self.roster.nodes
        }

    def _rank(self, monitors: Sequence[str], suspect: str) -> int:
        others = [name for name in monitors if name != suspect]
        return others.index(self.roster.local_node.name)
