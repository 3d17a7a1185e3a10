"""The list of entry nodes that callers may use, nearest first."""

import dataclasses

from bronzeglade.entry.node import Node
from bronzeglade.manifest import FailureDomain


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The caller-facing address of an entry node."""

    address: str
    failure_domain: str


def usable(node: Node) -> list[Entry]:
    """Return the nodes that accept requests.

    Excludes nodes that are leaving, dead, or have been suspect for too long.
    """
    leaving = node.peers.leaving_addresses()
    entries = [
        Entry(member.caller_address, member.failure_domain)
        for member in node.membership.usable()
        if member.address not in leaving
    ]
    local_member = node.membership.local_member
    if not node.draining:
        entries.append(
            Entry(local_member.caller_address, local_member.failure_domain)
        )
    return entries


def ordered(node: Node, failure_domain: str | None) -> list[Entry]:
    """Return the usable nodes, nearest first.

    Equally near nodes are in random order, which spreads callers over them.

    Args:
      node: state of this process.
      failure_domain: where the caller runs; this node's own if unknown.
    """
    caller_domain = failure_domain or node.settings.failure_domain
    entries = usable(node)
    node.rng.shuffle(entries)
    domains: tuple[FailureDomain, ...] = ()
    if node.catalog is not None:
        domains = node.catalog.manifest.failure_domains
    regions = {domain.name: domain.region for domain in domains}
    delays = {domain.name: domain.one_way_ms for domain in domains}
    region = regions.get(caller_domain)

    def distance(entry: Entry) -> tuple[bool, bool, float]:
        name = entry.failure_domain
        other_region = region is None or regions.get(name) != region
        return name != caller_domain, other_region, delays.get(name, 0)

    return sorted(entries, key=distance)
