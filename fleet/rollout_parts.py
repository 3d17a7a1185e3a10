"""In-memory table and gossip with faults, for simulated roll-outs."""

import random
from collections.abc import Mapping
from typing import Any

from result import Err, Result

from bronzeglade.adapters.table import CommitError, Row, Transaction, Unknown
from bronzeglade.builders import ManualClock, MemoryTable
from bronzeglade.entry.peers import Gossip

# Documents of one topic and origin, each after its publication time in seconds.
PublishedDocuments = list[tuple[float, Any]]

# Documents kept per topic and origin, to cover the maximum delay.
MAX_DOCUMENTS = 16


class RecordingTable(MemoryTable):
    """A table that loses replies at random and records every written row."""

    def __init__(self, rng: random.Random, lost_reply_fraction: float) -> None:
        """Create an empty table.

        Args:
          rng: chooses the lost replies.
          lost_reply_fraction: fraction of the applied commits whose reply is
            lost.
        """
        super().__init__()
        self.rng = rng
        self.lost_reply_fraction = lost_reply_fraction
        self.history: list[Row] = []

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction.

        Returns:
          `Unknown` if the reply is lost after the transaction was applied.
        """
        outcome = super().commit(transaction)
        if isinstance(outcome, Err):
            return outcome
        self.history.extend(self.rows[put.key] for put in transaction.puts)
        if self.rng.random() < self.lost_reply_fraction:
            return Err(Unknown('lost'))
        return outcome


class DelayedGossip(Gossip):
    """Gossip of one node whose documents reach its peers after a delay."""

    def __init__(
        self, origin: str, clock: ManualClock, network: 'GossipNetwork'
    ) -> None:
        """Join a network.

        Args:
          origin: name of this node.
          clock: time of publication and delivery.
          network: delivers the documents of all nodes.
        """
        super().__init__(origin, clock)
        self.clock = clock
        self.network = network

    def publish(self, topic: str, document: Any) -> None:
        """Publish a document in place of this node's previous one."""
        self.network.put(topic, self.origin, self.clock.monotonic(), document)

    def read(self, topic: str) -> Mapping[str, Any]:
        """Return the newest documents that have reached this node."""
        return self.network.read(topic, self.origin, self.clock.monotonic())


class GossipNetwork:
    """Network that delivers gossip with a fixed random delay for each link."""

    def __init__(self, rng: random.Random, max_delay_s: float) -> None:
        """Create a network.

        Args:
          rng: chooses the delay of each link.
          max_delay_s: upper bound of the delays.
        """
        self.rng = rng
        self.max_delay_s = max_delay_s
        self.link_delays_s: dict[tuple[str, str], float] = {}
        self.documents: dict[str, dict[str, PublishedDocuments]] = {}

    def put(
        self, topic: str, origin: str, published_at: Any, document: Any
    ) -> None:
        """Store a document with its publication time."""
        published = self.documents.setdefault(topic, {}).setdefault(origin, [])
        published.append((published_at.total_seconds(), document))
        del published[:-MAX_DOCUMENTS]  # noqa: WPS420

    def read(self, topic: str, reader: str, now: Any) -> Mapping[str, Any]:
        """Return the newest delivered document of each origin."""
        delivered: dict[str, Any] = {}
        for origin, published in self.documents.get(topic, {}).items():
            published_until = now.total_seconds() - self._link_delay_s(
                origin, reader
            )
            for published_at, document in reversed(published):
                if published_at <= published_until:
                    delivered[origin] = document
                    break
        return delivered

    def _link_delay_s(self, origin: str, reader: str) -> float:
        if origin == reader:
            return 0
        link = (origin, reader)
        if link not in self.link_delays_s:
            self.link_delays_s[link] = self.rng.uniform(0, self.max_delay_s)
        return self.link_delays_s[link]
