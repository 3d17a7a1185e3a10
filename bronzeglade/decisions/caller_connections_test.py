"""Tests of the load of callers that open connections and send nothing."""

import datetime as dt
import functools

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.caller_connections import (
    CallerConnections,
    OpenConnection,
)

SECOND = dt.timedelta(seconds=1)


class Node:
    """Connections with a limit of three, and those that were closed."""

    def __init__(self) -> None:
        """Start without connections."""
        self.clock = ManualClock()
        self.connections = CallerConnections(3, self.clock)
        self.closed: list[str] = []

    def connect(self, name: str, client: str = 'a') -> OpenConnection | None:
        """Open a connection a second after the last one."""
        self.clock.advance(SECOND)
        return self.connections.admit(
            client, functools.partial(self.closed.append, name)
        )


def test_connection_that_waited_longest_gives_way() -> None:
    """A caller that has just connected is about to send its request."""
    node = Node()
    for name in ('first', 'second', 'third', 'fourth'):
        assert node.connect(name)
    assert node.closed == ['first']
    assert len(node.connections.open) == 3
    assert node.connections.take_closed() == 1


def test_connection_with_a_request_is_kept() -> None:
    """Its answer must not be cut."""
    node = Node()
    running = [node.connect(str(number)) for number in range(3)]
    for connection in running:
        assert connection is not None
        node.connections.begin_request(connection)
    assert node.connect('refused') is None
    assert node.connections.take_refused() == 1
    assert running[1] is not None
    node.connections.end_request(running[1])
    assert node.connect('admitted')
    assert node.closed == ['1']


def test_client_with_most_connections_gives_way() -> None:
    """A crowd must not push out the only connection of another client."""
    node = Node()
    node.connect('lone', 'b')
    for number in range(6):
        node.connect(str(number), 'crowd')
    assert 'lone' not in node.closed


def test_ended_connections_leave_room() -> None:
    """Nothing is closed for connections that have ended."""
    node = Node()
    for number in range(9):
        connection = node.connect(str(number))
        assert connection is not None
        node.connections.remove(connection)
        node.connections.remove(connection)
    assert not node.closed
