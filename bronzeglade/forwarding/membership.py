"""Takes nodes that are gone out of the list, and puts this one back into it.

A node that ends without a planned stop leaves its row behind: callers are sent
to its address, and it counts in every share. Whoever hears nothing of it asks
it directly, and removes its row under the condition that the row is unchanged,
so a node that has started again stays. Nobody votes: a node that was wrongly
removed, being frozen or cut off, finds its row missing and writes it anew.
"""

import dataclasses
import datetime as dt
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from result import Err, Ok

from bronzeglade.adapters.table import Check, Put, Table, Transaction
from bronzeglade.coordination.mirror import Mirror
from bronzeglade.coordination.presence import Expected, Presence
from bronzeglade.forwarding import roster
from bronzeglade.forwarding.exchange import Kind
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.roster import OWN_TABLE, Roster, RouterNode

NODE_PREFIX = f'{OWN_TABLE}/node/'
TURN = dt.timedelta(seconds=1)
# A copy of the table shows a row this long after it was written, at the latest.
COPY_LAG = dt.timedelta(seconds=3)
# A failure domain of which nothing is heard is left to its own nodes first, as
# many as these may have to act.
OWN_DOMAIN_FIRST = 4
# Asks a node for a sign of life; true when it gives one.
Probe = Callable[[RouterNode], bool]


class Membership:
    """This node's part of keeping the list of nodes."""

    def __init__(
        self,
        known: Roster,
        presence: Presence,
        rows: Mirror,
        table: Table,
        probe: Probe,
        log: Log,
        source: random.Random,
    ) -> None:
        """Suspect nobody.

        Args:
          known: this node and the others.
          presence: when each was heard.
          rows: copy of the table with the rows of nodes.
          table: where rows are removed.
          probe: asks a node for a sign of life.
          log: of the node.
          source: chooses whom to ask.
        """
        self.random = source
        self.roster = known
        self.presence = presence
        self.rows = rows
        self.table = table
        self.probe = probe
        self.log = log
        self.written_at: dt.timedelta | None = None
        self.unanswered: str | None = None  # probed once without an answer

    def record_message(self, kind: Kind, sender: str) -> None:
        """Take note of a message.

        Args:
          kind: that of a failure domain speaks for all of its nodes.
          sender: a node or a failure domain.
        """
        if kind is not Kind.DOMAIN:
            self.presence.record_message(sender)
            return
        for name, node in self.roster.nodes.items():
            if node.failure_domain == sender:
                self.presence.record_message(name)

    def turn(self) -> None:
        """Come back when removed; act on the silence of one node."""
        if self._is_missing():
            self._rejoin()
        if self.presence.is_isolated():
            self._ask_anybody()
        suspects = self.presence.suspects(self._expected())
        if not suspects or self.rows.failing_since is not None:
            self.unanswered = None
            return
        name = suspects[0]
        node = self.roster.nodes[name]
        if self.probe(node):
            self.unanswered = None
            self.presence.record_message(name)
        elif self.unanswered == name:
            self.unanswered = None
            self._remove(name)
        else:
            # One answer may be lost; the next turn asks again.
            self.unanswered = name

    def _ask_anybody(self) -> None:
        """Ask any node: silence of all may be this node's own."""
        others = [
            node
            for name, node in sorted(self.roster.nodes.items())
            if name != self.roster.myself.name
        ]
        if others:
            asked = self.random.choice(others)
            if self.probe(asked):
                self.presence.record_message(asked.name)

    def write_row(self) -> bool:
        """Write the row of this node; return whether that is done."""
        myself = self.roster.myself
        put = Put(NODE_PREFIX + myself.name, roster.encode(myself))
        outcome = self.table.commit(Transaction(puts=(put,)))
        if isinstance(outcome, Err):
            self.log.event('not_registered', reason=str(outcome.err_value))
            return False
        self.written_at = self.rows.clock.monotonic()
        self.log.event('registered', rejoins=myself.rejoins)
        return True

    def remove_row(self) -> bool:
        """Remove the row of this node; return whether that is done."""
        key = NODE_PREFIX + self.roster.myself.name
        outcome = self.table.commit(Transaction(deletes=(key,)))
        if isinstance(outcome, Err):
            self.log.event('not_unregistered', reason=str(outcome.err_value))
        return isinstance(outcome, Ok)

    def _is_missing(self) -> bool:
        """Return whether others have taken this node for gone."""
        if self.written_at is None or self.rows.failing_since is not None:
            return False
        if NODE_PREFIX + self.roster.myself.name in self.rows.rows:
            return False
        age = self.rows.clock.monotonic() - self.written_at
        return age >= COPY_LAG

    def _rejoin(self) -> None:
        myself = self.roster.myself
        self.log.event('rejoining', rejoins=myself.rejoins + 1)
        self.roster.myself = dataclasses.replace(
            myself, rejoins=myself.rejoins + 1
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

    def _expected(self) -> Mapping[str, Expected]:
        """Return the nodes that this one should hear."""
        near = self.roster.neighbours()
        aggregators = self.roster.aggregators()
        if self.roster.myself not in aggregators:
            return self._ranked(aggregators, near, 0)
        expected = self._ranked(near, near, 0)
        elsewhere = self.roster.aggregators_elsewhere()
        for domain in elsewhere:
            others = [
                node
                for other, nodes in elsewhere.items()
                if other != domain
                for node in nodes
            ]
            expected |= self._ranked(
                [
                    node
                    for node in self.roster.nodes.values()
                    if node.failure_domain == domain
                ],
                sorted([*aggregators, *others], key=lambda one: one.name),
                OWN_DOMAIN_FIRST,
            )
        return expected

    def _ranked(
        self,
        nodes: Iterable[RouterNode],
        acting: Sequence[RouterNode],
        first: int,
    ) -> dict[str, Expected]:
        """Return expected nodes with the place of this one among the actors.

        Args:
          nodes: that are expected.
          acting: who acts on the silence of one of them, in order.
          first: how many act before all of these.
        """
        names = [one.name for one in acting]
        return {
            node.name: Expected(
                first + self._place(names, node.name), node.rejoins
            )
            for node in nodes
            if node.name != self.roster.myself.name
            and node.name in self.roster.nodes
        }

    def _place(self, acting: Sequence[str], suspect: str) -> int:
        others = [name for name in acting if name != suspect]
        return others.index(self.roster.myself.name)
