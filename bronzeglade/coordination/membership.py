"""Which nodes are live: random probing with suspicion (SWIM), without I/O."""

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
    Kind,
    Member,
    MemberState,
    Message,
)
from bronzeglade.coordination.dissemination import News, repeat_limit

INDIRECT_PROBES = 3
INTRODUCTION_REPEATS = 2  # of a node that was first heard from itself
# Own candidates that do not answer are probed in this many intervals again:
# often enough that a healed partition is noticed in seconds.
RETRY_INTERVALS = 4
# A dead node is remembered so that late messages do not bring it back.
FORGET_AFTER = dt.timedelta(minutes=10)
# Suspicion in probe intervals: the fixed part outlasts pauses of a busy VM,
# the logarithm is the time that facts take to reach all nodes and back.
SUSPICION_BASE = 5
# A gap between ticks of this many intervals means that this process was
# paused: it has not read what others answered in the meantime.
PAUSE_INTERVALS = 2

NO_HEARTBEAT = Heartbeat()


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the control address that it goes to."""

    address: str
    message: Message


@dataclasses.dataclass(slots=True)
class Probe:
    """The probe under way."""

    address: str
    sequence: int
    sent_at: dt.timedelta
    indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A probe for another node: whom to tell of the answer."""

    address: str
    sequence: int
    due: dt.timedelta


