"""Nodes that serve callers, and who of them is told or asked what."""

import collections
import dataclasses
import json
from collections.abc import Iterable, Mapping, Sequence

import pydantic as pd
from result import Err, Ok, Result

from bronzeglade.forwarding.settings import Address

OWN_TABLE = 'bronzeglade'  # the table of what nodes write
# A caller is told this many addresses at least, so that it has others when
# one fails.
LEAST_ADDRESSES = 2
MOST_ADDRESSES = 64
# Nodes of a failure domain that follow the store: one may be killed and another
# one cut off while a third one tells the rest.
WATCHERS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class RouterNode:
    """A node as it registers itself.

    `callers` is its address towards callers, `control` that towards nodes,
    `exchange` the one for their datagrams. `rejoins` is how often it has put
    itself back after it was taken for gone.
    """

    name: str
    failure_domain: str
    callers: Address
    control: Address
    exchange: Address
    rejoins: int = 0


_NODE = pd.TypeAdapter(RouterNode)


# Nodes of a failure domain that sum up what its nodes report.
AGGREGATORS = 2


class Roster:
    """The registered nodes, as this node knows them.

    `seeds` are control addresses that the settings name; they may be stale.
    """

    def __init__(self, myself: RouterNode, seeds: Sequence[Address]) -> None:
        """Know no other node.

        Args:
          myself: this node.
          seeds: control addresses of other nodes.
        """
        self.myself = myself
        self.seeds = seeds
        self.nodes: dict[str, RouterNode] = {}

    def count(self) -> int:
        """Return how many nodes serve callers; at least one."""
        return max(1, len(self.nodes))

    def rank(self) -> int:
        """Return the place of this node among all."""
        return sorted({*self.nodes, self.myself.name}).index(self.myself.name)

    def peers(self) -> list[Address]:
        """Return the control addresses of other nodes, or the seeds."""
        known = {
            node.control
            for node in self.nodes.values()
            if node.name != self.myself.name
        }
        return sorted(known) or list(self.seeds)

    def neighbours(self) -> list[RouterNode]:
        """Return the nodes of this failure domain by name, this one too."""
        near = {
            name: node
            for name, node in self.nodes.items()
            if node.failure_domain == self.myself.failure_domain
        }
        near[self.myself.name] = self.myself
        return [near[name] for name in sorted(near)]

    def aggregators(self) -> list[RouterNode]:
        """Return the aggregators of this failure domain."""
        return self.neighbours()[:AGGREGATORS]

    def aggregators_elsewhere(self) -> dict[str, list[RouterNode]]:
        """Return the aggregators of each other failure domain."""
        by_domain: dict[str, list[RouterNode]] = collections.defaultdict(list)
        for _name, node in sorted(self.nodes.items()):
            by_domain[node.failure_domain].append(node)
        by_domain.pop(self.myself.failure_domain, None)
        return {
            domain: nodes[:AGGREGATORS] for domain, nodes in by_domain.items()
        }

    def watchers(self) -> list[Address]:
        """Return whom this node asks for changes; nobody if it is asked."""
        near = self.neighbours()
        watchers = near[:WATCHERS]
        if len(near) <= WATCHERS or self.myself in watchers:
            return []
        return [node.control for node in watchers]

    def store_followers(self) -> int:
        """Return how many nodes follow the store itself; at least one."""
        sizes = collections.Counter(
            node.failure_domain for node in self.nodes.values()
        )
        return max(1, sum(min(WATCHERS, size) for size in sizes.values()))


def encode(node: RouterNode) -> bytes:
    """Return the content of the row of a node."""
    return json.dumps(dataclasses.asdict(node)).encode()


def decode(body: bytes) -> Result[RouterNode, str]:
    """Return the node of a row, or why it names none."""
    try:
        return Ok(_NODE.validate_json(body))
    except pd.ValidationError as error:
        return Err(str(error))


def addresses_for(
    nodes: Iterable[RouterNode],
    failure_domain: str,
    region: str,
    regions: Mapping[str, str],
) -> list[Address]:
    """Return the addresses that a caller should use, nearest first.

    Addresses outside the caller's failure domain are added only while there
    are too few inside: callers choose among the addresses at random.

    Args:
      nodes: those that serve callers now.
      failure_domain: where the caller is, or an empty string.
      region: its region, or an empty string.
      regions: region of each failure domain.
    """
    by_distance: list[list[RouterNode]] = [[], [], []]
    for node in sorted(nodes, key=lambda one: one.name):
        if node.failure_domain == failure_domain:
            by_distance[0].append(node)
        elif regions.get(node.failure_domain) == region:
            by_distance[1].append(node)
        else:
            by_distance[2].append(node)
    chosen: list[RouterNode] = []
    for group in by_distance:
        if len(chosen) >= LEAST_ADDRESSES:
            break
        chosen.extend(group)
    return [node.callers for node in chosen[:MOST_ADDRESSES]]
