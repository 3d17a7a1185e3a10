"""POST /v1/chat/completions."""

import datetime as dt
import json
from collections.abc import Generator, Iterator

from result import Err, Ok, Result

from bronzeglade.coordination.bill import Bill
from bronzeglade.entry import (
    access,
    cascade,
    completion,
    deadline,
    dispatch,
    evidence,
    http,
    selection,
)
from bronzeglade.entry.access import Caller
from bronzeglade.entry.dispatch import Started, Work
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.outcome import Refusal, RunState, require

PATH = '/v1/chat/completions'
# Each open request holds a connection and about 50 KB; admission admits far
# fewer, so only a flood that outruns the queues reaches this.
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
      The whole answer, its stream, or an error in the OpenAI shape.
    """
    if node.open_requests > MAX_OPEN_REQUESTS:
        # Before anything is read or checked, so that a refusal stays cheap.
        return http.refuse(NODE_OVERLOADED, request.request_id)
    work = prepare(node, request)
    if isinstance(work, Err):
        return http.refuse(work.err_value, request.request_id)
    return _run(node, work.ok_value)


def _run(node: Node, work: Work) -> Response:
    began = _start(node, work)
    if isinstance(began, Err):
        return http.refuse(began.err_value, work.request.request_id)
    started = began.ok_value
    work.request.trace.first_token = node.clock.monotonic()
    if work.chat.stream:
        return _streamed(node, started)
    return _whole(node, started)


def _start(node: Node, work: Work) -> Result[Started, Refusal]:
    taken = node.allowances.take(work.caller.team.name, work.chat)
    if isinstance(taken, Refusal):
        return Err(taken)
    outcome = cascade.start(node, work)
    if isinstance(outcome, Err):
        if outcome.err_value.run_state is RunState.NOT_RUN:
            node.allowances.give_back(taken)
        return outcome
    started = outcome.ok_value
    if started.finished:
        # The answer was read whole to be rated.
        node.allowances.settle(taken, started.answer.usage())
    else:
        started.taken = taken
    return outcome


def prepare(node: Node, request: Request) -> Result[Work, Refusal]:
    """Check a request and choose the version that is to answer it.

    Args:
      node: state of this process.
      request: the request of a caller.

    Returns:
      The work, or a refusal; nothing has run.
    """
    caller = _billable_caller(node, request)
    if isinstance(caller, Err):
        return caller
    body = http.read_body(request, node.settings)
    if isinstance(body, Err):
        return body
    chat = completion.parse(body.ok_value)
    if isinstance(chat, Err):
        return chat
    limit = deadline.time_limit(request, node.settings.request_timeout)
    if isinstance(limit, Err):
        return limit
    steps = selection.allowed_steps(caller.ok_value, chat.ok_value.model)
    if isinstance(steps, Err):
        return steps
    first = cascade.first_step(
        node, caller.ok_value, chat.ok_value, steps.ok_value, limit.ok_value
    )
    step = steps.ok_value[first.index]
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
        Work(
            request=request,
            caller=caller.ok_value,
            chat=chat.ok_value,
            choice=choice.ok_value,
            deadline=node.clock.monotonic() + limit.ok_value,
            steps=tuple(steps.ok_value),
            reason=first.reason,
            rated=first.rate,
        )
    )


def _billable_caller(node: Node, request: Request) -> Result[Caller, Refusal]:
    caller = access.identify(node, request)
    if isinstance(caller, Err):
        return caller
    refusal = node.billing.refusal(caller.ok_value.rank)
    return caller if refusal is None else Err(refusal)


def _headers(started: Started) -> dict[str, str]:
    work = started.work
    headers = {
        'X-Request-Id': work.request.request_id,
        'X-Model': work.choice.model,
        'X-Version': work.choice.version,
    }
    if work.choice.session_token is not None:
        headers['X-Session-Token'] = work.choice.session_token
    if work.choice.session_rebound is not None:
        headers['X-Session-Rebound'] = (
            f'{work.choice.session_rebound}->{work.choice.version}'
        )
    return headers


def _bill(node: Node, started: Started, whole: bool) -> Result[None, str]:
    work = started.work
    usage = started.answer.usage()
    cost = cascade.cost(started)
    record = Bill(
        request_id=work.request.request_id,
        team=work.caller.team.name,
        rank=work.caller.rank.name,
        model=work.choice.model,
        version=work.choice.version,
        usage=usage,
        cost=cost,
        whole=whole,
        finished_at=node.clock.now(),
    )
    billed = node.billing.record(record, node.settings.request_timeout)
    trace = work.request.trace
    trace.event(
        'bill',
        whole=whole,
        cost_nanodollars=cost,
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        error=billed.err(),
    )
    if isinstance(billed, Ok):
        trace.answered = whole
        node.telemetry.billed(trace.labels, cost, usage.completion_tokens)
    return billed


def _whole(node: Node, started: Started) -> Response:
    request_id = started.work.request.request_id
    try:
        for _block in _timed(node, started):
            continue
    finally:
        dispatch.finish(node, started)
    _learn(node, started)
    if not started.answer.complete:
        message = 'the worker stopped before the answer was complete'
        return http.refuse(
            Refusal(502, 'answer_cut', message, RunState.RAN), request_id
        )
    billed = _bill(node, started, whole=True)
    if isinstance(billed, Err):
        return http.refuse(_unbilled(billed.err_value), request_id)
    return http.json_response(
        started.answer.document(), headers=_headers(started)
    )


def _learn(node: Node, started: Started) -> None:
    evidence.ended(node, started)
    if started.answer.complete:
        cascade.learn(node, started)


def _unbilled(detail: str) -> Refusal:
    message = f'the answer could not be billed: {detail}'
    return Refusal(503, 'billing_unavailable', message, RunState.RAN)


def _streamed(node: Node, started: Started) -> Response:
    headers = {
        **_headers(started),
        'Content-Type': 'text/event-stream',
        'Cache-Control': 'no-cache',
    }
    return Response(200, _Stream(node, started), headers)


class _Stream:
    """The events of an answer; releases everything when it is closed.

    A generator that was never started does not run its `finally`, so the
    server's call of `close` has to do it.
    """

    def __init__(self, node: Node, started: Started) -> None:
        """Wrap a started answer."""
        self.node = node
        self.started = started
        self.events = _events(node, started)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the events."""
        return self.events

    def close(self) -> None:
        """End the answer; called once by the server in every case."""
        try:
            self.events.close()
        finally:
            dispatch.finish(self.node, self.started)


