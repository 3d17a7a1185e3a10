"""Composition of datagrams from membership, gossip and the heartbeat."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Sequence

from result import Err

from bronzeglade.coordination import datagram as datagrams
from bronzeglade.coordination import seal
from bronzeglade.coordination.datagram import (
    MAX_PAYLOAD_BYTES,
    Heartbeat,
    Member,
    MemberState,
    Message,
)
from bronzeglade.coordination.dissemination import (
    DOCUMENT_SEND_LIMIT,
    send_limit,
)
from bronzeglade.coordination.gossip import DocumentKey, Gossip
from bronzeglade.coordination.membership import Membership, Outgoing
from bronzeglade.coordination.seal import SharedKey

PUSHES_PER_INTERVAL = 3  # messages with only gossip in a probe interval
TICKS_PER_INTERVAL = PUSHES_PER_INTERVAL + 1  # one tick sends the probe
# With more peers than this a node sends one gossip message fewer in each
# interval, which keeps its traffic in both directions, anti-entropy included,
# under 16 KB/s.
SMALL_FLEET_NODES = 64
# A datagram counts as full when this many items were skipped because they were
# larger than its remaining space.
MAX_SKIPPED_ITEMS = 3
PURPOSE = b'datagram'

PackedDatagram = tuple[str, bytes]  # control address, sealed datagram
PackedItem = tuple[bytes, Callable[[], None]]  # content, callback when sent


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Result of a datagram; `message` is None if it was rejected."""

    replies: tuple[PackedDatagram, ...] = ()
    message: Message | None = None
    fetch: tuple[DocumentKey, ...] = ()


class DatagramExchange:
    """Composes and processes the datagrams of one node."""

    def __init__(
        self,
        membership: Membership,
        gossip: Gossip,
        keys: Sequence[SharedKey],
        heartbeat: Callable[[], Heartbeat],
    ) -> None:
        """Create the exchange of a node.

        Args:
          membership: source and destination of member updates.
          gossip: source and destination of documents.
          keys: shared keys of all nodes; the first one signs.
          heartbeat: returns the heartbeat to put into a datagram.
        """
        self.membership = membership
        self.gossip = gossip
        self.keys = keys
        self.heartbeat = heartbeat
        self.send_limit = send_limit(1)
        self.periods = 0
        self.pushes = 0

    def join(self) -> list[PackedDatagram]:
        """Return pings to all candidates that are not known yet."""
        return self._pack_all(self.membership.join())

    def tick(self) -> list[PackedDatagram]:
        """Return the datagrams to send now.

        Must be called TICKS_PER_INTERVAL times in each probe interval.
        """
        outgoing = self.membership.tick()
        if self.membership.periods != self.periods:
            self.periods = self.membership.periods
            self.pushes = 0
            self.send_limit = send_limit(self.membership.size())
            self.gossip.expire(*self._live_and_dead_origins())
            self.gossip.limit_rate()
        self.gossip.publish_pending()
        if not outgoing and (
            self.gossip.updates.send_counts
            or self.membership.updates.send_counts
        ):
            outgoing = self._gossip_push()
        return self._pack_all(outgoing)

    def leave(self, exiting: bool = False) -> list[PackedDatagram]:
        """Return datagrams that announce to all nodes that this node leaves.

        Args:
          exiting: whether the process ends now, which marks the node as dead.
        """
        return self._pack_all(self.membership.leave(exiting))

    def receive(self, packed: bytes) -> Received:
        """Process a datagram; one with an invalid tag has no effect."""
        payload = seal.unseal(self.keys, packed, PURPOSE)
        if isinstance(payload, Err):
            return Received()
        message = datagrams.unpack(payload.ok_value)
        if isinstance(message, Err):
            return Received()
        return self._apply(message.ok_value)

    def _apply(self, message: Message) -> Received:
        replies = self.membership.receive(message)
        fetch = tuple(
            (document.origin, document.topic)
            for document in message.documents
            if self.gossip.merge(document)
        )
        return Received(tuple(self._pack_all(replies)), message, fetch)

    def _live_and_dead_origins(self) -> tuple[list[str], list[str]]:
        known = self.membership.known.values()
        dead = MemberState.DEAD
        return (
            [member.origin for member in known if member.state is not dead],
            [member.origin for member in known if member.state is dead],
        )

    def _gossip_push(self) -> list[Outgoing]:
        members = self.membership.members()
        self.pushes += 1
        skipped = (
            len(members) > SMALL_FLEET_NODES
            and self.pushes >= PUSHES_PER_INTERVAL
        )
        if not members or skipped:
            return []
        member = self.membership.rng.choice(members)
        return [self.membership.gossip_to(member.address)]

    def _pack_all(self, outgoing: Sequence[Outgoing]) -> list[PackedDatagram]:
        return [(entry.address, self._pack(entry)) for entry in outgoing]

    def _pack(self, outgoing: Outgoing) -> bytes:
        message = dataclasses.replace(
            outgoing.message, heartbeat=self.heartbeat()
        )
        head = datagrams.pack_head(message)
        remaining = MAX_PAYLOAD_BYTES - datagrams.ARRAY_HEADER_BYTES - len(head)
        # Member updates may fill only half of a datagram when documents are
        # queued. Without this bound, the start of a whole fleet would keep all
        # documents out of the datagrams for minutes.
        member_budget = (
            remaining // 2 if self.gossip.updates.send_counts else remaining
        )
        members = _fill(self._member_items(outgoing.address), member_budget)
        remaining -= sum(map(len, members))
        documents = _fill(self._document_items(), remaining)
        payload = datagrams.join((head, *members, *documents))
        return seal.seal(self.keys, payload, PURPOSE)

    def _member_items(self, address: str) -> Iterator[PackedItem]:
        report = self.membership.failure_report(address)
        if report is not None:
            yield datagrams.pack_member(report), _no_op
        for name in self.membership.updates.keys():
            member = self._member(name)
            if member is not None and (name != address or report is None):
                yield datagrams.pack_member(member), self._member_sent(name)

    def _document_items(self) -> Iterator[PackedItem]:
        for key in self.gossip.updates.keys():
            document = self.gossip.inline(key)
            if document is not None:
                packed = datagrams.pack_document(document)
                yield packed, self._document_sent(key)

    def _member(self, address: str) -> Member | None:
        local = self.membership.local_member
        if address == local.address:
            return local
        return self.membership.known.get(address)

    def _member_sent(self, address: str) -> Callable[[], None]:
        return lambda: self.membership.updates.mark_sent(
            address, self.send_limit
        )

    def _document_sent(self, key: DocumentKey) -> Callable[[], None]:
        return lambda: self.gossip.updates.mark_sent(key, DOCUMENT_SEND_LIMIT)


def _fill(items: Iterable[PackedItem], remaining: int) -> list[bytes]:
    filled: list[bytes] = []
    skipped = 0
    for packed, mark_sent in items:
        if len(packed) <= remaining:
            filled.append(packed)
            remaining -= len(packed)
            mark_sent()
        else:
            skipped += 1
        if skipped == MAX_SKIPPED_ITEMS:
            break
    return filled


def _no_op() -> None:
    """Do nothing: the number of sends of a failure report is not limited."""
