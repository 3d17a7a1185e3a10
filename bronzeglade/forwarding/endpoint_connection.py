"""Pooled connections to endpoints, each with one request at a time."""

import dataclasses
import datetime as dt
import math
from collections.abc import Sequence
from typing import Any

import eventlet
import h11
from result import Err, Ok, Result

from bronzeglade.clock import Clock
from bronzeglade.forwarding import tcp
from bronzeglade.forwarding.message import Headers
from bronzeglade.time_slice import TimeSlice

# A longer request is sent in a background thread while the answer is read: an
# endpoint may answer before it has read the whole request.
MAX_BLOCKING_SEND_BYTES = 8192
# Idle connections are closed this long before the endpoint would close them.
IDLE_MARGIN = dt.timedelta(milliseconds=600)
BODILESS_STATUSES = frozenset((204, 304))
FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
# Interim (1xx) answers accepted before the final one; endpoints send at most 1.
MAX_INTERIM_ANSWERS = 4
# Idle limit of a connection whose endpoint states none.
DEFAULT_IDLE_LIMIT = dt.timedelta(seconds=4)
# Chunks of a body that are joined to one block, if they have been received.
MAX_JOINED_CHUNKS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionFailure:
    """Why an operation on a connection failed.

    `sent` is false only when no byte of the request left this process.
    `local` is set when the endpoint is not the cause, `timed_out` when the read
    may be repeated with a later deadline, and `refused` when nothing listens at
    the address.
    """

    sent: bool
    detail: str
    local: bool = False
    timed_out: bool = False
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as sent to an endpoint."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RawHead:
    """The status line and the headers of an answer."""

    status: int
    headers: Headers


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPrefix:
    """The first bytes of a body; `complete` if these are all of it."""

    content: bytes
    complete: bool


