"""Nodes tell each other what they have on the endpoints, by datagrams.

The first two nodes of each failure domain collect what its nodes tell, and what
those of the other domains have collected; each node gets the sum of all others.
Both collect and answer independently, so that one of them may be down. A
datagram is a msgpack list: what it is, its sender, and by endpoint the requests
and the unread prompt tokens. A lost one is replaced by the next.
"""

import datetime as dt
import enum
import random
from collections.abc import Mapping
from typing import Any

import eventlet
import msgpack
from eventlet.green import socket

from bronzeglade.clock import Clock
from bronzeglade.decisions.placement import Placement
from bronzeglade.decisions.shared_load import (
    Share,
    SharedLoads,
    Shares,
    summed,
)
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.roster import RouterNode

COLLECTORS = 2
# Nodes tell their load this often; in a large failure domain less often, so
# that a collector takes about a hundred datagrams a second.
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


class Exchange:
    """This node's part of the exchange."""

    def __init__(
        self,
        node: RouterNode,
        placement: Placement,
        clock: Clock,
        log: Log,
        source: random.Random,
    ) -> None:
        """Know no other node.

        Args:
          node: this one.
          placement: whose load is told, and which takes that of the others.
          clock: monotonic time.
          log: of the node.
          source: spreads the datagrams.
        """
        self.node = node
        self.placement = placement
        self.clock = clock
        self.log = log
        self.random = source
        self.nodes: dict[str, RouterNode] = {}
        settings = placement.settings.shared
        self.collected = SharedLoads(settings, clock)
        self.domains = SharedLoads(settings, clock)
        self.domains_told_at = dt.timedelta()
        self.sock: Any = None

    def open(self) -> None:
        """Take the address of this node."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(self.node.exchange)

    def receive_next(self) -> None:
        """Take one datagram; one turn of a loop."""
        content, sender = self.sock.recvfrom(LARGEST_DATAGRAM)
        try:
            kind, name, shares = _decode(content)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            self.log.event(
                'unreadable_datagram', sender=str(sender), reason=repr(error)
            )
            return
        if kind is Kind.NODE:
            self.collected.tell(name, shares)
        elif kind is Kind.DOMAIN:
            self.domains.tell(name, shares)
        else:
            self.placement.shared.tell(OTHERS, shares)

    def tell_next(self) -> None:
        """Tell and answer once; one turn of a loop."""
        eventlet.sleep(self._interval_s())
        mine = self.placement.mine()
        near = self._near()
        for collector in near[:COLLECTORS]:
            if collector.name == self.node.name:
                self.collected.tell(self.node.name, mine)
                self._answer(near)
            else:
                self._send(collector, Kind.NODE, self.node.name, mine)

    def _answer(self, near: list[RouterNode]) -> None:
        """Tell the nodes of this failure domain, and the other domains."""
        beyond = self.domains.total(self.node.failure_domain)
        for node in near:
            others = self.collected.total(node.name)
            if node.name == self.node.name:
                total = summed((others, beyond))
                self.placement.shared.tell(OTHERS, total)
            elif node.name in self.collected.told:
                total = summed((others, beyond))
                self._send(node, Kind.OTHERS, self.node.name, total)
        now = self.clock.monotonic()
        if now - self.domains_told_at >= DOMAIN_INTERVAL and self._speaks(near):
            self.domains_told_at = now
            self._tell_domains()

    def _speaks(self, near: list[RouterNode]) -> bool:
        """Return whether no earlier node speaks for the failure domain."""
        first = near[0].name
        return first == self.node.name or first not in self.collected.told

    def _tell_domains(self) -> None:
        total = self.collected.total()
        told: dict[str, int] = {}
        for node in sorted(self.nodes.values(), key=lambda one: one.name):
            domain = node.failure_domain
            if domain == self.node.failure_domain:
                continue
            told[domain] = told.get(domain, 0) + 1
            if told[domain] <= COLLECTORS:
                self._send(node, Kind.DOMAIN, self.node.failure_domain, total)

    def _near(self) -> list[RouterNode]:
        near = {
            name: node
            for name, node in self.nodes.items()
            if node.failure_domain == self.node.failure_domain
        }
        near[self.node.name] = self.node
        return [near[name] for name in sorted(near)]

    def _interval_s(self) -> float:
        interval = max(INTERVAL, INTERVAL_PER_NODE * len(self._near()))
        spread = 0.8 + 0.4 * self.random.random()
        return min(interval, LONGEST_INTERVAL).total_seconds() * spread

    def _send(
        self, node: RouterNode, kind: Kind, name: str, shares: Shares
    ) -> None:
        try:
            self.sock.sendto(_encode(kind, name, shares), node.exchange)
        except OSError as error:
            self.log.event(
                'datagram_unsent', node=node.name, reason=repr(error)
            )


def _encode(kind: Kind, name: str, shares: Shares) -> bytes:
    content = {
        endpoint: (share.requests, share.unread)
        for endpoint, share in shares.items()
    }
    packed: bytes = msgpack.packb([int(kind), name, content])
    return packed


def _decode(content: bytes) -> tuple[Kind, str, Mapping[str, Share]]:
    kind, name, shares = msgpack.unpackb(content)
    return (
        Kind(kind),
        str(name),
        {
            endpoint: Share(int(requests), int(unread))
            for endpoint, (requests, unread) in shares.items()
        },
    )
