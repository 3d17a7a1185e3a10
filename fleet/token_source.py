"""A lightweight engine that streams generated events at a fixed rate.

Load tests use it because the engine stand-in needs too much CPU time per event
to load the router to its limit on one machine.
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
FIRST_TOKEN = flags.DEFINE_float(
    'first_token', 0.05, 'Seconds to the first token.'
)
TOKEN = flags.DEFINE_float('token', 0.01, 'Seconds between tokens.')

RESPONSE_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
DEFAULT_TOKENS = 16
READ_SIZE_BYTES = 65536


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection with at most one answer in progress.

    `due` is the monotonic time at which the next block is sent.
    """

    sock: socket.socket
    received: bytes = b''
    events: Iterator[bytes] | None = None
    due: float = 0


def encode_chunk(body: bytes) -> bytes:
    """Encode a body as an HTTP chunk."""
    return b'%x\r\n%s\r\n' % (len(body), body)


def event_chunk(request_id: str, choices: str, members: str = '') -> bytes:
    """Return an HTTP chunk with one server-sent event.

    Args:
      request_id: id of the completion.
      choices: JSON of the choices.
      members: additional JSON members, each preceded by a comma.
    """
    text = (
        f'{{"id": "chatcmpl-{request_id}", "object": "chat.completion.chunk", '
        f'"created": 0, "model": "m@v1", "choices": [{choices}]{members}}}'
    )
    return encode_chunk(f'data: {text}\n\n'.encode())


def answer_blocks(request_id: str, count: int) -> Iterator[bytes]:
    """Yield the blocks of an answer: one per token, then the end."""
    choice_template = (
        '{"index": 0, "delta": {"role": "assistant", "content": "w%d "}, '
        '"finish_reason": null}'
    )
    for index in range(count):
        yield event_chunk(request_id, choice_template % index)
    stop = '{"index": 0, "delta": {}, "finish_reason": "stop"}'
    usage = f', "usage": {{"prompt_tokens": 1, "completion_tokens": {count}}}'
    yield (
        event_chunk(request_id, stop)
        + event_chunk(request_id, '', usage)
        + encode_chunk(b'data: [DONE]\n\n')
        + b'0\r\n\r\n'
    )


def parse_request(
    received: bytes,
) -> tuple[dict[str, str], bytes, bytes] | None:
    """Parse the first request of the received bytes.

    Returns:
      Headers, with the path under `path`; body; and the bytes after it. None
      if the request is incomplete.
    """
    head, separator, remaining = received.partition(b'\r\n\r\n')
    if not separator:
        return None
    lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(': ') for line in lines[1:])
    headers = {name.lower(): text for name, _colon, text in pairs}
    headers['path'] = lines[0].split(' ')[1]
    length = int(headers.get('content-length', '0'))
    if len(remaining) < length:
        return None
    return headers, remaining[:length], remaining[length:]


class TokenServer:
    """A single-threaded HTTP server that sends all answers from one loop."""

    def __init__(self, port: int) -> None:
        """Listen on a port."""
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server(('127.0.0.1', port), backlog=512)
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ, None)
        self.streaming: dict[int, Connection] = {}

    def run(self) -> None:
        """Serve until the process ends."""
        while True:
            for key, _mask in self.selector.select(0.0005):
                if key.data is None:
                    self._accept()
                else:
                    self._read(key.data)
            now = time.monotonic()
            for descriptor, connection in list(self.streaming.items()):
                if connection.due <= now:
                    self._send_next(descriptor, connection)

    def _accept(self) -> None:
        sock, _address = self.listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock)
        self.selector.register(sock, selectors.EVENT_READ, connection)

    def _read(self, connection: Connection) -> None:
        try:
            block = connection.sock.recv(READ_SIZE_BYTES)
        except OSError:
            block = b''
        if not block:
            self._close(connection)
            return
        connection.received += block
        request = parse_request(connection.received)
        if request is not None:
            headers, body, remaining = request
            connection.received = remaining
            self._start_answer(connection, headers, body)

    def _start_answer(
        self, connection: Connection, headers: dict[str, str], body: bytes
    ) -> None:
        if headers['path'] != '/v1/chat/completions':
            connection.sock.send(NOT_FOUND)
            return
        count = json.loads(body).get('max_tokens') or DEFAULT_TOKENS
        connection.sock.send(RESPONSE_HEAD)
        connection.events = answer_blocks(headers['x-request-id'], count)
        connection.due = time.monotonic() + FIRST_TOKEN.value
        self.streaming[connection.sock.fileno()] = connection

    def _send_next(self, descriptor: int, connection: Connection) -> None:
        block = next(connection.events or iter(()), None)
        if block is None:
            self.streaming.pop(descriptor)
            return
        connection.due += TOKEN.value
        try:
            connection.sock.send(block)
        except OSError:
            self._close(connection)

    def _close(self, connection: Connection) -> None:
        self.streaming.pop(connection.sock.fileno(), None)
        self.selector.unregister(connection.sock)
        connection.sock.close()


def main(_argv: list[str]) -> None:
    """Serve on the given port."""
    sys.stdout.flush()
    TokenServer(PORT.value).run()


if __name__ == '__main__':
    app.run(main)
