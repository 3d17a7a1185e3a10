"""Requests of one caller's connection, read within limits."""

import dataclasses
import datetime as dt
from collections.abc import Callable
from typing import Any

import h11
from result import Err, Ok, Result

from bronzeglade.clock import Clock
from bronzeglade.forwarding import tcp
from bronzeglade.forwarding.message import RequestHead
from bronzeglade.forwarding.route import Limits
from bronzeglade.outcome import Refusal, RunState

# Limits until a configuration is known.
FIRST_LIMITS = Limits(
    header_bytes=16384,
    body_bytes=4 * 1024 * 1024,
    header_timeout=dt.timedelta(seconds=3),
    idle_timeout=dt.timedelta(seconds=15),
)
# Longest time to receive a body.
BODY_TIMEOUT = dt.timedelta(seconds=10)
# Idle connections are closed this long after the stated limit, so that a
# caller that uses the limit to the full does not meet the close.
IDLE_GRACE = dt.timedelta(milliseconds=500)
# How long a connection waits for its first request while the process stops.
FIRST_REQUEST = dt.timedelta(seconds=1)
# How often an idle connection looks whether the process is stopping.
IDLE_TURN = dt.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A whole request of a caller; `received` is a monotonic time."""

    head: RequestHead
    body: bytes
    received: dt.timedelta


# A request, None when the connection ends without one; or the refusal of a
# request that cannot be read, None when there is nobody to tell.
ReadOutcome = Result[IncomingRequest | None, Refusal | None]


class RequestReader:
    """Reads the requests of one connection."""

    def __init__(
        self,
        sock: Any,
        clock: Clock,
        limits: Callable[[], Limits | None],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Read from a socket.

        Args:
          sock: the socket.
          clock: monotonic time.
          limits: returns those of the active configuration, or None.
          is_stopping: returns whether an idle connection should end.
        """
        self.sock = sock
        self.clock = clock
        self.active_limits = limits
        self.is_stopping = is_stopping
        self.early = b''
        self.opened = clock.monotonic()
        self.served = False  # whether a request has been read
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits().header_bytes
        )

    def read(self) -> ReadOutcome:
        """Return the next request.

        Raises:
          OSError: the connection failed.
        """
        head = self._read_head()
        if isinstance(head, Err):
            return head
        raw = head.ok_value
        if raw is None:
            return Ok(None)
        received = self.clock.monotonic()
        self.served = True
        refusal = head_refusal(raw, self._limits().header_bytes)
        if refusal is not None:
            return Err(refusal)
        if self.parser.they_are_waiting_for_100_continue:
            self._send_continue()
        body = self._read_body()
        if isinstance(body, Err):
            return body
        request = RequestHead(
            bytes(raw.method), bytes(raw.target), raw.headers.raw_items()
        )
        return Ok(IncomingRequest(request, body.ok_value, received))

    def receive_early(self) -> bool:
        """Take bytes that arrive while a request is being answered.

        Returns:
          False when the caller has closed the connection.
        """
        try:
            received: bytes = self.sock.fd.recv(tcp.READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.early += received
        return bool(received)

    def next_cycle(self) -> bool:
        """Prepare for another request; return whether one may follow."""
        states = {self.parser.our_state, self.parser.their_state}
        if states != {h11.DONE}:
            return False
        self.parser.start_next_cycle()
        return True

    def _limits(self) -> Limits:
        return self.active_limits() or FIRST_LIMITS

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
            if deadline is None:
                if now >= idle_until or self._may_end():
                    return Ok(None)
            elif now >= deadline:
                return Err(_slow('head'))
            turn = min(idle_until, now + IDLE_TURN)
            if self._receive(deadline or turn) and deadline is None:
                deadline = self.clock.monotonic() + limits.header_timeout

    def _may_end(self) -> bool:
        # An idle connection of a stopping process ends without a request; the
        # first request of a new one is on its way.
        age = self.clock.monotonic() - self.opened
        is_new = not self.served and age < FIRST_REQUEST
        return self.is_stopping() and not is_new and tcp.is_quiet(self.sock)

    def _read_body(self) -> Result[bytes, Refusal | None]:
        limit = self._limits().body_bytes
        deadline = self.clock.monotonic() + BODY_TIMEOUT
        blocks: list[bytes] = []
        size = 0
        while size <= limit:
            event = self._next_event()
            if isinstance(event, Err):
                return event
            if isinstance(event.ok_value, h11.EndOfMessage):
                return Ok(b''.join(blocks))
            if isinstance(event.ok_value, h11.Data):
                blocks.append(bytes(event.ok_value.data))
                size += len(blocks[-1])
            elif event.ok_value is h11.NEED_DATA:
                if self.clock.monotonic() >= deadline:
                    return Err(_slow('body'))
                self._receive(deadline)
            else:
                return Err(None)
        message = f'the body has more than {limit} bytes'
        return Err(Refusal(413, 'body_too_large', message))

    def _next_event(self) -> Result[Any, Refusal | None]:
        if self.early:
            early = self.early
            self.early = b''
            self.parser.receive_data(early)
        try:
            return Ok(self.parser.next_event())
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            return Err(Refusal(status, 'malformed_request', str(error)))

    def _receive(self, deadline: dt.timedelta) -> bool:
        """Read bytes or the end; return False when none came in time."""
        try:
            received = tcp.receive(self.sock, self.clock, deadline)
        except TimeoutError:
            return False
        self.parser.receive_data(received)
        return True

    def _send_continue(self) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        self.sock.sendall(self.parser.send(interim))


def head_refusal(head: h11.Request, limit: int) -> Refusal | None:
    """Return the refusal of a head that is too large or ambiguous.

    Two parsers may read a body of ambiguous length differently, so a request
    could hide in it.

    Args:
      head: as the parser took it.
      limit: largest number of bytes of its headers.
    """
    size = sum(len(name) + len(content) for name, content in head.headers)
    if size > limit:
        message = f'the headers have more than {limit} bytes'
        return Refusal(431, 'headers_too_large', message)
    names = [name for name, _content in head.headers]
    both = b'content-length' in names and b'transfer-encoding' in names
    if both or names.count(b'content-length') > 1:
        message = 'the length of the body is ambiguous'
        return Refusal(400, 'ambiguous_length', message)
    return None


def _slow(part: str) -> Refusal:
    message = f'the {part} of the request did not arrive in time'
    return Refusal(408, 'receive_timeout', message, RunState.NOT_RUN)
