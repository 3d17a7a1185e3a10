"""The /services/NAME/... API: calls to plain services, not models."""

import dataclasses
import datetime as dt
import math
from collections.abc import Mapping
from urllib.parse import quote

import eventlet
from result import Err, Ok, Result

from bronzeglade.adapters import transport
from bronzeglade.coordination import idempotency
from bronzeglade.coordination.idempotency import (
    KeyedRequest,
    KeyState,
    StoredAnswer,
)
from bronzeglade.decisions.retry import Failure
from bronzeglade.entry import access, http, idempotency_claims
from bronzeglade.entry.deadline import time_limit
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.entry.workers import Worker, serving
from bronzeglade.manifest import Operation, Service
from bronzeglade.outcome import Refusal, RunState

PREFIX = '/services/'
RETRY_AFTER = dt.timedelta(seconds=1)

# Response statuses after which a repeatable call goes to another endpoint.
_RETRIED_STATUSES = frozenset((429, 502, 503, 504))


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A validated call of a plain service.

    `deadline` is in monotonic time and `wall_deadline` in wall time. Both are
    checked, because the monotonic clock may stop while the VM is suspended.
    """

    request: Request
    team: str
    service: Service
    operation: Operation
    path: str
    body: bytes
    deadline: dt.timedelta
    wall_deadline: dt.datetime

    def digest(self) -> bytes:
        """Return the digest that detects reuse of a key for another call."""
        return idempotency.digest_of(
            (
                self.request.method,
                self.service.name,
                self.path,
                self.request.query,
            ),
            self.body,
        )

    def is_late(self, node: Node) -> bool:
        """Return whether either deadline has passed."""
        return (
            node.clock.monotonic() >= self.deadline
            or node.clock.now() >= self.wall_deadline
        )


def handle(node: Node, request: Request) -> Response:
    """Forward a call to an endpoint of a plain service.

    Args:
      node: state of this process.
      request: the request of a caller.

    Returns:
      The endpoint's response, or an error in the OpenAI format.
    """
    caller = access.identify(node, request)
    if isinstance(caller, Err):
        return http.refuse(caller.err_value, request.request_id)
    name, _, rest = request.path[len(PREFIX) :].partition('/')
    path = f'/{rest}'
    service = caller.ok_value.catalog.services.get(name)
    if service is None or name not in caller.ok_value.team.services:
        message = f'there is no service {name!r} for this team'
        refusal = Refusal(404, 'service_not_found', message)
        return http.refuse(refusal, request.request_id)
    operation = find_operation(service, request.method, path)
    if operation is None:
        message = f'{name!r} has no operation {request.method} {path}'
        refusal = Refusal(404, 'operation_not_found', message)
        return http.refuse(refusal, request.request_id)
    limit = time_limit(request, _max_time(node, service))
    if isinstance(limit, Err):
        return http.refuse(limit.err_value, request.request_id)
    body = _read_body(node, request)
    if isinstance(body, Err):
        return http.refuse(body.err_value, request.request_id)
    call = Call(
        request,
        caller.ok_value.team.name,
        service,
        operation,
        path,
        body.ok_value,
        node.clock.monotonic() + limit.ok_value,
        node.clock.now() + limit.ok_value,
    )
    return _handle_call(node, call)


def _max_time(node: Node, service: Service) -> dt.timedelta:
    limit = dt.timedelta(milliseconds=service.timeout_ms)
    return min(limit, node.settings.request_timeout)


def _read_body(node: Node, request: Request) -> Result[bytes, Refusal]:
    # Without Content-Length and Transfer-Encoding the request has no body.
    if request.header('Content-Length') or request.header('Transfer-Encoding'):
        return http.read_body(request, node.settings)
    return Ok(b'')


def find_operation(
    service: Service, method: str, path: str
) -> Operation | None:
    """Return the operation with the longest path prefix that matches."""
    matching = [
        operation
        for operation in service.operations
        if operation.method == method and path.startswith(operation.path)
    ]
    return max(
        matching, key=lambda operation: len(operation.path), default=None
    )


def _handle_call(node: Node, call: Call) -> Response:
    key = call.request.header('Idempotency-Key')
    if key is None or call.operation.repeatable:
        return _to_response(call, _send(node, call, None))
    if not _is_valid_key(key):
        message = 'Idempotency-Key: 1 to 200 printable ASCII characters'
        return _refuse(call, Refusal(422, 'invalid_idempotency_key', message))
    keyed_request = KeyedRequest(
        call.team, key, call.digest(), call.request.request_id
    )
    claimed = node.idempotency.claim(keyed_request)
    if isinstance(claimed, Refusal):
        return _refuse(call, claimed)
    if claimed is not None:
        return _respond(call, claimed, {'Idempotency-Replayed': 'true'})
    return _execute(node, call, keyed_request)


def _execute(node: Node, call: Call, keyed_request: KeyedRequest) -> Response:
    outcome = _send(node, call, keyed_request)
    if isinstance(outcome, Err):
        may_have_run = outcome.err_value.run_state is RunState.UNKNOWN
        state = KeyState.UNKNOWN if may_have_run else KeyState.NOT_RUN
        node.idempotency.store_outcome(keyed_request, state)
    else:
        stored = idempotency_claims.without_oversized_body(outcome.ok_value)
        node.idempotency.store_outcome(keyed_request, KeyState.RAN, stored)
    return _to_response(call, outcome)


def _is_valid_key(key: str) -> bool:
    return (
        0 < len(key) <= idempotency.MAX_KEY_LENGTH
        and key.isascii()
        and key.isprintable()
    )


def _send(
    node: Node, call: Call, keyed_request: KeyedRequest | None
) -> Result[StoredAnswer, Refusal]:
    """Send a call to endpoints, in random order, until one answers.

    A call that is not repeatable goes to another endpoint only if no
    connection to the previous one was made.
    """
    workers = list(serving(node.workers, call.service.name))
    node.rng.shuffle(workers)
    node.retries.earn()
    failures: list[Failure] = []
    for worker in workers:
        if not _may_send(node, call, failures):
            break
        outcome = _send_to(node, call, worker, keyed_request)
        if isinstance(outcome, Ok):
            return outcome
        failures.append(outcome.err_value)
    return Err(_to_refusal(node, call, failures))


def _may_send(node: Node, call: Call, failures: list[Failure]) -> bool:
    if call.is_late(node):
        return False
    if not failures:
        return True
    repeatable = call.operation.repeatable
    allowed = node.retries.may_retry(len(failures), failures[-1], repeatable)
    if allowed:
        node.retries.spend()
    return allowed


def _send_to(
    node: Node, call: Call, worker: Worker, keyed_request: KeyedRequest | None
) -> Result[StoredAnswer, Failure]:
    remaining = call.deadline - node.clock.monotonic()
    if keyed_request is not None:
        keyed_request.mark_sent()
    with eventlet.Timeout(remaining.total_seconds(), False):
        outcome = _exchange(node, call, worker, remaining)
        if outcome == Err(Failure.NOT_CONNECTED) and keyed_request is not None:
            keyed_request.mark_not_sent()
        return outcome
    return Err(Failure.LOST)


def _exchange(
    node: Node, call: Call, worker: Worker, remaining: dt.timedelta
) -> Result[StoredAnswer, Failure]:
    query = f'?{call.request.query}' if call.request.query else ''
    reply = transport.call(
        node.pool,
        call.request.method,
        f'http://{worker.address}{quote(call.path)}{query}',
        remaining,
        call.body,
        {
            'Content-Type': call.request.header('Content-Type') or 'text/plain',
            'X-Request-Id': call.request.request_id,
            'X-Idempotency-Key': call.request.header('Idempotency-Key') or '',
            'X-Deadline-Ms': str(
                math.ceil(remaining / dt.timedelta(milliseconds=1))
            ),
        },
        keep_failed=False,
    )
    if isinstance(reply, Err):
        sent = reply.err_value.sent
        return Err(Failure.LOST if sent else Failure.NOT_CONNECTED)
    answer = reply.ok_value
    if answer.status in _RETRIED_STATUSES and call.operation.repeatable:
        return Err(Failure.REFUSED)
    content_type = answer.headers.get('Content-Type', 'text/plain')
    return Ok(StoredAnswer(answer.status, content_type, answer.body))


def _to_refusal(node: Node, call: Call, failures: list[Failure]) -> Refusal:
    state = RunState.NOT_RUN
    if Failure.LOST in failures:
        state = RunState.UNKNOWN
    retry_after = None
    if state is RunState.NOT_RUN or call.operation.repeatable:
        retry_after = RETRY_AFTER
    if call.is_late(node):
        message = 'the deadline passed before the endpoint answered'
        return Refusal(504, 'deadline_exceeded', message, state)
    if not failures:
        message = f'no endpoint of {call.service.name!r} is live'
        return Refusal(503, 'no_endpoint', message, state, retry_after)
    if failures[-1] is Failure.REFUSED:
        message = 'the endpoint refused the call'
        return Refusal(503, 'endpoint_refused', message, state, retry_after)
    message = 'the endpoint did not answer'
    return Refusal(502, 'endpoint_failed', message, state, retry_after)


def _to_response(
    call: Call, outcome: Result[StoredAnswer, Refusal]
) -> Response:
    if isinstance(outcome, Err):
        return _refuse(call, outcome.err_value)
    return _respond(call, outcome.ok_value, {})


def _refuse(call: Call, refusal: Refusal) -> Response:
    return http.refuse(refusal, call.request.request_id)


def _respond(
    call: Call, answer: StoredAnswer, headers: Mapping[str, str]
) -> Response:
    body = answer.body or b''
    return Response(
        answer.status,
        (body,),
        {
            'Content-Type': answer.content_type,
            'Content-Length': str(len(body)),
            'X-Request-Id': call.request.request_id,
            **headers,
        },
    )
