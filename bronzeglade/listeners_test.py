"""Tests how a listening socket stops."""

import eventlet
import pytest
from eventlet.green import socket

from bronzeglade import listeners

LOOPBACK = '127.0.0.1'
CONNECT_TIMEOUT_S = 0.3
BACKLOG = 16


# Guards against the reset of a caller that connects between the last accept
# and the close of the listener: it cannot know whether its request ran.
def test_connection_attempt_during_the_close_is_refused() -> None:
    """A caller that connects late gets no connection, so nothing ran."""
    listener = listeners.listen((LOOPBACK, 0), BACKLOG)
    address = listener.getsockname()
    early = eventlet.connect(address)
    assert listeners.drop_connection_attempts(listener)
    accepted = list(listeners.accept_pending(listener))
    assert len(accepted) == 1
    late = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    late.settimeout(CONNECT_TIMEOUT_S)
    with pytest.raises(TimeoutError):
        late.connect(address)
    listener.close()
    with pytest.raises(ConnectionRefusedError):
        eventlet.connect(address)
    early.sendall(b'x')
    assert accepted[0].recv(1) == b'x'
    for sock in (early, late, *accepted):
        sock.close()
