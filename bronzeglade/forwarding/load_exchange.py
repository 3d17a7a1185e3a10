"""Exchanges the load that each node has on the endpoints, by datagrams.

The first two nodes of each failure domain (aggregators) sum up the reports of
its nodes and the sums of the other domains, and send each node the total of all
other nodes. They work independently, so that one aggregator may be down. A
datagram is a msgpack list: its kind, its sender, and for each endpoint the
number of requests and of unread prompt tokens. A lost datagram is superseded by
the next one.

The same messages tell which nodes run (`bronzeglade.coordination.presence`).
Messages of presence are sent between nodes that send each other no other ones,
and list the nodes that are silent, if there are any.

The departure of an endpoint is announced once, through the same aggregators. A
lost announcement costs little: each node also learns of the departure from the
endpoint and the store.
"""

import collections
import dataclasses
import datetime as dt
import enum
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Annotated, Any

import eventlet
import msgpack
import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade.clock import Clock
from bronzeglade.datagram_socket import DatagramSocket
from bronzeglade.decisions.crashing_segments import (
    CrashingSegments,
    SegmentEvidence,
    SegmentKey,
)
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
# Interval between messages about crashes, and segments in a datagram, which so
# stays below the usual size of a packet.
CRASH_INTERVAL = dt.timedelta(milliseconds=400)
SEGMENTS_PER_MESSAGE = 4
# Interval between a node's messages of presence, at least.
PRESENCE_INTERVAL = dt.timedelta(milliseconds=350)
# How long after a list of silent nodes an empty one is sent. Longer than a list
# holds at its receivers.
EMPTY_LIST_TIME = dt.timedelta(milliseconds=1500)
MAX_DATAGRAM_BYTES = 65535
OTHERS = 'others'


class MessageKind(enum.IntEnum):
    """Content of a datagram."""

    NODE = 0  # the load of the sending node
    DOMAIN = 1  # the sum of the sender's failure domain
    OTHERS = 2  # the sum of all nodes except the receiver
    DEPARTURE = 3  # an endpoint that is leaving
    PRESENCE = 4  # the sender runs; the nodes that it lists are silent
    CRASHES = 5  # evidence that endpoints end on prompt segments


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


@dataclasses.dataclass(frozen=True, slots=True)
class PresenceMessage:
    """A datagram that says that its sender runs.

    `silent` lists how long it has heard nothing of silent nodes. It is None if
    the sender is no aggregator, and so vouches for no other node.
    """

    sender: str
    silent: Mapping[str, dt.timedelta] | None


@dataclasses.dataclass(frozen=True, slots=True)
class CrashMessage:
    """A datagram with evidence against prompt segments."""

    sender: str
    segments: Sequence[SegmentEvidence]


Message = LoadMessage | Departure | PresenceMessage | CrashMessage

_DATAGRAM = pd.TypeAdapter(tuple[MessageKind, str, dict[str, Any] | None])
# Sums of the counts of thousands of nodes stay within 64 bits.
_MAX_COUNT = 2**48
_MAX_REASON_CHARS = 200
_Count = Annotated[int, Field(ge=0, le=_MAX_COUNT)]
_WORK = pd.TypeAdapter(dict[str, tuple[_Count, _Count]])
_INCARNATION = pd.TypeAdapter(Incarnation)
# In milliseconds, within the range of timedelta arithmetic.
_Duration = Annotated[int, Field(ge=0, le=_MAX_COUNT)]
_SILENT = pd.TypeAdapter(dict[str, _Duration])
# For each service and segment: the age of the newest beginning of an answer,
# and the ages of the crashes by process.
_CRASHES = pd.TypeAdapter(
    dict[str, dict[str, tuple[_Duration | None, dict[str, _Duration]]]]
)
_MILLISECOND = dt.timedelta(milliseconds=1)


