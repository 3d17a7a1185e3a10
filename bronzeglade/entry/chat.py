"""POST /v1/chat/completions."""

import dataclasses
import datetime as dt
import json
from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

from bronzeglade import catalog as catalogs
from bronzeglade.adapters import engine as engines
from bronzeglade.catalog import Step
from bronzeglade.coordination.bill import Bill, Usage, cost_of
from bronzeglade.entry import access, completion, http
from bronzeglade.entry.access import Caller
from bronzeglade.entry.answer import Answer
from bronzeglade.entry.completion import ChatRequest
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.entry.workers import Worker, serving_model
from bronzeglade.manifest import VersionState
from bronzeglade.outcome import Refusal, RunState, require

MAX_ATTEMPTS = 3
RETRY_AFTER = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A checked request with the version that is to answer it."""

    request: Request
    caller: Caller
    chat: ChatRequest
    model: str
    version: str
    deadline: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A stream whose first event has arrived."""

    work: Work
    worker: Worker
    answer: Answer


def handle(node: Node, request: Request) -> Response:
    """Answer a chat completion.

    Args:
      node: state of this process.
      request: the request of a caller.

    Returns:
      The whole answer, its stream, or an error in the OpenAI shape.
    """
    work = prepare(node, request)
    if isinstance(work, Err):
        return http.refuse(work.err_value, request.request_id)
    started = start(node, work.ok_value)
    if isinstance(started, Err):
        return http.refuse(started.err_value, request.request_id)
    if work.ok_value.chat.stream:
        return _streamed(node, started.ok_value)
    return _whole(node, started.ok_value)


def prepare(node: Node, request: Request) -> Result[Work, Refusal]:
    """Check a request and choose the version that is to answer it.

    Args:
      node: state of this process.
      request: the request of a caller.

    Returns:
      The work, or a refusal; nothing has run.
    """
    caller = access.identify(node, request)
    if isinstance(caller, Err):
        return caller
    body = http.read_body(request, node.settings)
    if isinstance(body, Err):
        return body
    chat = completion.parse(body.ok_value)
    if isinstance(chat, Err):
        return chat
    limit = _time_limit(node, request)
    if isinstance(limit, Err):
        return limit
    step = choose_step(caller.ok_value, chat.ok_value.model)
    if isinstance(step, Err):
        return step
    return Ok(
        Work(
            request=request,
            caller=caller.ok_value,
            chat=chat.ok_value,
            model=step.ok_value.model,
            version=step.ok_value.version or '',
            deadline=node.clock.monotonic() + limit.ok_value,
        )
    )


def _time_limit(node: Node, request: Request) -> Result[dt.timedelta, Refusal]:
    wanted = request.header('X-Deadline-Ms')
    longest = node.settings.request_timeout
    if wanted is None:
        return Ok(longest)
    if not wanted.isdecimal() or not int(wanted):
        message = 'X-Deadline-Ms: a whole number of milliseconds above 0'
        return Err(Refusal(422, 'invalid_deadline', message))
    return Ok(min(longest, dt.timedelta(milliseconds=int(wanted))))


def choose_step(caller: Caller, name: str) -> Result[Step, Refusal]:
    """Choose the model and version for a request.

    Args:
      caller: who asks.
      name: the `model` field.

    Returns:
      A step with a version, or a refusal with status 403, 404 or 503.
    """
    target = catalogs.resolve(caller.catalog, name)
    if target is None:
        message = f'there is no model or route {name!r}'
        return Err(Refusal(404, 'model_not_found', message))
    granted = False
    for step in target.steps:
        versions = catalogs.usable_versions(
            caller.catalog, caller.team, step.model
        )
        granted = granted or bool(versions)
        if step.version is None and versions:
            return Ok(dataclasses.replace(step, version=versions[0]))
        if step.version in versions:
            return Ok(step)
    return Err(_no_version(caller, name))


def _no_version(caller: Caller, name: str) -> Refusal:
    model, _, version = name.partition('@')
    granted = any(grant.model == model for grant in caller.team.grants)
    if granted and version:
        state = catalogs.version_state(caller.catalog, model, version)
        if state is VersionState.WITHDRAWN:
            message = f'version {version!r} of {model!r} is withdrawn'
            return Refusal(404, 'version_withdrawn', message)
    message = f'team {caller.team.name!r} may not use {name!r}'
    return Refusal(403, 'model_not_allowed', message)


