"""TCP connections with time limits and detection of silent links."""

import datetime as dt
import socket as sockets
from collections.abc import Iterator
from typing import Any

from eventlet import hubs
from eventlet.green import socket

from bronzeglade.adapters import transport
from bronzeglade.clock import Clock

READ_BYTES = 65536
# Shortest time limit of a socket call; zero would mean "do not block".
SHORTEST_S = 0.001


def tune(sock: Any) -> None:
    """Switch off send delays and find silent links within seconds."""
    for level, option, setting in transport.SOCKET_OPTIONS:
        sock.setsockopt(level, option, setting)


def connect(address: tuple[str, int], limit: dt.timedelta) -> Any:
    """Return a tuned connection.

    Args:
      address: IP address and port.
      limit: longest time to connect.

    Returns:
      The socket.

    Raises:
      OSError: there is no connection; nothing was sent.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        tune(sock)
        sock.settimeout(max(SHORTEST_S, limit.total_seconds()))
        sock.connect(address)
    except OSError:
        sock.close()
        raise
    return sock


def listen(address: tuple[str, int], backlog: int) -> Any:
    """Return a listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(backlog)
    return sock


def accept_waiting(listener: Any) -> Iterator[Any]:
    """Yield the connections that wait to be accepted; none is waited for."""
    # Nearly no connection is made between the last accept and the close.
    listener.fd.listen(0)
    while True:
        try:
            sock, _peer = listener.fd.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError:
            # Its caller has gone.
            continue
        yield socket.socket(fileno=sock.detach())


def limit_until(sock: Any, clock: Clock, deadline: dt.timedelta) -> None:
    """Let the next call on a socket end at a monotonic time."""
    left = (deadline - clock.monotonic()).total_seconds()
    sock.settimeout(max(SHORTEST_S, left))


def receive(sock: Any, clock: Clock, deadline: dt.timedelta) -> bytes:
    """Return bytes, or none at an orderly end.

    The library's own `recv` tells a reset as an orderly end, which would make
    an answer without a length look whole.

    Args:
      sock: a connected socket.
      clock: its monotonic time counts the deadline.
      deadline: monotonic time at which the wait ends.

    Raises:
      TimeoutError: nothing came in time.
      OSError: the connection failed, such as by a reset.
    """
    while True:
        try:
            received: bytes = sock.fd.recv(READ_BYTES)
        except BlockingIOError:
            left = (deadline - clock.monotonic()).total_seconds()
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=max(SHORTEST_S, left),
                timeout_exc=TimeoutError,
            )
        else:
            return received


def is_quiet(sock: Any) -> bool:
    """Return whether nothing can be read: neither bytes nor an end."""
    try:
        sock.fd.recv(1, sockets.MSG_PEEK | sockets.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def close(sock: Any) -> None:
    """Close a socket; a peer that is gone already does not matter."""
    try:
        sock.close()
    except OSError:
        return


def abort(sock: Any) -> None:
    """End a connection at once; a green thread that reads it wakes up."""
    try:
        sock.shutdown(sockets.SHUT_RDWR)
    except OSError:
        return
