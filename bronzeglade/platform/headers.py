"""Parsing and building of the platform's HTTP headers.

The platform's headers call a team a tenant and an endpoint a server, an
instance or a worker.
"""

import dataclasses
import datetime as dt
import functools
import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from result import Err, Ok, Result

from bronzeglade.forwarding.message import (
    AnswerFacts,
    Dispatch,
    Headers,
    LoadReport,
    PromptSegment,
    RequestFacts,
    RequestHead,
)
from bronzeglade.outcome import Refusal

_MILLISECOND = dt.timedelta(milliseconds=1)
# Used when the Retry-After header of an endpoint cannot be parsed.
_DEFAULT_RETRY_AFTER = dt.timedelta(seconds=1)
_HTTP_UNAVAILABLE = 503
# Another endpoint has the address now; the request did not run.
_HTTP_MISDIRECTED = 421
# With any other status, the request may have run despite Not-Executed.
_REFUSAL_STATUSES = frozenset((400, 408, 421, 429, 503))
ANY_MODEL = '*'  # the router may choose the model
# Deadlines are times since the start of the machine plus a time limit.
_MAX_TIME_LIMIT = dt.timedelta(days=365)
# Counts of all nodes together stay within 64 bits, and within floating point.
_MAX_COUNT = 2**31 - 1
_MAX_RATE = 1e6  # requests per second; a higher limit never takes effect
_MAX_LOGGED_CHARS = 40  # of the value of an unreadable header
_SLOWDOWN_INDEX = 3  # among the figures of Server-Load

# Hop-by-hop headers, which are not forwarded, and headers that the router sets
# for each connection itself.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
# Headers that callers cannot pass to endpoints: API keys, and headers that only
# the router or the platform may set.
_RESERVED = frozenset(
    (
        b'credential',
        b'tenant',
        b'deadline-ms',
        b'expect-instance',
        b'expect-version',
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-from',
        b'kv-fetch',
        b'request-priority',
    )
)

Parsed = TypeVar('Parsed')