class SilentList:
    """Decides whether a list of silent nodes is sent.

    An empty list is sent only first, since a node that sent the lists before
    may have sent another one, and for a while after a list with nodes. Then
    receivers take no list for an empty one.
    """

    def __init__(self) -> None:
        """Start without a list that was sent."""
        self.asked_at: dt.timedelta | None = None
        self.filled_at: dt.timedelta | None = None

    def is_due(
        self, silent: Mapping[str, dt.timedelta], now: dt.timedelta
    ) -> bool:
        """Return whether to send a list now.

        Args:
          silent: the silent nodes.
          now: monotonic time.
        """
        is_first = (
            self.asked_at is None or now - self.asked_at > EMPTY_LIST_TIME
        )
        self.asked_at = now
        if silent:
            self.filled_at = now
        was_filled = (
            self.filled_at is not None
            and now - self.filled_at <= EMPTY_LIST_TIME
        )
        return is_first or was_filled


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
        self.presence_sent_at = dt.timedelta()
        self.crashes_sent_at = dt.timedelta()
        self.domain_list = SilentList()
        self.fleet_list = SilentList()
        self.sock: Any = None
        self.crashes: CrashingSegments | None = None
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
        elif isinstance(message, PresenceMessage):
            self._apply_presence(message)
        elif isinstance(message, CrashMessage):
            if self.crashes is not None:
                self.crashes.merge(message.segments)
        else:
            self._apply_load(message)

    def _apply_presence(self, message: PresenceMessage) -> None:
        self._record_sender(MessageKind.PRESENCE, message.sender)
        if message.silent is not None:
            self.roster.presence.record_silent(message.sender, message.silent)

    def _record_sender(self, kind: MessageKind, sender: str) -> None:
        if self.on_load_message is not None:
            self.on_load_message(kind, sender)
        presence = self.roster.presence
        if kind is MessageKind.DOMAIN:
            presence.record_domain(sender)
            return
        presence.record_message(sender)
        if kind is MessageKind.OTHERS:
            presence.record_aggregator(sender)

    def _apply_load(self, message: LoadMessage) -> None:
        self._record_sender(message.kind, message.sender)
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
        self.roster.presence.record_running()
        if not self._is_aggregator():
            self._send_presence()
        self._send_crashes()
        local_node = self.roster.local_node
        own_load = self.placement.outstanding()
        for aggregator in self.roster.acting_aggregators():
            if aggregator.name == local_node.name:
                self.node_reports.report(local_node.name, own_load)
                self._send_totals()
                self._send_domain_sum()
            else:
                self._send(
                    aggregator,
                    LoadMessage(MessageKind.NODE, local_node.name, own_load),
                )

    def _send_presence(self) -> None:
        """Tell the nodes that get no reports from this one that it runs."""
        now = self.clock.monotonic()
        if now - self.presence_sent_at < PRESENCE_INTERVAL:
            return
        self.presence_sent_at = now
        aggregators = {node.name for node in self.roster.acting_aggregators()}
        local_name = self.roster.local_node.name
        for node in self.roster.domain_nodes():
            if node.name not in aggregators and node.name != local_name:
                self._send(node, PresenceMessage(local_name, None))

    def _send_crashes(self) -> None:
        """Send news of crashes, which aggregators pass on as their own."""
        now = self.clock.monotonic()
        if self.crashes is None or now - self.crashes_sent_at < CRASH_INTERVAL:
            return
        self.crashes_sent_at = now
        news = self.crashes.take_news()
        receivers = self.roster.acting_aggregators()
        if self._is_aggregator():
            receivers = [
                *self.roster.domain_nodes(),
                *self.roster.acting_remote_aggregators(),
            ]
        local_name = self.roster.local_node.name
        for start in range(0, len(news), SEGMENTS_PER_MESSAGE):
            segments = news[start : start + SEGMENTS_PER_MESSAGE]
            for node in receivers:
                if node.name != local_name:
                    self._send(node, CrashMessage(local_name, segments))

    def _send_silent(
        self,
        receivers: Iterable[RouterNode],
        silent: Mapping[str, dt.timedelta],
    ) -> None:
        local_name = self.roster.local_node.name
        for node in receivers:
            if node.name != local_name:
                self._send(node, PresenceMessage(local_name, silent))

    def announce_departure(self, incarnation: Incarnation) -> None:
        """Announce the departure of an endpoint to the other nodes."""
        local_node = self.roster.local_node
        receivers = self.roster.acting_aggregators()
        if self._is_aggregator():
            receivers = [
                *self.roster.domain_nodes(),
                *self.roster.acting_remote_aggregators(),
            ]
        for node in receivers:
            if node != local_node:
                self._send(node, Departure(local_node.name, incarnation))

    def _apply_departure(self, message: Departure) -> None:
        if self.on_departure is None:
            return
        is_new = self.on_departure(message.incarnation, message.sender)
        if is_new and self._is_aggregator():
            self.announce_departure(message.incarnation)

    def _send_totals(self) -> None:
        """Send each node of this failure domain the load of all others."""
        local_node = self.roster.local_node
        # A message of an aggregator vouches for the nodes that it has not
        # listed, so the list goes first.
        silent = self.roster.presence.silent_nodes()
        if self.fleet_list.is_due(silent, self.clock.monotonic()):
            self._send_silent(self.roster.domain_nodes(), silent)
        reports = self.node_reports.current()
        total = sum_work((*reports.values(), self.domain_reports.total() or {}))
        for node in self.roster.domain_nodes():
            if node.name not in reports:
                self._send(node, PresenceMessage(local_node.name, None))
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
        silent = self.roster.presence.silent_nodes(domain)
        acting = self.roster.acting_remote_aggregators()
        if self.domain_list.is_due(silent, now):
            self._send_silent(acting, silent)
        # Any of their nodes may take over, and has no list of this domain.
        self._send_silent(self.roster.unheard_domain_nodes(self.rng), silent)
        total = self.node_reports.total() or {}
        for aggregator in acting:
            self._send(
                aggregator, LoadMessage(MessageKind.DOMAIN, domain, total)
            )

    def _represents_domain(self) -> bool:
        """Return whether this node reports on the domain to the others."""
        first = self.roster.acting_aggregators()[0]
        return first.name == self.roster.local_node.name

    def _is_aggregator(self) -> bool:
        name = self.roster.local_node.name
        return name in {node.name for node in self.roster.acting_aggregators()}

    def next_interval(self) -> dt.timedelta:
        """Return the time until the next reports are due."""
        size = len(self.roster.domain_nodes())
        interval = max(MIN_INTERVAL, INTERVAL_PER_NODE * size)
        jitter = 0.8 + 0.4 * self.rng.random()
        return min(interval, MAX_INTERVAL) * jitter

    def _send(self, node: RouterNode, message: Message) -> None:
        try:
            self.sock.sendto(_encode(message), node.exchange)
        except OSError as error:
            self.log.event(
                'datagram_send_failed', node=node.name, reason=repr(error)
            )


