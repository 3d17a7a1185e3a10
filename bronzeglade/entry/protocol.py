"""The HTTP server protocol with bounds on time and memory."""

import datetime as dt
from typing import Any

import eventlet
from eventlet.green import socket

from bronzeglade.serving import LoggedProtocol

# Under this key a request's environment holds the protocol object.
KEY = 'bronzeglade.protocol'
LINGER = dt.timedelta(seconds=1)
LINGER_BYTES = 1_048_576
TOO_SLOW = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
NOT_TEXT = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class BoundedProtocol(LoggedProtocol):
    """Receives the head of a request within a limited time.

    The server itself limits the line, each header and all headers.
    """

    head_limit = dt.timedelta(seconds=10)

    def handle_one_request(self) -> None:
        """Read a request and respond, or close the connection."""
        self.head_timer: Any = None
        try:
            super().handle_one_request()
        except eventlet.Timeout as timeout:
            if timeout is not self.head_timer:
                raise
            self.wfile.write(TOO_SLOW)
            self.wfile.flush()
            self.close_connection = True
        finally:
            self._stop_timer()

    def _read_request_line(self) -> Any:
        # Between requests a connection may be idle; the time limit of the
        # head starts with its first byte.
        try:
            first = self.rfile.peek(1)
        except OSError:
            first = b''
        if not first:
            self.close_connection = True
            return b''
        self.head_timer = eventlet.Timeout(self.head_limit.total_seconds())
        return super()._read_request_line()

    def parse_request(self) -> bool:
        """Read the headers; end the time limit of the head."""
        parsed = bool(super().parse_request())
        self._stop_timer()
        return parsed

    def get_environ(self) -> dict[str, Any]:
        """Return the environment of the request, with this object."""
        environ: dict[str, Any] = super().get_environ()
        environ[KEY] = self
        return environ

    def close_after_response(self) -> None:
        """Send `Connection: close` with the response and close then."""
        self.close_connection = True

    def finish(self) -> None:
        """Close the connection after reading a bounded rest.

        Closing with unread input resets the connection, and the caller
        might lose the response.
        """
        with eventlet.Timeout(LINGER.total_seconds(), False):
            self._drop_rest()
        super().finish()

    def _drop_rest(self) -> None:
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
        except (OSError, ValueError):
            return
        dropped = 0
        while dropped < LINGER_BYTES:
            try:
                block = self.connection.recv(65536)
            except OSError:
                return
            if not block:
                return
            dropped += len(block)

    def _stop_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()


def bounded(limit: dt.timedelta) -> type[BoundedProtocol]:
    """Return a protocol with a time limit for the head of a request."""
    return type('Protocol', (BoundedProtocol,), {'head_limit': limit})
