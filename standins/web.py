"""A small JSON application on eventlet's WSGI server for the stand-ins."""

import json
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import eventlet
from absl import flags
from eventlet import wsgi

Reply = tuple[int, Any]
Action = Callable[[Mapping[str, Any]], Reply]

REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 429: 'Too Many'}


class _NoLog:
    def write(self, text: str) -> None:
        """Drop a line of the access log."""


def json_application(
    routes: Mapping[tuple[str, str], Action],
) -> Callable[..., Iterable[bytes]]:
    """Return an application that maps method and path to JSON actions.

    Args:
      routes: actions by method and path; each takes the decoded body.
    """

    def application(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        key = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        action = routes.get(key)
        document = read_json(environ)
        reply = (404, {}) if action is None else action(document)
        return send_json(start, *reply)

    return application


def read_json(environ: Mapping[str, Any]) -> dict[str, Any]:
    """Return the decoded body; an empty one is an empty object."""
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body = environ['wsgi.input'].read(length)
    document: dict[str, Any] = json.loads(body) if body else {}
    return document


def send_json(start: Any, status: int, document: Any) -> Iterable[bytes]:
    """Send a JSON reply."""
    body = json.dumps(document).encode()
    start(
        '{0} {1}'.format(status, REASONS.get(status, 'Status')),
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return (body,)


def parse_flags(
    values: flags.FlagValues, arguments: Sequence[str] | None = None
) -> None:
    """Parse the command line; wrong flags end the process with code 2."""
    words = sys.argv if arguments is None else arguments
    try:
        values(list(words))
    except flags.Error as error:
        sys.stderr.write(f'error: {error}\n')
        sys.exit(2)


def serve(
    host: str, port: int, application: Callable[..., Iterable[bytes]]
) -> None:
    """Serve until the process ends."""
    listener = eventlet.listen((host, port), backlog=512)
    wsgi.server(
        listener, application, log=_NoLog(), log_output=False, max_size=4096
    )
