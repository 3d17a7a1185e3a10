"""Model engines: OpenAI-compatible HTTP with streaming."""

import dataclasses
import datetime as dt
import json
from collections.abc import Iterator, Mapping
from typing import Any

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from bronzeglade.adapters import transport

_HTTP_OK = 200
_EVENT_PREFIX = b'data:'
_LINE_END = b'\r\n'
_LAST_CHUNK = b'0\r\n\r\n'
_END_MARKER = b'[DONE]'
_LONGEST_LINE = 1024 * 1024  # bytes; a longer event ends the stream
_READ_SIZE = 65536  # bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRefusal:
    """A reply other than 200; `failure_of_status` tells what it proves."""

    status: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRequest:
    """A chat completion for an engine.

    `priority` is 0 for the most urgent work. With `resume_tokens` the stream
    starts after that many generated tokens.
    """

    request_id: str
    body: Mapping[str, Any]
    priority: int
    resume_tokens: int = 0


class EngineStream:
    """An open token stream."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        """Wrap a reply whose body is not read yet."""
        self.response = response
        self.complete = False
        self.drained = False

    def batches(self) -> Iterator[list[bytes]]:
        """Yield the payloads of the events that arrived together.

        `complete` is true after the end marker only. Errors of the connection
        end the iteration.
        """
        try:
            yield from self._events()
        except (HTTPError, OSError, ValueError):
            self.close()

    def close(self) -> None:
        """Drop the connection; the engine cancels an unfinished request."""
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
                # The connection is used again only when its body is read.
                for _block in blocks:
                    continue
                self.drained = True
                return


def _lines(blocks: Iterator[bytes]) -> Iterator[list[bytes]]:
    rest = b''
    for block in blocks:
        lines = (rest + block).split(b'\n')
        rest = lines.pop()
        if len(rest) > _LONGEST_LINE:
            raise ValueError('an event is too long')
        yield lines


def _blocks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    # urllib3 takes about 25 us for each HTTP chunk and returns one at a time;
    # engines send a chunk for each token.
    reply = getattr(response, '_fp', None)
    reader = getattr(reply, 'fp', None)
    if reader is None or not getattr(response, 'chunked', False):
        yield from response.stream(_READ_SIZE)
        return
    yield from _chunked(reader)
    reply.close()  # type: ignore[union-attr]


def _chunked(reader: Any) -> Iterator[bytes]:
    received = b''
    while not received.startswith(_LAST_CHUNK):
        block = reader.read1(_READ_SIZE)
        if not block:
            raise ValueError('the connection ended inside the body')
        content, received = split_chunks(received + block)
        if content:
            yield content


def split_chunks(received: bytes) -> tuple[bytes, bytes]:
    """Split a chunked HTTP body into content and what is not whole yet.

    Args:
      received: starts at the size of a chunk.

    Returns:
      The content of the whole chunks and the rest, which starts at the last
      chunk when that has arrived.

    Raises:
      ValueError: a size is not valid or a chunk is too long.
    """
    parts: list[bytes] = []
    start = 0
    while not received.startswith(_LAST_CHUNK, start):
        line_end = received.find(_LINE_END, start)
        if line_end < 0:
            break
        size = int(received[start:line_end].partition(b';')[0], 16)
        if not 0 <= size < _LONGEST_LINE:
            raise ValueError('the size of a chunk is not valid')
        if not size:
            break  # the rest of the last chunk has not arrived
        body = line_end + len(_LINE_END)
        if len(received) < body + size + len(_LINE_END):
            break
        parts.append(received[body : body + size])
        start = body + size + len(_LINE_END)
    return b''.join(parts), received[start:]


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
      timeout: limits to connect and on each read.

    Returns:
      The stream, a refusal by the engine, or a failed call.
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
        return Err(transport.failure_of(error))
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
    try:
        detail = response.read(_READ_SIZE).decode(errors='replace')
    except HTTPError as error:
        detail = str(error)
    response.close()
    return EngineRefusal(response.status, detail)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPage:
    """What an engine reports of its load, as of some time ago."""

    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class CachePage:
    """Cache events after a sequence number; `next` is the one to ask for."""

    events: tuple[tuple[int, str, bool], ...]
    next: int


def read_load(
    pool: urllib3.PoolManager, address: str, timeout: dt.timedelta
) -> LoadPage | None:
    """Read the load page of an engine, or None when it gives none."""
    url = f'http://{address}/metrics'
    reply = transport.call(pool, 'GET', url, timeout)
    if isinstance(reply, Err) or reply.ok_value.status != _HTTP_OK:
        return None
    gauges = _gauges(reply.ok_value.body.decode(errors='replace'))
    running = gauges.get('engine_requests_running')
    waiting = gauges.get('engine_requests_waiting')
    if running is None or waiting is None:
        return None
    return LoadPage(running, waiting)


def _gauges(text: str) -> dict[str, int]:
    found: dict[str, int] = {}
    for line in text.splitlines():
        name, _, number = line.rpartition(' ')
        if number.isdecimal():
            found[name] = int(number)
    return found


def read_cache_events(
    pool: urllib3.PoolManager, address: str, since: int, timeout: dt.timedelta
) -> CachePage | None:
    """Read the cache events of an engine, or None when it gives none.

    Args:
      pool: connections to use.
      address: IP address and port of the engine.
      since: sequence number after which events are wanted.
      timeout: limit on connecting and on each read.
    """
    url = f'http://{address}/cache/events?since={since}'
    reply = transport.call(pool, 'GET', url, timeout)
    if isinstance(reply, Err) or reply.ok_value.status != _HTTP_OK:
        return None
    try:
        return _cache_page(json.loads(reply.ok_value.body))
    except (ValueError, KeyError, TypeError):
        return None


def _cache_page(document: Any) -> CachePage:
    events = tuple(
        (int(one['seq']), str(one['hash']), one['action'] == 'added')
        for one in document['events']
    )
    return CachePage(events, int(document['next']))


def stream_timeout(
    connect: dt.timedelta, read: dt.timedelta
) -> urllib3.Timeout:
    """Return the limits of a stream.

    Args:
      connect: limit to connect.
      read: limit on each read.
    """
    return urllib3.Timeout(
        connect=connect.total_seconds(), read=read.total_seconds()
    )
