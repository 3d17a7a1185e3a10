"""Requests, responses and error documents of the WSGI applications."""

import dataclasses
import datetime as dt
import json
import math
import socket
import uuid
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

import eventlet
from result import Err, Result

from bronzeglade.decisions.memory_account import MemoryAccount
from bronzeglade.entry import body_reader, protocol
from bronzeglade.entry.trace import Trace
from bronzeglade.outcome import Refusal

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Body = Iterable[bytes]

_REASONS = {
    200: 'OK',
    202: 'Accepted',
    204: 'No Content',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    405: 'Method Not Allowed',
    408: 'Request Timeout',
    409: 'Conflict',
    411: 'Length Required',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}
_ERROR_TYPES = {
    401: 'authentication_error',
    403: 'permission_error',
    404: 'not_found_error',
    429: 'rate_limit_error',
}
_MIN_SERVER_ERROR = 500
# A handler that sets this header ends the connection after the response.
CONNECTION_HEADER = 'Connection'


class HttpLimits(Protocol):
    """Limits on the size and the transfer time of a request body."""

    body_limit: int
    receive_timeout: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A parsed request head; `path` excludes the query string."""

    method: str
    path: str
    query: str
    environ: Environ
    request_id: str
    trace: Trace = dataclasses.field(default_factory=lambda: Trace(''))

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None if it is absent."""
        key = name.upper().replace('-', '_')
        if key not in {'CONTENT_TYPE', 'CONTENT_LENGTH'}:
            key = f'HTTP_{key}'
        header = self.environ.get(key)
        return None if header is None else str(header)

    def is_caller_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        body = self.environ.get('wsgi.input')
        connection = getattr(body, 'get_socket', lambda: None)()
        if connection is None:
            return False
        try:
            return not connection.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def bearer_key(self) -> str:
        """Return the Bearer key of the Authorization header, or ''."""
        scheme, _, key = (self.header('Authorization') or '').partition(' ')
        return key.strip() if scheme.lower() == 'bearer' else ''


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response; `body` may be a stream.

    `refusal` is set when the request was refused, for metrics and logs.
    """

    status: int
    body: Body = ()
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    refusal: Refusal | None = None


Handler = Callable[[Request], Response]


def wsgi(
    handler: Handler, memory: MemoryAccount | None = None
) -> Callable[[Environ, StartResponse], Body]:
    """Wrap a handler in a WSGI application.

    Args:
      handler: maps a request to a response.
      memory: account of request bodies; by default bodies are bounded only by
        themselves.

    Returns:
      The application.
    """

    def application(environ: Environ, start_response: StartResponse) -> Body:
        environ[body_reader.MEMORY_KEY] = memory
        request = build_request(environ)
        refusal = head_refusal(request)
        if refusal is None:
            response = handler(request)
        else:
            response = refuse(refusal, request.request_id)
        reason = _REASONS.get(response.status, 'Unknown')
        headers = dict(response.headers)
        if headers.pop(CONNECTION_HEADER, '') or _has_unread_body(environ):
            environ[protocol.ENVIRON_KEY].close_after_response()
        start_response(f'{response.status} {reason}', list(headers.items()))
        return response.body

    return application


def head_refusal(request: Request) -> Refusal | None:
    """Return a refusal if the path, query or a header is not UTF-8.

    WSGI passes these as Latin-1 strings, one character for each byte.
    """
    fields = {'path': request.path, 'query': request.query}
    fields.update(request.environ.get('headers_raw', ()))
    for name, text in fields.items():
        try:
            text.encode('latin-1').decode()
        except UnicodeError:
            message = f'{ascii(name)} is not valid UTF-8'
            return Refusal(400, 'invalid_encoding', message)
    return None


def _has_unread_body(environ: Environ) -> bool:
    # If the connection stayed open, the server would read the unread rest of
    # the body, of any length, before the next request.
    body = environ.get('eventlet.input')
    if body is None or protocol.ENVIRON_KEY not in environ:
        return False
    return bool(body.chunked_input) or body.position < body.content_length


def build_request(environ: Environ) -> Request:
    """Build the request from a WSGI environment, with a new request id."""
    request_id = uuid.uuid4().hex
    return Request(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=environ.get('QUERY_STRING', ''),
        environ=environ,
        request_id=request_id,
        trace=Trace(request_id),
    )


def read_body(request: Request, limits: HttpLimits) -> Result[bytes, Refusal]:
    """Read the whole body within limits on time and memory.

    Its memory is in the account until the response has been sent.

    Args:
      request: the request whose body is still unread.
      limits: maximum size and receive time-out.

    Returns:
      The body, or a refusal with status 400, 408, 411, 413 or 503.
    """
    length = request.header('Content-Length') or ''
    if not length.isdecimal():
        return Err(
            Refusal(411, 'length_required', 'send a Content-Length header')
        )
    if int(length) > limits.body_limit:
        message = f'the request body exceeds {limits.body_limit} bytes'
        return Err(Refusal(413, 'body_too_large', message))
    seconds = limits.receive_timeout.total_seconds()
    timed_out = Refusal(
        408, 'receive_timeout', f'the request body took more than {seconds} s'
    )
    with eventlet.Timeout(seconds, False):
        return body_reader.BodyReader(request.environ).read(int(length))
    return Err(timed_out)


def json_response(
    document: Any,
    status: int = 200,
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Return a JSON response with Content-Length."""
    body = json.dumps(document).encode()
    return Response(
        status,
        (body,),
        {
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            **(headers or {}),
        },
    )


def error_document(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the OpenAI error object for a refusal.

    The extra field `run_state` is `not_run`, `unknown` or `ran`.
    """
    default = (
        'server_error'
        if refusal.status >= _MIN_SERVER_ERROR
        else 'invalid_request_error'
    )
    return {
        'error': {
            'message': refusal.message,
            'type': _ERROR_TYPES.get(refusal.status, default),
            'param': None,
            'code': refusal.code,
            'run_state': refusal.run_state.value,
            'request_id': request_id,
        }
    }


def refuse(
    refusal: Refusal,
    request_id: str,
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Return the response to a refused request."""
    extra = {'X-Request-Id': request_id, **(headers or {})}
    if refusal.retry_after is not None:
        seconds = math.ceil(refusal.retry_after.total_seconds())
        extra['Retry-After'] = str(max(1, seconds))
    # The OpenAI client library retries every 5xx response unless this header
    # forbids it. Whether a retry is safe depends on the run state.
    retry = refusal.retry_after is not None
    extra['X-Should-Retry'] = 'true' if retry else 'false'
    document = error_document(refusal, request_id)
    response = json_response(document, refusal.status, extra)
    return dataclasses.replace(response, refusal=refusal)
