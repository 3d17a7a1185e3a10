"""Test endpoints that follow a script on each connection."""

import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import eventlet
from eventlet.green import socket

LOOPBACK = '127.0.0.1'

Script = Callable[['ScriptedConnection'], None]


@dataclasses.dataclass(slots=True)
class ScriptedConnection:
    """An accepted connection of a scripted endpoint."""

    sock: Any
    endpoint: 'ScriptedEndpoint'
    buffer: bytes = b''

    def read_head(self) -> dict[str, str]:
        """Read a request head; return its headers and its first line."""
        while b'\r\n\r\n' not in self.buffer:
            received = self.sock.recv(65536)
            if not received:
                raise ConnectionError('closed')
            self.buffer += received
        head, rest = self.buffer.split(b'\r\n\r\n', 1)
        self.buffer = rest
        lines = head.decode().split('\r\n')
        fields = dict(line.lower().split(': ', 1) for line in lines[1:])
        fields['line'] = lines[0]
        return fields

    def read_request(self) -> dict[str, str]:
        """Read a request with its body and record it in `requests`."""
        fields = self.read_head()
        length = int(fields.get('content-length', '0'))
        while len(self.buffer) < length:
            self.buffer += self.sock.recv(65536)
        fields['body'] = self.buffer[:length].decode('latin-1')
        self.buffer = self.buffer[length:]
        self.endpoint.requests.append(fields)
        return fields

    def send(self, text: str) -> None:
        """Send text as it is."""
        self.sock.sendall(text.encode())

    def answer(
        self,
        request: Mapping[str, str],
        body: str = 'done',
        status: int = 200,
        extra: Sequence[str] = (),
    ) -> None:
        """Send a complete signed answer to a request."""
        lines = [
            f'HTTP/1.1 {status} Status',
            f'Id: {request["id"]}',
            'Signature: s',
            f'Content-Length: {len(body)}',
            *extra,
        ]
        self.send('\r\n'.join(lines) + '\r\n\r\n' + body)

    def begin_stream(
        self, request: Mapping[str, str], extra: Sequence[str] = ()
    ) -> None:
        """Send the head of a stream."""
        lines = [
            'HTTP/1.1 200 OK',
            f'Id: {request["id"]}',
            'Signature: s',
            'Transfer-Encoding: chunked',
            *extra,
        ]
        self.send('\r\n'.join(lines) + '\r\n\r\n')

    def send_chunk(self, text: str) -> None:
        """Send a chunk of a stream; an empty one ends it."""
        self.send(f'{len(text):x}\r\n{text}\r\n')

    def send_event(self, number: int) -> None:
        """Send a complete event as one chunk."""
        self.send_chunk(event_text(number))

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
        self.sock.close()


def event_text(number: int) -> str:
    """Return the text of a numbered event."""
    return f'id: {number}\ndata: piece {number}\n\n'


class ScriptedEndpoint:
    """An endpoint on loopback that follows a script on each connection."""

    def __init__(self, script: Script) -> None:
        """Listen on a free port.

        `requests` holds the requests read; `ended` counts connections that the
        router closed.
        """
        self.script = script
        self.requests: list[dict[str, str]] = []
        self.connections = 0
        self.ended = 0
        self.listener = eventlet.listen((LOOPBACK, 0))
        self.port = self.listener.getsockname()[1]
        eventlet.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _peer = self.listener.accept()
            self.connections += 1
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        try:
            self.script(ScriptedConnection(sock, self))
        except (ConnectionError, OSError):
            # The router closed the connection.
            self.ended += 1


def answering(connection: ScriptedConnection) -> None:
    """Answer each request."""
    while True:
        connection.answer(connection.read_request())


def resetting(connection: ScriptedConnection) -> None:
    """Reset the connection after reading a request."""
    connection.read_request()
    connection.reset()


def resetting_second(connection: ScriptedConnection) -> None:
    """Answer one request, and reset the connection after the second."""
    connection.answer(connection.read_request())
    connection.read_request()
    connection.reset()


def refusing(connection: ScriptedConnection) -> None:
    """Refuse each request without running it."""
    while True:
        connection.answer(
            connection.read_request(), 'full', 503, ('Not-Run: 1',)
        )


def silent(connection: ScriptedConnection) -> None:
    """Read a request and never answer."""
    connection.read_request()
    connection.read_request()


def streaming(first: int, last: int) -> Script:
    """Return a script that sends a complete stream of numbered events."""

    def script(connection: ScriptedConnection) -> None:
        connection.begin_stream(connection.read_request())
        for number in range(first, last + 1):
            connection.send_event(number)
        connection.send_chunk('')
        connection.read_request()

    return script


def reset_after(last: int, rest: str = '') -> Script:
    """Return a script that resets a stream after an event.

    Args:
      last: number of the last event.
      rest: bytes to send between that event and the reset.
    """

    def script(connection: ScriptedConnection) -> None:
        connection.begin_stream(connection.read_request())
        for number in range(1, last + 1):
            connection.send_event(number)
        if rest:
            connection.send_chunk(rest)
        eventlet.sleep(0.05)
        connection.reset()

    return script


def sending(rest: str, reset: bool = False) -> Script:
    """Return a script that sends one signed answer and then closes.

    Args:
      rest: further headers, the empty line and the body, sent as given.
      reset: whether to reset the connection rather than close it.
    """

    def script(connection: ScriptedConnection) -> None:
        request = connection.read_request()
        head = f'HTTP/1.1 200 OK\r\nId: {request["id"]}\r\nSignature: s\r\n'
        connection.send(head + rest)
        if reset:
            eventlet.sleep(0.05)
            connection.reset()
        else:
            connection.sock.close()

    return script
