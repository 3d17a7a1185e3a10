"""Which registered nodes run, from the messages of nodes, without I/O.

A registration says that a node belongs to the fleet. It outlasts the node, and
removing it needs care, since a node that only stands still must not lose it.
Whether callers are sent to a node is decided here instead, within seconds: a
node of which nothing is heard is left out, and is back with its next message.

Nodes of a failure domain hear each other several times a second. Of the other
nodes they hear through vouchers: the messages of an aggregator say that all
nodes run, and those of a failure domain that its nodes run, except the nodes
that the same sender has listed as silent. An aggregator lists what it knows
from a node itself or from its failure domain, never from another aggregator, so
that no two of them confirm each other's belief.
"""

import dataclasses
import datetime as dt
from collections.abc import Iterator, Mapping

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class PresenceSettings:
    """Time limits of presence.

    A node is absent after `silence`. Its duties for other nodes pass to the
    next one after `succession` already, since two nodes may do them at once.
    Nodes that were silent for `listed` are listed; a list holds for `list_age`
    unless a newer one comes. A gap of more than `max_pause` between two calls
    of `record_running` means that this node was paused.
    """

    silence: dt.timedelta = dt.timedelta(milliseconds=2200)
    succession: dt.timedelta = dt.timedelta(milliseconds=1200)
    listed: dt.timedelta = dt.timedelta(milliseconds=700)
    list_age: dt.timedelta = dt.timedelta(seconds=1)
    max_pause: dt.timedelta = dt.timedelta(milliseconds=1500)


@dataclasses.dataclass(slots=True)
class Voucher:
    """What one sender says of other nodes.

    `at` is the time of its last message. `alive_at` holds, for each node that
    it listed as silent at `listed_at`, when it last heard of it.
    """

    at: dt.timedelta
    listed_at: dt.timedelta | None = None
    alive_at: Mapping[str, dt.timedelta] = dataclasses.field(
        default_factory=dict
    )


