"""The tables of the store that a node follows."""

import dataclasses
from collections.abc import Callable

from bronzeglade.adapters.feed import Position
from bronzeglade.clock import Clock
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.forwarding import follower
from bronzeglade.forwarding.copies import CopySource
from bronzeglade.forwarding.follower import Follower, FollowerContext
from bronzeglade.forwarding.platform_interface import Documents
from bronzeglade.forwarding.relay import Directory, Fetch, Relay
from bronzeglade.forwarding.roster import ROUTER_TABLE
from bronzeglade.loops import spawn_loop


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """Callbacks for changes of the operator, endpoint and router tables."""

    operator: Callable[[], None]
    endpoints: Callable[[], None]
    router: Callable[[], None]


class Tables:
    """A node's copies of the operator, endpoint and router tables."""

    def __init__(self, documents: Documents, clock: Clock) -> None:
        """Create empty copies.

        Args:
          documents: provides the names of the tables.
          clock: monotonic time.
        """
        self.clock = clock
        self.operator = TableMirror(documents.operator_table, clock)
        self.endpoints = TableMirror(documents.endpoint_table, clock)
        self.router = TableMirror(ROUTER_TABLE, clock)
        self.copy_source = CopySource(
            (self.operator, self.endpoints, self.router)
        )
        self.followers: tuple[Follower, ...] = ()

    def positions(self) -> dict[str, Position]:
        """Return the state of the store that each copy has."""
        return {
            mirror.table: mirror.position
            for mirror in (self.operator, self.endpoints, self.router)
        }

    def follow(
        self,
        context: FollowerContext,
        directory: Directory,
        fetch: Fetch,
        handlers: Handlers,
    ) -> None:
        """Start the loops that keep the copies current.

        Args:
          context: dependencies of the followers.
          directory: provides the addresses of other nodes.
          fetch: fetches copies from another node.
          handlers: called after each change.
        """
        operator = Follower(
            context,
            self.operator,
            self._with_notification(handlers.operator),
            follower.PROBE_WAIT,
        )
        others = [
            Follower(context, mirror, self._with_notification(handler))
            for mirror, handler in (
                (self.endpoints, handlers.endpoints),
                (self.router, handlers.router),
            )
        ]
        # The operator table has the shortest wait, so its follower detects for
        # all tables when the store is lost and when it is back.
        for other in others:
            other.probe = self.operator
        operator.on_store_lost = [
            self.copy_source.notify,
            *(other.cancel_call for other in others),
        ]
        operator.on_version = [other.check_version for other in others]
        self.followers = (operator, *others)
        self._start(context, self.followers, directory, fetch)

    def restart_calls(self) -> None:
        """Make the waiting calls of the store again, since it has moved."""
        for follower_of_table in self.followers:
            follower_of_table.restart_call()

    def _start(
        self,
        context: FollowerContext,
        followers: tuple[Follower, ...],
        directory: Directory,
        fetch: Fetch,
    ) -> None:
        relay = Relay(
            followers,
            fetch,
            directory,
            self.clock,
            context.log,
            context.rng,
        )
        for table_follower in followers:
            spawn_loop(relay.pause_while_relayed(table_follower.follow_next))
        spawn_loop(relay.follow_next)
        spawn_loop(relay.fetch_from_peer)

    def _with_notification(
        self, handler: Callable[[], None]
    ) -> Callable[[], None]:
        def handle() -> None:
            try:
                handler()
            finally:
                # The other nodes get the rows even if this one fails on them.
                self.copy_source.notify()

        return handle
