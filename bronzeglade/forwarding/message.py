"""Requests and answers as the request path sees them."""

import dataclasses
import datetime as dt
from collections.abc import Sequence
from typing import Protocol

from result import Result

from bronzeglade.outcome import Refusal

Headers = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """The first line and the headers of a request, as received."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.decode('latin-1').partition('?')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share; `tokens` is its length."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the headers of a request say.

    `time_limit` is how long the caller waits, `output_tokens` the most that
    it accepts, `parts` its prompt in order, `last_event` the event after
    which a stream goes on, `session` what its requests have in common.
    """

    request_id: str
    host: str
    key: str | None = None
    time_limit: dt.timedelta | None = None
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: int | None = None
    session: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What the router adds to a request for one endpoint.

    `instance` is the endpoint that alone may run it, `time_left` when it must
    stop, `resume_after` the last event that the caller has.
    """

    instance: str
    time_left: dt.timedelta | None
    team: str | None = None
    model: str | None = None
    priority: int | None = None
    resume_after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests at an endpoint when it answered."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the head of an endpoint's answer says.

    `request_id` names the request that it answers. `signed` tells that the
    endpoint's service made it, `not_run` that the request has not run there,
    `misdirected` that another endpoint has the address.
    `confidence` is the model's opinion of its answer, 0 to 100. `headers` are
    those that the caller gets. `leaving` tells that the endpoint takes no new
    work any more, `no_work_for` that it wants none for a time. `unreadable`
    names headers that were ignored.
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
    unreadable: tuple[str, ...] = ()

    @property
    def succeeded(self) -> bool:
        """Whether the status tells success."""
        return 200 <= self.status < 300


class Dialect(Protocol):
    """How the headers of callers and endpoints are read and written."""

    def read_request(self, head: RequestHead) -> Result[RequestFacts, Refusal]:
        """Return what the headers of a request say."""

    def endpoint_headers(
        self, head: RequestHead, dispatch: Dispatch, length: int
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request towards an endpoint."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what the head of an endpoint's answer says."""

    def refusal_headers(
        self, refusal: Refusal, request_id: str | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a refusal."""
