"""Headers of the platform's callers and workers."""

import datetime as dt
import functools
from collections.abc import Callable, Mapping
from typing import TypeVar

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
# A worker that asks for time in a way that cannot be read gets this much.
_UNREADABLE_PAUSE = dt.timedelta(seconds=1)
_UNAVAILABLE = 503
_MISDIRECTED = 421  # another worker has the address; the request has not run
ANY_MODEL = '*'
_SHOWN = 40  # characters of an unreadable header in the log

# Headers that concern one connection only.
_CONNECTION = frozenset(
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
# Headers that only the system sets or that stay with it.
_OWN = frozenset(
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
    """The platform's dialect."""

    def read_request(self, head: RequestHead) -> Result[RequestFacts, Refusal]:
        """Return what the headers of a request say."""
        fields = {
            name.lower(): content.decode('latin-1').strip()
            for name, content in head.headers
        }
        request_id = fields.get(b'request-id', '')
        if not request_id:
            message = 'the request has no id'
            return Err(Refusal(400, 'no_request_id', message))
        try:
            return Ok(_facts(request_id, fields))
        except (ValueError, OverflowError) as error:
            return Err(Refusal(400, 'invalid_header', str(error)))

    def endpoint_headers(
        self, head: RequestHead, dispatch: Dispatch, length: int
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request towards a worker."""
        own: list[tuple[bytes, bytes]] = [
            (b'Expect-Instance', dispatch.instance.encode())
        ]
        if dispatch.time_remaining is not None:
            left = max(1, dispatch.time_remaining // _MILLISECOND)
            own.append((b'Deadline-Ms', str(left).encode()))
        if dispatch.team is not None:
            own.append((b'Tenant', dispatch.team.encode()))
        if dispatch.priority is not None:
            rank = min(9, max(0, dispatch.priority))
            own.append((b'Request-Priority', str(rank).encode()))
        replaced = set(_OWN)
        if dispatch.model is not None:
            replaced.add(b'model')
            own.append((b'Model', dispatch.model.encode()))
        if dispatch.resume_after is not None:
            replaced.add(b'last-event-id')
            last = str(dispatch.resume_after).encode()
            own.append((b'Last-Event-Id', last))
        dropped = replaced | _CONNECTION | _named_by_connection(head.headers)
        passed = [
            (name, content)
            for name, content in head.headers
            if name.lower() not in dropped
        ]
        if length or head.method not in {b'GET', b'HEAD', b'DELETE'}:
            own.append((b'Content-Length', str(length).encode()))
        return [*passed, *own]

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what the head of a worker's answer says."""
        fields = {
            name.lower(): content.decode('latin-1').strip()
            for name, content in headers
        }
        dropped = _CONNECTION | _named_by_connection(headers)
        unreadable: list[str] = []
        read = functools.partial(_optional, fields, unreadable)
        leaving = read(b'server-leaving', _flag)
        no_work_for: dt.timedelta | None = None
        if status == _UNAVAILABLE and b'retry-after' in fields:
            asked = read(b'retry-after', _duration)
            no_work_for = _UNREADABLE_PAUSE if asked is None else asked
        return AnswerFacts(
            status=status,
            headers=[one for one in headers if one[0].lower() not in dropped],
            request_id=fields.get(b'request-id'),
            signed=b'server-signature' in fields,
            not_run=b'not-executed' in fields or status == _MISDIRECTED,
            misdirected=status == _MISDIRECTED,
            encoded=fields.get(b'content-encoding', 'identity') != 'identity',
            load=read(b'server-load', _load),
            confidence=read(b'confidence', float),
            idle_limit=read(b'keep-alive', _idle_limit),
            leaving=bool(leaving),
            no_work_for=no_work_for,
            unreadable=tuple(unreadable),
        )

    def refusal_headers(
        self, refusal: Refusal, request_id: str | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a refusal."""
        headers = [(b'Content-Type', b'text/plain')]
        if request_id is not None:
            headers.append((b'Request-Id', request_id.encode('latin-1')))
        if refusal.retry_after is not None:
            seconds = max(0, refusal.retry_after.total_seconds())
            headers.append((b'Retry-After', f'{seconds:.3f}'.encode()))
        return headers


def _facts(request_id: str, fields: dict[bytes, str]) -> RequestFacts:
    host = fields.get(b'host', '')
    limit = fields.get(b'deadline-ms')
    model = fields.get(b'model')
    counts = fields.get(b'token-count', '').split(',')
    last = fields.get(b'last-event-id')
    return RequestFacts(
        request_id=request_id,
        host=host.partition(':')[0],
        key=fields.get(b'credential'),
        time_limit=None if limit is None else float(limit) * _MILLISECOND,
        model=None if model == ANY_MODEL else model,
        prompt_tokens=int(counts[0] or 0),
        output_tokens=int(counts[1]) if len(counts) > 1 else 0,
        parts=_parts(fields.get(b'prompt-prefix', '')),
        last_event=int(last) if last else None,
        session=fields.get(b'session'),
    )


def _parts(text: str) -> tuple[PromptSegment, ...]:
    parts: list[PromptSegment] = []
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        if name:
            parts.append(PromptSegment(name, int(tokens)))
    return tuple(parts)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    names: set[bytes] = set()
    for name, content in headers:
        if name.lower() == b'connection':
            names.update(one.strip().lower() for one in content.split(b','))
    return frozenset(names)


def _optional(
    fields: Mapping[bytes, str],
    unreadable: list[str],
    name: bytes,
    parse: Callable[[str], Parsed],
) -> Parsed | None:
    """Parse a header that only informs; one that is unreadable is listed."""
    text = fields.get(name)
    if text is None:
        return None
    try:
        return parse(text)
    except (ValueError, OverflowError):
        unreadable.append(f'{name.decode()}: {text[:_SHOWN]}')
        return None


def _flag(text: str) -> bool:
    if text not in {'0', '1'}:
        raise ValueError('neither 0 nor 1')
    return text == '1'


def _duration(text: str) -> dt.timedelta:
    """Return a time in seconds; one beyond every bound is the longest."""
    seconds = float(text)
    if seconds > dt.timedelta.max.total_seconds():
        return dt.timedelta.max
    return dt.timedelta(seconds=seconds)


def _load(text: str) -> LoadReport:
    running, waiting, slots = text.split(',')
    return LoadReport(int(running), int(waiting), int(slots))


def _idle_limit(text: str) -> dt.timedelta:
    for entry in text.split(','):
        name, _, seconds = entry.strip().partition('=')
        if name == 'timeout':
            return dt.timedelta(seconds=int(seconds))
    raise ValueError('there is no time-out')
