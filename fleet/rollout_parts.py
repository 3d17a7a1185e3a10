"""Parts of simulations: a table and gossip in memory, under a manual clock."""

import random
from collections.abc import Mapping
from typing import Any

from result import Err, Result

from bronzeglade.adapters.table import CommitError, Row, Transaction, Unknown
from bronzeglade.builders import ManualClock, MemoryTable
from bronzeglade.entry.peers import Gossip

Sent = list[tuple[float, Any]]  # documents of one origin with their times

KEPT_DOCUMENTS = 16  # of one origin and topic; more than the longest delay


class RecordingTable(MemoryTable):
    """A table whose replies are lost at random; every put is recorded."""

    def __init__(self, source: random.Random, lost_replies: float) -> None:
        """Create an empty table.

        Args:
          source: of randomness.
          lost_replies: part of the commits whose reply is lost.
        """
        super().__init__()
        self.source = source
        self.lost_replies = lost_replies
        self.history: list[Row] = []

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction; its reply may be lost."""
        outcome = super().commit(transaction)
        if isinstance(outcome, Err):
            return outcome
        self.history.extend(self.rows[put.key] for put in transaction.puts)
        if self.source.random() < self.lost_replies:
            return Err(Unknown('lost'))
        return outcome


class DelayedGossip(Gossip):
    """Gossip whose documents reach other nodes after a delay."""

    def __init__(
        self, origin: str, clock: ManualClock, network: 'Network'
    ) -> None:
        """Join a network.

        Args:
          origin: name of this node.
          clock: tells when a document was published.
          network: documents of all nodes.
        """
        super().__init__(origin, clock)
        self.clock = clock
        self.network = network

    def publish(self, topic: str, document: Any) -> None:
        """Replace this node's document of a topic."""
        self.network.put(topic, self.origin, self.clock.monotonic(), document)

    def read(self, topic: str) -> Mapping[str, Any]:
        """Return the documents that have arrived."""
        return self.network.arrived(topic, self.origin, self.clock.monotonic())


class Network:
    """Documents under way between nodes."""

    def __init__(self, source: random.Random, longest_s: float) -> None:
        """Create a network.

        Args:
          source: of the delay of each link.
          longest_s: longest delay, seconds.
        """
        self.source = source
        self.longest_s = longest_s
        self.delays: dict[tuple[str, str], float] = {}
        self.documents: dict[str, dict[str, Sent]] = {}

    def put(self, topic: str, origin: str, at: Any, document: Any) -> None:
        """Keep a document with its time."""
        sent = self.documents.setdefault(topic, {}).setdefault(origin, [])
        sent.append((at.total_seconds(), document))
        del sent[:-KEPT_DOCUMENTS]  # noqa: WPS420

    def arrived(self, topic: str, reader: str, now: Any) -> Mapping[str, Any]:
        """Return the newest document of each origin that has arrived."""
        found: dict[str, Any] = {}
        for origin, sent in self.documents.get(topic, {}).items():
            limit = now.total_seconds() - self._delay(origin, reader)
            for at, document in reversed(sent):
                if at <= limit:
                    found[origin] = document
                    break
        return found

    def _delay(self, origin: str, reader: str) -> float:
        if origin == reader:
            return 0
        link = (origin, reader)
        if link not in self.delays:
            self.delays[link] = self.source.uniform(0, self.longest_s)
        return self.delays[link]
