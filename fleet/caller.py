"""A caller: finds entry processes and retries only when that is safe."""

import dataclasses
import json
import random
import threading
import time
from collections.abc import Iterator, Mapping
from typing import Any

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from fleet import deployments
from fleet.history import Answer, Attempt, Call, Kind, Outcome, Planned

CONNECT_S = 1.0
READ_S = 30.0
MAX_ATTEMPTS = 3
PATIENCE_S = 1.0  # longest Retry-After that a caller waits
UNKNOWN_PAUSE_S = 0.3  # before a retry of a call that may be running
NOT_RUN = 'not_run'
UNKNOWN = 'unknown'
WHOLE = 'whole'

_EVENT_PREFIX = b'data: '
_END_MARKER = b'[DONE]'


class Directory:
    """Addresses of entry processes, kept as long as the fleet allows."""

    def __init__(
        self, seeds: list[str], http: urllib3.PoolManager, failure_domain: str
    ) -> None:
        """Know only the seeds.

        Args:
          seeds: addresses to ask first.
          http: connections to use.
          failure_domain: the caller's; its entries are preferred.
        """
        self.known = list(seeds)
        self.http = http
        self.failure_domain = failure_domain
        self.expires_at: float = 0
        self.lock = threading.Lock()
        self.near = len(seeds)  # entries in the caller's failure domain
        self.turn = 0

    def addresses(self) -> list[str]:
        """Return addresses in the order in which to try them."""
        with self.lock:
            if time.monotonic() >= self.expires_at:
                self._refresh()
            self.turn += 1
            near = self.known[: self.near] or self.known
            far = self.known[len(near) :]
            shift = self.turn % len(near)
            return [*near[shift:], *near[:shift], *far]

    def _refresh(self) -> None:
        for address in random.sample(self.known, len(self.known)):
            document = self._ask(address)
            if document is not None:
                self._keep(document)
                return

    def _ask(self, address: str) -> Any:
        try:
            reply = self.http.request(
                'GET',
                f'http://{address}/v1/entries',
                headers={'X-Failure-Domain': self.failure_domain},
                timeout=CONNECT_S,
            )
        except HTTPError:
            return None
        if reply.status != 200:
            return None
        document = json.loads(reply.data)
        return document if document['entries'] else None

    def _keep(self, document: Mapping[str, Any]) -> None:
        entries = document['entries']
        self.known = [entry['address'] for entry in entries]
        self.near = sum(
            1
            for entry in entries
            if entry['failure_domain'] == self.failure_domain
        )
        self.expires_at = time.monotonic() + document['max_age_s']


@dataclasses.dataclass(slots=True)
class _Received:
    """What has arrived of one response."""

    attempt: Attempt
    answer: Answer = Answer()
    first_token_at: float | None = None
    truncated: bool = False


class Caller:
    """Makes the calls of a plan."""

    def __init__(
        self,
        directory: Directory,
        http: urllib3.PoolManager,
        one_way_s: float,
    ) -> None:
        """Create a caller.

        Args:
          directory: where entry processes are.
          http: connections to use.
          one_way_s: network delay to the fleet each way.
        """
        self.directory = directory
        self.http = http
        self.one_way_s = one_way_s

    def make(self, planned: Planned, due_at: float) -> Call:
        """Make a call and return how it ended.

        Args:
          planned: the call.
          due_at: monotonic time at which it was to be sent.
        """
        attempts: list[Attempt] = []
        received = _Received(Attempt('', NOT_RUN))
        for address in self.directory.addresses()[:MAX_ATTEMPTS]:
            received = self._try(planned, address)
            attempts.append(received.attempt)
            if not _may_retry(planned, received.attempt):
                break
            time.sleep(_pause_s(received.attempt))
        first = received.first_token_at
        return Call(
            planned,
            _outcome(attempts, received.truncated),
            tuple(attempts),
            received.answer,
            None if first is None else first - due_at,
        )

    def _try(self, planned: Planned, address: str) -> _Received:
        time.sleep(2 * self.one_way_s)
        try:
            response = self._send(planned, address)
        except (NewConnectionError, ConnectTimeoutError):
            return _Received(Attempt(address, NOT_RUN, code='no_connection'))
        except HTTPError as error:
            code = type(error).__name__
            return _Received(Attempt(address, UNKNOWN, code=code))
        received = _Received(_attempt(address, response, UNKNOWN))
        try:
            self._receive(planned, response, received)
        except (HTTPError, ValueError) as error:
            received.attempt = dataclasses.replace(
                received.attempt, code=type(error).__name__
            )
            response.close()
        return received

    def _send(self, planned: Planned, address: str) -> urllib3.BaseHTTPResponse:
        path, document = '/v1/chat/completions', _chat_body(planned)
        if planned.kind is Kind.ORDER:
            path, document = planned.target, {'order_id': planned.order_id}
        return self.http.request(
            'POST',
            f'http://{address}{path}',
            body=json.dumps(document).encode(),
            headers=_headers(planned),
            timeout=urllib3.Timeout(connect=CONNECT_S, read=READ_S),
            preload_content=False,
        )

    def _receive(
        self,
        planned: Planned,
        response: urllib3.BaseHTTPResponse,
        received: _Received,
    ) -> None:
        kind = response.headers.get('Content-Type', '')
        if response.status == 200 and 'event-stream' in kind:
            _read_stream(response, received)
            return
        document = json.loads(response.read())
        response.release_conn()
        if response.status != 200:
            error = _error_of(document)
            _set_state(received, error.get('run_state', UNKNOWN), error)
            return
        received.first_token_at = time.monotonic()
        _set_state(received, WHOLE)
        if planned.kind is Kind.ORDER:
            received.answer = Answer(order=document.get('order') or {})
        else:
            received.answer = _whole_answer(response.headers, document)


