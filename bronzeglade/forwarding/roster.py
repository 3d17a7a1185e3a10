"""The registered router nodes, and their roles in the exchange of data."""

import collections
import dataclasses
import json
import random
from collections.abc import Iterable, Mapping, Sequence

import pydantic as pd
import xxhash
from result import Err, Ok, Result

from bronzeglade.adapters.table import Row
from bronzeglade.clock import Clock
from bronzeglade.coordination.presence import Presence, PresenceSettings
from bronzeglade.forwarding import address
from bronzeglade.forwarding.settings import Address
from bronzeglade.validation import first_error

ROUTER_TABLE = 'bronzeglade'  # the store table that router nodes write
NODE_PREFIX = f'{ROUTER_TABLE}/node/'
_MAX_REJOINS = 2**31 - 1
# Minimum number of addresses for a caller, so that it can fail over.
MIN_ADDRESSES = 2
MAX_ADDRESSES = 64
# Nodes of a failure domain that follow the store for the others. With three,
# one may be killed and another disconnected from the store at the same time.
WATCHERS_PER_DOMAIN = 3


@dataclasses.dataclass(frozen=True, slots=True)
class RouterNode:
    """The registration of a node.

    `callers` is its address for callers, `control` the one for calls from other
    nodes, and `exchange` the one for their datagrams. `rejoins` counts how
    often it has registered again after other nodes removed it.
    """

    name: str
    failure_domain: str
    callers: Address
    control: Address
    exchange: Address
    rejoins: int = 0


_NODE = pd.TypeAdapter(RouterNode)


# Nodes that an isolated node calls at a time.
MAX_UNHEARD_CALLS = 8
# Nodes of a failure domain that sum up the load reports of its nodes.
AGGREGATORS_PER_DOMAIN = 2


class Roster:
    """The registered nodes, as known to this node.

    `seeds` are control addresses from the settings; they may be stale.
    """

    def __init__(
        self, local_node: RouterNode, seeds: Sequence[Address], clock: Clock
    ) -> None:
        """Start without other nodes.

        Args:
          local_node: registration of this node.
          seeds: control addresses to use until nodes are known.
          clock: monotonic time.
        """
        self.local_node = local_node
        self.seeds = seeds
        self.nodes: dict[str, RouterNode] = {}
        self.presence = Presence(
            local_node.name,
            local_node.failure_domain,
            PresenceSettings(),
            clock,
        )

    def update(self, nodes: Mapping[str, RouterNode]) -> None:
        """Replace the registered nodes, by name."""
        self.nodes = dict(nodes)
        domains = {name: node.failure_domain for name, node in nodes.items()}
        domains[self.local_node.name] = self.local_node.failure_domain
        self.presence.update(domains)

    def count(self) -> int:
        """Return the number of registered nodes, at least 1."""
        return max(1, len(self.nodes))

    def rank(self) -> int:
        """Return the position of this node among all nodes by name."""
        return sorted({*self.nodes, self.local_node.name}).index(
            self.local_node.name
        )

    def is_chosen(self, matter: str) -> bool:
        """Return whether this node alone acts in a matter, named by a text."""
        names = {*self.nodes, self.local_node.name}
        chosen = max(
            filter(self.presence.is_present, names),
            key=lambda name: xxhash.xxh64_intdigest(
                f'{matter} {name}'.encode()
            ),
        )
        return chosen == self.local_node.name

    def peers(self) -> list[Address]:
        """Return the control addresses of other nodes; if none, the seeds.

        Nodes that are absent are left out unless all others are.
        """
        others = [
            node
            for node in self.nodes.values()
            if node.name != self.local_node.name
        ]
        present = [
            node for node in others if self.presence.is_present(node.name)
        ]
        known = {node.control for node in present or others}
        return sorted(known) or list(self.seeds)

    def unheard_nodes(self, rng: random.Random) -> list[RouterNode]:
        """Return nodes to call directly, since this node hears nobody.

        Its datagrams may be lost while calls of others are answered. Empty if
        it hears another node.
        """
        if not self.presence.is_isolated():
            return []
        near = [
            node
            for node in self.domain_nodes()
            if node.name != self.local_node.name
        ]
        remote = [
            node for nodes in self._remote_nodes().values() for node in nodes
        ]
        candidates = [
            *rng.sample(near, len(near)),
            *rng.sample(remote, len(remote)),
        ]
        return candidates[:MAX_UNHEARD_CALLS]

    def domain_nodes(self) -> list[RouterNode]:
        """Return the nodes of this failure domain by name, with this node."""
        near = {
            name: node
            for name, node in self.nodes.items()
            if node.failure_domain == self.local_node.failure_domain
        }
        near[self.local_node.name] = self.local_node
        return [near[name] for name in sorted(near)]

    def aggregators(self) -> list[RouterNode]:
        """Return the registered aggregators of this failure domain."""
        return self.domain_nodes()[:AGGREGATORS_PER_DOMAIN]

    def acting_aggregators(self) -> list[RouterNode]:
        """Return the nodes of this failure domain that aggregate now."""
        return self._on_duty(self.domain_nodes())[:AGGREGATORS_PER_DOMAIN]

    def remote_aggregators(self) -> dict[str, list[RouterNode]]:
        """Return the registered aggregators of each other failure domain."""
        return {
            domain: nodes[:AGGREGATORS_PER_DOMAIN]
            for domain, nodes in self._remote_nodes().items()
        }

    def acting_remote_aggregators(self) -> list[RouterNode]:
        """Return the nodes of the other failure domains that aggregate now."""
        return [
            node
            for nodes in self._remote_nodes().values()
            for node in self._on_duty(nodes)[:AGGREGATORS_PER_DOMAIN]
        ]

    def unheard_domain_nodes(self, rng: random.Random) -> list[RouterNode]:
        """Return nodes of the failure domains of which nothing is heard.

        The aggregators there may have ended together, so the choice changes.
        """
        return [
            node
            for nodes in self._remote_nodes().values()
            if not self._on_duty(nodes)
            for node in rng.sample(nodes, len(nodes))[:AGGREGATORS_PER_DOMAIN]
        ]

    def _remote_nodes(self) -> dict[str, list[RouterNode]]:
        by_domain: dict[str, list[RouterNode]] = collections.defaultdict(list)
        for _name, node in sorted(self.nodes.items()):
            by_domain[node.failure_domain].append(node)
        by_domain.pop(self.local_node.failure_domain, None)
        return by_domain

    def _on_duty(self, nodes: Iterable[RouterNode]) -> list[RouterNode]:
        return [node for node in nodes if self.presence.is_on_duty(node.name)]

    def watchers(self) -> list[Address]:
        """Return the watchers that this node polls for changes.

        Empty for a watcher, and in a failure domain of watchers only.
        """
        near = [
            node
            for node in self.domain_nodes()
            if self.presence.is_present(node.name)
        ]
        watchers = near[:WATCHERS_PER_DOMAIN]
        if len(near) <= WATCHERS_PER_DOMAIN or self.local_node in watchers:
            return []
        return [node.control for node in watchers]

    def store_followers(self) -> int:
        """Return how many nodes follow the store directly, at least 1."""
        sizes = collections.Counter(
            node.failure_domain for node in self.nodes.values()
        )
        return max(
            1, sum(min(WATCHERS_PER_DOMAIN, size) for size in sizes.values())
        )


