"""Client of model engines: OpenAI-compatible HTTP with streaming."""

import dataclasses
import datetime as dt
import json
from collections.abc import Iterator, Mapping
from typing import Any

import eventlet
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from bronzeglade.adapters import transport
from bronzeglade.time_slice import TimeSlice

_HTTP_OK = 200
_EVENT_PREFIX = b'data:'
_LINE_END = b'\r\n'
_LAST_CHUNK = b'0\r\n\r\n'
_END_MARKER = b'[DONE]'
# Maximum size of an event line or a chunk; a longer one ends the stream.
_MAX_LINE_BYTES = 1024 * 1024
# Bytes of an incomplete chunk with its size line, or of trailers.
_MAX_PENDING_BYTES = _MAX_LINE_BYTES + 1024
_READ_BYTES = 65536
# Bytes after the end marker that are read so that the connection can be reused.
_MAX_SURPLUS_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRefusal:
    """A reply with a status other than 200.

    `failure_of_status` derives from the status whether the request ran.
    """

    status: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRequest:
    """A chat completion to run on an engine.

    `priority` is 0 for the most urgent requests. With `resume_tokens` the
    stream starts after that many generated tokens.
    """

    request_id: str
    body: Mapping[str, Any]
    priority: int
    resume_tokens: int = 0


