"""SWIM failure detection: random probes with suspicion, without I/O."""

import dataclasses
import datetime as dt
import hashlib
import math
import random
from collections.abc import Iterable

from bronzeglade.clock import Clock
from bronzeglade.coordination.datagram import (
    INCARNATION_LIMIT,
    Heartbeat,
    Member,
    MemberState,
    Message,
    MessageKind,
)
from bronzeglade.coordination.dissemination import UpdateQueue, send_limit

INDIRECT_PROBES = 3
# Number of times that this node sends the record of a node that introduced
# itself to it.
INTRODUCTION_SENDS = 2
# One unreachable address is probed in every n-th probe interval, so that a
# healed partition is noticed within seconds.
UNREACHABLE_PROBE_PERIODS = 4
# Records of dead nodes are kept this long, so that delayed messages do not
# restore them.
DEAD_RETENTION = dt.timedelta(minutes=10)
# Fixed part of the suspicion timeout, in probe intervals; it covers pauses of a
# busy VM. A logarithm of the number of nodes is added, for the time in which a
# suspicion spreads to all nodes and the refutation spreads back.
SUSPICION_BASE_INTERVALS = 5
# A gap between ticks of more probe intervals than this means that the process
# was paused and has not yet read the replies received in the meantime.
PAUSE_INTERVALS = 2

NO_HEARTBEAT = Heartbeat()


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the control address of its recipient."""

    address: str
    message: Message


@dataclasses.dataclass(slots=True)
class Probe:
    """The current probe; `indirect` once other nodes were asked to ping too."""

    address: str
    sequence: int
    sent_at: dt.timedelta
    indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A ping sent on behalf of another node; its ack is forwarded there."""

    address: str
    sequence: int
    expires_at: dt.timedelta


