"""Exchanges the load that each node has on the endpoints, by datagrams.

The first two nodes of each failure domain (aggregators) sum up the reports of
its nodes and the sums of the other domains, and send each node the total of all
other nodes. They work independently, so that one aggregator may be down, and
the next node takes the place of one that is silent. A lost datagram is
superseded by the next one.

The same messages tell which nodes run (`bronzeglade.coordination.presence`).
Messages of presence are sent between nodes that send each other no other ones,
and list the nodes that are silent, if there are any.

The departure of an endpoint is announced once, through the same aggregators,
and so is a cold one. A lost announcement costs little: each node also learns of
it from the endpoint and the store.
"""

import datetime as dt
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import eventlet
from result import Err

from bronzeglade.clock import Clock
from bronzeglade.datagram_socket import DatagramSocket
from bronzeglade.decisions.crashing_segments import CrashingSegments
from bronzeglade.decisions.outstanding import (
    OutstandingReports,
    subtract_work,
    sum_work,
)
from bronzeglade.decisions.placement import Placement
from bronzeglade.forwarding import exchange_message
from bronzeglade.forwarding.departures import Incarnation
from bronzeglade.forwarding.exchange_message import (
    ColdStart,
    CrashMessage,
    Departure,
    LoadMessage,
    Message,
    MessageKind,
    PresenceMessage,
)
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.roster import Roster, RouterNode
from bronzeglade.forwarding.settings import Address
from bronzeglade.time_slice import TimeSlice

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
# Interval between a node's messages of presence. It grows with the size of the
# failure domain, and with a round of reports stays below the time after which
# duties pass to other nodes.
MIN_PRESENCE_INTERVAL = dt.timedelta(milliseconds=350)
PRESENCE_INTERVAL_PER_NODE = dt.timedelta(milliseconds=40)
MAX_PRESENCE_INTERVAL = dt.timedelta(milliseconds=900)
# How long after a list of silent nodes an empty one is sent. Longer than a list
# holds at its receivers.
EMPTY_LIST_TIME = dt.timedelta(milliseconds=1500)
MAX_DATAGRAM_BYTES = 65535
OTHERS = 'others'


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
        self.time_slice = TimeSlice()
        self.crashes: CrashingSegments | None = None
        # Called with the kind and sender of each load message.
        self.on_load_message: Callable[[MessageKind, str], None] | None = None
        # Called with a departure and its source; returns whether it is new.
        self.on_departure: Callable[[Incarnation, str], bool] | None = None
        # Called with a cold endpoint, how long it stays so, and the source.
        self.on_cold: (
            Callable[[Incarnation, dt.timedelta, str], bool] | None
        ) = None

    def open(self) -> None:
        """Bind the socket to the exchange address of this node."""
        self.sock = DatagramSocket(self.roster.local_node.exchange)

    def receive_next(self) -> None:
        """Receive and apply one datagram; the body of a loop."""
        self.apply(*self.sock.recvfrom(MAX_DATAGRAM_BYTES))
        self.time_slice.spend()

    def apply(self, content: bytes, sender: Address) -> None:
        """Apply a datagram.

        Args:
          content: the datagram.
          sender: address that it came from.
        """
        decoded = exchange_message.decode(content)
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
        elif isinstance(message, ColdStart):
            self._apply_cold_start(message)
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
        nodes = self.roster.domain_nodes()
        interval = max(
            MIN_PRESENCE_INTERVAL, PRESENCE_INTERVAL_PER_NODE * len(nodes)
        )
        if now - self.presence_sent_at < min(interval, MAX_PRESENCE_INTERVAL):
            return
        self.presence_sent_at = now
        aggregators = {node.name for node in self.roster.acting_aggregators()}
        local_name = self.roster.local_node.name
        for node in nodes:
            if node.name not in aggregators and node.name != local_name:
                self._send(node, PresenceMessage(local_name, None))

    def _send_crashes(self) -> None:
        """Send news of crashes, which aggregators pass on as their own."""
        now = self.clock.monotonic()
        if self.crashes is None or now - self.crashes_sent_at < CRASH_INTERVAL:
            return
        self.crashes_sent_at = now
        news = self.crashes.take_news()
        receivers = self._news_receivers()
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
        for node in self._news_receivers():
            if node.name != local_node.name:
                self._send(node, Departure(local_node.name, incarnation))

    def announce_cold(
        self, incarnation: Incarnation, remaining: dt.timedelta
    ) -> None:
        """Announce a cold endpoint to the other nodes."""
        local_name = self.roster.local_node.name
        for node in self._news_receivers():
            if node.name != local_name:
                self._send(node, ColdStart(local_name, incarnation, remaining))

    def _news_receivers(self) -> list[RouterNode]:
        """Return the nodes that learn of news from this one."""
        if not self._is_aggregator():
            return self.roster.acting_aggregators()
        return [
            *self.roster.domain_nodes(),
            *self.roster.acting_remote_aggregators(),
        ]

    def _apply_departure(self, message: Departure) -> None:
        if self.on_departure is None:
            return
        is_new = self.on_departure(message.incarnation, message.sender)
        if is_new and self._is_aggregator():
            self.announce_departure(message.incarnation)

    def _apply_cold_start(self, message: ColdStart) -> None:
        if self.on_cold is None:
            return
        is_new = self.on_cold(
            message.incarnation, message.remaining, message.sender
        )
        if is_new and self._is_aggregator():
            self.announce_cold(message.incarnation, message.remaining)

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
            self.sock.sendto(exchange_message.encode(message), node.exchange)
        except OSError as error:
            self.log.event(
                'datagram_send_failed', node=node.name, reason=repr(error)
            )
