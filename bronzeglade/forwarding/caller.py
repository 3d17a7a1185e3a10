"""Connections of callers: requests in, answers out, one after the other."""

import dataclasses
import datetime as dt
from collections.abc import Callable, Sequence
from typing import Any

import eventlet
import h11
from eliot import write_traceback
from eventlet import hubs
from result import Err, Ok, Result

from bronzeglade.clock import Clock
from bronzeglade.forwarding import wire
from bronzeglade.forwarding.message import Headers, RequestHead
from bronzeglade.forwarding.route import Limits
from bronzeglade.outcome import Refusal, RunState

# Limits until a configuration is known.
FIRST_LIMITS = Limits(
    header_bytes=16384,
    body_bytes=4 * 1024 * 1024,
    header_timeout=dt.timedelta(seconds=3),
    idle_timeout=dt.timedelta(seconds=15),
)
# Longest time to receive a body and to write one block of an answer.
BODY_TIMEOUT = dt.timedelta(seconds=10)
WRITE_TIMEOUT = dt.timedelta(seconds=10)
# Idle connections are closed this long after the stated limit, so that a
# caller that uses the limit to the full does not meet the close.
IDLE_GRACE = dt.timedelta(milliseconds=500)
# How often an idle connection looks whether the process is stopping.
IDLE_TURN = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A whole request of a caller; `received` is a monotonic time."""

    head: RequestHead
    body: bytes
    received: dt.timedelta


class Caller:
    """The caller of one request: takes the answer, tells when it leaves."""

    def __init__(self, connection: 'CallerConnection') -> None:
        """Wait for an answer on a connection."""
        self.connection = connection
        self.left = False
        self.answered = False
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
        self.answered = True
        closing = self.connection.is_stopping()
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
        sock = self.connection.sock
        try:
            hubs.trampoline(sock.fd, read=True)
        except OSError:
            self.leave()
            return
        if not self.connection.receive_early():
            self.leave()


Handler = Callable[[IncomingRequest, Caller], None]


class CallerConnection:
    """One connection of a caller."""

    def __init__(
        self,
        sock: Any,
        clock: Clock,
        handler: Handler,
        limits: Callable[[], Limits | None],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Take over an accepted socket.

        Args:
          sock: the socket.
          clock: monotonic time.
          handler: answers one request.
          limits: returns those of the active configuration, or None.
          is_stopping: returns whether answers should end the connection.
        """
        self.sock = sock
        self.clock = clock
        self.handler = handler
        self.limits = limits
        self.is_stopping = is_stopping
        self.early = b''
        self.broken = False
        self.idle = True
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits().header_bytes
        )

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
                wire.abort(self.sock)
            wire.close(self.sock)

    def send(self, event: h11.Event) -> bool:
        """Write a part of an answer; return whether it was written."""
        if self.broken:
            return False
        packed = self.parser.send(event)
        if not packed:
            return True
        self.sock.settimeout(WRITE_TIMEOUT.total_seconds())
        try:
            self.sock.sendall(packed)
        except OSError:
            self.broken = True
            return False
        return True

    def receive_early(self) -> bool:
        """Take bytes that arrive while a request is being answered.

        Returns:
          False when the caller has closed the connection.
        """
        try:
            received: bytes = self.sock.fd.recv(wire.READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.early += received
        return bool(received)

    def _limits(self) -> Limits:
        return self.limits() or FIRST_LIMITS

    def _serve_next(self) -> bool:
        outcome = self._read_request()
        if isinstance(outcome, Err):
            self._refuse(outcome.err_value)
            return False
        request = outcome.ok_value
        if request is None:
            return False
        self._answer(request)
        if self.broken:
            return False
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True

    def _answer(self, request: IncomingRequest) -> None:
        caller = Caller(self)
        self.idle = False
        try:
            self.handler(request, caller)
        except Exception:
            write_traceback()
            self.broken = True
        finally:
            caller.stop_watching()
            self.idle = True

    def _read_request(
        self,
    ) -> Result[IncomingRequest | None, Refusal | None]:
        head = self._read_head()
        if isinstance(head, Err) or head.ok_value is None:
            return head
        received = self.clock.monotonic()
        raw = head.ok_value
        refusal = head_refusal(raw)
        if refusal is not None:
            return Err(refusal)
        if self.parser.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._read_body()
        if isinstance(body, Err):
            return body
        request = RequestHead(
            bytes(raw.method), bytes(raw.target), raw.headers.raw_items()
        )
        return Ok(IncomingRequest(request, body.ok_value, received))

    def _read_head(self) -> Result[h11.Request | None, Refusal | None]:
        limits = self._limits()
        idle_until = self.clock.monotonic() + limits.idle_timeout + IDLE_GRACE
        deadline: dt.timedelta | None = None
        if self.early or self.parser.trailing_data[0]:
            deadline = self.clock.monotonic() + limits.header_timeout
        while True:
            event = self._next_event()
            if isinstance(event, Err):
                return event
            if isinstance(event.ok_value, h11.Request):
                return Ok(event.ok_value)
            if event.ok_value is not h11.NEED_DATA:
                return Ok(None)
            now = self.clock.monotonic()
            if deadline is not None and now >= deadline:
                return Err(_slow('head'))
            if deadline is None and (now >= idle_until or self._may_leave()):
                return Ok(None)
            received = self._receive(deadline or min(idle_until, now + IDLE_TURN))
            if received is not None:
                if not received:
                    return Ok(None)
                if deadline is None:
                    deadline = self.clock.monotonic() + limits.header_timeout

    def _may_leave(self) -> bool:
        # An idle connection of a stopping process ends without a request.
        return self.is_stopping() and wire.is_quiet(self.sock)

    def _read_body(self) -> Result[bytes, Refusal | None]:
        limit = self._limits().body_bytes
        deadline = self.clock.monotonic() + BODY_TIMEOUT
        blocks: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if isinstance(event, Err):
                return event
            if isinstance(event.ok_value, h11.EndOfMessage):
                return Ok(b''.join(blocks))
            if isinstance(event.ok_value, h11.Data):
                blocks.append(bytes(event.ok_value.data))
                size += len(blocks[-1])
                if size > limit:
                    message = f'the body has more than {limit} bytes'
                    return Err(Refusal(413, 'body_too_large', message))
                continue
            if event.ok_value is not h11.NEED_DATA:
                return Err(None)
            if self.clock.monotonic() >= deadline:
                return Err(_slow('body'))
            if self._receive(deadline) == b'':
                return Err(None)

    def _next_event(self) -> Result[Any, Refusal | None]:
        if self.early:
            early, self.early = self.early, b''
            self.parser.receive_data(early)
        try:
            return Ok(self.parser.next_event())
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            return Err(Refusal(status, 'malformed_request', str(error)))

    def _receive(self, deadline: dt.timedelta) -> bytes | None:
        """Read bytes; None when none came in time."""
        wire.limit_until(self.sock, self.clock, deadline)
        try:
            received: bytes = self.sock.recv(wire.READ_BYTES)
        except TimeoutError:
            return None
        self.parser.receive_data(received)
        return received

    def _refuse(self, refusal: Refusal | None) -> None:
        if refusal is None or self.parser.our_state is not h11.SEND_RESPONSE:
            if self.parser.our_state is not h11.IDLE or refusal is None:
                self.broken = True
                return
        body = refusal.message.encode()
        headers: Sequence[tuple[bytes, bytes]] = (
            (b'Content-Type', b'text/plain'),
            (b'Content-Length', str(len(body)).encode()),
            (b'Connection', b'close'),
        )
        self.send(h11.Response(status_code=refusal.status, headers=headers))
        self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())


def head_refusal(head: h11.Request) -> Refusal | None:
    """Return the refusal of a head that two parsers may read differently.

    Args:
      head: as the parser took it.
    """
    names = [name for name, _content in head.headers]
    both = b'content-length' in names and b'transfer-encoding' in names
    if both or names.count(b'content-length') > 1:
        message = 'the length of the body is ambiguous'
        return Refusal(400, 'ambiguous_length', message)
    return None


def _slow(part: str) -> Refusal:
    message = f'the {part} of the request did not arrive in time'
    return Refusal(408, 'receive_timeout', message, RunState.NOT_RUN)
