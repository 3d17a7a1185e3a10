"""The directory: the nodes to which callers are sent."""

import enum
from collections.abc import Callable, Collection, Mapping

from bronzeglade.forwarding import roster
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.roster import Roster, RouterNode
from bronzeglade.forwarding.settings import Address


class LocalState(enum.Enum):
    """Whether this node serves callers."""

    STARTING = 'starting'
    READY = 'ready'
    STOPPING = 'stopping'


class CallerDirectory:
    """Answers callers that ask which nodes to use."""

    def __init__(
        self, registered: Roster, has_lost_store: Callable[[], bool], log: Log
    ) -> None:
        """Create a directory.

        Args:
          registered: the registered nodes.
          has_lost_store: returns whether the store cannot be reached.
          log: log of this node.
        """
        self.roster = registered
        self.has_lost_store = has_lost_store
        self.log = log
        # Last answer by failure domain and region of the caller.
        self.listed: dict[tuple[str, str], list[Address]] = {}

    def addresses(
        self,
        failure_domain: str,
        region: str,
        regions: Mapping[str, str],
        local_state: LocalState,
    ) -> list[Address]:
        """Return the node addresses that a caller should use, nearest first.

        Args:
          failure_domain: failure domain of the caller.
          region: region of the caller.
          regions: region of each failure domain.
          local_state: whether this node serves callers.
        """
        nodes = dict(self.roster.nodes)
        local_node = self.roster.local_node
        if local_state is LocalState.READY:
            nodes[local_node.name] = local_node
        elif local_state is LocalState.STOPPING:
            nodes.pop(local_node.name, None)
        addresses = roster.addresses_for(
            self._present(nodes.values()), failure_domain, region, regions
        )
        # Callers may name any number of failure domains that do not exist.
        if regions.get(failure_domain) == region:
            self._log_changed(failure_domain, region, addresses)
        return addresses

    def _present(self, nodes: Collection[RouterNode]) -> Collection[RouterNode]:
        """Return the nodes that run, or all if that cannot be known.

        A node that hears nobody and has lost the store is probably cut off, and
        an answer without nodes serves no caller.
        """
        presence = self.roster.presence
        if presence.is_isolated() and self.has_lost_store():
            return nodes
        present = [node for node in nodes if presence.is_present(node.name)]
        return present or nodes

    def _log_changed(
        self, failure_domain: str, region: str, addresses: list[Address]
    ) -> None:
        key = (failure_domain, region)
        if self.listed.get(key) != addresses:
            self.listed[key] = addresses
            self.log.event(
                'directory',
                failure_domain=failure_domain,
                addresses=addresses,
                registered=len(self.roster.nodes),
                absent=sorted(
                    name
                    for name in self.roster.nodes
                    if not self.roster.presence.is_present(name)
                ),
            )
