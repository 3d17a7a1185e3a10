"""Addresses of entry nodes that callers may use."""

import dataclasses

from bronzeglade.entry.node import Node
from bronzeglade.manifest import FailureDomain


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry node as callers see it."""

    address: str
    failure_domain: str


def usable(node: Node) -> list[Entry]:
    """Return the nodes that are neither leaving, dead nor long suspect."""
    leaving = node.peers.leaving_addresses()
    found = [
        Entry(member.caller_address, member.failure_domain)
        for member in node.membership.usable()
        if member.address not in leaving
    ]
    myself = node.membership.myself
    if not node.draining:
        found.append(Entry(myself.caller_address, myself.failure_domain))
    return found


def ordered(node: Node, failure_domain: str | None) -> list[Entry]:
    """Return the usable nodes, the nearest first.

    The order among equally near nodes is random, so that callers spread.

    Args:
      node: state of this process.
      failure_domain: the caller's; this node's when the caller tells none.
    """
    wanted = failure_domain or node.settings.failure_domain
    found = usable(node)
    node.random.shuffle(found)
    domains: tuple[FailureDomain, ...] = ()
    if node.catalog is not None:
        domains = node.catalog.manifest.failure_domains
    regions = {domain.name: domain.region for domain in domains}
    delays = {domain.name: domain.one_way_ms for domain in domains}
    region = regions.get(wanted)

    def distance(entry: Entry) -> tuple[bool, bool, float]:
        name = entry.failure_domain
        other_region = region is None or regions.get(name) != region
        return name != wanted, other_region, delays.get(name, 0)

    return sorted(found, key=distance)