def encode(node: RouterNode) -> bytes:
    """Encode a registration as the body of its row."""
    return json.dumps(dataclasses.asdict(node)).encode()


def decode(row: Row) -> Result[RouterNode, str]:
    """Decode the registration in a row, or return why it is malformed."""
    try:
        node = _NODE.validate_json(row.body)
    except pd.ValidationError as error:
        return Err(first_error(error))
    if row.key != NODE_PREFIX + node.name:
        return Err('the registration of another node')
    if not all(
        map(address.is_valid, (node.callers, node.control, node.exchange))
    ):
        return Err('malformed address')
    if not 0 <= node.rejoins <= _MAX_REJOINS:
        return Err('rejoins: out of range')
    return Ok(node)


def addresses_for(
    nodes: Iterable[RouterNode],
    failure_domain: str,
    region: str,
    regions: Mapping[str, str],
) -> list[Address]:
    """Return the addresses that a caller should use, nearest first.

    Callers choose among the addresses at random, so those outside the caller's
    failure domain are added only if there are fewer than `MIN_ADDRESSES`
    inside.

    Args:
      nodes: nodes that currently serve callers.
      failure_domain: failure domain of the caller, or an empty string.
      region: region of the caller, or an empty string.
      regions: region of each failure domain.
    """
    by_distance: list[list[RouterNode]] = [[], [], []]
    for node in sorted(nodes, key=lambda member: member.name):
        if node.failure_domain == failure_domain:
            by_distance[0].append(node)
        elif regions.get(node.failure_domain) == region:
            by_distance[1].append(node)
        else:
            by_distance[2].append(node)
    chosen: list[RouterNode] = []
    for group in by_distance:
        if len(chosen) >= MIN_ADDRESSES:
            break
        chosen.extend(group)
    return [node.callers for node in chosen[:MAX_ADDRESSES]]
