"""What is in force on each node."""

from typing import Any

import eventlet
from result import Err

from bronzeglade.entry.node import Node
from bronzeglade.entry.peers import Peer

HANDLER = 'status'
PARALLEL_CALLS = 32


def register(node: Node) -> None:
    """Let peers ask for this node's status."""
    node.peers.handlers[HANDLER] = lambda _argument: of_node(node)


def of_node(node: Node) -> dict[str, Any]:
    """Return what is in force on this node; durations in seconds."""
    configuration = node.catalog.configuration if node.catalog else None
    age = node.publication.confirmed_age()
    return {
        'vm': node.settings.vm,
        'failure_domain': node.settings.failure_domain,
        'address': node.membership.myself.address,
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

    A node that does not answer is listed as not reachable.

    Args:
      node: state of this process.
    """
    peers = [
        Peer(member.vm, member.address, member.failure_domain)
        for member in node.membership.members()
    ]
    pool = eventlet.GreenPool(PARALLEL_CALLS)
    found = [of_node(node)]
    found.extend(pool.imap(lambda peer: _of_peer(node, peer), peers))
    return sorted(found, key=lambda one: str(one['vm']))


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