class Membership:
    """One node's view of all nodes."""

    def __init__(
        self,
        myself: Member,
        interval: dt.timedelta,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Know no other node yet.

        Args:
          myself: this node; its incarnation should be higher than that of
            an earlier process at this address.
          interval: time between probes.
          clock: only its monotonic time is used.
          source: of random choices.
        """
        self.myself = myself
        self.interval = interval
        self.clock = clock
        self.random = source
        self.known: dict[str, Member] = {}
        self.since: dict[str, dt.timedelta] = {}
        self.heard: dict[str, dt.timedelta] = {}
        self.news: News[str] = News()
        self.candidates: frozenset[str] = frozenset()
        self.probe: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self.order: list[str] = []
        self.own_suspects: set[str] = set()
        self.sequence = 0
        self.periods = 0
        self.next_period = clock.monotonic()
        self.last_tick = clock.monotonic()

    def members(self) -> tuple[Member, ...]:
        """Return the other nodes that are not dead."""
        return tuple(
            member
            for member in self.known.values()
            if member.state is not MemberState.DEAD
        )

    def usable(self) -> tuple[Member, ...]:
        """Return the other nodes that new work and callers may be sent to.

        Leaving nodes are left out, and those that have been suspect for
        half of the suspicion period.
        """
        limit = self.clock.monotonic() - self.suspicion() / 2
        return tuple(
            member
            for member in self.known.values()
            if not member.leaving
            and (
                member.state is MemberState.ALIVE
                or (
                    member.state is MemberState.SUSPECT
                    and self.since[member.address] > limit
                )
            )
        )

    def digest(self) -> bytes:
        """Return a hash by which two nodes see that their views agree."""
        facts = sorted(
            (one.address, one.incarnation, int(one.state), one.leaving)
            for one in (self.myself, *self.members())
        )
        return hashlib.blake2b(repr(facts).encode(), digest_size=8).digest()

    def size(self) -> int:
        """Return the number of nodes that are not dead, with this one."""
        dead = MemberState.DEAD
        live = [one for one in self.known.values() if one.state is not dead]
        return len(live) + 1

    def suspicion(self) -> dt.timedelta:
        """Return how long a suspect may refute."""
        return self.interval * (SUSPICION_BASE + math.log2(self.size() + 1))

    def propose(self, addresses: Iterable[str]) -> None:
        """Set the addresses where nodes may be: VM list and seeds."""
        self.candidates = frozenset(addresses) - {self.myself.address}

    def join(self) -> list[Outgoing]:
        """Probe every candidate that is not known; used once at start."""
        return [
            self._ping(address, self._next_sequence())
            for address in sorted(self.candidates - self.known.keys())
        ]

    def tick(self) -> list[Outgoing]:
        """Return the messages that are due; call several times an interval."""
        now = self.clock.monotonic()
        pause = now - self.last_tick
        self.last_tick = now
        if pause > self.interval * PAUSE_INTERVALS:
            self._resume(pause)
        outgoing: list[Outgoing] = []
        if now >= self.next_period:
            outgoing.extend(self._period(now))
        else:
            outgoing.extend(self._indirect(now))
        return outgoing

    def receive(self, message: Message) -> list[Outgoing]:
        """Take a message of a node; return the replies."""
        sender = message.sender
        if sender.address == self.myself.address:
            return []
        self.heard[sender.address] = self.clock.monotonic()
        introduced = sender.address not in self.known
        for member in (sender, *message.members):
            self.merge(member)
        if introduced and sender.address in self.known:
            # A node that starts tells all candidates itself; full news of
            # every node would fill the datagrams when a fleet starts.
            count = repeat_limit(self.size()) - INTRODUCTION_REPEATS
            self.news.add(sender.address, count)
        known = self.known.get(sender.address)
        if known is not None and known.origin != sender.origin:
            # A new process whose incarnation is below its predecessor's: the
            # reply tells it, and it takes a higher one.
            self.news.add(sender.address)
        if message.kind is Kind.PING:
            return [self._ack(sender.address, message.sequence)]
        if message.kind is Kind.ACK:
            return self._acknowledged(message)
        if message.kind is Kind.PING_REQUEST:
            return self._relay(message)
        return []

    def merge(self, fact: Member) -> None:
        """Take a fact about a node when it is newer than what is known."""
        if fact.address == self.myself.address:
            self._refute(fact)
            return
        known = self.known.get(fact.address)
        if known is None and fact.state is MemberState.DEAD:
            return
        if known is None or fact.precedence() > known.precedence():
            self._put(fact)

    def leave(self, gone: bool = False) -> list[Outgoing]:
        """Tell every node that this one is leaving.

        Args:
          gone: whether the process is about to end.
        """
        self.myself = dataclasses.replace(
            self.myself,
            incarnation=self.myself.incarnation + 1,
            leaving=True,
            state=MemberState.DEAD if gone else MemberState.ALIVE,
        )
        return [
            self._message(member.address, Kind.FACTS, 0)
            for member in self.members()
        ]

    def urgent(self, address: str) -> Member | None:
        """Return what a node must be told first: that it is taken for ill."""
        known = self.known.get(address)
        if known is None or known.state is MemberState.ALIVE:
            return None
        return known

    def facts_to(self, address: str) -> Outgoing:
        """Return a message that carries nothing but gossip."""
        return self._message(address, Kind.FACTS, 0)

    def _put(self, member: Member) -> None:
        before = self.known.get(member.address)
        self.known[member.address] = member
        if before is None or before.state is not member.state:
            self.since[member.address] = self.clock.monotonic()
        if member.state is not MemberState.SUSPECT:
            self.own_suspects.discard(member.address)
        self.news.add(member.address)

    def _refute(self, fact: Member) -> None:
        mine = self.myself
        same = fact.origin == mine.origin and fact.leaving == mine.leaving
        if same and fact.precedence() <= mine.precedence():
            return
        if fact.incarnation < mine.incarnation:
            return
        if fact.incarnation + 1 < INCARNATION_LIMIT:
            self.myself = dataclasses.replace(
                mine, incarnation=fact.incarnation + 1
            )
            self.news.add(mine.address)

    def _resume(self, pause: dt.timedelta) -> None:
        self.probe = None
        for address, member in self.known.items():
            if member.state is MemberState.SUSPECT:
                self.since[address] += pause

    def _period(self, now: dt.timedelta) -> list[Outgoing]:
        self.next_period = now + self.interval
        self.periods += 1
        self._judge()
        self._expire(now)
        self.relays = {
            number: relay
            for number, relay in self.relays.items()
            if relay.due > now
        }
        outgoing = self._probe_next(now)
        if self.periods % RETRY_INTERVALS == 0:
            outgoing.extend(self._probe_unreachable())
        outgoing.extend(self._probe_suspects())
        return outgoing

    def _judge(self) -> None:
        probe = self.probe
        self.probe = None
        if probe is None:
            return
        member = self.known.get(probe.address)
        if member is not None and member.state is MemberState.ALIVE:
            self._put(dataclasses.replace(member, state=MemberState.SUSPECT))
            self.own_suspects.add(probe.address)

    def _probe_next(self, now: dt.timedelta) -> list[Outgoing]:
        # A shuffled round reaches every node within a bounded time.
        while self.order:
            address = self.order.pop()
            member = self.known.get(address)
            if member is not None and member.state is not MemberState.DEAD:
                self.probe = Probe(address, self._next_sequence(), now)
                return [self._ping(address, self.probe.sequence)]
        self.order = [member.address for member in self.members()]
        self.random.shuffle(self.order)
        return self._probe_next(now) if self.order else []

    def _probe_unreachable(self) -> list[Outgoing]:
        # Candidates that never answered, or are taken for dead: this is how
        # both sides of a healed partition find each other.
        absent = sorted(
            address
            for address in self.candidates | self.known.keys()
            if address not in self.known
            or self.known[address].state is MemberState.DEAD
        )
        if not absent:
            return []
        address = self.random.choice(absent)
        return [self._ping(address, self._next_sequence())]

    def _probe_suspects(self) -> list[Outgoing]:
        # A suspect is told by the node that suspects it, and by about three
        # others, so that one lossy link does not decide.
        suspects = [
            member.address
            for member in self.known.values()
            if member.state is MemberState.SUSPECT
        ]
        chance = INDIRECT_PROBES / self.size()
        return [
            self._ping(address, self._next_sequence())
            for address in suspects
            if address in self.own_suspects or self.random.random() < chance
        ][:INDIRECT_PROBES]

    def _indirect(self, now: dt.timedelta) -> list[Outgoing]:
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
        helpers = self.random.sample(others, min(INDIRECT_PROBES, len(others)))
        return [
            self._message(
                helper, Kind.PING_REQUEST, probe.sequence, probe.address
            )
            for helper in helpers
        ]

    def _relay(self, message: Message) -> list[Outgoing]:
        if message.target in {'', self.myself.address}:
            return []
        number = self._next_sequence()
        due = self.clock.monotonic() + self.interval * 2
        self.relays[number] = Relay(
            message.sender.address, message.sequence, due
        )
        return [self._ping(message.target, number)]

    def _acknowledged(self, message: Message) -> list[Outgoing]:
        probe = self.probe
        if probe is not None and probe.sequence == message.sequence:
            self.probe = None
        relay = self.relays.pop(message.sequence, None)
        if relay is None:
            return []
        return [self._ack(relay.address, relay.sequence)]

    def _expire(self, now: dt.timedelta) -> None:
        limit = self.suspicion()
        for address, member in tuple(self.known.items()):
            silent = now - max(
                self.since[address],
                self.heard.get(address, self.since[address]),
            )
            if member.state is MemberState.SUSPECT and silent >= limit:
                self._put(dataclasses.replace(member, state=MemberState.DEAD))
            if member.state is MemberState.DEAD and silent >= FORGET_AFTER:
                self._forget(address)

    def _forget(self, address: str) -> None:
        self.known.pop(address)
        self.since.pop(address)
        self.heard.pop(address, None)
        self.news.drop(address)

    def _next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence

    def _ping(self, address: str, sequence: int) -> Outgoing:
        return self._message(address, Kind.PING, sequence)

    def _ack(self, address: str, sequence: int) -> Outgoing:
        return self._message(address, Kind.ACK, sequence)

    def _message(
        self, address: str, kind: Kind, sequence: int, target: str = ''
    ) -> Outgoing:
        return Outgoing(
            address,
            Message(kind, sequence, self.myself, NO_HEARTBEAT, target),
        )
