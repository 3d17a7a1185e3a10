"""Requests, answers and the dialect that reads and writes their headers."""

import dataclasses
import datetime as dt
import math
from collections.abc import Sequence
from typing import Protocol

from result import Result

from bronzeglade.outcome import Refusal

Headers = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and headers of a request, as received."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.decode('latin-1').partition('?')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSegment:
    """A segment of a prompt; all requests that share it use the same name."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """The content of a request's headers.

    `time_limit` is how long the caller waits, `output_tokens` the maximum that
    it accepts, and `prompt_segments` holds the segments of its prompt in order.
    A resumed stream continues after `last_event`. `session` is shared by all
    requests of a session.
    """

    request_id: str
    host: str
    key: str | None = None
    time_limit: dt.timedelta | None = None
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_segments: tuple[PromptSegment, ...] = ()
    last_event: int | None = None
    session: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What the router adds to a request for one endpoint.

    Only the endpoint `instance` may run the request. `time_remaining` is how
    long the caller still waits, and `resume_after` the last event it has.
    """

    instance: str
    time_remaining: dt.timedelta | None
    team: str | None = None
    model: str | None = None
    priority: int | None = None
    resume_after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reports with an answer, in requests.

    `slowdown` is how much longer work takes there now than usual, or None if
    the endpoint does not say so.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """The content of the head of an endpoint's answer.

    `headers` are those that the caller gets, and `request_id` identifies the
    answered request. `signed` is set when the answer has a signature of the
    endpoint's service, `not_run` when the request did not run, `encoded` when
    the body has a content encoding, and `misdirected` when another endpoint
    has the address. `confidence` is the model's rating of its own answer, 0 to
    100. `leaving` is set when the endpoint accepts no new requests any more;
    `no_work_for` is how long it wants none. `rate_limit` is the number of
    requests per second that it accepts from all nodes together; infinite if it
    names no limit, None if the limit could not be parsed. `cold_for` is how
    long the endpoint stays cold, None if it does not say so. `unreadable` names
    headers that were ignored because they could not be parsed.
    """

    status: int
    headers: Headers
    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool
    load: LoadReport | None = None
    misdirected: bool = False
    confidence: float | None = None
    idle_limit: dt.timedelta | None = None
    leaving: bool = False
    no_work_for: dt.timedelta | None = None
    rate_limit: float | None = math.inf
    cold_for: dt.timedelta | None = None
    unreadable: tuple[str, ...] = ()

    @property
    def succeeded(self) -> bool:
        """Whether the status is one of success (2xx)."""
        return 200 <= self.status < 300

    @property
    def media_type(self) -> bytes | None:
        """The type of the body without parameters, or None."""
        for name, content in self.headers:
            if name.lower() == b'content-type':
                return content.partition(b';')[0].strip().lower()
        return None


class Dialect(Protocol):
    """Parses and builds the headers of callers and endpoints."""

    def read_request(self, head: RequestHead) -> Result[RequestFacts, Refusal]:
        """Parse the headers of a request."""

    def endpoint_headers(
        self, head: RequestHead, dispatch: Dispatch, length: int
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to an endpoint."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Parse the head of an endpoint's answer."""

    def refusal_headers(
        self, refusal: Refusal, request_id: str | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a refusal to a caller."""
