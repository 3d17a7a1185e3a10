"""An engine that costs little: prepared events at a fixed rate.

The engine stand-in computes every event; beside it the router could not be
loaded to its limit on one machine.
"""

import dataclasses
import json
import selectors
import socket
import sys
import time
from collections.abc import Iterator

from absl import app, flags

PORT = flags.DEFINE_integer('port', 0, 'TCP port.')
FIRST_TOKEN = flags.DEFINE_float('first_token', 0.05, 'Seconds.')
TOKEN = flags.DEFINE_float('token', 0.01, 'Seconds between tokens.')

HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
DEFAULT_TOKENS = 16
READ_SIZE = 65536


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection with at most one running answer."""

    sock: socket.socket
    received: bytes = b''
    events: Iterator[bytes] | None = None
    due: float = 0


def chunk(body: bytes) -> bytes:
    """Return an HTTP chunk."""
    return b'%x\r\n%s\r\n' % (len(body), body)


def event(request_id: str, choices: str, rest: str = '') -> bytes:
    """Return an HTTP chunk that holds one event."""
    text = (
        f'{{"id": "chatcmpl-{request_id}", "object": "chat.completion.chunk", '
        f'"created": 0, "model": "m@v1", "choices": [{choices}]{rest}}}'
    )
    return chunk(f'data: {text}\n\n'.encode())


def answer(request_id: str, count: int) -> Iterator[bytes]:
    """Yield what is sent at each step of an answer."""
    choice = (
        '{"index": 0, "delta": {"role": "assistant", "content": "w%d "}, '
        '"finish_reason": null}'
    )
    for number in range(count):
        yield event(request_id, choice % number)
    stop = '{"index": 0, "delta": {}, "finish_reason": "stop"}'
    usage = f', "usage": {{"prompt_tokens": 1, "completion_tokens": {count}}}'
    yield (
        event(request_id, stop)
        + event(request_id, '', usage)
        + chunk(b'data: [DONE]\n\n')
        + b'0\r\n\r\n'
    )


def parse(received: bytes) -> tuple[dict[str, str], bytes, bytes] | None:
    """Return headers, body and the rest, or None when it is not whole."""
    head, separator, rest = received.partition(b'\r\n\r\n')
    if not separator:
        return None
    lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(': ') for line in lines[1:])
    headers = {name.lower(): text for name, _colon, text in pairs}
    headers['path'] = lines[0].split(' ')[1]
    length = int(headers.get('content-length', '0'))
    if len(rest) < length:
        return None
    return headers, rest[:length], rest[length:]


class Source:
    """All connections of the process."""

    def __init__(self, port: int) -> None:
        """Listen on a port."""
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server(('127.0.0.1', port), backlog=512)
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ, None)
        self.running: dict[int, Connection] = {}

    def run(self) -> None:
        """Serve until the process ends."""
        while True:
            for key, _mask in self.selector.select(0.0005):
                if key.data is None:
                    self._accept()
                else:
                    self._read(key.data)
            now = time.monotonic()
            for number, connection in list(self.running.items()):
                if connection.due <= now:
                    self._step(number, connection)

    def _accept(self) -> None:
        sock, _address = self.listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock)
        self.selector.register(sock, selectors.EVENT_READ, connection)

    def _read(self, connection: Connection) -> None:
        try:
            block = connection.sock.recv(READ_SIZE)
        except OSError:
            block = b''
        if not block:
            self._close(connection)
            return
        connection.received += block
        request = parse(connection.received)
        if request is not None:
            headers, body, rest = request
            connection.received = rest
            self._start(connection, headers, body)

    def _start(
        self, connection: Connection, headers: dict[str, str], body: bytes
    ) -> None:
        if headers['path'] != '/v1/chat/completions':
            connection.sock.send(NOT_FOUND)
            return
        count = json.loads(body).get('max_tokens') or DEFAULT_TOKENS
        connection.sock.send(HEAD)
        connection.events = answer(headers['x-request-id'], count)
        connection.due = time.monotonic() + FIRST_TOKEN.value
        self.running[connection.sock.fileno()] = connection

    def _step(self, number: int, connection: Connection) -> None:
        part = next(connection.events or iter(()), None)
        if part is None:
            self.running.pop(number)
            return
        connection.due += TOKEN.value
        try:
            connection.sock.send(part)
        except OSError:
            self._close(connection)

    def _close(self, connection: Connection) -> None:
        self.running.pop(connection.sock.fileno(), None)
        self.selector.unregister(connection.sock)
        connection.sock.close()


def main(_words: list[str]) -> None:
    """Serve on the given port."""
    sys.stdout.flush()
    Source(PORT.value).run()


if __name__ == '__main__':
    app.run(main)
