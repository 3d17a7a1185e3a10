"""Composition of datagrams from membership, gossip and the heartbeat."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Sequence

from result import Err

from bronzeglade.coordination import datagram as datagrams
from bronzeglade.coordination import seal
from bronzeglade.coordination.datagram import (
    PAYLOAD_LIMIT,
    Heartbeat,
    Member,
    MemberState,
    Message,
)
from bronzeglade.coordination.dissemination import (
    DOCUMENT_REPEATS,
    repeat_limit,
)
from bronzeglade.coordination.gossip import Gossip, Key
from bronzeglade.coordination.membership import Membership, Outgoing
from bronzeglade.coordination.seal import SharedKey

PUSHES = 3  # messages of gossip only in an interval
TICKS_PER_INTERVAL = PUSHES + 1  # and one probe
# In larger fleets one message of gossip less is sent in each interval: with
# anti-entropy, sent and received bytes together stay under 16 KB/s.
SMALL_FLEET = 64  # nodes
# A datagram is full when this many items did not fit into the rest of it.
MISSES = 3
PURPOSE = b'datagram'

Packed = tuple[str, bytes]  # control address, sealed datagram
Part = tuple[bytes, Callable[[], None]]  # packed item, counts its sending


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Effect of a datagram; `message` is None when it was refused."""

    replies: tuple[Packed, ...] = ()
    message: Message | None = None
    fetch: tuple[Key, ...] = ()


class Exchange:
    """What one node sends in datagrams and takes from them."""

    def __init__(
        self,
        membership: Membership,
        gossip: Gossip,
        keys: Sequence[SharedKey],
        heartbeat: Callable[[], Heartbeat],
    ) -> None:
        """Compose for one node.

        Args:
          membership: of the node.
          gossip: of the node.
          keys: shared by all nodes.
          heartbeat: returns the node's configuration at the time.
        """
        self.membership = membership
        self.gossip = gossip
        self.keys = keys
        self.heartbeat = heartbeat
        self.limit = repeat_limit(1)
        self.periods = 0
        self.pushes = 0

    def join(self) -> list[Packed]:
        """Return probes of all candidates; used once at start."""
        return self._pack_all(self.membership.join())

    def tick(self) -> list[Packed]:
        """Return the datagrams that are due, TICKS_PER_INTERVAL times each."""
        outgoing = self.membership.tick()
        if self.membership.periods != self.periods:
            self.periods = self.membership.periods
            self.pushes = 0
            self.limit = repeat_limit(self.membership.size())
            self.gossip.expire(*self._origins())
            self.gossip.limit_rate()
        self.gossip.release()
        if not outgoing and (
            self.gossip.news.counts or self.membership.news.counts
        ):
            outgoing = self._push()
        return self._pack_all(outgoing)

    def leave(self, gone: bool = False) -> list[Packed]:
        """Return datagrams that tell every node that this one leaves.

        Args:
          gone: whether the process is about to end.
        """
        return self._pack_all(self.membership.leave(gone))

    def receive(self, packed: bytes) -> Received:
        """Take a datagram; one that is not authentic changes nothing."""
        payload = seal.unseal(self.keys, packed, PURPOSE)
        if isinstance(payload, Err):
            return Received()
        message = datagrams.unpack(payload.ok_value)
        if isinstance(message, Err):
            return Received()
        return self._take(message.ok_value)

    def _take(self, message: Message) -> Received:
        replies = self.membership.receive(message)
        fetch = tuple(
            (document.origin, document.topic)
            for document in message.documents
            if self.gossip.merge(document)
        )
        return Received(tuple(self._pack_all(replies)), message, fetch)

    def _origins(self) -> tuple[list[str], list[str]]:
        known = self.membership.known.values()
        dead = MemberState.DEAD
        return (
            [one.origin for one in known if one.state is not dead],
            [one.origin for one in known if one.state is dead],
        )

    def _push(self) -> list[Outgoing]:
        members = self.membership.members()
        self.pushes += 1
        spared = len(members) > SMALL_FLEET and self.pushes >= PUSHES
        if not members or spared:
            return []
        member = self.membership.random.choice(members)
        return [self.membership.facts_to(member.address)]

    def _pack_all(self, outgoing: Sequence[Outgoing]) -> list[Packed]:
        return [(one.address, self._pack(one)) for one in outgoing]

    def _pack(self, outgoing: Outgoing) -> bytes:
        message = dataclasses.replace(
            outgoing.message, heartbeat=self.heartbeat()
        )
        parts = [datagrams.pack_head(message)]
        room = PAYLOAD_LIMIT - len(parts[0])
        # Facts about nodes leave room for documents: when a whole fleet
        # starts, its facts would displace every document for minutes.
        share = room // 2 if self.gossip.news.counts else room
        members = _fill(self._members(outgoing.address), share)
        room -= sum(map(len, members))
        documents = _fill(self._documents(), room)
        packed = b''.join((*parts, *members, *documents))
        return seal.seal(self.keys, packed, PURPOSE)

    def _members(self, address: str) -> Iterator[Part]:
        urgent = self.membership.urgent(address)
        if urgent is not None:
            yield datagrams.pack_member(urgent), _nothing
        for name in self.membership.news.keys():
            member = self._member(name)
            if member is not None and (name != address or urgent is None):
                yield datagrams.pack_member(member), self._member_sent(name)

    def _documents(self) -> Iterator[Part]:
        for key in self.gossip.news.keys():
            document = self.gossip.inline(key)
            if document is not None:
                packed = datagrams.pack_document(document)
                yield packed, self._document_sent(key)

    def _member(self, address: str) -> Member | None:
        mine = self.membership.myself
        if address == mine.address:
            return mine
        return self.membership.known.get(address)

    def _member_sent(self, address: str) -> Callable[[], None]:
        return lambda: self.membership.news.sent(address, self.limit)

    def _document_sent(self, key: Key) -> Callable[[], None]:
        return lambda: self.gossip.news.sent(key, DOCUMENT_REPEATS)


def _fill(parts: Iterable[Part], room: int) -> list[bytes]:
    filled: list[bytes] = []
    misses = 0
    for part, sent in parts:
        if len(part) <= room:
            filled.append(part)
            room -= len(part)
            sent()
        else:
            misses += 1
        if misses == MISSES:
            break
    return filled


def _nothing() -> None:
    """Count nothing: urgent facts are repeated for as long as they hold."""
