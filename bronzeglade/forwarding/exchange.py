"""Nodes tell each other what they have on the endpoints, by datagrams.

The first two nodes of each failure domain (aggregators) sum up what its nodes
report, and take the sums of the other domains; each node is told the sum of all
others. Both work independently, so that one of them may be down. A datagram is
a msgpack list: its kind, its sender, and by endpoint the requests and the
unread prompt tokens. A lost one is replaced by the next.

An endpoint that leaves is told once, through the same aggregators. What is lost
of that costs little: each node also hears it from the endpoint and the store.
"""

import dataclasses
import datetime as dt
import enum
import random
from collections.abc import Callable
from typing import Any

import eventlet
import msgpack
import pydantic as pd
from eventlet.green import socket
from result import Err, Ok, Result

from bronzeglade.clock import Clock
from bronzeglade.decisions.placement import Placement
from bronzeglade.decisions.outstanding import (
    WorkByEndpoint,
    Outstanding,
    OutstandingReports,
    sum_work,
    subtract_work,
)
from bronzeglade.forwarding.departures import Incarnation
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.roster import Roster, RouterNode

# Nodes tell their load this often; in a large failure domain less often, so
# that an aggregator takes about a hundred datagrams a second.
INTERVAL = dt.timedelta(milliseconds=200)
INTERVAL_PER_NODE = dt.timedelta(milliseconds=8)
LONGEST_INTERVAL = dt.timedelta(milliseconds=700)
# Bytes between failure domains cost more, and what comes from there is a sum.
DOMAIN_INTERVAL = dt.timedelta(milliseconds=400)
LARGEST_DATAGRAM = 65535
OTHERS = 'others'


class Kind(enum.IntEnum):
    """What a datagram holds."""

    NODE = 0  # the load of its sender
    DOMAIN = 1  # the sum of the sender's failure domain
    OTHERS = 2  # the sum of all nodes but the receiver
    DEPARTURE = 3  # an endpoint that leaves


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One datagram; the sender is a node or a failure domain."""

    kind: Kind
    sender: str
    work: WorkByEndpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A datagram that tells of an endpoint that leaves."""

    sender: str
    incarnation: Incarnation


_DATAGRAM = pd.TypeAdapter(tuple[Kind, str, dict[str, Any]])
_WORK = pd.TypeAdapter(dict[str, tuple[int, int]])
_INCARNATION = pd.TypeAdapter(Incarnation)


