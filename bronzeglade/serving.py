"""Eventlet's WSGI server, with structured logs and no access log."""

from collections.abc import Callable
from typing import Any

import eliot
from eventlet import wsgi

_MAX_DETAIL_CHARS = 200


class _NullLog:
    """Discards access log lines; requests are logged as structured events."""

    def write(self, text: str) -> None:
        """Discard a line."""


class LoggedProtocol(wsgi.HttpProtocol):
    """HTTP protocol that reports malformed requests in the structured log."""

    def log_message(self, template: str, *values: object) -> None:
        """Log a message that the server would write to standard error."""
        eliot.log_message(
            message_type='page_request',
            detail=(template % values)[:_MAX_DETAIL_CHARS],
        )


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
      limits: further options of `eventlet.wsgi.server`.
    """
    wsgi.server(
        listener,
        application,
        log=_NullLog(),
        log_output=False,
        debug=False,
        protocol=protocol,
        **limits,
    )
