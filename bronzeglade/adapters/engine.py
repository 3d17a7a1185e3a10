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
        if self.complete:
            self.response.release_conn()
        else:
            self.response.close()

    def _events(self) -> Iterator[list[bytes]]:
        for lines in _lines(self.response):
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
                self.response.drain_conn()
                self.complete = True
                return


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[list[bytes]]:
    rest = b''
    for block in response.stream(_READ_SIZE):
        lines = (rest + block).split(b'\n')
        rest = lines.pop()
        if len(rest) > _LONGEST_LINE:
            raise ValueError('an event is too long')
        yield lines


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
