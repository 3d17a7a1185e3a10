"""Exchanges the load that each node has on the endpoints, by datagrams.

The first two nodes of each failure domain (aggregators) sum up the reports of
its nodes and the sums of the other domains, and send each node the total of all
other nodes. They work independently, so that one aggregator may be down. A
datagram is a msgpack list: its kind, its sender, and for each endpoint the
number of requests and of unread prompt tokens. A lost datagram is superseded by
the next one.

The departure of an endpoint is announced once, through the same aggregators. A
lost announcement costs little: each node also learns of the departure from the
endpoint and the store.
"""

import dataclasses
import datetime as dt
import enum
import random
from collections.abc import Callable
from typing import Annotated, Any

import eventlet
import msgpack
import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade.clock import Clock
from bronzeglade.datagram_socket import DatagramSocket
from bronzeglade.decisions.outstanding import (
    Outstanding,
    OutstandingReports,
    WorkByEndpoint,
    subtract_work,
    sum_work,
)
from bronzeglade.decisions.placement import Placement
from bronzeglade.forwarding.departures import Incarnation
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.roster import Roster, RouterNode
from bronzeglade.forwarding.settings import Address

# Interval between a node's reports. It grows with the size of the failure
# domain, so that an aggregator receives about 100 datagrams per second.
MIN_INTERVAL = dt.timedelta(milliseconds=200)
INTERVAL_PER_NODE = dt.timedelta(milliseconds=8)
MAX_INTERVAL = dt.timedelta(milliseconds=700)
# Traffic between failure domains costs more, and carries only sums.
DOMAIN_INTERVAL = dt.timedelta(milliseconds=400)
MAX_DATAGRAM_BYTES = 65535
OTHERS = 'others'


class MessageKind(enum.IntEnum):
    """Content of a datagram."""

    NODE = 0  # the load of the sending node
    DOMAIN = 1  # the sum of the sender's failure domain
    OTHERS = 2  # the sum of all nodes except the receiver
    DEPARTURE = 3  # an endpoint that is leaving


