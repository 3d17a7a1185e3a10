"""Caller connections: reads requests and writes answers, one at a time."""

import datetime as dt
from collections.abc import Callable
from typing import Any

import eventlet
import h11
from eliot import write_traceback
from eventlet import hubs
from result import Err

from bronzeglade.forwarding import tcp
from bronzeglade.forwarding.inbound import IncomingRequest, RequestReader
from bronzeglade.forwarding.message import Headers
from bronzeglade.outcome import Refusal

# Maximum time to write one block of an answer.
WRITE_TIMEOUT = dt.timedelta(seconds=10)
# How long, and for how many bytes, the rest of a refused request is discarded,
# so that the caller gets the refusal.
DISCARD_TIME = dt.timedelta(seconds=1)
MAX_DISCARD_BYTES = 256 * 1024
# Parser states in which no answer has been started.
_UNANSWERED = frozenset((h11.IDLE, h11.SEND_RESPONSE))


class Caller:
    """The caller of one request: writes its answer, detects a disconnect."""

    def __init__(self, connection: 'CallerConnection') -> None:
        """Start watching a connection for a disconnect."""
        self.connection = connection
        self.disconnected = False
        self.on_disconnect: Callable[[], None] | None = None
        self.watcher: Any = eventlet.spawn(self._watch)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        length = (b'Content-Length', str(len(body)).encode())
        self.begin(status, [*headers, length])
        if body:
            self.write(body)
        self.finish()

    def begin(self, status: int, headers: Headers) -> None:
        """Send the status line and the headers of an answer."""
        closing = self.connection.reader.is_stopping()
        extra = [(b'Connection', b'close')] if closing else []
        self.connection.send(
            h11.Response(status_code=status, headers=[*headers, *extra])
        )

    def write(self, block: bytes) -> None:
        """Send a block of the body; a failure counts as a disconnect."""
        if not self.connection.send(h11.Data(data=block)):
            self.mark_disconnected()

    def finish(self) -> None:
        """Send the end of the answer."""
        self.connection.send(h11.EndOfMessage())

    def abort_answer(self) -> None:
        """Abort the connection, so that the caller sees a truncated answer."""
        self.connection.broken = True

    def mark_disconnected(self) -> None:
        """Record that the caller has disconnected, and cancel its request."""
        if self.disconnected:
            return
        self.disconnected = True
        if self.on_disconnect is not None:
            self.on_disconnect()

    def stop_watching(self) -> None:
        """Stop watching the connection for a disconnect."""
        self.watcher.kill()

    def _watch(self) -> None:
        try:
            hubs.trampoline(self.connection.sock.fd, read=True)
        except OSError:
            self.mark_disconnected()
            return
        if not self.connection.reader.receive_early_data():
            self.mark_disconnected()


Handler = Callable[[IncomingRequest, Caller], None]


def _ignore(_cause: str) -> None:
    """Do nothing about a refusal."""


class CallerConnection:
    """One connection from a caller."""

    def __init__(
        self,
        reader: RequestReader,
        handler: Handler,
        on_refusal: Callable[[str], None] = _ignore,
    ) -> None:
        """Create a connection around a request reader.

        Args:
          reader: reads requests from the accepted socket.
          handler: answers one request.
          on_refusal: called with the cause when a request is not read.
        """
        self.on_refusal = on_refusal
        self.reader = reader
        self.sock = reader.sock
        self.handler = handler
        self.broken = False

    def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while self._serve_next():
                continue
        except OSError:
            # The caller disconnected; the watcher cancels a running request.
            self.broken = True
        finally:
            self.reader.release()
            if self.broken:
                tcp.abort(self.sock)
            tcp.close(self.sock)

    def send(self, event: h11.Event) -> bool:
        """Write an event of an answer; return whether it was written."""
        if self.broken:
            return False
        encoded = self.reader.parser.send(event)
        if not encoded:
            return True
        self.sock.settimeout(WRITE_TIMEOUT.total_seconds())
        try:
            self.sock.sendall(encoded)
        except OSError:
            self.broken = True
            return False
        return True

    def _serve_next(self) -> bool:
        outcome = self.reader.read()
        if isinstance(outcome, Err):
            self._refuse(outcome.err_value)
            return False
        request = outcome.ok_value
        if request is None:
            return False
        self._answer(request)
        return not self.broken and self.reader.next_cycle()

    def _answer(self, request: IncomingRequest) -> None:
        caller = Caller(self)
        try:
            self.handler(request, caller)
        except Exception:
            write_traceback()
            self.broken = True
        finally:
            caller.stop_watching()
            self.reader.release()

    def _refuse(self, refusal: Refusal | None) -> None:
        if refusal is None or self.reader.parser.our_state not in _UNANSWERED:
            self.broken = True
            return
        self.on_refusal(refusal.code)
        # What was received of the request is needed no more.
        self.reader.discard()
        body = refusal.message.encode()
        headers = [
            (b'Content-Type', b'text/plain'),
            (b'Content-Length', str(len(body)).encode()),
            (b'Connection', b'close'),
        ]
        if refusal.retry_after is not None:
            seconds = refusal.retry_after.total_seconds()
            headers.append((b'Retry-After', f'{seconds:.3f}'.encode()))
        self.send(h11.Response(status_code=refusal.status, headers=headers))
        self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())
        clock = self.reader.clock
        deadline = clock.monotonic() + DISCARD_TIME
        tcp.discard_input(self.sock, clock, deadline, MAX_DISCARD_BYTES)
