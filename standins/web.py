"""JSON over eventlet's WSGI server, shared by the stand-ins."""

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

# Returned by an action to close the connection without a reply.
DROP: Reply = (0, None)

REASON_PHRASES = {
    200: 'OK',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class _DiscardLog:
    def write(self, text: str) -> None:
        """Discard a line of the access log."""


def json_application(routes: Routes, faults: Faults) -> Application:
    """Return a WSGI application that routes requests to JSON actions.

    Args:
      routes: actions by method and path; each receives the decoded body.
      faults: faults that `/faults` reads and sets.
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
    """Return the routes of `/faults`, which read and set faults."""
    return {('GET', '/faults'): faults.read, ('POST', '/faults'): faults.update}


def read_body(environ: Mapping[str, Any]) -> bytes:
    """Read the whole request body."""
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body: bytes = environ['wsgi.input'].read(length)
    return body


def read_json(environ: Mapping[str, Any]) -> dict[str, Any]:
    """Read and decode the request body; an empty body gives `{}`."""
    body = read_body(environ)
    document: dict[str, Any] = json.loads(body) if body else {}
    return document


def send_reply(
    environ: Mapping[str, Any],
    start: Any,
    reply: Reply,
    headers: Sequence[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Send the reply of an action; `DROP` closes the connection instead."""
    if reply == DROP:
        drop_connection(environ)
        return ()
    return send_json(start, *reply, headers)


def send_json(
    start: Any,
    status: int,
    document: Any,
    headers: Sequence[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Start a JSON response and return its body."""
    body = json.dumps(document).encode()
    start(
        '{0} {1}'.format(status, REASON_PHRASES.get(status, 'Status')),
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        ],
    )
    return (body,)


def drop_connection(environ: Mapping[str, Any]) -> None:
    """Close the connection of the client without a response."""
    wsgi.WSGI_LOCAL.already_handled = True
    try:
        environ['eventlet.input'].get_socket().shutdown(socket.SHUT_RDWR)
    except OSError:
        # The client has already closed the connection.
        return


def is_client_disconnected(environ: Mapping[str, Any]) -> bool:
    """Return whether the client has closed its connection."""
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
    """Parse the command line; exit with status 2 on invalid flags."""
    command_line = sys.argv if arguments is None else arguments
    try:
        values(list(command_line))
    except flags.Error as error:
        sys.stderr.write(f'error: {error}\n')
        sys.exit(2)


def address_flags() -> flags.FlagValues:
    """Return flag values with `--host` and `--port` to listen on."""
    values = flags.FlagValues()
    flags.DEFINE_integer(
        'port', 0, 'TCP port to listen on.', flag_values=values
    )
    flags.DEFINE_string(
        'host', '127.0.0.1', 'Address to listen on.', flag_values=values
    )
    return values


def serve(host: str, port: int, application: Application) -> None:
    """Serve an application; does not return."""
    # By default eventlet lets several processes listen on one port.
    listener = eventlet.listen((host, port), backlog=512, reuse_port=False)
    wsgi.server(
        listener,
        application,
        log=_DiscardLog(),
        log_output=False,
        max_size=4096,
        # By default the server buffers 4,096 bytes before it sends a token.
        minimum_chunk_size=1,
    )
