"""Tests that the pages of the engine stand-in agree with each other."""

import io
import json
from typing import Any

import eventlet

from standins.engine import Engine, EngineSettings


class ConnectedClient:
    """The connection of a client that waits for its answer."""

    @property
    def fd(self) -> 'ConnectedClient':
        """Its file descriptor."""
        return self

    def get_socket(self) -> 'ConnectedClient':
        """Return the connection."""
        return self

    def recv(self, _size: int, _flags: int) -> bytes:
        """Report that nothing has arrived.

        Raises:
          BlockingIOError: always.
        """
        raise BlockingIOError


def request(engine: Engine, path: str, document: Any = None) -> Any:
    """Send a request to the application; return the body of the response."""
    body = b'' if document is None else json.dumps(document).encode()
    environ = {
        'REQUEST_METHOD': 'GET' if document is None else 'POST',
        'PATH_INFO': path,
        'CONTENT_LENGTH': str(len(body)),
        'HTTP_X_REQUEST_ID': 'second' if engine.executions else 'first',
        'wsgi.input': io.BytesIO(body),
        'eventlet.input': ConnectedClient(),
    }
    return engine.application(environ, lambda _status, _headers: None)


# Guards against a page that shows a request as running while /executed does
# not list it: a checker that reads both counts the request as lost.
def test_running_request_is_listed_as_executed() -> None:
    """A request that leaves the queue is listed before any page is read."""
    engine = Engine(EngineSettings(slots=1, first_token_s=0))
    document = {'model': 'm@v1', 'messages': [], 'max_tokens': 2}
    first = request(engine, '/v1/chat/completions', document)
    next(first)
    second = request(engine, '/v1/chat/completions', document)
    reader = eventlet.spawn(next, second)
    eventlet.sleep(0)
    assert 'engine_requests_waiting 1' in engine.report().splitlines()
    first.close()
    assert 'engine_requests_waiting 0' in engine.report().splitlines()
    assert 'engine_requests_running 1' in engine.report().splitlines()
    page = json.loads(b''.join(request(engine, '/executed')))
    assert page['requests'] == ['first', 'second']
    reader.wait()
