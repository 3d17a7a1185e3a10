"""A client that finds entry processes and retries only when it is safe.

Retrying is safe if the request was certainly not executed, or if it carries an
idempotency key.
"""

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
from fleet.history import Answer, Attempt, Call, Kind, Outcome, PlannedCall

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 3
MAX_RETRY_AFTER_S = 1.0  # a caller gives up if Retry-After exceeds it
UNKNOWN_BACKOFF_S = 0.3  # before retrying a call that may still be running
NOT_RUN = 'not_run'
UNKNOWN = 'unknown'
COMPLETE = 'whole'

_EVENT_PREFIX = b'data: '
_END_MARKER = b'[DONE]'


class EntryDirectory:
    """A cache of entry addresses; the fleet's reply sets its maximum age."""

    def __init__(
        self, seeds: list[str], http: urllib3.PoolManager, failure_domain: str
    ) -> None:
        """Create a directory with only the seed addresses.

        Args:
          seeds: entry addresses for the first refresh.
          http: connection pool.
          failure_domain: failure domain of the caller, whose entries are
            preferred.
        """
        self.entry_addresses = list(seeds)
        self.http = http
        self.failure_domain = failure_domain
        self.expires_at: float = 0
        self.lock = threading.Lock()
        # The first `local_count` addresses are in the caller's failure domain.
        self.local_count = len(seeds)
        self.rotation = 0

    def addresses(self) -> list[str]:
        """Return addresses in the order of attempts, refreshed if expired.

        Entries in the caller's failure domain come first and rotate from call
        to call.
        """
        with self.lock:
            if time.monotonic() >= self.expires_at:
                self._refresh()
            self.rotation += 1
            local = (
                self.entry_addresses[: self.local_count] or self.entry_addresses
            )
            remote = self.entry_addresses[len(local) :]
            offset = self.rotation % len(local)
            return [*local[offset:], *local[:offset], *remote]

    def _refresh(self) -> None:
        for address in random.sample(
            self.entry_addresses, len(self.entry_addresses)
        ):
            document = self._fetch(address)
            if document is not None:
                self._update(document)
                return

    def _fetch(self, address: str) -> Any:
        try:
            reply = self.http.request(
                'GET',
                f'http://{address}/v1/entries',
                headers={'X-Failure-Domain': self.failure_domain},
                timeout=CONNECT_TIMEOUT_S,
            )
        except HTTPError:
            return None
        if reply.status != 200:
            return None
        document = json.loads(reply.data)
        return document if document['entries'] else None

    def _update(self, document: Mapping[str, Any]) -> None:
        entries = document['entries']
        self.entry_addresses = [entry['address'] for entry in entries]
        self.local_count = sum(
            1
            for entry in entries
            if entry['failure_domain'] == self.failure_domain
        )
        self.expires_at = time.monotonic() + document['max_age_s']


@dataclasses.dataclass(slots=True)
class _AttemptProgress:
    """Response to an attempt, as far as it has been received."""

    attempt: Attempt
    answer: Answer = Answer()
    first_token_at: float | None = None
    truncated: bool = False


class Caller:
    """Makes planned calls and records their outcome."""

    def __init__(
        self,
        directory: EntryDirectory,
        http: urllib3.PoolManager,
        one_way_s: float,
    ) -> None:
        """Create a caller.

        Args:
          directory: addresses of entry processes.
          http: connection pool.
          one_way_s: simulated network delay to the fleet in each direction.
        """
        self.directory = directory
        self.http = http
        self.one_way_s = one_way_s

    def make_call(self, planned: PlannedCall, due_at: float) -> Call:
        """Make a call, with retries, and return its record.

        Args:
          planned: the call.
          due_at: monotonic time at which the call was due. Latency counts
            from it.
        """
        attempts: list[Attempt] = []
        progress = _AttemptProgress(Attempt('', NOT_RUN))
        for address in self.directory.addresses()[:MAX_ATTEMPTS]:
            progress = self._attempt_call(planned, address)
            attempts.append(progress.attempt)
            if not _may_retry(planned, progress.attempt):
                break
            time.sleep(_backoff_s(progress.attempt))
        first_token_at = progress.first_token_at
        return Call(
            planned,
            _outcome(attempts, progress.truncated),
            tuple(attempts),
            progress.answer,
            None if first_token_at is None else first_token_at - due_at,
        )

    def _attempt_call(
        self, planned: PlannedCall, address: str
    ) -> _AttemptProgress:
        time.sleep(2 * self.one_way_s)
        try:
            response = self._send(planned, address)
        except (NewConnectionError, ConnectTimeoutError):
            return _AttemptProgress(
                Attempt(address, NOT_RUN, code='no_connection')
            )
        except HTTPError as error:
            code = type(error).__name__
            return _AttemptProgress(Attempt(address, UNKNOWN, code=code))
        progress = _AttemptProgress(_new_attempt(address, response, UNKNOWN))
        try:
            self._receive(planned, response, progress)
        except (HTTPError, ValueError) as error:
            progress.attempt = dataclasses.replace(
                progress.attempt, code=type(error).__name__
            )
            response.close()
        return progress

    def _send(
        self, planned: PlannedCall, address: str
    ) -> urllib3.BaseHTTPResponse:
        path, document = '/v1/chat/completions', _chat_body(planned)
        if planned.kind is Kind.ORDER:
            path, document = planned.target, {'order_id': planned.order_id}
        return self.http.request(
            'POST',
            f'http://{address}{path}',
            body=json.dumps(document).encode(),
            headers=_headers(planned),
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
            preload_content=False,
        )

    def _receive(
        self,
        planned: PlannedCall,
        response: urllib3.BaseHTTPResponse,
        progress: _AttemptProgress,
    ) -> None:
        content_type = response.headers.get('Content-Type', '')
        if response.status == 200 and 'event-stream' in content_type:
            _read_stream(response, progress)
            return
        document = json.loads(response.read())
        response.release_conn()
        if response.status != 200:
            error = _error_of(document)
            _set_state(progress, error.get('run_state', UNKNOWN), error)
            return
        progress.first_token_at = time.monotonic()
        _set_state(progress, COMPLETE)
        if planned.kind is Kind.ORDER:
            progress.answer = Answer(order=document.get('order') or {})
        else:
            progress.answer = _decode_answer(response.headers, document)


