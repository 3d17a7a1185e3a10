"""The UDP socket and the loops of membership and gossip."""

import dataclasses
import datetime as dt
from collections.abc import Callable
from typing import Any

from result import Err

from bronzeglade import loops
from bronzeglade.clock import Clock
from bronzeglade.coordination.datagram import (
    MAX_DATAGRAM_BYTES,
    UNPACK_ERRORS,
    Document,
    Member,
    MemberState,
    document_fields,
    member_fields,
    read_document,
    read_member,
)
from bronzeglade.coordination.datagram_exchange import (
    TICKS_PER_INTERVAL,
    DatagramExchange,
)
from bronzeglade.coordination.gossip import DocumentKey, Gossip, fingerprint
from bronzeglade.coordination.membership import Membership
from bronzeglade.datagram_socket import DatagramSocket
from bronzeglade.entry.configuration import Distribution
from bronzeglade.entry.peers import Peer, Peers
from bronzeglade.settings import EntrySettings

# Anti-entropy sends about 10 bytes for each document held. Its interval grows
# with the number of nodes, so that the bytes per second stay constant.
ANTI_ENTROPY_INTERVAL = dt.timedelta(seconds=5)
NODES_PER_INTERVAL_SECOND = 10
MAX_FETCH_DOCUMENTS = 64  # for each call


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatServices:
    """Dependencies of the heartbeats of a node."""

    membership: Membership
    gossip: Gossip
    peers: Peers
    distribution: Distribution
    clock: Clock


