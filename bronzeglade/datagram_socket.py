"""UDP socket on which several green threads may send."""

from typing import Any

from eventlet.green import socket


class DatagramSocket(socket.socket):
    """A socket that loses a datagram for which its buffer has no room.

    eventlet's `sendto` would wait, and fail for a second green thread.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Create a socket that is bound to an address."""
        super().__init__(socket.AF_INET, socket.SOCK_DGRAM)
        self.bind(address)

    def sendto(self, content: bytes, address: Any) -> int:
        """Send a datagram.

        Args:
          content: the datagram.
          address: IP address and port of the receiver.

        Raises:
          OSError: The datagram was not sent, for example for lack of room.
        """
        sent: int = self.fd.sendto(content, address)
        return sent
