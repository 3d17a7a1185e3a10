"""Active configuration of a node and its staleness, without I/O.

A generation is active on a node from the time at which the node adopts it.
"""

import dataclasses
import datetime as dt
import enum
from typing import Protocol

from bronzeglade.catalog import Configuration
from bronzeglade.clock import Clock
from bronzeglade.coordination.datagram import DIGEST_BYTES, Heartbeat, Member
from bronzeglade.coordination.head import Published

# A generation counts as accepted when nodes in this many failure domains hold
# it, so that it survives the loss of a whole failure domain.
MIN_HOLDER_DOMAINS = 2
# A starting node that lacks the heartbeat of some candidate waits this long,
# then serves with the highest generation of the peers that did answer.
START_WAIT = dt.timedelta(seconds=1)


class StalenessLimits(Protocol):
    """How long a node may use a generation after its confirmation."""

    staleness_limit: dt.timedelta
    candidate_staleness_limit: dt.timedelta


class Staleness(enum.StrEnum):
    """What a node may do with the active generation."""

    CURRENT = 'current'
    CANDIDATES_SUSPENDED = 'candidates_suspended'
    EXPIRED = 'expired'


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A node and the generation that it last reported."""

    vm: str
    address: str
    failure_domain: str
    generation: int


class Publication:
    """The active configuration of one node."""

    def __init__(
        self, limits: StalenessLimits, local_member: Member, clock: Clock
    ) -> None:
        """Start without a configuration.

        Args:
          limits: how long a generation may be used after its confirmation.
          local_member: record of this node.
          clock: only its monotonic time is used.
        """
        self.limits = limits
        self.local_member = local_member
        self.clock = clock
        self.published: Published | None = None
        self.confirmed_at: dt.timedelta | None = None
        self.holders: dict[str, Holder] = {}
        self.table_answered = False
        self.peers_answered: set[str] = set()
        self.started_at = clock.monotonic()

    def current(self) -> Published | None:
        """Return the active generation, with its publication."""
        return self.published

    def generation(self) -> int:
        """Return the number of the active generation; 0 without one."""
        if self.published is None:
            return 0
        return self.published.configuration.generation

    def adopt_if_newer(
        self, published: Published, confirmed_at: dt.timedelta | None
    ) -> bool:
        """Adopt a generation if it is higher than the active one.

        Args:
          published: a committed generation.
          confirmed_at: monotonic time at which it was the head in the table
            service, if known.

        Returns:
          Whether it was adopted.
        """
        if published.configuration.generation <= self.generation():
            return False
        self.published = published
        self.confirmed_at = confirmed_at
        return True

    def confirm(
        self, generation: int, digest: bytes, confirmed_at: dt.timedelta
    ) -> None:
        """Record a confirmation by the table service, maybe through a peer.

        It has no effect unless it confirms the active generation.

        Args:
          generation: generation at the head of the table.
          digest: the first DIGEST_BYTES of the configuration's digest.
          confirmed_at: monotonic time before the table was read.
        """
        if generation != self.generation() or digest != self.digest():
            return
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def digest(self) -> bytes:
        """Return the short digest of the active generation."""
        if self.published is None:
            return b''
        return short_digest(self.published.configuration)

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat that this node sends."""
        return Heartbeat(self.generation(), self.digest(), self.confirmed_age())

    def receive_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> bool:
        """Process the heartbeat of a peer.

        Args:
          sender: the peer.
          heartbeat: state of its configuration.

        Returns:
          Whether the peer has a higher generation, to be fetched from it.
        """
        self.peers_answered.add(sender.address)
        self.record_holder(
            Holder(
                sender.vm,
                sender.address,
                sender.failure_domain,
                heartbeat.generation,
            )
        )
        if heartbeat.age is not None:
            self.confirm(
                heartbeat.generation,
                heartbeat.digest,
                self.clock.monotonic() - heartbeat.age,
            )
        return heartbeat.generation > self.generation()

    def record_holder(self, holder: Holder) -> None:
        """Record the generation that a peer holds."""
        self.holders[holder.address] = holder

    def retain_holders(self, live: set[str]) -> None:
        """Remove the holders that are not live.

        Args:
          live: control addresses of the live peers.
        """
        self.holders = {
            address: holder
            for address, holder in self.holders.items()
            if address in live
        }

    def holders_of(self, generation: int) -> list[Holder]:
        """Return the nodes that hold this generation or a higher one."""
        own_holder = Holder(
            self.local_member.vm,
            self.local_member.address,
            self.local_member.failure_domain,
            self.generation(),
        )
        return [
            holder
            for holder in (own_holder, *self.holders.values())
            if holder.generation >= generation
        ]

    def is_accepted(self, generation: int) -> bool:
        """Return whether nodes in enough failure domains hold a generation."""
        domains = {
            holder.failure_domain for holder in self.holders_of(generation)
        }
        return len(domains) >= MIN_HOLDER_DOMAINS

    def confirmed_age(self) -> dt.timedelta | None:
        """Return the time since the last confirmation, None without one."""
        if self.confirmed_at is None:
            return None
        return self.clock.monotonic() - self.confirmed_at

    def staleness(self) -> Staleness:
        """Return what the node may do with the active generation."""
        age = self.confirmed_age()
        if age is None or age > self.limits.staleness_limit:
            return Staleness.EXPIRED
        if age > self.limits.candidate_staleness_limit:
            return Staleness.CANDIDATES_SUSPENDED
        return Staleness.CURRENT

    def candidates_suspended(self) -> bool:
        """Return whether new work avoids the candidate versions of roll-outs.

        Requests that are bound to a candidate version still go there.
        """
        return self.staleness() is not Staleness.CURRENT

    def ready(self, peer_count: int) -> bool:
        """Return whether a starting node may begin to serve.

        Args:
          peer_count: number of peers that may answer.
        """
        if self.published is None:
            return False
        if self.table_answered:
            return True
        waited = self.clock.monotonic() - self.started_at >= START_WAIT
        answered = len(self.peers_answered)
        return bool(answered) and (waited or answered >= peer_count)


def short_digest(configuration: Configuration) -> bytes:
    """Return the prefix of a configuration's digest for heartbeats."""
    return bytes.fromhex(configuration.digest)[:DIGEST_BYTES]
