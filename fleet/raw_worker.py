"""Worker that runs in a test's own process and sends scripted bytes.

Tests use it for answers that no HTTP server sends, such as malformed ones.
"""

import socket
import threading
from collections.abc import Callable

from fleet.ports import HOST

READ_TIMEOUT_S = 20  # of each read


class RawConnection:
    """Worker's side of a connection from a router."""

    def __init__(self, sock: socket.socket) -> None:
        """Wrap an accepted socket."""
        self.sock = sock
        self.buffer = b''

    def read_request(self) -> str:
        """Read one request with its body, if any; return its id.

        Raises:
          ConnectionError: the router has closed the connection.
        """
        while b'\r\n\r\n' not in self.buffer:
            received = self.sock.recv(65536)
            if not received:
                raise ConnectionError('router closed the connection')
            self.buffer += received
        head, rest = self.buffer.split(b'\r\n\r\n', 1)
        self.buffer = rest
        lines = head.decode().lower().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines[1:])
        length = int(fields.get('content-length', '0'))
        while len(self.buffer) < length:
            self.buffer += self.sock.recv(65536)
        self.buffer = self.buffer[length:]
        return fields['request-id']

    def send(self, text: str) -> None:
        """Send text, encoded as UTF-8."""
        self.sock.sendall(text.encode())

    def answer(self, request_id: str | None, body: str) -> None:
        """Send a complete signed answer, without an id if it is None."""
        id_header = (
            '' if request_id is None else f'Request-Id: {request_id}\r\n'
        )
        self.send(
            f'HTTP/1.1 200 OK\r\n{id_header}Server-Signature: s\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        )


class RawWorker:
    """Runs a script on each connection, in threads of the test process."""

    def __init__(
        self, port: int, script: Callable[[RawConnection], None]
    ) -> None:
        """Listen on a port and accept connections in the background.

        Args:
          port: a port of the fleet.
          script: called for each connection, which closes when it returns.
        """
        self.script = script
        # Set once a script has failed with `OSError`, for example because the
        # router closed its connection.
        self.connection_closed = threading.Event()
        self.listener = socket.create_server((HOST, port))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _address = self.listener.accept()
            except OSError:
                return
            sock.settimeout(READ_TIMEOUT_S)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            self.script(RawConnection(sock))
        except OSError:
            self.connection_closed.set()
        finally:
            sock.close()