class Membership:
    """The membership records of all nodes, as known to this node."""

    def __init__(
        self,
        local_member: Member,
        interval: dt.timedelta,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with no other node known.

        Args:
          local_member: record of this node; its incarnation should be higher
            than that of an earlier process at this address.
          interval: time between probes.
          clock: only its monotonic time is used.
          rng: selects the nodes to probe and to ask.
        """
        self.local_member = local_member
        self.interval = interval
        self.clock = clock
        self.rng = rng
        self.known: dict[str, Member] = {}
        self.state_since: dict[str, dt.timedelta] = {}
        self.last_received: dict[str, dt.timedelta] = {}
        self.updates: UpdateQueue[str] = UpdateQueue()
        self.candidates: frozenset[str] = frozenset()
        self.probe: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self.probe_order: list[str] = []
        self.own_suspects: set[str] = set()
        self.sequence = 0
        self.periods = 0
        self.next_period = clock.monotonic()
        self.last_tick = clock.monotonic()

    def members(self) -> tuple[Member, ...]:
        """Return the records of the other nodes that are not dead."""
        return tuple(
            member
            for member in self.known.values()
            if member.state is not MemberState.DEAD
        )

    def usable(self) -> tuple[Member, ...]:
        """Return the other nodes that may get new requests and callers.

        Excludes nodes that are leaving, and nodes that have been suspect for
        half of the suspicion timeout or longer.
        """
        earliest = self.clock.monotonic() - self.suspicion_timeout() / 2
        return tuple(
            member
            for member in self.known.values()
            if not member.leaving
            and (
                member.state is MemberState.ALIVE
                or (
                    member.state is MemberState.SUSPECT
                    and self.state_since[member.address] > earliest
                )
            )
        )

    def digest(self) -> bytes:
        """Return a hash that is equal on nodes with the same view."""
        records = sorted(
            (
                member.address,
                member.incarnation,
                int(member.state),
                member.leaving,
            )
            for member in (self.local_member, *self.members())
        )
        return hashlib.blake2b(repr(records).encode(), digest_size=8).digest()

    def size(self) -> int:
        """Return the number of nodes that are not dead, this one included."""
        dead = MemberState.DEAD
        others = [
            member for member in self.known.values() if member.state is not dead
        ]
        return len(others) + 1

    def suspicion_timeout(self) -> dt.timedelta:
        """Return how long a node stays suspect before it counts as dead."""
        return self.interval * (
            SUSPICION_BASE_INTERVALS + math.log2(self.size() + 1)
        )

    def update_candidates(self, addresses: Iterable[str]) -> None:
        """Set the addresses from the VM list and the seeds."""
        self.candidates = frozenset(addresses) - {self.local_member.address}

    def join(self) -> list[Outgoing]:
        """Return pings to all candidates that are not known yet."""
        return [
            self._ping(address, self._next_sequence())
            for address in sorted(self.candidates - self.known.keys())
        ]

    def tick(self) -> list[Outgoing]:
        """Return the messages to send now.

        Must be called several times in each probe interval.
        """
        now = self.clock.monotonic()
        pause = now - self.last_tick
        self.last_tick = now
        if pause > self.interval * PAUSE_INTERVALS:
            self._extend_suspicions(pause)
        outgoing: list[Outgoing] = []
        if now >= self.next_period:
            outgoing.extend(self._start_period(now))
        else:
            outgoing.extend(self._send_indirect_probes(now))
        return outgoing

    def receive(self, message: Message) -> list[Outgoing]:
        """Process a message from another node and return the replies."""
        sender = message.sender
        if sender.address == self.local_member.address:
            return []
        self.last_received[sender.address] = self.clock.monotonic()
        introduced = sender.address not in self.known
        for member in (sender, *message.members):
            self.merge(member)
        if introduced and sender.address in self.known:
            # A starting node pings all candidates itself. Repeating its record
            # the full number of times would fill the datagrams when a whole
            # fleet starts.
            count = send_limit(self.size()) - INTRODUCTION_SENDS
            self.updates.add(sender.address, count)
        known = self.known.get(sender.address)
        if known is not None and known.origin != sender.origin:
            # A new process has a lower incarnation than its predecessor at
            # this address. The reply carries the predecessor's record, on
            # which the process raises its incarnation.
            self.updates.add(sender.address)
        if message.kind is MessageKind.PING:
            return [self._ack(sender.address, message.sequence)]
        if message.kind is MessageKind.ACK:
            return self._receive_ack(message)
        if message.kind is MessageKind.PING_REQUEST:
            return self._relay_ping(message)
        return []

    def merge(self, update: Member) -> None:
        """Store the record of a node if it supersedes the known one."""
        if update.address == self.local_member.address:
            self._refute(update)
            return
        known = self.known.get(update.address)
        if known is None and update.state is MemberState.DEAD:
            return
        if known is None or update.precedence() > known.precedence():
            self._record(update)

    def leave(self, exiting: bool = False) -> list[Outgoing]:
        """Return messages that announce to all nodes that this node leaves.

        Args:
          exiting: whether the process ends now, which marks the node as dead.
        """
        self.local_member = dataclasses.replace(
            self.local_member,
            incarnation=self.local_member.incarnation + 1,
            leaving=True,
            state=MemberState.DEAD if exiting else MemberState.ALIVE,
        )
        return [
            self._message(member.address, MessageKind.FACTS, 0)
            for member in self.members()
        ]

    def failure_report(self, address: str) -> Member | None:
        """Return the record of a suspect or dead node, for it to refute."""
        known = self.known.get(address)
        if known is None or known.state is MemberState.ALIVE:
            return None
        return known

    def gossip_to(self, address: str) -> Outgoing:
        """Return a message that only carries gossip."""
        return self._message(address, MessageKind.FACTS, 0)

    def _record(self, member: Member) -> None:
        previous = self.known.get(member.address)
        self.known[member.address] = member
        if previous is None or previous.state is not member.state:
            self.state_since[member.address] = self.clock.monotonic()
        if member.state is not MemberState.SUSPECT:
            self.own_suspects.discard(member.address)
        self.updates.add(member.address)

    def _refute(self, update: Member) -> None:
        local = self.local_member
        matches = (
            update.origin == local.origin and update.leaving == local.leaving
        )
        if matches and update.precedence() <= local.precedence():
            return
        if update.incarnation < local.incarnation:
            return
        if update.incarnation + 1 < INCARNATION_LIMIT:
            self.local_member = dataclasses.replace(
                local, incarnation=update.incarnation + 1
            )
            self.updates.add(local.address)

    def _extend_suspicions(self, pause: dt.timedelta) -> None:
        self.probe = None
        for address, member in self.known.items():
            if member.state is MemberState.SUSPECT:
                self.state_since[address] += pause

    def _start_period(self, now: dt.timedelta) -> list[Outgoing]:
        self.next_period = now + self.interval
        self.periods += 1
        self._suspect_unanswered()
        self._expire(now)
        self.relays = {
            sequence: relay
            for sequence, relay in self.relays.items()
            if relay.expires_at > now
        }
        outgoing = self._probe_next(now)
        if self.periods % UNREACHABLE_PROBE_PERIODS == 0:
            outgoing.extend(self._probe_unreachable())
        outgoing.extend(self._probe_suspects())
        return outgoing

    def _suspect_unanswered(self) -> None:
        probe = self.probe
        self.probe = None
        if probe is None:
            return
        member = self.known.get(probe.address)
        if member is not None and member.state is MemberState.ALIVE:
            self._record(dataclasses.replace(member, state=MemberState.SUSPECT))
            self.own_suspects.add(probe.address)

    def _probe_next(self, now: dt.timedelta) -> list[Outgoing]:
        # Probing in rounds, each in a new random order, bounds the time
        # between two probes of the same node.
        while self.probe_order:
            address = self.probe_order.pop()
            member = self.known.get(address)
            if member is not None and member.state is not MemberState.DEAD:
                self.probe = Probe(address, self._next_sequence(), now)
                return [self._ping(address, self.probe.sequence)]
        self.probe_order = [member.address for member in self.members()]
        self.rng.shuffle(self.probe_order)
        return self._probe_next(now) if self.probe_order else []

    def _probe_unreachable(self) -> list[Outgoing]:
        # Probing candidates that never answered and dead nodes lets the two
        # sides of a healed partition find each other.
        unreachable = sorted(
            address
            for address in self.candidates | self.known.keys()
            if address not in self.known
            or self.known[address].state is MemberState.DEAD
        )
        if not unreachable:
            return []
        address = self.rng.choice(unreachable)
        return [self._ping(address, self._next_sequence())]

    def _probe_suspects(self) -> list[Outgoing]:
        # The node that raised the suspicion and about three others ping a
        # suspect, so that a single lossy link does not decide its state. The
        # ping carries the suspicion, which the suspect can refute.
        suspects = [
            member.address
            for member in self.known.values()
            if member.state is MemberState.SUSPECT
        ]
        probability = INDIRECT_PROBES / self.size()
        return [
            self._ping(address, self._next_sequence())
            for address in suspects
            if address in self.own_suspects or self.rng.random() < probability
        ][:INDIRECT_PROBES]

    def _send_indirect_probes(self, now: dt.timedelta) -> list[Outgoing]:
        probe = self.probe
        if probe is None or probe.indirect:
            return []
        if now < probe.sent_at + self.interval / 2:
            return []
        probe.indirect = True
        others = [
            member.address
            for member in self.members()
            if member.address != probe.address
        ]
        helpers = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [
            self._message(
                helper, MessageKind.PING_REQUEST, probe.sequence, probe.address
            )
            for helper in helpers
        ]

    def _relay_ping(self, message: Message) -> list[Outgoing]:
        if message.target in {'', self.local_member.address}:
            return []
        sequence = self._next_sequence()
        expires_at = self.clock.monotonic() + self.interval * 2
        self.relays[sequence] = Relay(
            message.sender.address, message.sequence, expires_at
        )
        return [self._ping(message.target, sequence)]

    def _receive_ack(self, message: Message) -> list[Outgoing]:
        probe = self.probe
        if probe is not None and probe.sequence == message.sequence:
            self.probe = None
        relay = self.relays.pop(message.sequence, None)
        if relay is None:
            return []
        return [self._ack(relay.address, relay.sequence)]

    def _expire(self, now: dt.timedelta) -> None:
        timeout = self.suspicion_timeout()
        for address, member in tuple(self.known.items()):
            silence = now - max(
                self.state_since[address],
                self.last_received.get(address, self.state_since[address]),
            )
            if member.state is MemberState.SUSPECT and silence >= timeout:
                self._record(
                    dataclasses.replace(member, state=MemberState.DEAD)
                )
            if member.state is MemberState.DEAD and silence >= DEAD_RETENTION:
                self._remove(address)

    def _remove(self, address: str) -> None:
        self.known.pop(address)
        self.state_since.pop(address)
        self.last_received.pop(address, None)
        self.updates.discard(address)

    def _next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence

    def _ping(self, address: str, sequence: int) -> Outgoing:
        return self._message(address, MessageKind.PING, sequence)

    def _ack(self, address: str, sequence: int) -> Outgoing:
        return self._message(address, MessageKind.ACK, sequence)

    def _message(
        self, address: str, kind: MessageKind, sequence: int, target: str = ''
    ) -> Outgoing:
        return Outgoing(
            address,
            Message(kind, sequence, self.local_member, NO_HEARTBEAT, target),
        )
