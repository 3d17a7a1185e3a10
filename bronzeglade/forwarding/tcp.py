"""TCP sockets with deadlines and detection of dead connections."""

import datetime as dt
import socket as sockets
from typing import Any

from eventlet import hubs
from eventlet.green import socket

from bronzeglade.adapters import transport
from bronzeglade.clock import Clock

READ_BYTES = 65536
# Minimum timeout of a socket call; zero would make the socket non-blocking.
MIN_TIMEOUT_S = 0.001


def set_options(sock: Any) -> None:
    """Disable Nagle's algorithm and detect dead connections in seconds."""
    for level, option, setting in transport.SOCKET_OPTIONS:
        sock.setsockopt(level, option, setting)


def connect(address: tuple[str, int], limit: dt.timedelta) -> Any:
    """Open a connection and set its socket options.

    Args:
      address: IP address and port.
      limit: maximum time to connect.

    Returns:
      The connected socket.

    Raises:
      OSError: The connection failed; nothing was sent.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_options(sock)
        sock.settimeout(max(MIN_TIMEOUT_S, limit.total_seconds()))
        sock.connect(address)
    except OSError:
        sock.close()
        raise
    return sock


def set_deadline(sock: Any, clock: Clock, deadline: dt.timedelta) -> None:
    """Make the next call on a socket time out at a monotonic time."""
    remaining_s = (deadline - clock.monotonic()).total_seconds()
    sock.settimeout(max(MIN_TIMEOUT_S, remaining_s))


def receive(
    sock: Any, clock: Clock, deadline: dt.timedelta, limit: int = READ_BYTES
) -> bytes:
    """Receive bytes; an empty result means that the peer has closed.

    eventlet's `recv` reports a reset as a regular close, so that a truncated
    answer without a length would look complete. This function reads from the
    underlying socket instead.

    Args:
      sock: a connected socket.
      clock: clock of the deadline.
      deadline: monotonic time at which the wait ends.
      limit: most bytes to receive.

    Raises:
      TimeoutError: Nothing was received before the deadline.
      OSError: The connection failed, for example by a reset.
    """
    while True:
        try:
            received: bytes = sock.fd.recv(limit)
        except BlockingIOError:
            remaining_s = (deadline - clock.monotonic()).total_seconds()
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=max(MIN_TIMEOUT_S, remaining_s),
                timeout_exc=TimeoutError,
            )
        else:
            return received


def is_quiet(sock: Any) -> bool:
    """Return whether neither bytes nor an end of input can be read."""
    try:
        sock.fd.recv(1, sockets.MSG_PEEK | sockets.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def close(sock: Any) -> None:
    """Close a socket; ignore errors, such as that the peer has disconnected."""
    try:
        sock.close()
    except OSError:
        return


def peer_host(sock: Any) -> str:
    """Return the IP address of the peer; empty if it has disconnected."""
    try:
        host: str = sock.getpeername()[0]
    except OSError:
        return ''
    return host


def discard_input(
    sock: Any, clock: Clock, deadline: dt.timedelta, limit: int
) -> None:
    """Send the end of the output, and discard input until its end.

    Closing a socket with unread input resets the connection, by which the peer
    may lose what was sent last.

    Args:
      sock: a connected socket.
      clock: clock of the deadline.
      deadline: monotonic time at which to stop.
      limit: bytes after which to stop.
    """
    try:
        sock.shutdown(sockets.SHUT_WR)
        while limit > 0:
            received = receive(sock, clock, deadline)
            if not received:
                return
            limit -= len(received)
    except OSError:
        return


def abort(sock: Any) -> None:
    """Shut down both directions; a green thread that reads wakes up."""
    try:
        sock.shutdown(sockets.SHUT_RDWR)
    except OSError:
        return