def _chat_body(planned: Planned) -> dict[str, Any]:
    body: dict[str, Any] = {
        'model': planned.target,
        'messages': planned.messages,
        'max_tokens': planned.tokens,
    }
    if planned.stream:
        body['stream'] = True
        body['stream_options'] = {'include_usage': True}
    return body


def _headers(planned: Planned) -> dict[str, str]:
    headers = {
        'Authorization': f'Bearer {deployments.key_of(planned.team)}',
        'Content-Type': 'application/json',
        'X-Rank': planned.rank,
    }
    if planned.session:
        headers['X-Session-Id'] = planned.session
    if planned.key:
        headers['Idempotency-Key'] = planned.key
    return headers


def _attempt(
    address: str, response: urllib3.BaseHTTPResponse, state: str
) -> Attempt:
    return Attempt(
        address,
        state,
        response.headers.get('X-Request-Id', ''),
        response.status,
        retry_after_s=float(response.headers.get('Retry-After', 0)),
    )


def _may_retry(planned: Planned, attempt: Attempt) -> bool:
    if attempt.retry_after_s > PATIENCE_S or attempt.run_state == WHOLE:
        return False
    if attempt.run_state == NOT_RUN:
        # A refusal that no retry can change has no Retry-After.
        return attempt.retry_after_s > 0 or not attempt.status
    return attempt.run_state == UNKNOWN and bool(planned.key)


def _pause_s(attempt: Attempt) -> float:
    if attempt.run_state == UNKNOWN:
        return max(UNKNOWN_PAUSE_S, attempt.retry_after_s)
    return attempt.retry_after_s


def _outcome(attempts: list[Attempt], truncated: bool) -> Outcome:
    if truncated:
        return Outcome.TRUNCATED
    states = [attempt.run_state for attempt in attempts]
    if states[-1:] == [WHOLE]:
        return Outcome.WHOLE
    if all(state == NOT_RUN for state in states):
        return Outcome.REFUSED
    return Outcome.UNKNOWN


def _whole_answer(
    headers: Mapping[str, str], document: Mapping[str, Any]
) -> Answer:
    return Answer(
        document['choices'][0]['message']['content'],
        document['id'],
        headers.get('X-Model', ''),
        headers.get('X-Version', ''),
        document['usage']['completion_tokens'],
    )


def _read_stream(
    response: urllib3.BaseHTTPResponse, received: _Received
) -> None:
    stream = _Stream()
    for payload in _payloads(response):
        if payload == _END_MARKER:
            _set_state(received, WHOLE)
            received.answer = stream.answer(response.headers)
            response.drain_conn()
            response.release_conn()
            return
        document = json.loads(payload)
        error = _error_of(document)
        if error:
            _set_state(received, error.get('run_state', UNKNOWN), error)
            response.close()
            return
        received.first_token_at = received.first_token_at or time.monotonic()
        stream.take(document)
    received.truncated = True


def _error_of(document: Mapping[str, Any]) -> Mapping[str, Any]:
    error = document.get('error') or {}
    # An endpoint's own error, passed on, need not have the OpenAI shape.
    return error if isinstance(error, Mapping) else {'code': error}


def _set_state(
    received: _Received, state: str, error: Mapping[str, Any] | None = None
) -> None:
    given = error or {}
    received.attempt = dataclasses.replace(
        received.attempt,
        run_state=state,
        code=str(given.get('code', '')),
        request_id=given.get('request_id') or received.attempt.request_id,
    )


class _Stream:
    """Events of a streamed answer."""

    def __init__(self) -> None:
        """Have received none."""
        self.texts: list[str] = []
        self.identities: set[str] = set()
        self.usage = 0

    def take(self, document: Mapping[str, Any]) -> None:
        """Take an event."""
        self.identities.add(document['id'])
        if document.get('usage') is not None:
            self.usage = int(document['usage']['completion_tokens'])
        for choice in document['choices']:
            self.texts.append(choice['delta'].get('content') or '')

    def answer(self, headers: Mapping[str, str]) -> Answer:
        """Return the whole answer."""
        return Answer(
            ''.join(self.texts),
            '|'.join(sorted(self.identities)),
            headers.get('X-Model', ''),
            headers.get('X-Version', ''),
            self.usage,
        )


def _payloads(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b''
    for block in response.stream():
        lines = (rest + block).split(b'\n')
        rest = lines.pop()
        for line in lines:
            if line.startswith(_EVENT_PREFIX):
                yield line[len(_EVENT_PREFIX) :]