class Heartbeats:
    """Sends and receives the datagrams of one node."""

    def __init__(self, services: HeartbeatServices) -> None:
        """Register the handlers that peers call.

        Args:
          services: the dependencies.
        """
        self.services = services
        self.publication = services.distribution.publication
        self.exchange = DatagramExchange(
            services.membership,
            services.gossip,
            services.peers.keys,
            self.publication.heartbeat,
        )
        self.socket: Any = None
        self.join_stage = 0
        self.periods = 0
        self.fetching: set[DocumentKey] = set()
        services.peers.membership = services.membership
        services.peers.handlers['gossip/compare'] = self.handle_compare
        services.peers.handlers['gossip/take'] = self.handle_documents
        services.peers.handlers['gossip/fetch'] = self.handle_fetch

    def start(self, host: str, port: int) -> None:
        """Bind the UDP control port and start the loops."""
        self.socket = DatagramSocket((host, port))
        self.services.peers.update_candidates()
        loops.spawn_loop(self._receive_next)
        loops.spawn_loop(self._tick_next)
        loops.spawn_loop(self._compare_next)

    def leave(self, exiting: bool = False) -> None:
        """Report to every node that this node is leaving.

        Args:
          exiting: whether the process ends now, which marks the node as dead.
        """
        self._send_all(self.exchange.leave(exiting))

    def handle_compare(self, argument: Any) -> Any:
        """Return the documents and members that a peer lacks.

        `wanted` lists the documents that this node lacks and the peer has.
        """
        versions = [
            (_bytes(key), int(version)) for key, version in argument['held']
        ]
        newer, wanted = self.services.gossip.difference(versions)
        membership = self.services.membership
        same_members = argument['members'] == membership.digest()
        members = (
            ()
            if same_members
            else (membership.local_member, *membership.members())
        )
        return {
            'documents': [document_fields(document) for document in newer],
            'wanted': wanted,
            'members': [member_fields(member) for member in members],
        }

    def handle_documents(self, argument: Any) -> Any:
        """Merge documents that this node requested from a peer."""
        self._merge(argument)
        return {}

    def handle_fetch(self, argument: Any) -> Any:
        """Return the documents with these fingerprints.

        Only the first MAX_FETCH_DOCUMENTS fingerprints are considered.
        """
        fingerprints = [_bytes(packed) for packed in argument][
            :MAX_FETCH_DOCUMENTS
        ]
        selected = self.services.gossip.select(fingerprints)
        return [document_fields(document) for document in selected]

    def receive(self, packed: bytes) -> None:
        """Process a datagram; one that is not authentic is ignored."""
        received = self.exchange.receive(packed)
        self._send_all(received.replies)
        message = received.message
        if message is None:
            return
        sender = message.sender
        peer = Peer(sender.vm, sender.address, sender.failure_domain)
        if self.publication.receive_heartbeat(sender, message.heartbeat):
            self._spawn(self.services.distribution.pull, peer)
        wanted = set(received.fetch) - self.fetching
        if wanted:
            self.fetching |= wanted
            self._spawn(self._fetch_from, peer, wanted)

    def tick(self) -> None:
        """Send the datagrams that are due.

        Called TICKS_PER_INTERVAL times in each probe interval.
        """
        self._join()
        self._send_all(self.exchange.tick())
        if self.services.membership.periods != self.periods:
            self.periods = self.services.membership.periods
            members = self.services.membership.members()
            self.publication.retain_holders(
                {member.address for member in members}
            )

    def _join(self) -> None:
        # Joins once with the seeds, and again when the VM list has been read.
        stage = 2 if self.services.peers.listed_vms else 1
        if stage > self.join_stage and self.services.membership.candidates:
            self.join_stage = stage
            self._send_all(self.exchange.join())

    def _spawn(self, action: Callable[..., None], *arguments: Any) -> None:
        self.services.distribution.services.spawn(action, *arguments)

    def _receive_next(self) -> None:
        try:
            packed, _sender = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except ConnectionError:
            # An ICMP port-unreachable message for an earlier datagram.
            return
        self.receive(packed)

    def _fetch_from(self, peer: Peer, keys: set[DocumentKey]) -> None:
        fingerprints = [fingerprint(key) for key in keys]
        try:
            reply = self.services.peers.call(peer, 'gossip/fetch', fingerprints)
        finally:
            self.fetching -= keys
        if not isinstance(reply, Err):
            self._merge(reply.ok_value)

    def _merge(self, documents: Any) -> None:
        for fields in documents:
            self.services.gossip.merge(read_document(fields))

    def _tick_next(self) -> None:
        interval = self.services.membership.interval
        self.services.clock.sleep(interval / TICKS_PER_INTERVAL)
        self.tick()

    def _send_all(self, outgoing: Any) -> None:
        for address, packed in outgoing:
            self._send(address, packed)

    def _send(self, address: str, packed: bytes) -> None:
        host, _, port = address.rpartition(':')
        try:
            self.socket.sendto(packed, (host, int(port)))
        except (OSError, ValueError, OverflowError):
            # A datagram to an unreachable address counts as lost.
            return

    def _compare_next(self) -> None:
        self.services.clock.sleep(self.comparison_interval())
        peers = self.services.peers.live()
        if peers:
            self.compare_with(self.services.membership.rng.choice(peers))

    def comparison_interval(self) -> dt.timedelta:
        """Return the time between two anti-entropy exchanges of this node."""
        nodes = self.services.membership.size()
        scaled = dt.timedelta(seconds=nodes / NODES_PER_INTERVAL_SECOND)
        return max(ANTI_ENTROPY_INTERVAL, scaled)

    def compare_with(self, peer: Peer) -> None:
        """Exchange the documents and members that either node lacks."""
        gossip = self.services.gossip
        argument = {
            'held': [list(version) for version in gossip.versions()],
            'members': self.services.membership.digest(),
        }
        reply = self.services.peers.call(peer, 'gossip/compare', argument)
        if isinstance(reply, Err):
            return
        try:
            wanted = self._merge_comparison(reply.ok_value)
        except UNPACK_ERRORS:
            return
        if wanted:
            documents = [document_fields(document) for document in wanted]
            self.services.peers.call(peer, 'gossip/take', documents)

    def _merge_comparison(self, reply: Any) -> list[Document]:
        for fields in reply['members']:
            self.services.membership.merge(read_member(fields))
        self._merge(reply['documents'])
        fingerprints = [_bytes(packed) for packed in reply['wanted']]
        return self.services.gossip.select(fingerprints)


def _bytes(field: Any) -> bytes:
    if not isinstance(field, bytes):
        raise TypeError('a fingerprint is bytes')
    return field


def new_member(
    settings: EntrySettings, origin: str, now: dt.datetime
) -> Member:
    """Return the membership record that a node sends about itself.

    Args:
      settings: the settings of the process.
      origin: unique name of the process.
      now: wall time of the start. The incarnation is derived from it, so it
        is higher than that of an earlier process at the same address.
    """
    return Member(
        address=f'{settings.host}:{settings.control_port}',
        origin=origin,
        vm=settings.vm,
        failure_domain=settings.failure_domain,
        caller_address=f'{settings.host}:{settings.port}',
        incarnation=int(now.timestamp() * 1000),
        state=MemberState.ALIVE,
    )
