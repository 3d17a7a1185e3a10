"""Endpoints of the tests: they follow a script on each connection."""

import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import eventlet
from eventlet.green import socket

LOOPBACK = '127.0.0.1'

Script = Callable[['Peer'], None]


@dataclasses.dataclass(slots=True)
class Peer:
    """One connection at a scripted endpoint."""

    sock: Any
    endpoint: 'ScriptedEndpoint'
    buffer: bytes = b''

    def read_head(self) -> dict[str, str]:
        """Read a request; return its headers and its first line."""
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
        """Read a request with its body and note it."""
        fields = self.read_head()
        length = int(fields.get('content-length', '0'))
        while len(self.buffer) < length:
            self.buffer += self.sock.recv(65536)
        fields['body'] = self.buffer[:length].decode('latin-1')
        self.buffer = self.buffer[length:]
        self.endpoint.seen.append(fields)
        return fields

    def send(self, text: str) -> None:
        """Send bytes."""
        self.sock.sendall(text.encode())

    def answer(
        self,
        request: Mapping[str, str],
        body: str = 'done',
        status: int = 200,
        extra: Sequence[str] = (),
    ) -> None:
        """Send a whole signed answer to a request."""
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

    def chunk(self, text: str) -> None:
        """Send a chunk of a stream; an empty one ends it."""
        self.send(f'{len(text):x}\r\n{text}\r\n')

    def event(self, number: int) -> None:
        """Send a whole event."""
        self.chunk(event_text(number))

    def reset(self) -> None:
        """Reset the connection."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
        self.sock.close()


def event_text(number: int) -> str:
    """Return the text of an event."""
    return f'id: {number}\ndata: piece {number}\n\n'


class ScriptedEndpoint:
    """An endpoint on loopback that follows a script on each connection."""

    def __init__(self, script: Script) -> None:
        """Listen on a free port; `seen` holds the requests read."""
        self.script = script
        self.seen: list[dict[str, str]] = []
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
            self.script(Peer(sock, self))
        except (ConnectionError, OSError):
            # The router closed the connection.
            self.ended += 1


def answering(peer: Peer) -> None:
    """Answer every request."""
    while True:
        peer.answer(peer.read_request())


def resetting(peer: Peer) -> None:
    """Reset the connection once a request is there."""
    peer.read_request()
    peer.reset()


def forgetting(peer: Peer) -> None:
    """Answer one request, and reset the connection at the next."""
    peer.answer(peer.read_request())
    peer.read_request()
    peer.reset()


def refusing(peer: Peer) -> None:
    """Refuse every request without running it."""
    while True:
        peer.answer(peer.read_request(), 'full', 503, ('Not-Run: 1',))


def silent(peer: Peer) -> None:
    """Read a request and never answer."""
    peer.read_request()
    peer.read_request()


def streaming(first: int, last: int) -> Script:
    """Return a script that streams some events to a whole end."""

    def script(peer: Peer) -> None:
        peer.begin_stream(peer.read_request())
        for number in range(first, last + 1):
            peer.event(number)
        peer.chunk('')
        peer.read_request()

    return script


def cut_after(last: int, rest: str = '') -> Script:
    """Return a script that resets a stream after an event and some bytes."""

    def script(peer: Peer) -> None:
        peer.begin_stream(peer.read_request())
        for number in range(1, last + 1):
            peer.event(number)
        if rest:
            peer.chunk(rest)
        eventlet.sleep(0.05)
        peer.reset()

    return script


def sending(rest: str, reset: bool = False) -> Script:
    """Return a script that sends a signed answer as given and ends.

    Args:
      rest: further headers, the empty line and the body.
      reset: whether the connection is reset rather than closed.
    """

    def script(peer: Peer) -> None:
        request = peer.read_request()
        head = f'HTTP/1.1 200 OK\r\nId: {request["id"]}\r\nSignature: s\r\n'
        peer.send(head + rest)
        if reset:
            eventlet.sleep(0.05)
            peer.reset()
        else:
            peer.sock.close()

    return script
