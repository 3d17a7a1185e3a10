"""Endpoint that answers with bytes without end, and the callers that read them.

A process of its own, so that its work does not delay the callers of a test.
What the endpoint sends is drawn from a seed. The process ends when the router
has closed all connections to the endpoint.
"""

import dataclasses
import random
import socket
import sys
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from fleet.platform import API_HOST, API_KEY, POLL_INTERVAL_S
from fleet.ports import HOST
from fleet.raw_worker import RawConnection, RawWorker

FLOODS = 4
STREAM_PATH, BODY_PATH = '/chat/x', '/bulk/x'
TIMEOUT_MS = 20_000
HEAD_PIECES = (
    *(
        b'x',
        b'\0',
        b'\r\n',
        b'A: b\r\n',
        b'HTTP/1.1 200 ',
        b'HTTP/1.1 200 OK\r\n',
    ),
    b'HTTP/1.1 100 Continue\r\n\r\n',
)
BODY_PIECES = (
    *(b'\n', b'\r\n', b'\r', b': \n\n', b'data: y\n\n', b'\0', b'\0\n\n'),
    *(b'id: 1\ndata: x\n\n', b'x', b'data: y\n', b'0\r\n', b'A: b\r\n'),
)
CHUNK_BYTES = (1, 2, 7, 64, 1000, 60_000)
BLOCK_BYTES = (1, 40, 1500, 65_536, 400_000)
MAX_READ_BYTES = 1 << 20
MAX_CHUNKS = 20_000  # of a block


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """An answer without end: its first bytes, then a block that repeats.

    `REQUEST` in the first bytes stands for the id of the request.
    """

    path: str
    start: bytes
    block: bytes


def draw_flood(rng: random.Random) -> Flood:
    """Return a flood with a random place, framing, piece and block size."""
    path = rng.choice((STREAM_PATH, BODY_PATH))
    framing = rng.choice(('head', 'none', 'length', 'chunked', 'trailers'))
    size = rng.choice(BLOCK_BYTES)
    if framing == 'head':
        start = rng.choice((b'', b'HTTP/1.1 200 OK\r\n'))
        return Flood(path, start, _repeat(rng.choice(HEAD_PIECES), size))
    fields = {
        'none': b'',
        'length': b'Content-Length: 99999999999\r\n',
    }.get(framing, b'Transfer-Encoding: chunked\r\n')
    start = (
        b'HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\n'
        b'Server-Signature: flood.REQUEST\r\n'
        b'Content-Type: text/event-stream\r\n%s\r\n' % fields
    )
    content = _repeat(rng.choice(BODY_PIECES), size)
    if framing == 'chunked':
        content = _chunks(content, rng.choice(CHUNK_BYTES))
    if framing == 'trailers':
        start += b'0\r\n'
    return Flood(path, start, content)


def draw_floods(seed: int) -> list[Flood]:
    """Return the floods of a run; the same seed gives the same ones."""
    rng = random.Random(seed)
    return [draw_flood(rng) for _ in range(FLOODS)]


def _repeat(piece: bytes, size: int) -> bytes:
    return piece * max(1, size // len(piece))


def _chunks(content: bytes, size: int) -> bytes:
    starts = range(0, len(content), size)[:MAX_CHUNKS]
    chunks = [content[start : start + size] for start in starts]
    return b''.join(b'%x\r\n%s\r\n' % (len(chunk), chunk) for chunk in chunks)


class FloodingWorker:
    """The endpoint; each flood is the answer to the request with its number."""

    def __init__(self, port: int, floods: Sequence[Flood]) -> None:
        """Listen on a port."""
        self.floods = floods
        self.worker = RawWorker(port, self.answer)
        self.open = 0
        self.lock = threading.Lock()

    def answer(self, connection: RawConnection) -> None:
        """Flood a connection until the router closes it."""
        with self.lock:
            self.open += 1
        try:
            self._flood(connection)
        finally:
            with self.lock:
                self.open -= 1

    def _flood(self, connection: RawConnection) -> None:
        request_id = connection.read_request()
        flood = self.floods[int(request_id.rpartition('-')[2])]
        start = flood.start.replace(b'REQUEST', request_id.encode())
        connection.sock.sendall(start)
        while True:
            connection.sock.sendall(flood.block)


def read_answer(port: int, flood: Flood, number: int, seconds: float) -> None:
    """Send a request, and read its answer until it ends or for a time."""
    lines = [
        f'POST {flood.path} HTTP/1.1',
        f'Host: {API_HOST}',
        f'Request-Id: flood-{number}',
        f'Credential: {API_KEY}',
        f'Deadline-Ms: {TIMEOUT_MS}',
        'Content-Length: 0',
    ]
    until = time.monotonic() + seconds
    with socket.create_connection((HOST, port)) as sock:
        sock.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode())
        ended = False
        while not ended and time.monotonic() < until:
            sock.settimeout(seconds)
            try:
                ended = not sock.recv(MAX_READ_BYTES)
            except OSError:
                ended = True


def main() -> None:
    """Run the endpoint and its callers."""
    values = flags.FlagValues()
    for name in ('worker_port', 'router_port', 'seed'):
        flags.DEFINE_integer(name, 0, name, flag_values=values)
    flags.DEFINE_float(
        'seconds', 5, 'How long callers read.', flag_values=values
    )
    flags.DEFINE_string(
        'start_file', '', 'The callers wait for it.', flag_values=values
    )
    values(sys.argv)
    floods = draw_floods(values.seed)
    worker = FloodingWorker(values.worker_port, floods)
    threads = [
        threading.Thread(
            target=read_answer,
            args=(values.router_port, flood, number, values.seconds),
        )
        for number, flood in enumerate(floods)
    ]
    while not Path(values.start_file).exists():
        time.sleep(POLL_INTERVAL_S)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    while worker.open:
        time.sleep(POLL_INTERVAL_S)


if __name__ == '__main__':
    main()
