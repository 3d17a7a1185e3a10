"""Crowds of callers that send large bodies and stay open, on one thread.

What each caller sends is a head, a body that repeats a block up to a size, and
nothing more: the end of the request never comes.
"""

import dataclasses
import itertools
import selectors
import socket
import time
from collections.abc import Sequence

from fleet.platform import API_HOST, API_KEY
from fleet.ports import HOST

# A crowd has sent what the router takes once nothing moves for this long.
QUIET_S = 1.5
MAX_SENDING_S = 60.0
CONNECT_TIMEOUT_S = 5.0
PIECE_BYTES = 16 * 1024
UNLIMITED = 1024 * 1024 * 1024
HUGE_BYTES = 99_999_999_999
CHUNKED = 'Transfer-Encoding: chunked'


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """What a caller sends: headers, and a block that repeats.

    `size` is how many bytes it sends after the head at most, and `piece` how
    many at a time.
    """

    header: str
    block: bytes
    size: int
    piece: int
    path: str = '/read/x'


def whole(limit: int, piece: int = UNLIMITED) -> Sending:
    """Return a body of legal size without its last byte."""
    return Sending(f'Content-Length: {limit}', b'x' * 4096, limit - 1, piece)


def chunks(size: int, chunk_bytes: int) -> Sending:
    """Return a body in chunks without its last chunk."""
    chunk = f'{chunk_bytes:x}\r\n'.encode() + b'x' * chunk_bytes + b'\r\n'
    count = size // chunk_bytes
    return Sending(CHUNKED, chunk, count * len(chunk), UNLIMITED)


def announced(size: int) -> Sending:
    """Return a body whose announced length is far over any limit."""
    header = f'Content-Length: {HUGE_BYTES}'
    return Sending(header, b'x' * 4096, size, UNLIMITED)


def silent() -> Sending:
    """Return a connection on which nothing is sent."""
    return Sending('X-Unfinished: yes', b'', 0, 0)


def unfinished_head() -> Sending:
    """Return a head without its end."""
    return Sending('X-Unfinished: yes', b'', 0, UNLIMITED)


def many_fields(header_bytes: int) -> Sending:
    """Return a head with very short fields, and half of a body."""
    field = 'ab:cd\r\n'
    fields = field * (header_bytes // len(field) - 1)
    return Sending(f'{fields}Content-Length: 2', b'x', 1, UNLIMITED)


def long_head(header_bytes: int) -> Sending:
    """Return a head of long fields without its end."""
    field = 'X-Long: '.ljust(1000, 'x')
    fields = '\r\n'.join(itertools.repeat(field, header_bytes // 1000))
    return Sending(fields, b'', 0, UNLIMITED)


def endless_chunk_line(size: int) -> Sending:
    """Return the line of a chunk's length, which does not end."""
    return Sending(CHUNKED, b';x', size, UNLIMITED)


class _Caller:
    """One connection, and what of its request is still to be sent."""

    def __init__(
        self, port: int, number: int, sending: Sending, client: str
    ) -> None:
        self.sending = sending
        self.sock = socket.create_connection(
            (HOST, port), CONNECT_TIMEOUT_S, (client, 0)
        )
        self.sock.setblocking(False)
        lines = (
            f'POST {sending.path} HTTP/1.1',
            f'Host: {API_HOST}',
            f'Request-Id: crowd-{number}',
            f'Credential: {API_KEY}',
            'Deadline-Ms: 30000',
            sending.header,
        )
        end = '\r\n\r\n' if sending.size else '\r\n'
        self.pending = memoryview(('\r\n'.join(lines) + end).encode())
        self.unsent = sending.size
        self.blocks = sending.block * max(
            1, PIECE_BYTES // max(1, len(sending.block))
        )

    def send_some(self) -> bool:
        """Send what the socket takes now; return whether anything moved."""
        budget = self.sending.piece
        moved = False
        while budget > 0 and (self.pending or self.unsent):
            if not self.pending:
                # The blocks repeat without a break, whatever was sent.
                count = min(self.unsent, len(self.blocks))
                self.pending = memoryview(self.blocks)[:count]
                self.unsent -= count
            try:
                sent = self.sock.send(self.pending[:budget])
            except BlockingIOError:
                return moved
            except OSError:
                self.stop()
                return True
            moved = True
            budget -= sent
            self.pending = self.pending[sent:]
        return moved

    def stop(self) -> None:
        """Send nothing more; the connection stays as it is."""
        self.pending = memoryview(b'')
        self.unsent = 0

    @property
    def is_done(self) -> bool:
        """Whether nothing is left to be sent."""
        return not self.pending and not self.unsent


class Crowd:
    """Callers that stay open after they have sent what they have."""

    def __init__(
        self,
        port: int,
        sendings: Sequence[Sending],
        count: int,
        clients: Sequence[str] = (HOST,),
    ) -> None:
        """Connect the callers; those that are refused are left out.

        Args:
          port: port of the router.
          sendings: what the callers send, by turns.
          count: number of callers.
          clients: addresses of the callers, by turns.
        """
        self.callers: list[_Caller] = []
        for number in range(count):
            sending = sendings[number % len(sendings)]
            client = clients[number % len(clients)]
            try:
                self.callers.append(_Caller(port, number, sending, client))
            except OSError:
                continue

    def send(self) -> None:
        """Send until all is sent, or the router takes nothing more."""
        deadline = time.monotonic() + MAX_SENDING_S
        moved_at = time.monotonic()
        with selectors.DefaultSelector() as selector:
            for caller in self.callers:
                selector.register(caller.sock, selectors.EVENT_WRITE, caller)
            while time.monotonic() < min(deadline, moved_at + QUIET_S):
                if self._send_ready(selector):
                    moved_at = time.monotonic()

    def _send_ready(self, selector: selectors.BaseSelector) -> bool:
        """Let the callers send that can; return whether anything moved."""
        moved = False
        for key, _events in selector.select(0.1):
            caller = key.data
            moved = caller.send_some() or moved
            if caller.is_done:
                selector.unregister(caller.sock)
        return moved

    def close(self) -> None:
        """Close all connections."""
        for caller in self.callers:
            caller.sock.close()
