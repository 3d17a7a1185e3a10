"""The generation in force on a node and how current it is, without I/O."""

import dataclasses
import datetime as dt
import enum
from typing import Protocol

from bronzeglade.catalog import Configuration
from bronzeglade.clock import Clock
from bronzeglade.coordination.datagram import DIGEST_BYTES, Heartbeat, Member
from bronzeglade.coordination.head import Published

# Failure domains in which nodes hold a generation before an operator is told
# that it is accepted: then the loss of any one of them loses nothing.
HOLDER_DOMAINS = 2
# A node that starts and has not heard all candidates waits this long before
# it serves on the answers of those that it has heard.
START_WAIT = dt.timedelta(seconds=1)


class StalenessLimits(Protocol):
    """How long a node goes on without a confirmed generation."""

    staleness_limit: dt.timedelta
    candidate_staleness_limit: dt.timedelta


class Staleness(enum.StrEnum):
    """What a node may do with the generation that it has."""

    CURRENT = 'current'
    CANDIDATES_SUSPENDED = 'candidates_suspended'
    EXPIRED = 'expired'


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A node and the generation that it was last heard with."""

    vm: str
    address: str
    failure_domain: str
    generation: int


class Publication:
    """The active configuration of one node."""

    def __init__(
        self, limits: StalenessLimits, myself: Member, clock: Clock
    ) -> None:
        """Start without a configuration.

        Args:
          limits: how long to go on without confirmation.
          myself: this node, as a holder of configurations.
          clock: only its monotonic time is used.
        """
        self.limits = limits
        self.myself = myself
        self.clock = clock
        self.published: Published | None = None
        self.confirmed_at: dt.timedelta | None = None
        self.holders: dict[str, Holder] = {}
        self.table_answered = False
        self.peers_answered: set[str] = set()
        self.started_at = clock.monotonic()

    def current(self) -> Published | None:
        """Return the generation in force."""
        return self.published

    def generation(self) -> int:
        """Return the number of the generation in force; 0 without one."""
        if self.published is None:
            return 0
        return self.published.configuration.generation

    def offer(
        self, published: Published, confirmed_at: dt.timedelta | None
    ) -> bool:
        """Adopt a generation unless it is not higher than the one in force.

        Args:
          published: a committed generation.
          confirmed_at: monotonic time at which the table is known to have
            had it as its head.

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
        """Take a confirmation by the table, heard from it or from a peer.

        Args:
          generation: what the table had as its head.
          digest: the first DIGEST_BYTES of the configuration's digest.
          confirmed_at: monotonic time before the table was asked.
        """
        if generation != self.generation() or digest != self.digest():
            return
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def digest(self) -> bytes:
        """Return the digest in force as heartbeats carry it."""
        if self.published is None:
            return b''
        return short_digest(self.published.configuration)

    def heartbeat(self) -> Heartbeat:
        """Return what this node tells of its configuration."""
        return Heartbeat(self.generation(), self.digest(), self.confirmed_age())

    def hear(self, sender: Member, heartbeat: Heartbeat) -> bool:
        """Take the heartbeat of a peer.

        Args:
          sender: the peer.
          heartbeat: what it tells of its configuration.

        Returns:
          Whether the peer has a higher generation, to be pulled from it.
        """
        self.peers_answered.add(sender.address)
        self.held(
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

    def held(self, holder: Holder) -> None:
        """Note that a peer holds a generation."""
        self.holders[holder.address] = holder

    def forget(self, live: set[str]) -> None:
        """Forget the holders that are not live.

        Args:
          live: control addresses of the live peers.
        """
        self.holders = {
            address: holder
            for address, holder in self.holders.items()
            if address in live
        }

    def holding(self, generation: int) -> list[Holder]:
        """Return the nodes that hold a generation or one that replaced it."""
        mine = Holder(
            self.myself.vm,
            self.myself.address,
            self.myself.failure_domain,
            self.generation(),
        )
        return [
            holder
            for holder in (mine, *self.holders.values())
            if holder.generation >= generation
        ]

    def accepted(self, generation: int) -> bool:
        """Return whether nodes in enough failure domains hold a generation."""
        domains = {one.failure_domain for one in self.holding(generation)}
        return len(domains) >= HOLDER_DOMAINS

    def confirmed_age(self) -> dt.timedelta | None:
        """Return how long ago the table confirmed the generation in force."""
        if self.confirmed_at is None:
            return None
        return self.clock.monotonic() - self.confirmed_at

    def staleness(self) -> Staleness:
        """Return what the node may do with the generation in force."""
        age = self.confirmed_age()
        if age is None or age > self.limits.staleness_limit:
            return Staleness.EXPIRED
        if age > self.limits.candidate_staleness_limit:
            return Staleness.CANDIDATES_SUSPENDED
        return Staleness.CURRENT

    def candidates_suspended(self) -> bool:
        """Return whether versions in rollout get no new, unbound work."""
        return self.staleness() is not Staleness.CURRENT

    def ready(self, candidates: int) -> bool:
        """Return whether the node may serve after its start.

        Args:
          candidates: number of peers that may answer.
        """
        if self.published is None:
            return False
        if self.table_answered:
            return True
        waited = self.clock.monotonic() - self.started_at >= START_WAIT
        answered = len(self.peers_answered)
        return bool(answered) and (waited or answered >= candidates)


def short_digest(configuration: Configuration) -> bytes:
    """Return a configuration's digest as heartbeats carry it."""
    return bytes.fromhex(configuration.digest)[:DIGEST_BYTES]
