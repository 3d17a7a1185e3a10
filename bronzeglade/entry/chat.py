"""Handler of POST /v1/chat/completions."""

import datetime as dt
import json
from collections.abc import Generator, Iterator

from result import Err, Ok, Result

from bronzeglade.coordination.bill import Bill
from bronzeglade.entry import (
    access,
    cascade,
    chat_request,
    deadline,
    dispatch,
    evidence,
    http,
    selection,
)
from bronzeglade.entry.access import Caller
from bronzeglade.entry.dispatch import PreparedRequest, StartedAnswer
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.outcome import Refusal, RunState, require

PATH = '/v1/chat/completions'
# An open request takes a connection and about 50 KB. Admission control admits
# far fewer requests, so only a burst that outpaces its queues reaches this.
MAX_OPEN_REQUESTS = 1500
NODE_OVERLOADED = Refusal(
    503,
    'node_overloaded',
    'this node has too many open requests',
    RunState.NOT_RUN,
    dt.timedelta(seconds=2),
)


def handle(node: Node, request: Request) -> Response:
    """Answer a chat completion.

    Args:
      node: state of this process.
      request: the request of a caller.

    Returns:
      The complete answer, its event stream, or an error in OpenAI format.
    """
    if node.open_requests > MAX_OPEN_REQUESTS:
        # Checked before anything is read or validated: refusals must be cheap.
        return http.refuse(NODE_OVERLOADED, request.request_id)
    prepared = prepare(node, request)
    if isinstance(prepared, Err):
        return http.refuse(prepared.err_value, request.request_id)
    return _run(node, prepared.ok_value)


def _run(node: Node, prepared: PreparedRequest) -> Response:
    outcome = _start(node, prepared)
    if isinstance(outcome, Err):
        return http.refuse(outcome.err_value, prepared.request.request_id)
    started = outcome.ok_value
    prepared.request.trace.first_token_at = node.clock.monotonic()
    if prepared.chat.stream:
        return _streaming_response(node, started)
    return _buffered_response(node, started)


def _start(
    node: Node, prepared: PreparedRequest
) -> Result[StartedAnswer, Refusal]:
    charge = node.allowances.try_charge(
        prepared.caller.team.name, prepared.chat
    )
    if isinstance(charge, Refusal):
        return Err(charge)
    outcome = cascade.start(node, prepared)
    if isinstance(outcome, Err):
        if outcome.err_value.run_state is RunState.NOT_RUN:
            node.allowances.refund(charge)
        return outcome
    started = outcome.ok_value
    if started.finished:
        # The cascade has read the complete answer in order to rate it.
        node.allowances.settle(charge, started.answer.usage())
    else:
        started.charge = charge
    return outcome


def prepare(node: Node, request: Request) -> Result[PreparedRequest, Refusal]:
    """Validate a request and choose the model version that answers it.

    Args:
      node: state of this process.
      request: the request of a caller.

    Returns:
      The prepared request, or a refusal; the request has not run.
    """
    caller = _billable_caller(node, request)
    if isinstance(caller, Err):
        return caller
    body = http.read_body(request, node.settings)
    if isinstance(body, Err):
        return body
    chat = chat_request.parse(body.ok_value)
    if isinstance(chat, Err):
        return chat
    limit = deadline.time_limit(request, node.settings.request_timeout)
    if isinstance(limit, Err):
        return limit
    steps = selection.allowed_steps(caller.ok_value, chat.ok_value.model)
    if isinstance(steps, Err):
        return steps
    decision = cascade.first_step(
        node, caller.ok_value, chat.ok_value, steps.ok_value, limit.ok_value
    )
    step = steps.ok_value[decision.index]
    choice = selection.choose(node, caller.ok_value, request, step)
    if isinstance(choice, Err):
        return choice
    request.trace.set_version(choice.ok_value.model, choice.ok_value.version)
    request.trace.event(
        'choice',
        model=choice.ok_value.model,
        version=choice.ok_value.version,
        generation=caller.ok_value.catalog.configuration.generation,
        vm=node.settings.vm,
    )
    return Ok(
        PreparedRequest(
            request=request,
            caller=caller.ok_value,
            chat=chat.ok_value,
            choice=choice.ok_value,
            deadline=node.clock.monotonic() + limit.ok_value,
            steps=tuple(steps.ok_value),
            reason=decision.reason,
            rate_before_delivery=decision.rate,
        )
    )


def _billable_caller(node: Node, request: Request) -> Result[Caller, Refusal]:
    caller = access.identify(node, request)
    if isinstance(caller, Err):
        return caller
    refusal = node.billing.refusal(caller.ok_value.rank)
    return caller if refusal is None else Err(refusal)


def _response_headers(started: StartedAnswer) -> dict[str, str]:
    prepared = started.prepared
    headers = {
        'X-Request-Id': prepared.request.request_id,
        'X-Model': prepared.choice.model,
        'X-Version': prepared.choice.version,
    }
    if prepared.choice.session_token is not None:
        headers['X-Session-Token'] = prepared.choice.session_token
    if prepared.choice.session_rebound is not None:
        headers['X-Session-Rebound'] = (
            f'{prepared.choice.session_rebound}->{prepared.choice.version}'
        )
    return headers


