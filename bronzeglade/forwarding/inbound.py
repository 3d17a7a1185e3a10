"""Reads requests from a caller's connection within size and time limits."""

import dataclasses
import datetime as dt
from collections.abc import Callable
from typing import Any

import h11
from eventlet.semaphore import Semaphore
from result import Err, Ok, Result

from bronzeglade.clock import Clock
from bronzeglade.decisions.memory_account import (
    NO_ROOM,
    Holding,
    MemoryAccount,
)
from bronzeglade.forwarding import resources, tcp
from bronzeglade.forwarding.message import RequestHead
from bronzeglade.forwarding.route import Limits
from bronzeglade.outcome import Refusal, RunState
from bronzeglade.time_slice import TimeSlice

# Limits that apply until a configuration is active.
DEFAULT_LIMITS = Limits(
    header_bytes=16384,
    body_bytes=4 * 1024 * 1024,
    header_timeout=dt.timedelta(seconds=3),
    idle_timeout=dt.timedelta(seconds=15),
)
# Maximum time to receive a request body.
BODY_TIMEOUT = dt.timedelta(seconds=10)
# Added to the idle timeout, so that a request sent just before the timeout does
# not arrive at a connection that is being closed.
IDLE_GRACE = dt.timedelta(milliseconds=500)
# How long a new connection may wait for its first request during shutdown.
FIRST_REQUEST_TIMEOUT = dt.timedelta(seconds=1)
# Bytes that are received at a time: of a head or a small body, of a body that
# is counted, and while a request is being answered.
READ_BYTES = resources.CALLER_READ_BYTES
BODY_READ_BYTES = 2 * READ_BYTES
EARLY_READ_BYTES = 4096
# Connections whose chunks or long blocks are parsed in one turn of the loop.
# The others wait, so that a crowd does not delay what is cheap to parse.
PARSE_SLOTS = 4
SHORT_BLOCK_BYTES = 4096
# Memory of a header field beyond its bytes; short fields take many times
# their own size.
FIELD_OBJECT_BYTES = 320
# How often an idle connection checks whether the process is shutting down.
STOP_CHECK_INTERVAL = dt.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete request.

    `received_at` is the monotonic time at which its head had arrived.
    """

    head: RequestHead
    body: bytes
    received_at: dt.timedelta


# Ok: the next request, or None if the connection ended without one.
# Err: the refusal of an unreadable request, or None if no response can be sent.
ReadOutcome = Result[IncomingRequest | None, Refusal | None]


class RequestReader:
    """Reads the requests on one connection, one at a time."""

    def __init__(
        self,
        sock: Any,
        clock: Clock,
        limits: Callable[[], Limits | None],
        is_stopping: Callable[[], bool],
        memory: MemoryAccount,
        client: str = '',
        parse_slots: Semaphore | None = None,
    ) -> None:
        """Create a reader for an accepted socket.

        Args:
          sock: the socket.
          clock: source of monotonic time.
          limits: returns the limits of the active configuration, or None.
          is_stopping: returns whether idle connections should be closed.
          memory: account of the bodies of all connections.
          client: address of the caller.
          parse_slots: shared by all readers of a listener.
        """
        self.sock = sock
        self.clock = clock
        self.active_limits = limits
        self.is_stopping = is_stopping
        self.early_data = b''  # received while a request was being answered
        self.opened_at = clock.monotonic()
        self.has_read_request = False
        self.time_slice = TimeSlice()
        self.memory = memory
        self.client = client
        self.parse_slots = parse_slots or new_parse_slots()
        self.has_parse_slot = False
        self.is_chunked = False
        # Those of the request that is being received.
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.holding: Holding | None = None
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits().header_bytes
        )

    def read(self) -> ReadOutcome:
        """Read the next request.

        Raises:
          OSError: The connection failed.
        """
        try:
            return self._read()
        finally:
            self.is_chunked = False
            self._free_parse_slot()

    def _read(self) -> ReadOutcome:
        outcome = self._read_head()
        if isinstance(outcome, Err):
            return outcome
        if self.head is None:
            return Ok(None)
        received_at = self.clock.monotonic()
        self.has_read_request = True
        refusal = check_head(self.head, self._limits())
        if refusal is not None:
            return Err(refusal)
        if self.parser.they_are_waiting_for_100_continue:
            self._send_continue()
        self.holding = self.memory.open(self.client, self._give_way)
        if not self.memory.grow(self.holding, _head_bytes(self.head)):
            return Err(NO_ROOM)
        body = self._read_body(self.holding)
        if isinstance(body, Err):
            return body
        return Ok(
            IncomingRequest(self._take_head(), body.ok_value, received_at)
        )

    def receive_early_data(self) -> bool:
        """Buffer bytes that arrive while a request is being answered.

        Returns:
          False if the caller has closed the connection.
        """
        try:
            received: bytes = self.sock.fd.recv(EARLY_READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.early_data += received
        return bool(received)

    def release(self) -> None:
        """Release the memory of a request that has been answered."""
        if self.holding is not None:
            self.memory.close(self.holding)
            self.holding = None

    def discard(self) -> None:
        """Free what was received of a request that is refused."""
        self._clear()
        self.release()

    def next_cycle(self) -> bool:
        """Reset the parser; return whether another request may follow."""
        states = {self.parser.our_state, self.parser.their_state}
        if states != {h11.DONE}:
            return False
        self.parser.start_next_cycle()
        return True

    def _limits(self) -> Limits:
        return self.active_limits() or DEFAULT_LIMITS

    def _read_head(self) -> Result[None, Refusal | None]:
        """Read a head into `head`, which is None if the input has ended."""
        limits = self._limits()
        idle_until = self.clock.monotonic() + limits.idle_timeout + IDLE_GRACE
        deadline: dt.timedelta | None = None
        if self.early_data or self.parser.trailing_data[0]:
            deadline = self.clock.monotonic() + limits.header_timeout
        while True:
            event = self._next_event()
            if isinstance(event, Err):
                return event
            if isinstance(event.ok_value, h11.Request):
                self.head = event.ok_value
                self.is_chunked = _is_chunked(self.head)
                return Ok(None)
            if event.ok_value is not h11.NEED_DATA:
                return Ok(None)
            now = self.clock.monotonic()
            if deadline is None:
                if now >= idle_until or self._should_close_idle():
                    return Ok(None)
            elif now >= deadline:
                return Err(_receive_timeout('head'))
            next_check = min(idle_until, now + STOP_CHECK_INTERVAL)
            received = self._receive(deadline or next_check)
            if received and deadline is None:
                deadline = self.clock.monotonic() + limits.header_timeout

    def _should_close_idle(self) -> bool:
        # On shutdown, idle connections are closed. A new connection is kept
        # for a moment, because its first request is probably in transit.
        age = self.clock.monotonic() - self.opened_at
        is_new = not self.has_read_request and age < FIRST_REQUEST_TIMEOUT
        return self.is_stopping() and not is_new and tcp.is_quiet(self.sock)

    def _read_body(self, holding: Holding) -> Result[bytes, Refusal | None]:
        limit = self._limits().body_bytes
        deadline = self.clock.monotonic() + BODY_TIMEOUT
        if self.is_chunked:
            self._take_parse_slot()
        while len(self.body) <= limit:
            event = self._next_event()
            if holding.ended:
                return Err(None)
            if isinstance(event, Err):
                return event
            if isinstance(event.ok_value, h11.EndOfMessage):
                return self._take_body(holding)
            if isinstance(event.ok_value, h11.Data):
                if not self.memory.grow(holding, len(event.ok_value.data)):
                    return Err(NO_ROOM)
                self.body += event.ok_value.data
            elif event.ok_value is h11.NEED_DATA:
                if self.clock.monotonic() >= deadline:
                    return Err(_receive_timeout('body'))
                self._receive(deadline)
            else:
                return Err(None)
        return Err(_body_too_large(limit))

    def _take_head(self) -> RequestHead:
        """Return the head of a complete request."""
        head = self.head
        assert head is not None
        self.head = None
        return RequestHead(
            bytes(head.method), bytes(head.target), head.headers.raw_items()
        )

    def _take_body(self, holding: Holding) -> Result[bytes, Refusal | None]:
        """Return a complete body, which is kept until it is released."""
        # What follows the request stays in the parser until it is answered.
        following, _closed = self.parser.trailing_data
        if following and not self.memory.grow(holding, len(following)):
            return Err(NO_ROOM)
        self.memory.keep(holding)
        body = bytes(self.body)
        self.body = bytearray()
        return Ok(body)

    def _give_way(self) -> None:
        """Free an incomplete request, and end its connection."""
        self._clear()
        tcp.abort(self.sock)

    def _clear(self) -> None:
        # Not left to the thread of the connection, which runs only after those
        # whose requests need the memory.
        self.head = None
        self.body = bytearray()

    def _next_event(self) -> Result[Any, Refusal | None]:
        if self.early_data:
            early_data = self.early_data
            self.early_data = b''
            self.parser.receive_data(early_data)
        self.time_slice.spend()
        try:
            return Ok(self.parser.next_event())
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            return Err(Refusal(status, 'malformed_request', str(error)))

    def _receive(self, deadline: dt.timedelta) -> bool:
        """Read bytes or the end of input; return False on a timeout."""
        is_counted = self.holding is not None and self.memory.counts(
            self.holding
        )
        limit = BODY_READ_BYTES if is_counted else READ_BYTES
        self._free_parse_slot()
        try:
            received = tcp.receive(self.sock, self.clock, deadline, limit)
        except TimeoutError:
            return False
        if self.is_chunked or len(received) > SHORT_BLOCK_BYTES:
            self._take_parse_slot()
        self.parser.receive_data(received)
        self.time_slice.spend_bytes(len(received))
        return True

    def _take_parse_slot(self) -> None:
        if not self.has_parse_slot:
            self.parse_slots.acquire()
            self.has_parse_slot = True

    def _free_parse_slot(self) -> None:
        if self.has_parse_slot:
            self.has_parse_slot = False
            self.parse_slots.release()

    def _send_continue(self) -> None:
        # Sending may wait for the caller to read.
        self._free_parse_slot()
        interim = h11.InformationalResponse(status_code=100, headers=[])
        self.sock.sendall(self.parser.send(interim))


def new_parse_slots() -> Semaphore:
    """Return the slots for the readers of one listener."""
    return Semaphore(PARSE_SLOTS)


def check_head(head: h11.Request, limits: Limits) -> Refusal | None:
    """Return a refusal if a request is too large, or its head ambiguous.

    If the body length is ambiguous, this node and the endpoint may disagree on
    where the body ends, which allows request smuggling.

    Args:
      head: the parsed head.
      limits: bounds of the head, as the total size of header names and values,
        and of the length that it announces.
    """
    size = sum(len(name) + len(content) for name, content in head.headers)
    if size > limits.header_bytes:
        message = f'request headers exceed {limits.header_bytes} bytes'
        return Refusal(431, 'headers_too_large', message)
    names = [name for name, _content in head.headers]
    has_both = b'content-length' in names and b'transfer-encoding' in names
    if has_both or names.count(b'content-length') > 1:
        message = 'the length of the request body is ambiguous'
        return Refusal(400, 'ambiguous_length', message)
    for name, content in head.headers:
        # The parser has checked that it is a number.
        if name == b'content-length' and int(content) > limits.body_bytes:
            return _body_too_large(limits.body_bytes)
    return None


def _is_chunked(head: h11.Request) -> bool:
    return any(name == b'transfer-encoding' for name, _coding in head.headers)


def _head_bytes(head: h11.Request) -> int:
    """Return the memory of a head that is counted, in bytes."""
    size = sum(
        len(name) + len(content) + FIELD_OBJECT_BYTES
        for name, content in head.headers
    )
    return max(0, size - resources.SMALL_HEAD_BYTES)


def _body_too_large(limit: int) -> Refusal:
    message = f'request body exceeds {limit} bytes'
    return Refusal(413, 'body_too_large', message)


def _receive_timeout(part: str) -> Refusal:
    message = f'request {part} was not received in time'
    return Refusal(408, 'receive_timeout', message, RunState.NOT_RUN)
