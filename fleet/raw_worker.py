"""A worker in a test's own process that sends bytes as a script says."""

import socket
import threading
from collections.abc import Callable

from fleet.ports import HOST

LIMIT_S = 20  # of each wait for bytes


class RawConnection:
    """One connection of a router to the worker."""

    def __init__(self, sock: socket.socket) -> None:
        """Read and write on a socket."""
        self.sock = sock
        self.buffer = b''

    def read_request(self) -> str:
        """Read a request without a long body; return its id."""
        while b'\r\n\r\n' not in self.buffer:
            received = self.sock.recv(65536)
            if not received:
                raise ConnectionError('the router has closed the connection')
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
        """Send bytes."""
        self.sock.sendall(text.encode())

    def answer(self, request_id: str | None, body: str) -> None:
        """Send a whole signed answer, with an id or without one."""
        named = '' if request_id is None else f'Request-Id: {request_id}\r\n'
        self.send(
            f'HTTP/1.1 200 OK\r\n{named}Server-Signature: s\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        )


class RawWorker:
    """Follows a script on each connection; ends with the test."""

    def __init__(
        self, port: int, script: Callable[[RawConnection], None]
    ) -> None:
        """Listen on a port of the fleet."""
        self.script = script
        self.closed = threading.Event()  # once a router has closed one
        self.listener = socket.create_server((HOST, port))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Listen no longer."""
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _peer = self.listener.accept()
            except OSError:
                return
            sock.settimeout(LIMIT_S)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            self.script(RawConnection(sock))
        except OSError:
            self.closed.set()
        finally:
            sock.close()
