"""HTTP servers on eventlet's WSGI, with a stop that resets no connection."""

import dataclasses
import datetime as dt
import functools
from collections.abc import Callable, Sequence
from typing import Any

import eliot
import eventlet
from eventlet import greenio, hubs, wsgi
from eventlet.green import socket

from bronzeglade import listeners
from bronzeglade.clock import Clock, SystemClock
from bronzeglade.decisions.caller_connections import CallerConnections
from bronzeglade.time_slice import TimeSlice

MAX_CONNECTIONS = 1024
ACCEPT_RETRY_DELAY = dt.timedelta(milliseconds=50)
# How often a server whose connections are all in use looks for one that is not.
ROOM_CHECK_INTERVAL = dt.timedelta(milliseconds=20)
STOP_POLL_INTERVAL = dt.timedelta(milliseconds=50)
# How long a new connection may wait for its first request during a stop.
FIRST_REQUEST_TIMEOUT = dt.timedelta(seconds=1)
# How long, and for how many bytes, unread input is read before closing.
LINGER_TIMEOUT = dt.timedelta(seconds=1)
MAX_LINGER_BYTES = 1_048_576
_LINGER_READ_BYTES = 65536
# Header fields of a request, with their line ends.
MAX_HEADER_BYTES = 20 * 1024
_MAX_DETAIL_CHARS = 200
# Index in the state that eventlet passes to a protocol.
_ADMISSION = 3


class LoggedProtocol(wsgi.HttpProtocol):
    """HTTP protocol that reports malformed requests in the structured log.

    The state of the connection is idle only while no byte of a request has
    arrived and no response is being sent.
    """

    def log_message(self, template: str, *values: object) -> None:
        """Log a message that the server would write to standard error."""
        eliot.log_message(
            message_type='page_request',
            detail=(template % values)[:_MAX_DETAIL_CHARS],
        )

    def handle(self) -> None:
        """Handle the requests of the connection."""
        self.time_slice = TimeSlice()
        try:
            super().handle()
        finally:
            self.conn_state[2] = wsgi.STATE_CLOSE

    def begin_request(self) -> None:
        """Record that the first byte of a request has arrived."""
        self.conn_state[2] = wsgi.STATE_REQUEST

    def parse_request(self) -> bool:
        """Parse the head of a request."""
        # The server counts the bytes of the fields up to its own maximum.
        self.rfile.total_header_size += (
            wsgi.MAX_TOTAL_HEADER_SIZE - MAX_HEADER_BYTES
        )
        return bool(super().parse_request())

    def handle_one_response(self) -> None:
        """Answer a request whose head has been read."""
        callers, opened = self.conn_state[_ADMISSION]
        callers.begin_request(opened)
        try:
            super().handle_one_response()
        finally:
            callers.end_request(opened)

    def finish(self) -> None:
        """Close the connection."""
        try:
            super().finish()
        finally:
            # Not closed if the last response could not be written. The socket
            # would then stay open until the garbage is collected.
            self.rfile.close()

    def discard_unread_input(self) -> None:
        """Read a limited amount of input, and nothing else after that.

        Closing a socket that has unread input resets the connection, and the
        caller might then lose the response.
        """
        with eventlet.Timeout(LINGER_TIMEOUT.total_seconds(), False):
            self._discard_unread_input()

    def _discard_unread_input(self) -> None:
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
        except (OSError, ValueError):
            return
        discarded_bytes = 0
        while discarded_bytes < MAX_LINGER_BYTES:
            try:
                block = self.connection.recv(_LINGER_READ_BYTES)
            except OSError:
                return
            if not block:
                return
            discarded_bytes += len(block)
            self.time_slice.spend_bytes(len(block))

    def _read_request_line(self) -> Any:
        try:
            first = self.rfile.peek(1)
        except OSError:
            first = b''
        if not first:
            self.close_connection = True
            return b''
        self.begin_request()
        self.time_slice.spend()
        return super()._read_request_line()


class PageProtocol(LoggedProtocol):
    """Protocol of pages: requests whose bodies are not read.

    eventlet would read the body of a request that the application has left
    unread, and its lines of any length, before the next request.
    """

    def __init__(self, *arguments: Any) -> None:
        """Serve a connection; see the base class."""
        self.has_body = False
        super().__init__(*arguments)

    def handle_one_response(self) -> None:
        """Answer a request; close the connection if a body follows."""
        body = self.environ['eventlet.input']
        if body.chunked_input or body.content_length:
            self.has_body = True
            self.close_connection = True
        super().handle_one_response()

    def finish(self) -> None:
        """Close the connection."""
        if self.has_body:
            self.discard_unread_input()
        super().finish()


class Connection:
    """An open connection.

    Attributes:
      sock: its socket.
      accepted_at: monotonic time.
      opened: the connection among the open ones of the server.
      state: address, socket and state as eventlet's protocol class expects, and
        the open connections of the server with this one.
    """

    def __init__(
        self, sock: Any, accepted_at: dt.timedelta, callers: CallerConnections
    ) -> None:
        """Create the record of a connection that has just been accepted."""
        self.sock = sock
        self.accepted_at = accepted_at
        peer = _peer(sock)
        self.opened = callers.add(
            peer[0], functools.partial(greenio.shutdown_safe, sock)
        )
        self.state: list[Any] = [
            peer,
            sock,
            wsgi.STATE_IDLE,
            (callers, self.opened),
        ]

    def is_in_use(self, now: dt.timedelta) -> bool:
        """Return whether a request is in progress or probably in transit."""
        is_new = now - self.accepted_at < FIRST_REQUEST_TIMEOUT
        return is_new or self.state[2] != wsgi.STATE_IDLE


