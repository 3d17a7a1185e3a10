"""The router process: sockets, signals and graceful shutdown."""

import datetime as dt
import signal
from collections.abc import Callable, Iterator
from typing import Any

import eventlet
from eventlet import wsgi

from bronzeglade.entry import callers, control, http, invariants
from bronzeglade.entry.http import Body, Environ, Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.settings import EntrySettings

BACKLOG = 512
MAX_CONNECTIONS = 4096
POLL_INTERVAL = dt.timedelta(milliseconds=50)


class _NoLog:
    """Drops the access log of the WSGI server; requests have their own."""

    def write(self, text: str) -> None:
        """Drop a line."""


def run(settings: EntrySettings) -> int:
    """Serve until a signal, then stop gracefully.

    Args:
      settings: checked settings.

    Returns:
      The exit code.
    """
    invariants.install()
    node = Node(settings)
    node.start()
    stopped = eventlet.event.Event()
    _serve(settings.host, settings.port, _counted(node))
    _serve(
        settings.host,
        settings.control_port,
        http.wsgi(lambda request: control.handle(node, request)),
    )

    def stop(_signal: int, _frame: Any) -> None:
        if not node.draining:
            node.draining = True
            eventlet.spawn(_drain, node, stopped)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    stopped.wait()
    return 0


def _serve(host: str, port: int, application: Callable[..., Body]) -> None:
    listener = eventlet.listen((host, port), backlog=BACKLOG)
    eventlet.spawn(
        wsgi.server,
        listener,
        application,
        log=_NoLog(),
        log_output=False,
        max_size=MAX_CONNECTIONS,
        socket_timeout=60,
        debug=False,
    )


def _counted(node: Node) -> Callable[[Environ, http.StartResponse], Body]:
    def handler(request: Request) -> Response:
        node.open_requests += 1
        try:
            response = callers.handle(node, request)
        except BaseException:
            node.open_requests -= 1
            raise
        return Response(
            response.status, _Counted(node, response.body), response.headers
        )

    return http.wsgi(handler)


class _Counted:
    """A body whose end closes the count of its request."""

    def __init__(self, node: Node, body: Body) -> None:
        """Wrap a body."""
        self.node = node
        self.body = body

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the body."""
        return iter(self.body)

    def close(self) -> None:
        """Close the body; called once by the server in every case."""
        self.node.open_requests -= 1
        close = getattr(self.body, 'close', None)
        if close is not None:
            close()


def _drain(node: Node, stopped: Any) -> None:
    deadline = node.clock.monotonic() + node.settings.drain_limit
    eventlet.sleep(node.settings.entries_max_age.total_seconds())
    while node.open_requests and node.clock.monotonic() < deadline:
        eventlet.sleep(POLL_INTERVAL.total_seconds())
    node.billing.close(deadline - node.clock.monotonic())
    stopped.send()
