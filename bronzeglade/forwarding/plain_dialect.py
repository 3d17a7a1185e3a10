"""Header dialect of the tests.

Its header names are those of the router, not of a platform.
"""

import datetime as dt

from result import Ok, Result

from bronzeglade.forwarding.message import (
    AnswerFacts,
    Dispatch,
    Headers,
    PromptSegment,
    RequestFacts,
    RequestHead,
)
from bronzeglade.outcome import Refusal

SECOND = dt.timedelta(seconds=1)
MILLISECOND = dt.timedelta(milliseconds=1)
HOP_HEADERS = frozenset((b'key', b'content-length', b'transfer-encoding'))


class PlainDialect:
    """Implements `Dialect` with plain header names, for tests."""

    def read_request(self, head: RequestHead) -> Result[RequestFacts, Refusal]:
        """Decode the headers of a request; `Id` and `Host` are required."""
        fields = _fields(head.headers)
        limit = fields.get('time-limit-ms')
        last = fields.get('last-event')
        prompt_segments = tuple(
            PromptSegment(name, 100)
            for name in fields.get('parts', '').split(',')
            if name
        )
        return Ok(
            RequestFacts(
                request_id=fields['id'],
                host=fields['host'],
                key=fields.get('key'),
                time_limit=None if limit is None else int(limit) * MILLISECOND,
                prompt_tokens=100 * len(prompt_segments),
                prompt_segments=prompt_segments,
                last_event=None if last is None else int(last),
            )
        )

    def endpoint_headers(
        self, head: RequestHead, dispatch: Dispatch, length: int
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to an endpoint."""
        dispatch_fields = {
            'instance': dispatch.instance,
            'team': dispatch.team,
            'model': dispatch.model,
            'resume-after': dispatch.resume_after,
        }
        forwarded = [
            header
            for header in head.headers
            if header[0].lower() not in HOP_HEADERS
        ]
        added = [
            (name.encode(), str(content).encode())
            for name, content in dispatch_fields.items()
            if content is not None
        ]
        return [*forwarded, *added, (b'Content-Length', str(length).encode())]

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode the head of an endpoint's answer."""
        fields = _fields(headers)
        confidence = fields.get('confidence')
        pause = fields.get('no-work-for')
        cold = fields.get('cold-for')
        return AnswerFacts(
            status=status,
            headers=[
                header
                for header in headers
                if header[0].lower()
                not in {b'content-length', b'transfer-encoding', b'connection'}
            ],
            request_id=fields.get('id'),
            signed='signature' in fields,
            not_run='not-run' in fields,
            encoded='content-encoding' in fields,
            confidence=None if confidence is None else float(confidence),
            leaving='leaving' in fields,
            no_work_for=None if pause is None else float(pause) * SECOND,
            cold_for=None if cold is None else float(cold) * SECOND,
            rate_limit=float(fields.get('rate-limit', 'inf')),
        )

    def refusal_headers(
        self, refusal: Refusal, request_id: str | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a refusal: `Retry-After`, if it has one."""
        if refusal.retry_after is None:
            return []
        seconds = str(refusal.retry_after.total_seconds())
        return [(b'Retry-After', seconds.encode())]


def _fields(headers: Headers) -> dict[str, str]:
    return {
        name.decode().lower(): content.decode() for name, content in headers
    }