def _events(node: Node, started: Started) -> Generator[bytes, None, None]:
    answer = started.answer
    whole = False
    try:
        yield from _timed(node, started)
        whole = answer.complete
        _learn(node, started)
    finally:
        dispatch.finish(node, started)
        if not whole and answer.tokens:
            # The caller left, or the worker stopped: what was generated and
            # delivered is billed as not whole.
            _bill(node, started, whole=False)
    if whole:
        yield from _ending(node, started)
    else:
        message = 'the worker stopped before the answer was complete'
        refusal = Refusal(502, 'answer_cut', message, RunState.RAN)
        yield _error_event(refusal, started)


def _timed(node: Node, started: Started) -> Iterator[bytes]:
    """Yield the body of an answer and count the times between its blocks."""
    count = started.work.request.trace.gap_counter(node.telemetry)
    last = node.clock.monotonic()
    for block in started.answer.body():
        now = node.clock.monotonic()
        count((now - last).total_seconds())
        yield block
        last = now


def _ending(node: Node, started: Started) -> Iterator[bytes]:
    # The last part leaves only after the request is billed.
    billed = _bill(node, started, whole=True)
    if isinstance(billed, Err):
        yield _error_event(_unbilled(billed.err_value), started)
        return
    answered = started.work.request.trace.answered
    require(answered, 'billed-before-the-end', started.work.request.request_id)
    usage = started.work.chat.wants_usage()
    yield from started.answer.ending(usage)
    yield b'data: [DONE]\n\n'


def _error_event(refusal: Refusal, started: Started) -> bytes:
    started.work.request.trace.refusal = refusal
    document = http.error_document(refusal, started.work.request.request_id)
    return b'data: ' + json.dumps(document).encode() + b'\n\n'