def start(node: Node, work: Work) -> Result[Started, Refusal]:
    """Start a request on a worker and wait for its first event.

    Args:
      node: state of this process.
      work: checked request.

    Returns:
      The started answer, or a refusal with status 502, 503 or 504.
    """
    tried: set[str] = set()
    for _attempt in range(MAX_ATTEMPTS):
        workers = [
            worker
            for worker in serving_model(node.workers, work.model, work.version)
            if worker.vm not in tried
        ]
        if not workers or node.clock.monotonic() >= work.deadline:
            break
        worker = choose_worker(node, workers)
        tried.add(worker.vm)
        started = _try_worker(node, work, worker)
        if started is not None:
            return Ok(started)
    if node.clock.monotonic() >= work.deadline:
        message = 'the deadline passed before the first token'
        return Err(Refusal(504, 'deadline_exceeded', message, RunState.UNKNOWN))
    state = RunState.UNKNOWN if tried else RunState.NOT_RUN
    message = f'no worker of {work.model!r} answered'
    return Err(Refusal(503, 'no_worker', message, state, RETRY_AFTER))


def choose_worker(node: Node, workers: list[Worker]) -> Worker:
    """Choose the worker with the fewest requests of this node."""
    node.random.shuffle(workers)
    return min(workers, key=lambda one: node.in_flight.get(one.vm, 0))


def _try_worker(node: Node, work: Work, worker: Worker) -> Started | None:
    state = catalogs.version_state(
        work.caller.catalog, work.model, work.version
    )
    require(
        catalogs.is_granted(work.caller.team, work.model, work.version),
        'allowed-version',
        work.version,
    )
    require(
        state is not VersionState.WITHDRAWN, 'withdrawn-version', work.version
    )
    left = work.deadline - node.clock.monotonic()
    stream = engines.open_stream(
        node.pool,
        worker.address,
        engines.EngineRequest(
            work.request.request_id,
            work.chat.engine_body(work.model, work.version),
            work.caller.rank.priority,
        ),
        engines.stream_timeout(node.settings.connect_timeout, left),
    )
    if isinstance(stream, Err):
        return None
    node.in_flight[worker.vm] = node.in_flight.get(worker.vm, 0) + 1
    answer = Answer(stream.ok_value, work.request.request_id)
    if answer.read_first():
        return Started(work, worker, answer)
    finish(node, worker, answer)
    return None


def finish(node: Node, worker: Worker, answer: Answer) -> None:
    """Close an answer and count the worker's request as ended."""
    answer.close()
    node.in_flight[worker.vm] -= 1


def _headers(started: Started) -> dict[str, str]:
    return {
        'X-Request-Id': started.work.request.request_id,
        'X-Model': started.work.model,
        'X-Version': started.work.version,
    }


def _bill(node: Node, started: Started, whole: bool) -> Result[None, str]:
    work = started.work
    usage: Usage = started.answer.usage()
    model = work.caller.catalog.models[work.model]
    cost = cost_of(usage, model.prompt_cost, model.completion_cost)
    record = Bill(
        request_id=work.request.request_id,
        team=work.caller.team.name,
        rank=work.caller.rank.name,
        model=work.model,
        version=work.version,
        usage=usage,
        cost=cost,
        whole=whole,
        finished_at=node.clock.now(),
    )
    return node.billing.record(record, node.settings.request_timeout)


def _whole(node: Node, started: Started) -> Response:
    request_id = started.work.request.request_id
    try:
        for _chunk in started.answer.body():
            continue
    finally:
        finish(node, started.worker, started.answer)
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


def _unbilled(detail: str) -> Refusal:
    message = f'the answer could not be billed: {detail}'
    return Refusal(503, 'billing_unavailable', message, RunState.RAN)


def _streamed(node: Node, started: Started) -> Response:
    headers = {
        **_headers(started),
        'Content-Type': 'text/event-stream',
        'Cache-Control': 'no-cache',
    }
    return Response(200, _events(node, started), headers)


def _events(node: Node, started: Started) -> Iterator[bytes]:
    answer = started.answer
    whole = False
    try:
        for chunk in answer.body():
            yield b'data: ' + chunk + b'\n\n'
        whole = answer.complete
    finally:
        finish(node, started.worker, answer)
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


def _ending(node: Node, started: Started) -> Iterator[bytes]:
    # The last part leaves only after the request is billed.
    billed = _bill(node, started, whole=True)
    if isinstance(billed, Err):
        yield _error_event(_unbilled(billed.err_value), started)
        return
    usage = started.work.chat.wants_usage()
    for chunk in started.answer.ending(usage):
        yield b'data: ' + chunk + b'\n\n'
    yield b'data: [DONE]\n\n'


def _error_event(refusal: Refusal, started: Started) -> bytes:
    document: dict[str, Any] = http.error_document(
        refusal, started.work.request.request_id
    )
    return b'data: ' + json.dumps(document).encode() + b'\n\n'