class EngineStream:
    """An open token stream.

    `complete` is set after the end marker, `drained` when the body has been
    read to its end, so that the connection can be reused.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        """Wrap a reply whose body has not been read."""
        self.response = response
        self.complete = False
        self.drained = False

    def batches(self) -> Iterator[list[bytes]]:
        """Yield the payloads of the events that arrived together.

        Connection errors end the iteration without setting `complete`.
        """
        try:
            yield from self._events()
        except (HTTPError, OSError, ValueError):
            self.close()

    def close(self) -> None:
        """Release the connection, or close it if the body was not read.

        Closing makes the engine cancel an unfinished request.
        """
        if self.drained:
            self.response.release_conn()
        else:
            self.response.close()

    def _events(self) -> Iterator[list[bytes]]:
        blocks = _blocks(self.response)
        for lines in _lines(blocks):
            payloads = [
                line[len(_EVENT_PREFIX) :].strip()
                for line in lines
                if line.startswith(_EVENT_PREFIX)
            ]
            ended = _END_MARKER in payloads
            if ended:
                del payloads[payloads.index(_END_MARKER) :]
            if payloads:
                yield payloads
            if ended:
                self.complete = True
                self.drained = _drain(blocks)
                return


def _drain(blocks: Iterator[bytes]) -> bool:
    """Read a body to its end, so that the connection can be reused.

    Returns:
      False if it is too long.
    """
    size = 0
    for block in blocks:
        size += len(block)
        if size > _MAX_SURPLUS_BYTES:
            return False
    return True


def _lines(blocks: Iterator[bytes]) -> Iterator[list[bytes]]:
    incomplete = b''
    for block in blocks:
        lines = (incomplete + block).split(b'\n')
        incomplete = lines.pop()
        if len(incomplete) > _MAX_LINE_BYTES:
            raise ValueError('line of the event stream exceeds 1 MiB')
        yield lines


def _blocks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    # Reads a chunked body directly: urllib3 returns one chunk at a time and
    # takes about 25 us for each, and engines send a chunk for each token.
    reply = getattr(response, '_fp', None)
    reader = getattr(reply, 'fp', None)
    if reader is None or not getattr(response, 'chunked', False):
        time_slice = TimeSlice()
        for block in response.stream(_READ_BYTES):
            time_slice.spend()
            time_slice.spend_bytes(len(block))
            yield block
        return
    yield from _chunked(reader)
    reply.close()  # type: ignore[union-attr]


def _chunked(reader: Any) -> Iterator[bytes]:
    received = b''
    time_slice = TimeSlice()
    while not received.startswith(_LAST_CHUNK):
        if len(received) > _MAX_PENDING_BYTES:
            raise ValueError('a chunk, its size or the trailers have no end')
        block = reader.read1(_READ_BYTES)
        if not block:
            raise ValueError('connection closed before the end of the body')
        time_slice.spend()
        time_slice.spend_bytes(len(block))
        content, received = split_chunks(received + block)
        if content:
            yield content


def split_chunks(received: bytes) -> tuple[bytes, bytes]:
    """Decode the complete chunks at the start of a chunked HTTP body.

    Args:
      received: bytes that start at the size line of a chunk.

    Returns:
      The content of the complete chunks, and the remaining bytes. These start
      with the last chunk (size 0) once it has arrived completely.

    Raises:
      ValueError: a chunk size is malformed or too large.
    """
    contents: list[bytes] = []
    start = 0
    while not received.startswith(_LAST_CHUNK, start):
        line_end = received.find(_LINE_END, start)
        if line_end < 0:
            break
        size = int(received[start:line_end].partition(b';')[0], 16)
        if not 0 <= size < _MAX_LINE_BYTES:
            raise ValueError('chunk size out of range')
        if not size:
            break  # the last chunk has not arrived completely
        content = line_end + len(_LINE_END)
        if len(received) < content + size + len(_LINE_END):
            break
        contents.append(received[content : content + size])
        start = content + size + len(_LINE_END)
    return b''.join(contents), received[start:]


def open_stream(
    pool: urllib3.PoolManager,
    address: str,
    request: EngineRequest,
    timeout: urllib3.Timeout,
) -> Result[EngineStream, transport.CallFailure | EngineRefusal]:
    """Start a chat completion and return its stream.

    Args:
      pool: connections to use.
      address: IP address and port of the engine.
      request: the completion.
      timeout: limits on connecting and on each read.

    Returns:
      The stream, or the error: a call without a reply or a reply other than
      200.
    """
    document = {
        **request.body,
        'stream': True,
        'stream_options': {'include_usage': True},
    }
    try:
        response = pool.request(
            'POST',
            f'http://{address}/v1/chat/completions',
            body=json.dumps(document).encode(),
            headers=_headers(request),
            timeout=timeout,
            preload_content=False,
            redirect=False,
        )
    except HTTPError as error:
        return Err(transport.classify_error(error))
    if response.status != _HTTP_OK:
        return Err(_refusal(response))
    return Ok(EngineStream(response))


def _headers(request: EngineRequest) -> dict[str, str]:
    headers = {
        'Content-Type': 'application/json',
        'X-Request-Id': request.request_id,
        'X-Priority': str(request.priority),
    }
    if request.resume_tokens:
        headers['X-Resume-Tokens'] = str(request.resume_tokens)
    return headers


def _refusal(response: urllib3.BaseHTTPResponse) -> EngineRefusal:
    # A refusal names no request. Without its connection, an engine cannot
    # repeat it when the reply to the next request is expected.
    connection = response.connection
    try:
        detail = response.read(_READ_BYTES).decode(errors='replace')
    except HTTPError as error:
        detail = str(error)
    response.close()
    if connection is not None:
        # The pool has the connection back once the body has been read.
        connection.close()
    return EngineRefusal(response.status, detail)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Numbers of requests that an engine reports; the report may be stale."""

    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Cache events after a sequence number.

    An event is its sequence number, the hash of a block, and whether the block
    was added (true) or removed. `next` is the argument
    `since` of the next read.
    """

    events: tuple[tuple[int, str, bool], ...]
    next: int


# Raised when an engine's document is not what it should be.
_DOCUMENT_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    OverflowError,
    RecursionError,
)
_MAX_DIGITS = 9  # of a number of requests


def _read_page(
    pool: urllib3.PoolManager, url: str, timeout: dt.timedelta
) -> bytes | None:
    # The limits on each read never end an answer that goes on and on.
    with eventlet.Timeout(timeout.total_seconds(), False):
        reply = transport.call(pool, 'GET', url, timeout)
        if isinstance(reply, Ok) and reply.ok_value.status == _HTTP_OK:
            return reply.ok_value.body
    return None


def read_load(
    pool: urllib3.PoolManager, address: str, timeout: dt.timedelta
) -> EngineLoad | None:
    """Read the load of an engine, or None if it does not report it.

    Args:
      pool: connections to use.
      address: IP address and port of the engine.
      timeout: limit on the whole call.
    """
    page = _read_page(pool, f'http://{address}/metrics', timeout)
    if page is None:
        return None
    gauges = _parse_gauges(page.decode(errors='replace'))
    running = gauges.get('engine_requests_running')
    waiting = gauges.get('engine_requests_waiting')
    if running is None or waiting is None:
        return None
    return EngineLoad(running, waiting)


def _parse_gauges(text: str) -> dict[str, int]:
    gauges: dict[str, int] = {}
    for line in text.splitlines():
        name, _, number = line.rpartition(' ')
        is_number = number.isascii() and number.isdecimal()
        if is_number and len(number) <= _MAX_DIGITS:
            gauges[name] = int(number)
    return gauges


def read_cache_events(
    pool: urllib3.PoolManager, address: str, since: int, timeout: dt.timedelta
) -> CacheEvents | None:
    """Read the cache events of an engine, or None if it does not report them.

    Args:
      pool: connections to use.
      address: IP address and port of the engine.
      since: only events after this sequence number are returned.
      timeout: limit on the whole call.
    """
    url = f'http://{address}/cache/events?since={since}'
    page = _read_page(pool, url, timeout)
    if page is None:
        return None
    try:
        return _parse_cache_events(json.loads(page))
    except _DOCUMENT_ERRORS:
        return None


def _parse_cache_events(document: Any) -> CacheEvents:
    events = tuple(
        (int(event['seq']), str(event['hash']), event['action'] == 'added')
        for event in document['events']
    )
    return CacheEvents(events, int(document['next']))


def stream_timeout(
    connect: dt.timedelta, read: dt.timedelta
) -> urllib3.Timeout:
    """Return the time limits of a stream.

    Args:
      connect: limit on connecting.
      read: limit on each read.
    """
    return urllib3.Timeout(
        connect=connect.total_seconds(), read=read.total_seconds()
    )
