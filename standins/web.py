"""A small JSON application on eventlet's WSGI server for the stand-ins."""

import json
import socket
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import eventlet
from absl import flags
from eventlet import wsgi

from standins.faults import Faults

Reply = tuple[int, Any]
Action = Callable[[Mapping[str, Any]], Reply]
Routes = Mapping[tuple[str, str], Action]
Application = Callable[..., Iterable[bytes]]

# An action returns this to close the connection without a reply.
DROP: Reply = (0, None)

REASONS = {
    200: 'OK',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class _NoLog:
    def write(self, text: str) -> None:
        """Drop a line of the access log."""


def json_application(routes: Routes, faults: Faults) -> Application:
    """Return an application that maps method and path to JSON actions.

    Args:
      routes: actions by method and path; each takes the decoded body.
      faults: served under `/faults`.
    """
    actions = {**routes, **fault_routes(faults)}

    def application(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        key = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        action = actions.get(key)
        document = read_json(environ)
        reply = (404, {}) if action is None else action(document)
        return send_reply(environ, start, reply)

    return application


def fault_routes(faults: Faults) -> Routes:
    """Return the actions that read and set faults."""
    return {('GET', '/faults'): faults.read, ('POST', '/faults'): faults.update}


def read_body(environ: Mapping[str, Any]) -> bytes:
    """Return the whole body."""
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body: bytes = environ['wsgi.input'].read(length)
    return body


def read_json(environ: Mapping[str, Any]) -> dict[str, Any]:
    """Return the decoded body; an empty one is an empty object."""
    body = read_body(environ)
    document: dict[str, Any] = json.loads(body) if body else {}
    return document


def send_reply(
    environ: Mapping[str, Any], start: Any, reply: Reply
) -> Iterable[bytes]:
    """Send an action's reply, or drop the connection when it is DROP."""
    if reply == DROP:
        drop_connection(environ)
        return ()
    return send_json(start, *reply)


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


def drop_connection(environ: Mapping[str, Any]) -> None:
    """Close the client's connection; the server then sends no reply."""
    wsgi.WSGI_LOCAL.already_handled = True
    try:
        environ['eventlet.input'].get_socket().shutdown(socket.SHUT_RDWR)
    except OSError:
        # The client closed it first.
        return


def has_client_left(environ: Mapping[str, Any]) -> bool:
    """Return whether the client closed its connection."""
    client = environ['eventlet.input'].get_socket().fd
    try:
        return not client.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


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


def address_flags() -> flags.FlagValues:
    """Return flag values with the address that a stand-in listens on."""
    values = flags.FlagValues()
    flags.DEFINE_integer('port', 0, 'TCP port.', flag_values=values)
    flags.DEFINE_string('host', '127.0.0.1', 'Address.', flag_values=values)
    return values


def serve(host: str, port: int, application: Application) -> None:
    """Serve until the process ends."""
    listener = eventlet.listen((host, port), backlog=512)
    wsgi.server(
        listener,
        application,
        log=_NoLog(),
        log_output=False,
        max_size=4096,
        # The server would collect 4,096 bytes before it sends a token.
        minimum_chunk_size=1,
    )
