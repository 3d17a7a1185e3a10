"""The router process: listeners, signals and graceful shutdown."""

import dataclasses
import datetime as dt
import functools
import signal
from collections.abc import Callable, Iterator
from typing import Any

import eliot
import eventlet
from eliot import write_traceback

from bronzeglade import listeners, serving
from bronzeglade.decisions.memory_account import MemoryAccount, MemorySettings
from bronzeglade.entry import (
    callers,
    chat,
    control,
    http,
    invariants,
    logs,
    protocol,
    status,
    trace,
)
from bronzeglade.entry.http import Body, Environ, Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.settings import EntrySettings

BACKLOG = 512
# What may wait unread on a connection is up to twice its receive buffer.
RECEIVE_BUFFER = 16 * 1024
# Limits how long a connection may be idle and how long each write may take.
SOCKET_TIMEOUT = dt.timedelta(seconds=60)
# Minimum time for the final flush of billing records to the table. Records that
# are not flushed by then remain with the replica holder.
MIN_FLUSH_TIME = dt.timedelta(seconds=10)
DRAIN_POLL_INTERVAL = dt.timedelta(milliseconds=50)


def run(settings: EntrySettings) -> int:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Args:
      settings: validated settings.

    Returns:
      The exit code.
    """
    invariants.install()
    logs.configure(settings.log_file)
    node = Node(settings)
    status.register(node)
    stopped = eventlet.event.Event()
    memory = MemoryAccount(MemorySettings(settings.held_limit), node.clock)
    caller_server = _new_server(node, settings.port, _tracked(node, memory))
    control_server = _new_server(
        node,
        settings.control_port,
        http.wsgi(lambda request: control.handle(node, request), memory),
    )
    servers = (caller_server, control_server)
    for server in servers:
        server.start()
    node.start()

    def stop(_signal: int, _frame: Any) -> None:
        if not node.draining:
            node.draining = True
            caller_server.end_keepalive()
            eventlet.spawn(drain, node, stopped)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    stopped.wait()
    ended = serving.stop(servers, node.clock, settings.receive_timeout)
    eliot.log_message(
        message_type='listener_closed', **dataclasses.asdict(ended)
    )
    return 0


def _new_server(
    node: Node, port: int, application: Callable[..., Body]
) -> serving.Server:
    settings = node.settings
    return serving.Server(
        listeners.listen((settings.host, port), BACKLOG, RECEIVE_BUFFER),
        application,
        node.clock,
        protocol=protocol.with_head_timeout(settings.receive_timeout),
        max_connections=settings.connection_limit,
        # Writes each chunk of a stream at once. The default buffers 4,096
        # bytes, which delays tokens.
        minimum_chunk_size=1,
        socket_timeout=SOCKET_TIMEOUT.total_seconds(),
    )


def _tracked(
    node: Node, memory: MemoryAccount
) -> Callable[[Environ, http.StartResponse], Body]:
    def handler(request: Request) -> Response:
        node.open_requests += 1
        trace.begin(node.telemetry, request.trace, request.path)
        try:
            response = callers.handle(node, request)
        except BaseException:
            node.open_requests -= 1
            raise
        request.trace.refusal = response.refusal
        if request.path != chat.PATH:
            request.trace.answered = True
        return Response(
            response.status,
            _TrackedBody(node, response.body, request.trace),
            response.headers,
        )

    return http.wsgi(handler, memory)


class _TrackedBody:
    """A response body that ends the trace and the count of its request."""

    def __init__(
        self, node: Node, body: Body, request_trace: trace.Trace
    ) -> None:
        """Wrap the body of a response."""
        self.node = node
        self.trace = request_trace
        self.body = body

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the chunks of the wrapped body."""
        return iter(self.body)

    def close(self) -> None:
        """Close the body and end the trace.

        The server calls this exactly once, also when the caller disconnects.
        """
        self.node.open_requests -= 1
        close = getattr(self.body, 'close', None)
        try:
            if close is not None:
                close()
        finally:
            trace.end(self.node.telemetry, self.trace)


def drain(node: Node, stopped: Any) -> None:
    """Shut down gracefully.

    Callers cache the list of entry addresses for up to `entries_max_age`, so
    new requests are served for that long and refused afterwards. Requests in
    flight may finish within `drain_limit`.

    Args:
      node: state of this process, with `draining` already set.
      stopped: event that is sent when the shutdown is complete.
    """
    node.heartbeats.leave()
    node.clock.sleep(node.settings.entries_max_age)
    node.refuses_requests = True
    deadline = node.clock.monotonic() + node.settings.drain_limit
    # Waits at least once, for requests that are still on their way.
    node.clock.sleep(DRAIN_POLL_INTERVAL)
    while node.open_requests and node.clock.monotonic() < deadline:
        node.clock.sleep(DRAIN_POLL_INTERVAL)
    remaining = max(MIN_FLUSH_TIME, deadline - node.clock.monotonic())
    actions: list[Callable[[], object]] = list(node.on_drain)
    actions.append(functools.partial(node.billing.close, remaining))
    for action in actions:
        try:
            action()
        except Exception:
            # The other actions still run, so that their state is handed over.
            write_traceback()
    node.heartbeats.leave(exiting=True)
    stopped.send()
