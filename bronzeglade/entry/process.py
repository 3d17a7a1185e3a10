"""The router process: sockets, signals and graceful shutdown."""

import datetime as dt
import functools
import signal
from collections.abc import Callable, Iterator
from typing import Any

import eventlet
from eliot import write_traceback

from bronzeglade import serving
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
MAX_CONNECTIONS = 4096
SOCKET_TIMEOUT = dt.timedelta(seconds=60)  # idle connections and each write
# Least time for the last flush of billing records; a replica holder has them
# when it passes.
FLUSH_LIMIT = dt.timedelta(seconds=10)
POLL_INTERVAL = dt.timedelta(milliseconds=50)


def run(settings: EntrySettings) -> int:
    """Serve until a signal, then stop gracefully.

    Args:
      settings: checked settings.

    Returns:
      The exit code.
    """
    invariants.install()
    logs.configure(settings.log_file)
    node = Node(settings)
    status.register(node)
    stopped = eventlet.event.Event()
    _serve(settings, settings.port, _counted(node))
    _serve(
        settings,
        settings.control_port,
        http.wsgi(lambda request: control.handle(node, request)),
    )
    node.start()

    def stop(_signal: int, _frame: Any) -> None:
        if not node.draining:
            node.draining = True
            eventlet.spawn(drain, node, stopped)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    stopped.wait()
    return 0


def _serve(
    settings: EntrySettings, port: int, application: Callable[..., Body]
) -> None:
    listener = eventlet.listen((settings.host, port), backlog=BACKLOG)
    eventlet.spawn(
        serving.serve,
        listener,
        application,
        max_size=MAX_CONNECTIONS,
        protocol=protocol.bounded(settings.receive_timeout),
        # Each part of a stream is written when it is there; the default
        # gathers 4,096 bytes first, which delays tokens.
        minimum_chunk_size=1,
        socket_timeout=SOCKET_TIMEOUT.total_seconds(),
    )


def _counted(node: Node) -> Callable[[Environ, http.StartResponse], Body]:
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
            _Counted(node, response.body, request.trace),
            response.headers,
        )

    return http.wsgi(handler)


class _Counted:
    """A body whose end closes the count of its request."""

    def __init__(self, node: Node, body: Body, traced: trace.Trace) -> None:
        """Wrap a body."""
        self.node = node
        self.trace = traced
        self.body = body

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the body."""
        return iter(self.body)

    def close(self) -> None:
        """Close the body; called once by the server in every case."""
        self.node.open_requests -= 1
        close = getattr(self.body, 'close', None)
        try:
            if close is not None:
                close()
        finally:
            trace.end(self.node.telemetry, self.trace)


def drain(node: Node, stopped: Any) -> None:
    """Stop gracefully.

    New requests are served while callers may still use a list of addresses
    with this node, and refused after that; requests in flight are finished.

    Args:
      node: state of this process, already marked as draining.
      stopped: event that is sent at the end.
    """
    node.heartbeats.leave()
    node.clock.sleep(node.settings.entries_max_age)
    node.refusing = True
    deadline = node.clock.monotonic() + node.settings.drain_limit
    # At least one pause, for requests that are on their way.
    node.clock.sleep(POLL_INTERVAL)
    while node.open_requests and node.clock.monotonic() < deadline:
        node.clock.sleep(POLL_INTERVAL)
    left = max(FLUSH_LIMIT, deadline - node.clock.monotonic())
    actions: list[Callable[[], object]] = list(node.on_drain)
    actions.append(functools.partial(node.billing.close, left))
    for action in actions:
        try:
            action()
        except Exception:
            # What remains is still handed over by the other actions.
            write_traceback()
    node.heartbeats.leave(gone=True)
    stopped.send()