def _chat_body(planned: PlannedCall) -> dict[str, Any]:
    body: dict[str, Any] = {
        'model': planned.target,
        'messages': planned.messages,
        'max_tokens': planned.tokens,
    }
    if planned.stream:
        body['stream'] = True
        body['stream_options'] = {'include_usage': True}
    return body


def _headers(planned: PlannedCall) -> dict[str, str]:
    headers = {
        'Authorization': f'Bearer {deployments.api_key_of(planned.team)}',
        'Content-Type': 'application/json',
        'X-Rank': planned.rank,
    }
    if planned.session:
        headers['X-Session-Id'] = planned.session
    if planned.key:
        headers['Idempotency-Key'] = planned.key
    return headers


def _new_attempt(
    address: str, response: urllib3.BaseHTTPResponse, run_state: str
) -> Attempt:
    return Attempt(
        address,
        run_state,
        response.headers.get('X-Request-Id', ''),
        response.status,
        retry_after_s=float(response.headers.get('Retry-After', 0)),
    )


def _may_retry(planned: PlannedCall, attempt: Attempt) -> bool:
    if (
        attempt.retry_after_s > MAX_RETRY_AFTER_S
        or attempt.run_state == COMPLETE
    ):
        return False
    if attempt.run_state == NOT_RUN:
        # A refusal without Retry-After is permanent; without a status, the
        # connection failed and another entry may accept the request.
        return attempt.retry_after_s > 0 or not attempt.status
    return attempt.run_state == UNKNOWN and bool(planned.key)


def _backoff_s(attempt: Attempt) -> float:
    if attempt.run_state == UNKNOWN:
        return max(UNKNOWN_BACKOFF_S, attempt.retry_after_s)
    return attempt.retry_after_s


def _outcome(attempts: list[Attempt], truncated: bool) -> Outcome:
    if truncated:
        return Outcome.TRUNCATED
    run_states = [attempt.run_state for attempt in attempts]
    if run_states[-1:] == [COMPLETE]:
        return Outcome.COMPLETE
    if all(run_state == NOT_RUN for run_state in run_states):
        return Outcome.REFUSED
    return Outcome.UNKNOWN


def _decode_answer(
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
    response: urllib3.BaseHTTPResponse, progress: _AttemptProgress
) -> None:
    stream = _StreamedAnswer()
    for payload in _payloads(response):
        if payload == _END_MARKER:
            _set_state(progress, COMPLETE)
            progress.answer = stream.answer(response.headers)
            response.drain_conn()
            response.release_conn()
            return
        document = json.loads(payload)
        error = _error_of(document)
        if error:
            _set_state(progress, error.get('run_state', UNKNOWN), error)
            response.close()
            return
        progress.first_token_at = progress.first_token_at or time.monotonic()
        stream.add_event(document)
    progress.truncated = True


def _error_of(document: Mapping[str, Any]) -> Mapping[str, Any]:
    error = document.get('error') or {}
    # The error of an endpoint is forwarded as it is and may not have the
    # OpenAI format.
    return error if isinstance(error, Mapping) else {'code': error}


def _set_state(
    progress: _AttemptProgress,
    run_state: str,
    error: Mapping[str, Any] | None = None,
) -> None:
    details = error or {}
    progress.attempt = dataclasses.replace(
        progress.attempt,
        run_state=run_state,
        code=str(details.get('code', '')),
        request_id=details.get('request_id') or progress.attempt.request_id,
    )


class _StreamedAnswer:
    """Assembles an answer from the events of a stream."""

    def __init__(self) -> None:
        """Create an answer without events."""
        self.texts: list[str] = []
        self.completion_ids: set[str] = set()
        self.usage = 0

    def add_event(self, document: Mapping[str, Any]) -> None:
        """Append the text and usage of an event."""
        self.completion_ids.add(document['id'])
        if document.get('usage') is not None:
            self.usage = int(document['usage']['completion_tokens'])
        for choice in document['choices']:
            self.texts.append(choice['delta'].get('content') or '')

    def answer(self, headers: Mapping[str, str]) -> Answer:
        """Return the assembled answer.

        Its identity joins the distinct completion ids of the events; a correct
        stream has a single id.
        """
        return Answer(
            ''.join(self.texts),
            '|'.join(sorted(self.completion_ids)),
            headers.get('X-Model', ''),
            headers.get('X-Version', ''),
            self.usage,
        )


def _payloads(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    incomplete = b''
    for block in response.stream():
        lines = (incomplete + block).split(b'\n')
        incomplete = lines.pop()
        for line in lines:
            if line.startswith(_EVENT_PREFIX):
                yield line[len(_EVENT_PREFIX) :]