class Exchange:
    """This node's part of the exchange."""

    def __init__(
        self,
        roster: Roster,
        placement: Placement,
        clock: Clock,
        log: Log,
        source: random.Random,
    ) -> None:
        """Have no report.

        Args:
          roster: this node and the others.
          placement: whose work is reported, and which takes the others'.
          clock: monotonic time.
          log: of the node.
          source: spreads the datagrams.
        """
        self.roster = roster
        self.placement = placement
        self.clock = clock
        self.log = log
        self.random = source
        settings = placement.settings.reports
        self.neighbours = OutstandingReports(settings, clock)
        self.domains = OutstandingReports(settings, clock)
        self.domains_told_at = dt.timedelta()
        self.sock: Any = None
        # Called with the sender of each message that tells a load.
        self.on_heard: Callable[[Kind, str], None] | None = None
        # Takes a departure and its source; returns whether it is news.
        self.on_departure: Callable[[Incarnation, str], bool] | None = None

    def open(self) -> None:
        """Take the address of this node."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(self.roster.myself.exchange)

    def receive_next(self) -> None:
        """Take one datagram; one turn of a loop."""
        content, sender = self.sock.recvfrom(LARGEST_DATAGRAM)
        decoded = _decode(content)
        if isinstance(decoded, Err):
            self.log.event(
                'unreadable_datagram',
                sender=str(sender),
                reason=decoded.err_value,
            )
            return
        message = decoded.ok_value
        if isinstance(message, Departure):
            self._take_departure(message)
        else:
            self._take_load(message)

    def _take_load(self, message: Message) -> None:
        if self.on_heard is not None:
            self.on_heard(message.kind, message.sender)
        if message.kind is Kind.NODE:
            self.neighbours.report(message.sender, message.work)
        elif message.kind is Kind.DOMAIN:
            self.domains.report(message.sender, message.work)
        else:
            self.placement.peer_load.report(OTHERS, message.work)

    def send_next(self) -> None:
        """Report this node's work, and answer as an aggregator."""
        eventlet.sleep(self._interval_s())
        myself = self.roster.myself
        mine = self.placement.outstanding()
        for aggregator in self.roster.aggregators():
            if aggregator == myself:
                self.neighbours.report(myself.name, mine)
                self._answer()
                self._tell_domains()
            else:
                self._send(aggregator, Message(Kind.NODE, myself.name, mine))

    def tell_departure(self, incarnation: Incarnation) -> None:
        """Tell the other nodes of an endpoint that leaves."""
        myself = self.roster.myself
        told = self.roster.aggregators()
        if myself in told:
            told = self.roster.neighbours() + self._aggregators_elsewhere()
        for node in told:
            if node != myself:
                self._send(node, Departure(myself.name, incarnation))

    def _take_departure(self, message: Departure) -> None:
        if self.on_departure is None:
            return
        news = self.on_departure(message.incarnation, message.sender)
        if news and self.roster.myself in self.roster.aggregators():
            self.tell_departure(message.incarnation)

    def _answer(self) -> None:
        """Tell each node of this failure domain what all others have."""
        myself = self.roster.myself
        reports = self.neighbours.current()
        total = sum_work((*reports.values(), self.domains.total() or {}))
        for node in self.roster.neighbours():
            if node.name not in reports:
                continue
            peer_load = subtract_work(total, reports[node.name])
            if node == myself:
                self.placement.peer_load.report(OTHERS, peer_load)
            else:
                self._send(node, Message(Kind.OTHERS, myself.name, peer_load))

    def _tell_domains(self) -> None:
        """Tell the sum of this failure domain to the others."""
        now = self.clock.monotonic()
        due = now - self.domains_told_at >= DOMAIN_INTERVAL
        if not due or not self._speaks_for_domain():
            return
        self.domains_told_at = now
        domain = self.roster.myself.failure_domain
        total = self.neighbours.total() or {}
        for aggregator in self._aggregators_elsewhere():
            self._send(aggregator, Message(Kind.DOMAIN, domain, total))

    def _speaks_for_domain(self) -> bool:
        """Return whether the first aggregator is this node, or is silent."""
        first = self.roster.neighbours()[0]
        silent = first.name not in self.neighbours.current()
        return first == self.roster.myself or silent

    def _aggregators_elsewhere(self) -> list[RouterNode]:
        elsewhere = self.roster.aggregators_elsewhere()
        return [node for nodes in elsewhere.values() for node in nodes]

    def _interval_s(self) -> float:
        size = len(self.roster.neighbours())
        interval = max(INTERVAL, INTERVAL_PER_NODE * size)
        spread = 0.8 + 0.4 * self.random.random()
        return min(interval, LONGEST_INTERVAL).total_seconds() * spread

    def _send(self, node: RouterNode, message: Message | Departure) -> None:
        try:
            self.sock.sendto(_encode(message), node.exchange)
        except OSError as error:
            self.log.event(
                'datagram_unsent', node=node.name, reason=repr(error)
            )


def _encode(message: Message | Departure) -> bytes:
    if isinstance(message, Departure):
        parts = dataclasses.asdict(message.incarnation)
        told: bytes = msgpack.packb(
            [Kind.DEPARTURE.value, message.sender, parts]
        )
        return told
    work = {
        endpoint: (one.requests, one.unread_tokens)
        for endpoint, one in message.work.items()
    }
    packed: bytes = msgpack.packb([message.kind.value, message.sender, work])
    return packed


def _decode(content: bytes) -> Result[Message | Departure, str]:
    try:
        kind, sender, told = _DATAGRAM.validate_python(msgpack.unpackb(content))
        if kind is Kind.DEPARTURE:
            return Ok(Departure(sender, _INCARNATION.validate_python(told)))
        work = _WORK.validate_python(told)
    except (ValueError, msgpack.UnpackException) as error:
        return Err(repr(error))
    return Ok(
        Message(
            kind,
            sender,
            {name: Outstanding(*counts) for name, counts in work.items()},
        )
    )