@dataclasses.dataclass(frozen=True, slots=True)
class LoadMessage:
    """A datagram with the load on endpoints from a node or failure domain."""

    kind: MessageKind
    sender: str
    work: WorkByEndpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A datagram that announces the departure of an endpoint."""

    sender: str
    incarnation: Incarnation


_DATAGRAM = pd.TypeAdapter(tuple[MessageKind, str, dict[str, Any]])
# Sums of the counts of thousands of nodes stay within 64 bits.
_MAX_COUNT = 2**48
_MAX_REASON_CHARS = 200
_Count = Annotated[int, Field(ge=0, le=_MAX_COUNT)]
_WORK = pd.TypeAdapter(dict[str, tuple[_Count, _Count]])
_INCARNATION = pd.TypeAdapter(Incarnation)


class LoadExchange:
    """Sends and receives the datagrams of one node."""

    def __init__(
        self,
        roster: Roster,
        placement: Placement,
        clock: Clock,
        log: Log,
        rng: random.Random,
    ) -> None:
        """Start without reports.

        Args:
          roster: the registered nodes.
          placement: provides this node's load and receives that of others.
          clock: monotonic time.
          log: log of this node.
          rng: adds jitter to the intervals.
        """
        self.roster = roster
        self.placement = placement
        self.clock = clock
        self.log = log
        self.rng = rng
        settings = placement.settings.reports
        self.node_reports = OutstandingReports(settings, clock)
        self.domain_reports = OutstandingReports(settings, clock)
        self.domain_sum_sent_at = dt.timedelta()
        self.sock: Any = None
        # Called with the kind and sender of each load message.
        self.on_load_message: Callable[[MessageKind, str], None] | None = None
        # Called with a departure and its source; returns whether it is new.
        self.on_departure: Callable[[Incarnation, str], bool] | None = None

    def open(self) -> None:
        """Bind the socket to the exchange address of this node."""
        self.sock = DatagramSocket(self.roster.local_node.exchange)

    def receive_next(self) -> None:
        """Receive and apply one datagram; the body of a loop."""
        self.apply(*self.sock.recvfrom(MAX_DATAGRAM_BYTES))

    def apply(self, content: bytes, sender: Address) -> None:
        """Apply a datagram.

        Args:
          content: the datagram.
          sender: address that it came from.
        """
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
            self._apply_departure(message)
        else:
            self._apply_load(message)

    def _apply_load(self, message: LoadMessage) -> None:
        if self.on_load_message is not None:
            self.on_load_message(message.kind, message.sender)
        if message.kind is MessageKind.NODE:
            self.node_reports.report(message.sender, message.work)
        elif message.kind is MessageKind.DOMAIN:
            self.domain_reports.report(message.sender, message.work)
        else:
            self.placement.peer_load.report(OTHERS, message.work)

    def send_next(self) -> None:
        """Wait, and send the reports of one round; the body of a loop."""
        eventlet.sleep(self.next_interval().total_seconds())
        self.send_reports()

    def send_reports(self) -> None:
        """Report this node's load; an aggregator also sends its sums."""
        local_node = self.roster.local_node
        own_load = self.placement.outstanding()
        for aggregator in self.roster.aggregators():
            if aggregator == local_node:
                self.node_reports.report(local_node.name, own_load)
                self._send_totals()
                self._send_domain_sum()
            else:
                self._send(
                    aggregator,
                    LoadMessage(MessageKind.NODE, local_node.name, own_load),
                )

    def announce_departure(self, incarnation: Incarnation) -> None:
        """Announce the departure of an endpoint to the other nodes."""
        local_node = self.roster.local_node
        receivers = self.roster.aggregators()
        if local_node in receivers:
            receivers = self.roster.domain_nodes() + self._remote_aggregators()
        for node in receivers:
            if node != local_node:
                self._send(node, Departure(local_node.name, incarnation))

    def _apply_departure(self, message: Departure) -> None:
        if self.on_departure is None:
            return
        is_new = self.on_departure(message.incarnation, message.sender)
        if is_new and self.roster.local_node in self.roster.aggregators():
            self.announce_departure(message.incarnation)

    def _send_totals(self) -> None:
        """Send each node of this failure domain the load of all others."""
        local_node = self.roster.local_node
        reports = self.node_reports.current()
        total = sum_work((*reports.values(), self.domain_reports.total() or {}))
        for node in self.roster.domain_nodes():
            if node.name not in reports:
                continue
            peer_load = subtract_work(total, reports[node.name])
            if node == local_node:
                self.placement.peer_load.report(OTHERS, peer_load)
            else:
                self._send(
                    node,
                    LoadMessage(MessageKind.OTHERS, local_node.name, peer_load),
                )

    def _send_domain_sum(self) -> None:
        """Send the sum of this failure domain to the other domains."""
        now = self.clock.monotonic()
        due = now - self.domain_sum_sent_at >= DOMAIN_INTERVAL
        if not due or not self._represents_domain():
            return
        self.domain_sum_sent_at = now
        domain = self.roster.local_node.failure_domain
        total = self.node_reports.total() or {}
        for aggregator in self._remote_aggregators():
            self._send(
                aggregator, LoadMessage(MessageKind.DOMAIN, domain, total)
            )

    def _represents_domain(self) -> bool:
        """Return whether this node sends the domain's sum.

        That is the first aggregator, or the second while the first is silent.
        """
        first = self.roster.domain_nodes()[0]
        silent = first.name not in self.node_reports.current()
        return first == self.roster.local_node or silent

    def _remote_aggregators(self) -> list[RouterNode]:
        remote = self.roster.remote_aggregators()
        return [node for nodes in remote.values() for node in nodes]

    def next_interval(self) -> dt.timedelta:
        """Return the time until the next reports are due."""
        size = len(self.roster.domain_nodes())
        interval = max(MIN_INTERVAL, INTERVAL_PER_NODE * size)
        jitter = 0.8 + 0.4 * self.rng.random()
        return min(interval, MAX_INTERVAL) * jitter

    def _send(self, node: RouterNode, message: LoadMessage | Departure) -> None:
        try:
            self.sock.sendto(_encode(message), node.exchange)
        except OSError as error:
            self.log.event(
                'datagram_send_failed', node=node.name, reason=repr(error)
            )


def _encode(message: LoadMessage | Departure) -> bytes:
    if isinstance(message, Departure):
        incarnation = dataclasses.asdict(message.incarnation)
        departure: bytes = msgpack.packb(
            [MessageKind.DEPARTURE.value, message.sender, incarnation]
        )
        return departure
    work = {
        endpoint: (outstanding.requests, outstanding.unread_tokens)
        for endpoint, outstanding in message.work.items()
    }
    packed: bytes = msgpack.packb([message.kind.value, message.sender, work])
    return packed


def _decode(content: bytes) -> Result[LoadMessage | Departure, str]:
    try:
        kind, sender, payload = _DATAGRAM.validate_python(
            msgpack.unpackb(content)
        )
        if kind is MessageKind.DEPARTURE:
            return Ok(Departure(sender, _INCARNATION.validate_python(payload)))
        work = _WORK.validate_python(payload)
    except (ValueError, msgpack.UnpackException) as error:
        return Err(repr(error)[:_MAX_REASON_CHARS])
    return Ok(
        LoadMessage(
            kind,
            sender,
            {name: Outstanding(*counts) for name, counts in work.items()},
        )
    )
