"""The operator status of this node and of its peers."""

from typing import Any

import eventlet
from result import Err

from bronzeglade.entry.node import Node
from bronzeglade.entry.peers import Peer

HANDLER = 'status'
MAX_PARALLEL_CALLS = 32


def register(node: Node) -> None:
    """Register the handler through which peers read this node's status."""
    node.peers.handlers[HANDLER] = lambda _argument: of_node(node)


def of_node(node: Node) -> dict[str, Any]:
    """Return the status of this node; durations are in seconds."""
    configuration = node.catalog.configuration if node.catalog else None
    age = node.publication.confirmed_age()
    return {
        'vm': node.settings.vm,
        'failure_domain': node.settings.failure_domain,
        'address': node.membership.local_member.address,
        'reachable': True,
        'generation': node.generation(),
        'digest': configuration.digest if configuration else '',
        'confirmed_age_s': None if age is None else age.total_seconds(),
        'staleness': node.publication.staleness().value,
        'draining': node.draining,
        'open_requests': node.open_requests,
    }


def of_all(node: Node) -> list[dict[str, Any]]:
    """Return the status of every node that is not dead, by VM name.

    A node that does not answer is reported with `reachable` false.

    Args:
      node: state of this process.
    """
    peers = [
        Peer(member.vm, member.address, member.failure_domain)
        for member in node.membership.members()
    ]
    pool = eventlet.GreenPool(MAX_PARALLEL_CALLS)
    statuses = [of_node(node)]
    statuses.extend(pool.imap(lambda peer: _of_peer(node, peer), peers))
    return sorted(statuses, key=lambda status: str(status['vm']))


def _of_peer(node: Node, peer: Peer) -> dict[str, Any]:
    reply = node.peers.call(peer, HANDLER, {})
    if isinstance(reply, Err) or not isinstance(reply.ok_value, dict):
        return {
            'vm': peer.vm,
            'failure_domain': peer.failure_domain,
            'address': peer.control_address,
            'reachable': False,
        }
    return dict(reply.ok_value)
