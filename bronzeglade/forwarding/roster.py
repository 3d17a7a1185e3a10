"""Nodes that serve callers, and the addresses that a caller is told."""

import dataclasses
from collections.abc import Iterable, Mapping

from bronzeglade.forwarding.settings import Address

# A caller is told this many addresses at least, so that it has others when
# one fails.
LEAST_ADDRESSES = 2
MOST_ADDRESSES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class RouterNode:
    """A node as it registers itself.

    `callers` is its address towards callers, `control` that towards nodes,
    `exchange` the one for their datagrams.
    """

    name: str
    failure_domain: str
    callers: Address
    control: Address
    exchange: Address


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
