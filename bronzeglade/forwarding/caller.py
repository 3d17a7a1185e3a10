"""Connections of callers: requests in, answers out, one after the other."""

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

# Longest time to write one block of an answer.
WRITE_TIMEOUT = dt.timedelta(seconds=10)
# States in which an answer may still be begun.
_UNANSWERED = frozenset((h11.IDLE, h11.SEND_RESPONSE))


class Caller:
    """The caller of one request: takes the answer, tells when it leaves."""

    def __init__(self, connection: 'CallerConnection') -> None:
        """Wait for an answer on a connection."""
        self.connection = connection
        self.left = False
        self.on_leave: Callable[[], None] | None = None
        self.watcher: Any = eventlet.spawn(self._watch)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b'Content-Length', str(len(body)).encode())
        self.begin(status, [*headers, length])
        if body:
            self.write(body)
        self.finish()

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        closing = self.connection.reader.is_stopping()
        extra = [(b'Connection', b'close')] if closing else []
        self.connection.send(
            h11.Response(status_code=status, headers=[*headers, *extra])
        )

    def write(self, block: bytes) -> None:
        """Send a block of the body."""
        if not self.connection.send(h11.Data(data=block)):
            self.leave()

    def finish(self) -> None:
        """Send the end of the answer."""
        self.connection.send(h11.EndOfMessage())

    def break_off(self) -> None:
        """Close the connection, so that the answer does not look whole."""
        self.connection.broken = True

    def leave(self) -> None:
        """Note that the caller has gone, and stop the work for it."""
        if self.left:
            return
        self.left = True
        if self.on_leave is not None:
            self.on_leave()

    def stop_watching(self) -> None:
        """End the watch over the connection."""
        self.watcher.kill()

    def _watch(self) -> None:
        try:
            hubs.trampoline(self.connection.sock.fd, read=True)
        except OSError:
            self.leave()
            return
        if not self.connection.reader.receive_early():
            self.leave()


Handler = Callable[[IncomingRequest, Caller], None]


class CallerConnection:
    """One connection of a caller."""

    def __init__(self, reader: RequestReader, handler: Handler) -> None:
        """Serve the requests of a reader.

        Args:
          reader: of an accepted socket.
          handler: answers one request.
        """
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
            # The caller went away; its request was told by the watcher.
            self.broken = True
        finally:
            if self.broken:
                tcp.abort(self.sock)
            tcp.close(self.sock)

    def send(self, event: h11.Event) -> bool:
        """Write a part of an answer; return whether it was written."""
        if self.broken:
            return False
        packed = self.reader.parser.send(event)
        if not packed:
            return True
        self.sock.settimeout(WRITE_TIMEOUT.total_seconds())
        try:
            self.sock.sendall(packed)
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

    def _refuse(self, refusal: Refusal | None) -> None:
        if refusal is None or self.reader.parser.our_state not in _UNANSWERED:
            self.broken = True
            return
        body = refusal.message.encode()
        headers = [
            (b'Content-Type', b'text/plain'),
            (b'Content-Length', str(len(body)).encode()),
            (b'Connection', b'close'),
        ]
        self.send(h11.Response(status_code=refusal.status, headers=headers))
        self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())
