"""Connections to endpoints: one request at a time, kept for reuse."""

import dataclasses
import datetime as dt
import math
from typing import Any

import eventlet
import h11
from result import Err, Ok, Result

from bronzeglade.clock import Clock
from bronzeglade.forwarding import tcp
from bronzeglade.forwarding.message import Headers

# A body above this size is sent beside the reading of the answer: an endpoint
# may answer before it has read everything.
BODY_AT_ONCE = 8192  # bytes
# Kept connections are given up this long before the endpoint closes them.
IDLE_MARGIN = dt.timedelta(milliseconds=600)
# Interim answers before the answer proper; endpoints send one at most.
MOST_INTERIM = 4
# Parts of answers that are read before other green threads get their turn: an
# endpoint that sends without a pause would hold the loop.
TURN_EVENTS = 32
# Idle time of a connection whose endpoint names no limit.
DEFAULT_IDLE = dt.timedelta(seconds=4)


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """A connection that failed.

    `sent` is false only when no byte of the request left this process.
    `local` tells that the endpoint has no part in it, `timed_out` that the
    read may be repeated with a later deadline.
    """

    sent: bool
    detail: str
    local: bool = False
    timed_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it is written to an endpoint."""

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
class BodyPart:
    """The first bytes of a body; `whole` when there are no others."""

    content: bytes
    whole: bool


class EndpointConnection:
    """One connection; at most one request is on it."""

    def __init__(self, sock: Any, pool: 'ConnectionPool') -> None:
        """Take over a connected socket.

        Args:
          sock: the socket.
          pool: that it belongs to.
        """
        self.sock = sock
        self.pool = pool
        self.clock = pool.clock
        self.parser = h11.Connection(h11.CLIENT)
        self.request: OutgoingRequest | None = None
        self.sender: Any = None
        self.used = self.clock.monotonic()
        self.idle_limit = DEFAULT_IDLE
        self.closing = False
        self.reused = False
        self.turn = 0  # parts read since other green threads had their turn

    def send(
        self, request: OutgoingRequest, deadline: dt.timedelta
    ) -> Result[None, Broken]:
        """Write a request; a long body is written in the background.

        Args:
          request: what is written.
          deadline: monotonic time at which writing ends.
        """
        self.request = request
        packed = self._pack(request)
        tcp.set_deadline(self.sock, self.clock, deadline)
        if len(packed) > BODY_AT_ONCE:
            self.sender = eventlet.spawn(self._send_quietly, packed)
            return Ok(None)
        try:
            self.sock.sendall(packed)
        except OSError as error:
            return Err(Broken(sent=True, detail=repr(error)))
        return Ok(None)

    def read_head(self, deadline: dt.timedelta) -> Result[RawHead, Broken]:
        """Read the head of the answer; interim answers are skipped.

        Args:
          deadline: monotonic time at which reading ends.
        """
        for _ in range(MOST_INTERIM + 1):
            outcome = self._next_event(deadline)
            if isinstance(outcome, Err):
                return outcome
            event = outcome.ok_value
            if isinstance(event, h11.Response):
                self.closing = self.closing or _says_close(event)
                return Ok(RawHead(event.status_code, event.headers.raw_items()))
            if not isinstance(event, h11.InformationalResponse):
                return Err(Broken(sent=True, detail='no answer'))
        return Err(Broken(sent=True, detail='interim answers without end'))

    def read_block(
        self, deadline: dt.timedelta
    ) -> Result[bytes | None, Broken]:
        """Read bytes of the body.

        Args:
          deadline: monotonic time at which reading ends.

        Returns:
          Bytes, or None at the end of a body that is complete.
        """
        outcome = self._next_event(deadline)
        if isinstance(outcome, Err):
            return outcome
        event = outcome.ok_value
        if isinstance(event, h11.Data):
            return Ok(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            return Ok(None)
        return Err(Broken(sent=True, detail='the answer is cut'))

    def read_part(
        self, deadline: dt.timedelta, limit: int
    ) -> Result[BodyPart, Broken]:
        """Read the whole body, or its beginning when it is long.

        Args:
          deadline: monotonic time at which reading ends.
          limit: number of bytes from which on no more are read.
        """
        blocks: list[bytes] = []
        size = 0
        while size < limit:
            outcome = self.read_block(deadline)
            if isinstance(outcome, Err):
                return outcome
            block = outcome.ok_value
            if block is None:
                return Ok(BodyPart(b''.join(blocks), whole=True))
            blocks.append(block)
            size += len(block)
        return Ok(BodyPart(b''.join(blocks), whole=False))

    def discard_body(
        self, deadline: dt.timedelta, limit: int
    ) -> Result[None, Broken]:
        """Read a body that nobody wants, so that the connection is clean.

        Args:
          deadline: monotonic time at which reading ends.
          limit: number of bytes from which on it does not pay.
        """
        part = self.read_part(deadline, limit)
        if isinstance(part, Err):
            return part
        if not part.ok_value.whole:
            return Err(Broken(sent=True, detail='the rest is too long'))
        return Ok(None)

    def skip_answer(self) -> None:
        """Expect another answer after one that belongs to another request.

        An endpoint may send a surplus answer; the answer to the present
        request follows it on the same connection.
        """
        rest, _closed = self.parser.trailing_data
        self.reused = True
        self.parser = h11.Connection(h11.CLIENT)
        if self.request is not None:
            self._pack(self.request)
        self.parser.receive_data(rest)

    def finish(self) -> bool:
        """End an exchange; return whether the connection can be reused."""
        self.used = self.clock.monotonic()
        sending = self.sender is not None and not self.sender.dead
        if sending or self.closing or self.parser.trailing_data[0]:
            return False
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        self.reused = True
        self.sender = None
        self.request = None
        return True

    def is_usable(self) -> bool:
        """Return whether an idle connection may take a request."""
        idle = self.clock.monotonic() - self.used
        return idle < self.idle_limit and tcp.is_quiet(self.sock)

    def abort(self) -> None:
        """End the exchange at once; the endpoint stops its work."""
        tcp.abort(self.sock)

    def close(self) -> None:
        """Close the connection."""
        if self.sender is not None and not self.sender.dead:
            self.sender.kill()
        tcp.abort(self.sock)
        tcp.close(self.sock)

    def _pack(self, request: OutgoingRequest) -> bytes:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=list(request.headers),
        )
        parts = [self.parser.send(head)]
        if request.body:
            parts.append(self.parser.send(h11.Data(data=request.body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    def _send_quietly(self, packed: bytes) -> None:
        try:
            self.sock.sendall(packed)
        except OSError:
            # The reader of the answer meets the same failure.
            self.closing = True

    def _next_event(self, deadline: dt.timedelta) -> Result[Any, Broken]:
        while True:
            self._yield_turn()
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                return Err(Broken(sent=True, detail=f'malformed: {error}'))
            if event is not h11.NEED_DATA:
                return Ok(event)
            try:
                received = tcp.receive(self.sock, self.clock, deadline)
            except TimeoutError as error:
                # The kernel's own time-out carries an error number.
                early = error.errno is None
                return Err(Broken(True, 'no answer in time', timed_out=early))
            except OSError as error:
                return Err(Broken(sent=True, detail=repr(error)))
            self.pool.heard_at = self.clock.monotonic()
            self.parser.receive_data(received)

    def _yield_turn(self) -> None:
        self.turn += 1
        if self.turn >= TURN_EVENTS:
            self.turn = 0
            eventlet.sleep(0)


def _says_close(head: h11.Response) -> bool:
    return any(
        name == b'connection' and b'close' in content.lower()
        for name, content in head.headers
    )


class ConnectionPool:
    """Connections of this node to one endpoint.

    `heard_at` is the monotonic time of the last bytes from the endpoint.
    """

    def __init__(
        self, address: tuple[str, int], limit: int, clock: Clock
    ) -> None:
        """Hold no connection.

        Args:
          address: of the endpoint.
          limit: largest number of open connections.
          clock: monotonic time.
        """
        self.address = address
        self.limit = limit
        self.clock = clock
        self.idle: list[EndpointConnection] = []
        self.open = 0
        self.retired = False
        self.heard_at = clock.monotonic()

    def take(
        self, connect_limit: dt.timedelta, longest_idle: dt.timedelta | None
    ) -> Result[EndpointConnection, Broken]:
        """Return a kept or a new connection.

        Args:
          connect_limit: longest time to connect.
          longest_idle: longest idle time of a kept connection, or None.
        """
        while self.idle:
            kept = self.idle.pop()
            idle = self.clock.monotonic() - kept.used
            if kept.is_usable() and (
                longest_idle is None or idle < longest_idle
            ):
                return Ok(kept)
            self._drop(kept)
        if self.open >= self.limit:
            return Err(Broken(False, 'no connection is free', local=True))
        self.open += 1
        try:
            sock = tcp.connect(self.address, connect_limit)
        except OSError as error:
            self.open -= 1
            return Err(Broken(sent=False, detail=repr(error)))
        except BaseException:
            self.open -= 1
            raise
        return Ok(EndpointConnection(sock, self))

    def give_back(self, connection: EndpointConnection) -> None:
        """Keep a connection whose exchange is complete, or close it."""
        if connection.finish() and not self.retired:
            self.idle.append(connection)
        else:
            self._drop(connection)

    def discard(self, connection: EndpointConnection) -> None:
        """Close a connection in the middle of its exchange."""
        self._drop(connection)

    def close_idle(self) -> None:
        """Close the kept connections that are past their time."""
        kept = [one for one in self.idle if one.is_usable()]
        for connection in self.idle:
            if connection not in kept:
                self._drop(connection)
        self.idle = kept

    def retire(self) -> None:
        """Keep no connection any more; those in use are closed later."""
        self.retired = True
        while self.idle:
            self._drop(self.idle.pop())

    def _drop(self, connection: EndpointConnection) -> None:
        self.open -= 1
        connection.close()


def idle_time(limit: dt.timedelta | None) -> dt.timedelta:
    """Return how long a connection may stay idle.

    Args:
      limit: what the endpoint says, or None.
    """
    if limit is None:
        return DEFAULT_IDLE
    # Whole seconds are what endpoints state, so the true limit may be lower.
    seconds = math.floor(limit.total_seconds())
    return max(dt.timedelta(), dt.timedelta(seconds=seconds) - IDLE_MARGIN)