def _encode(message: Message) -> bytes:
    if isinstance(message, PresenceMessage):
        return _encode_presence(message)
    if isinstance(message, CrashMessage):
        return _encode_crashes(message)
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


def _encode_presence(message: PresenceMessage) -> bytes:
    silent = message.silent
    payload = None
    if silent is not None:
        payload = {
            name: silence // _MILLISECOND for name, silence in silent.items()
        }
    packed: bytes = msgpack.packb(
        [MessageKind.PRESENCE.value, message.sender, payload]
    )
    return packed


def _encode_crashes(message: CrashMessage) -> bytes:
    payload: dict[str, dict[str, Any]] = collections.defaultdict(dict)
    for segment in message.segments:
        sound_age = segment.sound_age
        payload[segment.key.service][segment.key.name] = (
            None if sound_age is None else sound_age // _MILLISECOND,
            {
                process: age // _MILLISECOND
                for process, age in segment.crash_ages.items()
            },
        )
    packed: bytes = msgpack.packb(
        [MessageKind.CRASHES.value, message.sender, dict(payload)]
    )
    return packed


def _decode_crashes(payload: Any) -> list[SegmentEvidence]:
    return [
        SegmentEvidence(
            SegmentKey(service, name),
            {process: age * _MILLISECOND for process, age in ages.items()},
            None if sound_age is None else sound_age * _MILLISECOND,
        )
        for service, segments in _CRASHES.validate_python(payload).items()
        for name, (sound_age, ages) in segments.items()
    ]


def _decode_silent(payload: Any) -> dict[str, dt.timedelta] | None:
    if payload is None:
        return None
    return {
        name: silence * _MILLISECOND
        for name, silence in _SILENT.validate_python(payload).items()
    }


def _decode(content: bytes) -> Result[Message, str]:
    try:
        kind, sender, payload = _DATAGRAM.validate_python(
            msgpack.unpackb(content)
        )
        if kind is MessageKind.DEPARTURE:
            return Ok(Departure(sender, _INCARNATION.validate_python(payload)))
        if kind is MessageKind.PRESENCE:
            return Ok(PresenceMessage(sender, _decode_silent(payload)))
        if kind is MessageKind.CRASHES:
            return Ok(CrashMessage(sender, _decode_crashes(payload)))
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