class Presence:
    """Which nodes run, as known to one node."""

    def __init__(
        self,
        local_name: str,
        local_domain: str,
        settings: PresenceSettings,
        clock: Clock,
    ) -> None:
        """Start without other nodes.

        Args:
          local_name: name of this node, which is always present.
          local_domain: its failure domain.
          settings: time limits.
          clock: only its monotonic time is used.
        """
        self.local_name = local_name
        self.local_domain = local_domain
        self.settings = settings
        self.clock = clock
        now = clock.monotonic()
        self.domains: dict[str, str] = {}  # failure domain of each node
        self.known_since: dict[str, dt.timedelta] = {}
        self.heard_at: dict[str, dt.timedelta] = {}
        self.aggregator_vouchers: dict[str, Voucher] = {}
        self.domain_vouchers: dict[str, Voucher] = {}
        self.heard_any_at = now
        self.running_at = now
        self.resumed_at = now

    def update(self, domains: Mapping[str, str]) -> None:
        """Replace the registered nodes.

        Args:
          domains: failure domain of each registered node, by node name.
        """
        if domains == self.domains:
            return
        now = self.clock.monotonic()
        self.domains = dict(domains)
        self.known_since = {
            name: self.known_since.get(name, now) for name in domains
        }
        for by_name in (self.heard_at, self.aggregator_vouchers):
            for name in by_name.keys() - domains.keys():
                by_name.pop(name)
        for domain in self.domain_vouchers.keys() - set(domains.values()):
            self.domain_vouchers.pop(domain)

    def record_running(self) -> None:
        """Record that this node runs; called several times a second."""
        now = self.clock.monotonic()
        if self._was_paused(now):
            # What others have sent meanwhile is not read yet.
            self.resumed_at = now
        self.running_at = now

    def record_message(self, name: str) -> None:
        """Record that a node sent a message or answered a call."""
        self.heard_any_at = self.clock.monotonic()
        if name in self.domains:
            self.heard_at[name] = self.heard_any_at

    def record_aggregator(self, name: str) -> None:
        """Record a message by which an aggregator vouches for all nodes."""
        if self.domains.get(name) == self.local_domain:
            self._vouch(self.aggregator_vouchers, name)

    def record_domain(self, domain: str) -> None:
        """Record a message by which a failure domain vouches for its nodes."""
        self.heard_any_at = self.clock.monotonic()
        if domain in self.domains.values():
            self._vouch(self.domain_vouchers, domain)

    def record_silent(
        self, sender: str, silent: Mapping[str, dt.timedelta]
    ) -> None:
        """Record the list of silent nodes of a voucher.

        Args:
          sender: the aggregator that sent the list. One of another failure
            domain lists nodes of that domain.
          silent: how long it has heard nothing of each silent node.
        """
        domain = self.domains.get(sender)
        if domain is None:
            return
        now = self.clock.monotonic()
        alive_at = {name: now - silence for name, silence in silent.items()}
        voucher = Voucher(now, now, alive_at)
        if domain == self.local_domain:
            self.aggregator_vouchers[sender] = voucher
        else:
            self.domain_vouchers[domain] = voucher

    def is_present(self, name: str) -> bool:
        """Return whether callers may be sent to a registered node."""
        return self._is_within(name, self.settings.silence)

    def is_on_duty(self, name: str) -> bool:
        """Return whether a registered node does its duties for others."""
        return self._is_within(name, self.settings.succession)

    def is_isolated(self) -> bool:
        """Return whether there are other nodes and none of them is heard."""
        if not self.domains.keys() - {self.local_name}:
            return False
        heard_at = max(self.heard_any_at, self.resumed_at)
        return self.clock.monotonic() - heard_at >= self.settings.succession

    def silent_nodes(
        self, domain: str | None = None
    ) -> dict[str, dt.timedelta]:
        """Return the silent nodes to list, and for how long they are silent.

        Args:
          domain: only the nodes of this failure domain; None for all nodes.
        """
        now = self.clock.monotonic()
        silences = {
            name: now - max(self._known_at(name), self.resumed_at)
            for name, other in self.domains.items()
            if name != self.local_name and domain in {None, other}
        }
        return {
            name: silence
            for name, silence in silences.items()
            if silence >= self.settings.listed
        }

    def _vouch(self, vouchers: dict[str, Voucher], key: str) -> None:
        now = self.clock.monotonic()
        voucher = vouchers.setdefault(key, Voucher(now))
        voucher.at = now
        listed_at = voucher.listed_at
        # A list may be lost, and an empty one is sent for a while only.
        if listed_at is None or now - listed_at > self.settings.list_age:
            voucher.alive_at = {}

    def _is_within(self, name: str, limit: dt.timedelta) -> bool:
        now = self.clock.monotonic()
        if name == self.local_name or self._was_paused(now):
            return True
        alive_at = max(self._alive_at(name), self.resumed_at)
        return now - alive_at < limit

    def _was_paused(self, now: dt.timedelta) -> bool:
        return now - self.running_at > self.settings.max_pause

    def _alive_at(self, name: str) -> dt.timedelta:
        """Return the last time at which a node is known to have run."""
        vouched = [
            voucher.alive_at.get(name, voucher.at)
            for sender, voucher in self.aggregator_vouchers.items()
            if sender != name
        ]
        return max(
            [*vouched, *self._first_hand(name)], default=self._since(name)
        )

    def _known_at(self, name: str) -> dt.timedelta:
        """Return when a node was last heard without another aggregator."""
        return max(self._first_hand(name), default=self._alive_at(name))

    def _first_hand(self, name: str) -> Iterator[dt.timedelta]:
        heard_at = self.heard_at.get(name)
        if heard_at is not None:
            yield heard_at
        voucher = self.domain_vouchers.get(self.domains.get(name, ''))
        if voucher is not None:
            yield voucher.alive_at.get(name, voucher.at)

    def _since(self, name: str) -> dt.timedelta:
        return self.known_since.get(name, self.clock.monotonic())