class PlatformHeaders:
    """The `Dialect` that the platform's callers and endpoints use."""

    def read_request(self, head: RequestHead) -> Result[RequestFacts, Refusal]:
        """Parse the headers of a request.

        Returns:
          The parsed headers, or a refusal with status 400 for a missing id or
          a malformed header.
        """
        fields = {
            name.lower(): content.decode('latin-1').strip()
            for name, content in head.headers
        }
        request_id = fields.get(b'request-id', '')
        if not request_id:
            message = 'the Request-Id header is missing or empty'
            return Err(Refusal(400, 'no_request_id', message))
        try:
            return Ok(_parse_request(request_id, fields))
        except (ValueError, OverflowError) as error:
            return Err(Refusal(400, 'invalid_header', str(error)))

    def endpoint_headers(
        self, head: RequestHead, dispatch: Dispatch, length: int
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to an endpoint.

        Args:
          head: the request as received from the caller.
          dispatch: the values that the router adds.
          length: size of the body in bytes.
        """
        added: list[tuple[bytes, bytes]] = [
            (b'Expect-Instance', dispatch.instance.encode())
        ]
        if dispatch.time_remaining is not None:
            # Deadline-Ms holds the time that remains, not a point in time.
            remaining_ms = max(1, dispatch.time_remaining // _MILLISECOND)
            added.append((b'Deadline-Ms', str(remaining_ms).encode()))
        if dispatch.team is not None:
            added.append((b'Tenant', dispatch.team.encode()))
        if dispatch.priority is not None:
            # Request-Priority has one digit; 0 is the most urgent.
            priority = min(9, max(0, dispatch.priority))
            added.append((b'Request-Priority', str(priority).encode()))
        replaced = set(_RESERVED)
        if dispatch.model is not None:
            replaced.add(b'model')
            added.append((b'Model', _encode_model(dispatch.model, head)))
        if dispatch.resume_after is not None:
            replaced.add(b'last-event-id')
            event_id = str(dispatch.resume_after).encode()
            added.append((b'Last-Event-Id', event_id))
        dropped = replaced | _HOP_BY_HOP | _connection_options(head.headers)
        forwarded = [
            (name, content)
            for name, content in head.headers
            if name.lower() not in dropped
        ]
        if length or head.method not in {b'GET', b'HEAD', b'DELETE'}:
            added.append((b'Content-Length', str(length).encode()))
        return [*forwarded, *added]

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Parse the head of an endpoint's answer.

        An unreadable header is ignored and listed in `unreadable`; the answer
        is still valid. An unreadable Retry-After counts as one second.
        Server-Limit holds requests per second, for all nodes together.
        """
        fields = {
            name.lower(): content.decode('latin-1').strip()
            for name, content in headers
        }
        dropped = _HOP_BY_HOP | _connection_options(headers)
        unreadable: list[str] = []
        read = functools.partial(_parse_optional, fields, unreadable)
        leaving = read(b'server-leaving', _parse_flag)
        refused = b'not-executed' in fields and status in _REFUSAL_STATUSES
        no_work_for: dt.timedelta | None = None
        if status == _HTTP_UNAVAILABLE and b'retry-after' in fields:
            retry_after = read(b'retry-after', _parse_seconds)
            no_work_for = (
                _DEFAULT_RETRY_AFTER if retry_after is None else retry_after
            )
        rate_limit: float | None = math.inf
        if b'server-limit' in fields:
            rate_limit = read(b'server-limit', _parse_rate)
        return AnswerFacts(
            status=status,
            headers=[
                header for header in headers if header[0].lower() not in dropped
            ],
            request_id=fields.get(b'request-id'),
            signed=b'server-signature' in fields,
            not_run=refused or status == _HTTP_MISDIRECTED,
            misdirected=status == _HTTP_MISDIRECTED,
            encoded=fields.get(b'content-encoding', 'identity') != 'identity',
            load=_read_load(read),
            confidence=read(b'confidence', _parse_confidence),
            idle_limit=read(b'keep-alive', _parse_idle_limit),
            leaving=bool(leaving),
            no_work_for=no_work_for,
            rate_limit=rate_limit,
            cold_for=read(b'cold-ms', _parse_milliseconds),
            unreadable=tuple(unreadable),
        )

    def refusal_headers(
        self, refusal: Refusal, request_id: str | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a refusal to a caller.

        Retry-After keeps fractions of a second, which callers of the platform
        honour.
        """
        headers = [(b'Content-Type', b'text/plain')]
        if request_id is not None:
            headers.append((b'Request-Id', request_id.encode('latin-1')))
        if refusal.retry_after is not None:
            seconds = max(0, refusal.retry_after.total_seconds())
            headers.append((b'Retry-After', f'{seconds:.3f}'.encode()))
        return headers


def _parse_request(request_id: str, fields: dict[bytes, str]) -> RequestFacts:
    host = fields.get(b'host', '')
    # Deadline-Ms holds how long the caller waits, not a point in time.
    deadline_ms = fields.get(b'deadline-ms')
    model = fields.get(b'model')
    # Token-Count is PROMPT or PROMPT,OUTPUT, where OUTPUT is the maximum.
    token_counts = fields.get(b'token-count', '').split(',')
    event_id = fields.get(b'last-event-id')
    return RequestFacts(
        request_id=request_id,
        host=host.partition(':')[0],
        key=fields.get(b'credential'),
        time_limit=(
            None if deadline_ms is None else _parse_time_limit(deadline_ms)
        ),
        model=None if model == ANY_MODEL else model,
        prompt_tokens=_parse_count(token_counts[0] or '0'),
        output_tokens=(
            _parse_count(token_counts[1]) if len(token_counts) > 1 else 0
        ),
        prompt_segments=_parse_segments(fields.get(b'prompt-prefix', '')),
        last_event=int(event_id) if event_id else None,
        session=fields.get(b'session'),
    )


def _parse_segments(text: str) -> tuple[PromptSegment, ...]:
    # Prompt-Prefix is NAME:TOKENS,NAME:TOKENS and so on, in order.
    segments: list[PromptSegment] = []
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        if name:
            segments.append(PromptSegment(name, _parse_count(tokens)))
    return tuple(segments)


def _encode_model(model: str, head: RequestHead) -> bytes:
    """Return the name of a model; one that the caller named is unchanged."""
    for name, content in head.headers:
        if name.lower() == b'model':
            if content.decode('latin-1').strip() == model:
                return content
    return model.encode()


def _parse_time_limit(text: str) -> dt.timedelta:
    """Parse a time limit; one beyond the range of deadlines is shortened."""
    return min(float(text) * _MILLISECOND, _MAX_TIME_LIMIT)


def _parse_count(text: str) -> int:
    count = int(text)
    if not 0 <= count <= _MAX_COUNT:
        raise ValueError('number out of range')
    return count


def _connection_options(headers: Headers) -> frozenset[bytes]:
    names: set[bytes] = set()
    for name, content in headers:
        if name.lower() == b'connection':
            names.update(
                option.strip().lower() for option in content.split(b',')
            )
    return frozenset(names)


def _parse_optional(
    fields: Mapping[bytes, str],
    unreadable: list[str],
    name: bytes,
    parse: Callable[[str], Parsed],
) -> Parsed | None:
    """Parse a header whose absence or malformed value is no error.

    Args:
      fields: headers by name in lower case.
      unreadable: receives the name and value of a malformed header.
      name: of the header, in lower case.
      parse: raises ValueError or OverflowError for a malformed value.
    """
    text = fields.get(name)
    if text is None:
        return None
    try:
        return parse(text)
    except (ValueError, OverflowError):
        unreadable.append(f'{name.decode()}: {text[:_MAX_LOGGED_CHARS]}')
        return None


def _parse_flag(text: str) -> bool:
    if text not in {'0', '1'}:
        raise ValueError('flag is neither 0 nor 1')
    return text == '1'


def _parse_seconds(text: str) -> dt.timedelta:
    """Parse a number of seconds; too large a number gives the maximum."""
    seconds = float(text)
    if seconds > dt.timedelta.max.total_seconds():
        return dt.timedelta.max
    return dt.timedelta(seconds=seconds)


def _parse_rate(text: str) -> float:
    rate = float(text)
    if not 0 <= rate < math.inf:
        raise ValueError('not a rate')
    return min(rate, _MAX_RATE)


def _parse_confidence(text: str) -> float:
    confidence = float(text)
    if not math.isfinite(confidence):
        raise ValueError('not a number')
    return confidence


def _read_load(
    read: Callable[[bytes, Callable[[str], Any]], Any],
) -> LoadReport | None:
    """Read Server-Load, which some endpoints extend by a fourth figure.

    An unreadable fourth figure does not affect the others, and further figures
    are ignored.
    """
    load: LoadReport | None = read(b'server-load', _parse_load)
    if load is None:
        return None
    return dataclasses.replace(
        load, slowdown=read(b'server-load', _parse_slowdown)
    )


def _parse_load(text: str) -> LoadReport:
    running, waiting, slots, *_others = text.split(',')
    return LoadReport(
        _parse_count(running), _parse_count(waiting), _parse_count(slots)
    )


def _parse_slowdown(text: str) -> float | None:
    """Parse how long work takes, in hundredths of the usual time."""
    figures = text.split(',')
    if len(figures) <= _SLOWDOWN_INDEX:
        return None
    percentage = float(figures[_SLOWDOWN_INDEX])
    if not 0 < percentage <= _MAX_COUNT:
        raise ValueError('not a speed')
    return percentage / 100


def _parse_milliseconds(text: str) -> dt.timedelta:
    return _parse_seconds(text) / 1000


def _parse_idle_limit(text: str) -> dt.timedelta:
    for entry in text.split(','):
        name, _, seconds = entry.strip().partition('=')
        if name == 'timeout':
            return dt.timedelta(seconds=int(seconds))
    raise ValueError('no timeout parameter')
