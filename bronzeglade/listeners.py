"""Listening TCP sockets that stop without resetting connections."""

import ctypes
import datetime as dt
import socket as sockets
import struct
from collections.abc import Iterator
from typing import Any

from eventlet.green import socket

# Longer than a round trip to a caller, which ends the handshakes in progress.
HANDSHAKE_TIME = dt.timedelta(milliseconds=200)
# Not in the `socket` module; see `socket(7)`.
_SO_ATTACH_FILTER = 26
_BPF_INSTRUCTION = struct.Struct('=HBBI')  # code, jump if true, if false, value
_BPF_PROGRAM = struct.Struct('HP')  # number of instructions, address
# Packets of a TCP socket begin with the TCP header, whose byte 13 has the flags
# SYN (0x2) and ACK (0x10). A first packet has SYN only.
_DROP_ATTEMPTS = (
    (0x30, 0, 0, 13),  # load byte 13
    (0x54, 0, 0, 0x12),  # and 0x12
    (0x15, 0, 1, 0x2),  # if equal to 0x2, else skip one
    (0x6, 0, 0, 0),  # drop
    (0x6, 0, 0, 0xFFFFFFFF),  # accept all bytes
)


def listen(
    address: tuple[str, int], backlog: int, receive_buffer: int | None = None
) -> Any:
    """Return a listening socket.

    A second process that listens on the address fails: unlike with
    `eventlet.listen`, it does not share the port (SO_REUSEPORT).

    Args:
      address: IP address and port.
      backlog: most connections that wait to be accepted.
      receive_buffer: size of the receive buffer of each accepted connection, in
        bytes, of which the kernel uses up to twice as much. By default the
        kernel chooses the size and lets it grow.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer is not None:
        # Accepted sockets inherit it; set later, it would not bound the window
        # that the handshake has announced.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.bind(address)
    sock.listen(backlog)
    return sock


def drop_connection_attempts(listener: Any) -> bool:
    """Make a listener drop the first packet of new connections.

    Connections that are being established still reach the accept queue. The
    peer of a dropped packet sends it again after a second, and is refused once
    the listener is closed.

    Returns:
      Whether the system allows it. If not, the backlog becomes 0, so that few
      connections are established until the listener is closed.
    """
    program = ctypes.create_string_buffer(
        b''.join(
            _BPF_INSTRUCTION.pack(*instruction)
            for instruction in _DROP_ATTEMPTS
        )
    )
    filter_option = _BPF_PROGRAM.pack(
        len(_DROP_ATTEMPTS), ctypes.addressof(program)
    )
    try:
        listener.fd.setsockopt(
            sockets.SOL_SOCKET, _SO_ATTACH_FILTER, filter_option
        )
    except OSError:
        listener.fd.listen(0)
        return False
    return True


def accept_pending(listener: Any) -> Iterator[Any]:
    """Yield the connections in the accept queue, without blocking."""
    while True:
        try:
            sock, _peer = listener.fd.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError:
            # The caller has closed the connection already.
            continue
        yield socket.socket(fileno=sock.detach())