def _peer(sock: Any) -> Any:
    try:
        return sock.getpeername()
    except OSError:
        # The caller has disconnected already.
        return ('', 0)


class Server:
    """A WSGI server on one listening socket."""

    def __init__(
        self,
        listener: Any,
        application: Callable[..., Any],
        clock: Clock,
        protocol: type[wsgi.HttpProtocol] = LoggedProtocol,
        max_connections: int = MAX_CONNECTIONS,
        **limits: Any,
    ) -> None:
        """Create a server that does not accept connections yet.

        Args:
          listener: listening socket.
          application: WSGI application.
          clock: monotonic time.
          protocol: protocol class that parses the requests of a connection.
          max_connections: maximum number of open connections. When there are
            as many, a connection without a request in progress is closed for a
            new one; if all have one, the new one waits in the accept queue.
          limits: further options of `eventlet.wsgi.Server`.
        """
        self.listener = listener
        self.clock = clock
        self.wsgi = wsgi.Server(
            listener,
            listener.getsockname(),
            application,
            protocol=protocol,
            log_output=False,
            debug=False,
            **limits,
        )
        self.connections: set[Connection] = set()
        self.callers = CallerConnections(max_connections, clock)
        self.accept_thread: Any = None

    def start(self) -> None:
        """Accept connections in a green thread until the server is closed."""
        self.accept_thread = eventlet.spawn(self.accept)

    def accept(self) -> None:
        """Accept connections; never returns."""
        while True:
            if self.callers.is_full():
                self._make_room()
            try:
                sock, _peer = self.listener.accept()
            except OSError as error:
                eliot.log_message(
                    message_type='accept_failed', detail=repr(error)
                )
                eventlet.sleep(ACCEPT_RETRY_DELAY.total_seconds())
            else:
                self._spawn(sock)

    def _make_room(self) -> None:
        """Wait for a connection in the accept queue, then for room for it."""
        hubs.trampoline(self.listener.fd, read=True)
        # Lets connections whose requests have arrived read them first.
        eventlet.sleep(0)
        while self.callers.is_full() and not self.callers.close_one():
            eventlet.sleep(ROOM_CHECK_INTERVAL.total_seconds())

    def end_keepalive(self) -> None:
        """Close each connection after its next response."""
        self.wsgi.keepalive = False

    def connections_in_use(self) -> int:
        """Return the number of connections that a stop has to wait for."""
        now = self.clock.monotonic()
        return sum(connection.is_in_use(now) for connection in self.connections)

    def close(self) -> int:
        """Accept the connections in the queue, and close the listener.

        Returns:
          The number of connections that were accepted.
        """
        if self.accept_thread is not None:
            self.accept_thread.kill()
        accepted = 0
        for sock in listeners.accept_pending(self.listener):
            self._spawn(sock)
            accepted += 1
        self.listener.close()
        return accepted

    def _spawn(self, sock: Any) -> None:
        sock.settimeout(self.wsgi.socket_timeout)
        connection = Connection(sock, self.clock.monotonic(), self.callers)
        self.connections.add(connection)
        eventlet.spawn(self._serve, connection)

    def _serve(self, connection: Connection) -> None:
        try:
            self.wsgi.process_request(connection.state)
        except Exception:
            # A failure on one connection must not affect the others.
            eliot.write_traceback()
        finally:
            self._end(connection)

    def _end(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.callers.remove(connection.opened)
        greenio.shutdown_safe(connection.sock)
        connection.sock.close()


def serve(
    listener: Any,
    application: Callable[..., Any],
    protocol: type[wsgi.HttpProtocol] = LoggedProtocol,
    **limits: Any,
) -> None:
    """Serve a WSGI application until the process ends.

    Args:
      listener: listening socket.
      application: WSGI application.
      protocol: protocol class that parses the requests of a connection.
      limits: further options of `Server`.
    """
    Server(listener, application, SystemClock(), protocol, **limits).accept()


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """How a stop of servers ended.

    Attributes:
      attempts_dropped: whether new connections were held off.
      accepted: connections that were accepted last.
      connections: connections with a request that is still in progress.
    """

    attempts_dropped: bool
    accepted: int
    connections: int


def stop(servers: Sequence[Server], clock: Clock, limit: dt.timedelta) -> Stop:
    """Close servers, after the requests that have reached them are answered.

    Later callers are refused a connection, so that they know that nothing ran.

    Args:
      servers: running servers.
      clock: monotonic time.
      limit: maximum time to wait for connections with a request in progress.
    """
    for server in servers:
        server.end_keepalive()
    dropping = [
        listeners.drop_connection_attempts(server.listener)
        for server in servers
    ]
    if any(dropping):
        eventlet.sleep(listeners.HANDSHAKE_TIME.total_seconds())
    accepted = sum(server.close() for server in servers)
    deadline = clock.monotonic() + limit
    while _connections_in_use(servers) and clock.monotonic() < deadline:
        eventlet.sleep(STOP_POLL_INTERVAL.total_seconds())
    return Stop(all(dropping), accepted, _connections_in_use(servers))


def _connections_in_use(servers: Sequence[Server]) -> int:
    return sum(server.connections_in_use() for server in servers)