def _bill(
    node: Node, started: StartedAnswer, complete: bool
) -> Result[None, str]:
    prepared = started.prepared
    usage = started.answer.usage()
    cost = cascade.total_cost(started)
    record = Bill(
        request_id=prepared.request.request_id,
        team=prepared.caller.team.name,
        rank=prepared.caller.rank.name,
        model=prepared.choice.model,
        version=prepared.choice.version,
        usage=usage,
        cost=cost,
        whole=complete,
        finished_at=node.clock.now(),
    )
    billed = node.billing.record(record, node.settings.request_timeout)
    trace = prepared.request.trace
    trace.event(
        'bill',
        whole=complete,
        cost_nanodollars=cost,
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        error=billed.err(),
    )
    if isinstance(billed, Ok):
        trace.answered = complete
        node.telemetry.record_bill(trace.labels, cost, usage.completion_tokens)
    return billed


def _buffered_response(node: Node, started: StartedAnswer) -> Response:
    request_id = started.prepared.request.request_id
    try:
        for _block in _measure_gaps(node, started):
            continue
    finally:
        dispatch.finish(node, started)
    _record_outcome(node, started)
    if not started.answer.complete:
        message = 'the worker stopped before the answer was complete'
        return http.refuse(
            Refusal(502, 'answer_cut', message, RunState.RAN), request_id
        )
    billed = _bill(node, started, complete=True)
    if isinstance(billed, Err):
        return http.refuse(_billing_failure(billed.err_value), request_id)
    return http.json_response(
        started.answer.document(), headers=_response_headers(started)
    )


def _record_outcome(node: Node, started: StartedAnswer) -> None:
    evidence.record_end(node, started)
    if started.answer.complete:
        cascade.record_delivered_answer(node, started)


def _billing_failure(detail: str) -> Refusal:
    message = f'the answer could not be billed: {detail}'
    return Refusal(503, 'billing_unavailable', message, RunState.RAN)


def _streaming_response(node: Node, started: StartedAnswer) -> Response:
    headers = {
        **_response_headers(started),
        'Content-Type': 'text/event-stream',
        'Cache-Control': 'no-cache',
    }
    return Response(200, _EventStream(node, started), headers)


class _EventStream:
    """Server-sent events of an answer; `close` releases its resources.

    Closing a generator that was never started does not run its `finally`
    block, so `close` calls `dispatch.finish` as well.
    """

    def __init__(self, node: Node, started: StartedAnswer) -> None:
        """Create the event stream of a started answer."""
        self.node = node
        self.started = started
        self.events = _stream_events(node, started)

    def __iter__(self) -> Iterator[bytes]:
        """Return the iterator over the framed events."""
        return self.events

    def close(self) -> None:
        """End the answer; the server calls it once for each response."""
        try:
            self.events.close()
        finally:
            dispatch.finish(self.node, self.started)


def _stream_events(
    node: Node, started: StartedAnswer
) -> Generator[bytes, None, None]:
    answer = started.answer
    complete = False
    try:
        yield from _measure_gaps(node, started)
        complete = answer.complete
        _record_outcome(node, started)
    finally:
        dispatch.finish(node, started)
        if not complete and answer.token_count:
            # The caller disconnected or the worker stopped: what was
            # generated and delivered is billed as an incomplete answer.
            _bill(node, started, complete=False)
    if complete:
        yield from _final_events(node, started)
    else:
        message = 'the worker stopped before the answer was complete'
        refusal = Refusal(502, 'answer_cut', message, RunState.RAN)
        yield _error_event(refusal, started)


def _measure_gaps(node: Node, started: StartedAnswer) -> Iterator[bytes]:
    """Yield the body of an answer and record the time between blocks."""
    record_gap = started.prepared.request.trace.gap_counter(node.telemetry)
    previous = node.clock.monotonic()
    for block in started.answer.body():
        now = node.clock.monotonic()
        record_gap((now - previous).total_seconds())
        yield block
        previous = now


def _final_events(node: Node, started: StartedAnswer) -> Iterator[bytes]:
    # The final events are sent only after the request is billed.
    billed = _bill(node, started, complete=True)
    if isinstance(billed, Err):
        yield _error_event(_billing_failure(billed.err_value), started)
        return
    answered = started.prepared.request.trace.answered
    require(
        answered, 'billed-before-the-end', started.prepared.request.request_id
    )
    with_usage = started.prepared.chat.wants_usage()
    yield from started.answer.final_events(with_usage)
    yield b'data: [DONE]\n\n'


def _error_event(refusal: Refusal, started: StartedAnswer) -> bytes:
    started.prepared.request.trace.refusal = refusal
    document = http.error_document(refusal, started.prepared.request.request_id)
    return b'data: ' + json.dumps(document).encode() + b'\n\n'
