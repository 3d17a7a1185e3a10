"""The WSGI server of the product's pages, without its access log."""

from collections.abc import Callable
from typing import Any

import eliot
from eventlet import wsgi

_SHOWN = 200  # characters of a complaint in the log


class _NoLog:
    """Takes the lines of the access log; requests have their own."""

    def write(self, text: str) -> None:
        """Drop a line."""


class LoggedProtocol(wsgi.HttpProtocol):
    """Tells of malformed requests in the structured log."""

    def log_message(self, template: str, *parts: object) -> None:
        """Log what the server would write to the standard error."""
        eliot.log_message(
            message_type='page_request', detail=(template % parts)[:_SHOWN]
        )


def serve(
    listener: Any,
    application: Callable[..., Any],
    protocol: type[wsgi.HttpProtocol] = LoggedProtocol,
    **limits: Any,
) -> None:
    """Serve an application for ever.

    Args:
      listener: accepts connections.
      application: answers requests.
      protocol: reads the requests of a connection.
      limits: further options of eventlet's WSGI server.
    """
    wsgi.server(
        listener,
        application,
        log=_NoLog(),
        log_output=False,
        debug=False,
        protocol=protocol,
        **limits,
    )
