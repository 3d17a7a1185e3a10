"""The tables of the store that a node follows."""

import dataclasses
from collections.abc import Callable

from bronzeglade.clock import Clock
from bronzeglade.coordination.mirror import Mirror
from bronzeglade.forwarding import follower
from bronzeglade.forwarding.copies import CopySource
from bronzeglade.forwarding.follower import Follower, FollowerContext
from bronzeglade.forwarding.relay import Directory, Fetch, Relay
from bronzeglade.forwarding.roster import OWN_TABLE
from bronzeglade.forwarding.site import Documents
from bronzeglade.loops import spawn_loop


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """What is done when a table has changed."""

    operator: Callable[[], None]
    endpoints: Callable[[], None]
    own: Callable[[], None]


class Tables:
    """A node's copies of the operator's, the endpoints' and its own table."""

    def __init__(self, documents: Documents, clock: Clock) -> None:
        """Hold nothing.

        Args:
          documents: names of the tables.
          clock: monotonic time.
        """
        self.clock = clock
        self.operator = Mirror(documents.operator_table, clock)
        self.endpoints = Mirror(documents.endpoint_table, clock)
        self.own = Mirror(OWN_TABLE, clock)
        self.source = CopySource((self.operator, self.endpoints, self.own))

    def versions(self) -> dict[str, int]:
        """Return the version of each copy."""
        return {
            mirror.table: mirror.as_of
            for mirror in (self.operator, self.endpoints, self.own)
        }

    def follow(
        self,
        context: FollowerContext,
        directory: Directory,
        fetch: Fetch,
        handlers: Handlers,
    ) -> None:
        """Keep the copies current for ever.

        Args:
          context: parts of the node.
          directory: tells which other nodes there are.
          fetch: asks another node for its copies.
          handlers: called after each change.
        """
        operator = Follower(
            context,
            self.operator,
            self._then_tell(handlers.operator),
            follower.CLOSE_WAIT,
        )
        others = [
            Follower(context, mirror, self._then_tell(handler))
            for mirror, handler in (
                (self.endpoints, handlers.endpoints),
                (self.own, handlers.own),
            )
        ]
        # The table that is watched closest speaks for the whole store.
        for one in others:
            one.probe = self.operator
        operator.on_loss = [
            self.source.notify,
            *(one.give_up for one in others),
        ]
        self._start(context, (operator, *others), directory, fetch)

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
            context.random,
        )
        for one in followers:
            spawn_loop(relay.unless_relayed(one.follow_next))
        spawn_loop(relay.follow_next)
        spawn_loop(relay.ask_peer)

    def _then_tell(self, handler: Callable[[], None]) -> Callable[[], None]:
        def handle() -> None:
            handler()
            self.source.notify()

        return handle