class EndpointConnection:
    """A connection to an endpoint; carries at most one request at a time."""

    def __init__(self, sock: Any, pool: 'ConnectionPool') -> None:
        """Take ownership of a connected socket.

        Args:
          sock: the connected socket.
          pool: the pool that counts this connection.
        """
        self.sock = sock
        self.pool = pool
        self.clock = pool.clock
        self.parser = h11.Connection(h11.CLIENT)
        self.request: OutgoingRequest | None = None
        self.sender: Any = None
        self.last_used_at = self.clock.monotonic()
        self.idle_limit = DEFAULT_IDLE_LIMIT
        self.closing = False
        self.aborted = False
        # The failure of the background sender. The system reports a reset to
        # one side only: reading then sees an orderly end.
        self.send_failure: OSError | None = None
        # Whether only the end of the connection marks that of the answer.
        self.ends_by_closing = False
        self.reused = False
        self.time_slice = TimeSlice()
        # What the parser returned after the chunks that were joined.
        self.read_ahead: Result[Any, ConnectionFailure] | None = None

    def send(
        self, request: OutgoingRequest, deadline: dt.timedelta
    ) -> Result[None, ConnectionFailure]:
        """Send a request; a long one is sent in the background.

        Args:
          request: the request to send.
          deadline: monotonic time at which sending times out.
        """
        self.request = request
        parts = self._serialize(request)
        tcp.set_deadline(self.sock, self.clock, deadline)
        if sum(map(len, parts)) > MAX_BLOCKING_SEND_BYTES:
            # Joined parts would be a second copy of the body.
            self.sender = eventlet.spawn(self._send_in_background, parts)
            return Ok(None)
        try:
            self.sock.sendall(b''.join(parts))
        except OSError as error:
            return Err(ConnectionFailure(sent=True, detail=repr(error)))
        return Ok(None)

    def read_head(
        self, deadline: dt.timedelta
    ) -> Result[RawHead, ConnectionFailure]:
        """Read the head of the answer; interim answers are skipped.

        Args:
          deadline: monotonic time at which reading times out.
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            outcome = self._next_event(deadline)
            if isinstance(outcome, Err):
                return outcome
            event = outcome.ok_value
            if isinstance(event, h11.Response):
                self.closing = self.closing or _requests_close(event)
                self.ends_by_closing = self._ends_by_closing(event)
                return Ok(RawHead(event.status_code, event.headers.raw_items()))
            if not isinstance(event, h11.InformationalResponse):
                return Err(
                    ConnectionFailure(
                        sent=True, detail='expected the head of an answer'
                    )
                )
        return Err(
            ConnectionFailure(sent=True, detail='too many interim answers')
        )

    def read_block(
        self, deadline: dt.timedelta
    ) -> Result[bytes | None, ConnectionFailure]:
        """Read the next bytes of the body.

        Args:
          deadline: monotonic time at which reading times out.

        Returns:
          The bytes, or None at the end of a complete body.
        """
        outcome = self._next_event(deadline)
        if isinstance(outcome, Err):
            return outcome
        event = outcome.ok_value
        if isinstance(event, h11.Data):
            return Ok(self._join_received(event.data))
        if not isinstance(event, h11.EndOfMessage):
            return Err(ConnectionFailure(sent=True, detail='answer truncated'))
        if self.ends_by_closing and self.send_failure is not None:
            detail = f'connection failed in sending: {self.send_failure!r}'
            return Err(ConnectionFailure(sent=True, detail=detail))
        return Ok(None)

    def _join_received(self, chunk: bytes) -> bytes:
        """Return a chunk of the body and those that were received with it."""
        block = bytearray(chunk)
        for _ in range(MAX_JOINED_CHUNKS - 1):
            parsed = self._parse()
            if isinstance(parsed, Err) or not isinstance(
                parsed.ok_value, h11.Data
            ):
                self.read_ahead = parsed
                break
            self.time_slice.spend()
            block += parsed.ok_value.data
        return bytes(block)

    def read_prefix(
        self, deadline: dt.timedelta, limit: int
    ) -> Result[BodyPrefix, ConnectionFailure]:
        """Read the whole body, or only its beginning if it is long.

        Args:
          deadline: monotonic time at which reading times out.
          limit: number of bytes after which reading stops.
        """
        # A list of small blocks would take many times the size of its content.
        content = bytearray()
        while len(content) < limit:
            outcome = self.read_block(deadline)
            if isinstance(outcome, Err):
                return outcome
            block = outcome.ok_value
            if block is None:
                return Ok(BodyPrefix(bytes(content), complete=True))
            content += block
            if self.clock.monotonic() >= deadline:
                # Reading itself times out only if there is nothing to read.
                detail = 'the body did not end in time'
                return Err(ConnectionFailure(True, detail, timed_out=True))
        return Ok(BodyPrefix(bytes(content), complete=False))

    def discard_body(
        self, deadline: dt.timedelta, limit: int
    ) -> Result[None, ConnectionFailure]:
        """Read and discard a body, so that the connection can be reused.

        Args:
          deadline: monotonic time at which reading times out.
          limit: number of bytes at which the body counts as too long.
        """
        prefix = self.read_prefix(deadline, limit)
        if isinstance(prefix, Err):
            return prefix
        if not prefix.ok_value.complete:
            return Err(
                ConnectionFailure(sent=True, detail='body too long to discard')
            )
        return Ok(None)

    def skip_answer(self) -> None:
        """Prepare to read another answer after one to another request.

        An endpoint may send a surplus answer; the answer to the current request
        then follows on the same connection.
        """
        trailing_bytes, closed = self.parser.trailing_data
        self.read_ahead = None
        self.reused = True
        self.parser = h11.Connection(h11.CLIENT)
        if self.request is not None:
            self._serialize(self.request)
        if trailing_bytes:
            self.parser.receive_data(trailing_bytes)
        if closed:
            # An empty block marks the end of the input.
            self.parser.receive_data(b'')

    def has_further_input(self) -> bool:
        """Return whether bytes or the end of the input follow an answer."""
        trailing_bytes, _closed = self.parser.trailing_data
        return bool(trailing_bytes) or not tcp.is_quiet(self.sock)

    def input_ended(self) -> bool:
        """Return whether the endpoint has closed the connection.

        At the end of a body, this tells that nothing else marked its end.
        """
        _trailing_bytes, closed = self.parser.trailing_data
        return closed

    def _ends_by_closing(self, head: h11.Response) -> bool:
        names = {name for name, _content in head.headers}
        has_body = head.status_code not in BODILESS_STATUSES and (
            self.request is None or self.request.method != b'HEAD'
        )
        return has_body and not names & FRAMING_HEADERS

    def finish(self) -> bool:
        """End the exchange; return whether the connection can be reused."""
        self.last_used_at = self.clock.monotonic()
        sending = self.sender is not None and not self.sender.dead
        if sending or self.closing or self.parser.trailing_data[0]:
            return False
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        self.read_ahead = None
        self.reused = True
        self.sender = None
        self.request = None
        return True

    def is_usable(self) -> bool:
        """Return whether an idle connection may take a request."""
        idle = self.clock.monotonic() - self.last_used_at
        return idle < self.idle_limit and tcp.is_quiet(self.sock)

    def abort(self) -> None:
        """Abort the exchange, so that the endpoint stops working on it."""
        self.aborted = True
        tcp.abort(self.sock)

    def close(self) -> None:
        """Close the connection."""
        if self.sender is not None and not self.sender.dead:
            self.sender.kill()
        tcp.abort(self.sock)
        tcp.close(self.sock)

    def _serialize(self, request: OutgoingRequest) -> list[bytes]:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=list(request.headers),
        )
        parts = [self.parser.send(head)]
        if request.body:
            parts.append(self.parser.send(h11.Data(data=request.body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        return [part for part in parts if part]

    def _send_in_background(self, parts: Sequence[bytes]) -> None:
        try:
            for part in parts:
                self.sock.sendall(part)
        except OSError as error:
            # Reading the answer reports the failure, or finds it here.
            self.send_failure = error
            self.closing = True

    def _parse(self) -> Result[Any, ConnectionFailure]:
        """Return the next event of the parser, or that it needs more bytes."""
        parsed = self.read_ahead
        self.read_ahead = None
        if parsed is not None:
            return parsed
        try:
            return Ok(self.parser.next_event())
        except h11.RemoteProtocolError as error:
            detail = f'malformed answer: {error}'
            return Err(ConnectionFailure(sent=True, detail=detail))

    def _next_event(
        self, deadline: dt.timedelta
    ) -> Result[Any, ConnectionFailure]:
        while True:
            self.time_slice.spend()
            if self.aborted:
                # The end of input would look like that of an answer without a
                # length.
                return Err(ConnectionFailure(sent=True, detail='aborted'))
            parsed = self._parse()
            if isinstance(parsed, Err) or parsed.ok_value is not h11.NEED_DATA:
                return parsed
            try:
                received = tcp.receive(self.sock, self.clock, deadline)
            except TimeoutError as error:
                # A time-out of TCP itself (ETIMEDOUT) has an error number; only
                # one at the deadline has none.
                deadline_reached = error.errno is None
                return Err(
                    ConnectionFailure(
                        True, 'no answer in time', timed_out=deadline_reached
                    )
                )
            except OSError as error:
                return Err(ConnectionFailure(sent=True, detail=repr(error)))
            self.pool.last_received_at = self.clock.monotonic()
            self.time_slice.spend_bytes(len(received))
            if not self.aborted:
                self.parser.receive_data(received)


def _requests_close(head: h11.Response) -> bool:
    return any(
        name == b'connection' and b'close' in content.lower()
        for name, content in head.headers
    )


class ConnectionPool:
    """Connections of this node to one endpoint.

    `open` counts idle connections and those in use. `last_received_at` is the
    monotonic time of the last bytes received from the endpoint.
    """

    def __init__(
        self, address: tuple[str, int], limit: int, clock: Clock
    ) -> None:
        """Create a pool without connections.

        Args:
          address: host and port of the endpoint.
          limit: maximum number of open connections.
          clock: source of monotonic time.
        """
        self.address = address
        self.limit = limit
        self.clock = clock
        self.idle: list[EndpointConnection] = []
        self.open = 0
        self.draining = False
        self.last_received_at = clock.monotonic()

    def acquire(
        self, connect_timeout: dt.timedelta, max_idle: dt.timedelta | None
    ) -> Result[EndpointConnection, ConnectionFailure]:
        """Return an idle or a new connection.

        Args:
          connect_timeout: time limit for opening a new connection.
          max_idle: skip connections that were idle for this long or longer;
            None applies only the idle limit of each connection.
        """
        while self.idle:
            connection = self.idle.pop()
            idle = self.clock.monotonic() - connection.last_used_at
            if connection.is_usable() and (max_idle is None or idle < max_idle):
                return Ok(connection)
            self._drop(connection)
        if self.open >= self.limit:
            return Err(
                ConnectionFailure(False, 'connection limit reached', local=True)
            )
        self.open += 1
        try:
            sock = tcp.connect(self.address, connect_timeout)
        except OSError as error:
            self.open -= 1
            refused = isinstance(error, ConnectionRefusedError)
            return Err(ConnectionFailure(False, repr(error), refused=refused))
        except BaseException:
            self.open -= 1
            raise
        connection = EndpointConnection(sock, self)
        if not tcp.is_quiet(sock):
            # Bytes that precede the request would be read as its answer.
            self._drop(connection)
            detail = 'the endpoint sent bytes or closed before the request'
            return Err(ConnectionFailure(sent=False, detail=detail))
        return Ok(connection)

    def release(self, connection: EndpointConnection) -> None:
        """Return a connection to the pool; close it unless it is reusable."""
        if connection.finish() and not self.draining:
            self.idle.append(connection)
        else:
            self._drop(connection)

    def discard(self, connection: EndpointConnection) -> None:
        """Close a connection in the middle of its exchange."""
        self._drop(connection)

    def close_idle(self) -> None:
        """Close the idle connections that are no longer usable."""
        usable = [
            connection for connection in self.idle if connection.is_usable()
        ]
        for connection in self.idle:
            if connection not in usable:
                self._drop(connection)
        self.idle = usable

    def drain(self) -> None:
        """Close idle connections now, and those in use once released."""
        self.draining = True
        while self.idle:
            self._drop(self.idle.pop())

    def _drop(self, connection: EndpointConnection) -> None:
        self.open -= 1
        connection.close()


def usable_idle_time(limit: dt.timedelta | None) -> dt.timedelta:
    """Return how long a connection may stay idle before it is closed.

    Args:
      limit: idle limit that the endpoint states, or None.
    """
    if limit is None:
        return DEFAULT_IDLE_LIMIT
    # Endpoints state whole seconds, so the actual limit may be lower.
    seconds = math.floor(limit.total_seconds())
    return max(dt.timedelta(), dt.timedelta(seconds=seconds) - IDLE_MARGIN)
