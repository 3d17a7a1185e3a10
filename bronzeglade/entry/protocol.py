"""An HTTP server protocol with limits on time and memory."""

import datetime as dt
from typing import Any

import eventlet

from bronzeglade.serving import LoggedProtocol

# Key of the protocol object in the WSGI environment of a request.
ENVIRON_KEY = 'bronzeglade.protocol'
REQUEST_TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
BAD_REQUEST_RESPONSE = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class BoundedProtocol(LoggedProtocol):
    """Limits the time in which the head of a request is received.

    The server itself limits the sizes of the request line, of each header and
    of all headers together.
    """

    head_limit = dt.timedelta(seconds=10)

    def handle_one_request(self) -> None:
        """Handle one request; answer 408 if its head takes too long."""
        self.head_timer: Any = None
        try:
            super().handle_one_request()
        except eventlet.Timeout as timeout:
            if timeout is not self.head_timer:
                raise
            self.wfile.write(REQUEST_TIMEOUT_RESPONSE)
            self.wfile.flush()
            self.close_connection = True
        finally:
            self._stop_timer()

    def begin_request(self) -> None:
        """Start the time limit of the head.

        A connection may be idle between requests, so the limit starts with the
        first byte of the head.
        """
        super().begin_request()
        self.head_timer = eventlet.Timeout(self.head_limit.total_seconds())

    def parse_request(self) -> bool:
        """Parse the head, then stop its time limit."""
        parsed = bool(super().parse_request())
        self._stop_timer()
        return parsed

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with this object under ENVIRON_KEY."""
        environ: dict[str, Any] = super().get_environ()
        environ[ENVIRON_KEY] = self
        return environ

    def close_after_response(self) -> None:
        """Send `Connection: close` with the response, then close."""
        self.close_connection = True

    def finish(self) -> None:
        """Close the connection after reading a limited amount of input."""
        self.discard_unread_input()
        super().finish()

    def _stop_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()


def with_head_timeout(limit: dt.timedelta) -> type[BoundedProtocol]:
    """Return a protocol class with this time limit for request heads."""
    return type('Protocol', (BoundedProtocol,), {'head_limit': limit})
