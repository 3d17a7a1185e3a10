"""Accepts connections of callers, as many as there is room for."""

import collections
import functools
from collections.abc import Callable
from typing import Any

import eventlet
from eliot import write_traceback

from bronzeglade import listeners
from bronzeglade.decisions.caller_connections import (
    CallerConnections,
    OpenConnection,
)
from bronzeglade.forwarding import request_handler, resources, tcp
from bronzeglade.forwarding.caller import Caller, CallerConnection
from bronzeglade.forwarding.inbound import (
    IncomingRequest,
    RequestReader,
    new_parse_slots,
)
from bronzeglade.forwarding.route import Limits
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.settings import Address

BACKLOG = 512
# Pause after a connection could not be accepted, such as for too many files.
RETRY_DELAY_S = 0.05


class CallerListener:
    """Listens for callers and serves their connections."""

    def __init__(self, router: Router, limit: int) -> None:
        """Create a listener that does not listen yet.

        Args:
          router: state of this process.
          limit: most open connections.
        """
        self.router = router
        self.connections = CallerConnections(limit, router.clock)
        self.parse_slots = new_parse_slots()
        self.sock: Any = None
        self.accept_thread: Any = None
        # By cause, how often callers were turned away since the last log line.
        self.turned_away: collections.Counter[str] = collections.Counter()
        router.metrics.held_bytes.set_function(lambda: router.memory.used)
        router.metrics.caller_connections.set_function(self.open_count)

    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self.connections.open)

    def start(self, address: Address) -> None:
        """Listen and accept connections."""
        self.sock = listeners.listen(
            address, BACKLOG, resources.CALLER_RECEIVE_BUFFER
        )
        self.accept_thread = eventlet.spawn(self._accept)

    def stop(self) -> None:
        """Accept the connections in the backlog, and stop listening.

        Closing the listener resets connections that are not accepted, though
        their requests may have arrived already.
        """
        dropping = listeners.drop_connection_attempts(self.sock)
        if dropping:
            eventlet.sleep(listeners.HANDSHAKE_TIME.total_seconds())
        self.accept_thread.kill()
        accepted = 0
        try:
            for sock in listeners.accept_pending(self.sock):
                self._serve_accepted(sock)
                accepted += 1
        except OSError as error:
            # Such as too many open files; the shutdown has to go on.
            self._log_failure(error)
        self.sock.close()
        self.router.log.event(
            'listener_closed', attempts_dropped=dropping, accepted=accepted
        )

    def log_turned_away(self) -> None:
        """Log in one line for whom there was no room since the last one."""
        for cause, count in (
            ('connection_closed', self.connections.take_closed()),
            ('connection_refused', self.connections.take_refused()),
            ('body_gave_way', self.router.memory.take_gave_way()),
        ):
            if count:
                self._count(cause, count)
        if self.turned_away:
            self.router.log.event(
                'turned_away',
                causes=dict(self.turned_away),
                held_bytes=self.router.memory.used,
                connections=self.open_count(),
            )
            self.turned_away.clear()

    def _accept(self) -> None:
        while True:
            try:
                sock, _peer = self.sock.accept()
            except OSError as error:
                self._log_failure(error)
                eventlet.sleep(RETRY_DELAY_S)
            else:
                self._serve_accepted(sock)

    def _log_failure(self, error: OSError) -> None:
        self.router.log.event('accept_failed', detail=repr(error))

    def _serve_accepted(self, sock: Any) -> None:
        close: Callable[[], None] = functools.partial(tcp.abort, sock)
        if self.connections.is_full():
            # Accepting does not yield while connections wait in the queue. Lets
            # those whose requests have arrived read them, and those that have
            # given way close their sockets.
            eventlet.sleep(0)
        opened = self.connections.admit(tcp.peer_host(sock), close)
        if opened is None:
            tcp.close(sock)
        else:
            eventlet.spawn(self._serve_connection, sock, opened)

    def _serve_connection(self, sock: Any, opened: OpenConnection) -> None:
        try:
            tcp.set_options(sock)
            reader = RequestReader(
                sock,
                self.router.clock,
                self._limits,
                lambda: self.router.draining,
                self.router.memory,
                opened.client,
                self.parse_slots,
            )
            CallerConnection(
                reader, functools.partial(self._handle, opened), self._count
            ).run()
        except Exception:
            # A failure on one connection must not affect the others.
            write_traceback()
            tcp.close(sock)
        finally:
            self.connections.remove(opened)

    def _handle(
        self, opened: OpenConnection, incoming: IncomingRequest, caller: Caller
    ) -> None:
        self.connections.begin_request(opened)
        request_handler.handle(self.router, incoming, caller)
        self.connections.end_request(opened)

    def _count(self, cause: str, count: int = 1) -> None:
        self.turned_away[cause] += count
        self.router.metrics.turned_away.labels(cause).inc(count)

    def _limits(self) -> Limits | None:
        table = self.router.table
        return None if table is None else table.limits
