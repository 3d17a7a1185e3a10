"""Bounds the open connections of the callers of one port.

Each takes a descriptor and some memory, which endpoints, the store and other
nodes need as well. When there are too many, a connection that waits for a
request gives way: the one that has waited longest of the client that has most.
"""

import collections
import dataclasses
import datetime as dt
from collections.abc import Callable

from bronzeglade.clock import Clock


@dataclasses.dataclass(slots=True, eq=False)
class OpenConnection:
    """A connection of a caller.

    `close` ends it. `waiting_since` is the monotonic time since which it has no
    request that is being answered, or None while it has one.
    """

    client: str
    close: Callable[[], None]
    waiting_since: dt.timedelta | None


class CallerConnections:
    """The open connections of the callers of one port."""

    def __init__(self, limit: int, clock: Clock) -> None:
        """Start without connections.

        Args:
          limit: most open connections.
          clock: monotonic time.
        """
        self.limit = limit
        self.clock = clock
        self.open: dict[OpenConnection, None] = {}
        self.closed = 0
        self.refused = 0

    def admit(
        self, client: str, close: Callable[[], None]
    ) -> OpenConnection | None:
        """Add a connection; return None if there is no room for it.

        Args:
          client: address of the caller.
          close: ends the connection.
        """
        if self.is_full() and not self.close_one():
            self.refused += 1
            return None
        return self.add(client, close)

    def add(self, client: str, close: Callable[[], None]) -> OpenConnection:
        """Add a connection, also where there is no room for it.

        Args:
          client: address of the caller.
          close: ends the connection.
        """
        connection = OpenConnection(client, close, self.clock.monotonic())
        self.open[connection] = None
        return connection

    def is_full(self) -> bool:
        """Return whether another connection needs the room of an open one."""
        return len(self.open) >= self.limit

    def remove(self, connection: OpenConnection) -> None:
        """Remove a connection that has ended."""
        self.open.pop(connection, None)

    def begin_request(self, connection: OpenConnection) -> None:
        """Record that a request is being answered, which is not cut."""
        connection.waiting_since = None

    def end_request(self, connection: OpenConnection) -> None:
        """Record that a request has been answered."""
        connection.waiting_since = self.clock.monotonic()

    def take_closed(self) -> int:
        """Return how many gave way to others since the last call."""
        count = self.closed
        self.closed = 0
        return count

    def take_refused(self) -> int:
        """Return how many were refused since the last call."""
        count = self.refused
        self.refused = 0
        return count

    def close_one(self) -> bool:
        """Close a connection that waits; return False if none does."""
        counts = collections.Counter(
            connection.client for connection in self.open
        )
        waiting = [
            (-counts[connection.client], connection.waiting_since, number)
            for number, connection in enumerate(self.open)
            if connection.waiting_since is not None
        ]
        if not waiting:
            return False
        _count, _since, number = min(waiting)
        victim = list(self.open)[number]
        self.remove(victim)
        self.closed += 1
        victim.close()
        return True
