"""The WSGI server of the product's pages, without its access log."""

from collections.abc import Callable
from typing import Any

from eventlet import wsgi


class _NoLog:
    """Takes the lines of the access log; requests have their own."""

    def write(self, text: str) -> None:
        """Drop a line."""


def serve(
    listener: Any, application: Callable[..., Any], **limits: Any
) -> None:
    """Serve an application for ever.

    Args:
      listener: accepts connections.
      application: answers requests.
      limits: further options of eventlet's WSGI server.
    """
    wsgi.server(
        listener,
        application,
        log=_NoLog(),
        log_output=False,
        debug=False,
        **limits,
    )
