"""Dispatch of chat completions to workers, with retries.

An attempt that fails before its first event is repeated on another worker,
within the retry budget. A stream that breaks later is resumed on another
worker if both support that.
"""

import dataclasses
import datetime as dt

from result import Err, Ok, Result

from bronzeglade import catalog as catalogs
from bronzeglade.adapters import engine as engines
from bronzeglade.adapters.engine import EngineRefusal, EngineStream
from bronzeglade.adapters.transport import CallFailure
from bronzeglade.catalog import Step
from bronzeglade.decisions.admission import Ticket
from bronzeglade.decisions.cascade import Reason
from bronzeglade.decisions.evidence import FAILED
from bronzeglade.decisions.prefix import prompt_blocks
from bronzeglade.decisions.retry import Failure, failure_of_status
from bronzeglade.decisions.routing import NoWorker, RoutedRequest
from bronzeglade.entry.access import Caller
from bronzeglade.entry.allowances import Charge
from bronzeglade.entry.answer import Answer
from bronzeglade.entry.chat_request import ChatRequest
from bronzeglade.entry.http import Request
from bronzeglade.entry.node import Node
from bronzeglade.entry.selection import Choice
from bronzeglade.entry.workers import Worker, serving_model
from bronzeglade.manifest import VersionState
from bronzeglade.outcome import Refusal, RunState, require

RETRY_AFTER = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedRequest:
    """A validated request and the version chosen to answer it.

    Attributes:
      request: the HTTP request.
      caller: the authenticated caller.
      chat: the parsed body.
      choice: model and version to run.
      deadline: monotonic time.
      steps: steps of the target that the team may use, cheapest first.
      reason: why this step runs.
      rate_before_delivery: whether the answer is rated before it is delivered.
      earlier_cost: cost of earlier steps whose answers were rejected, in
        nano-dollars.
    """

    request: Request
    caller: Caller
    chat: ChatRequest
    choice: Choice
    deadline: dt.timedelta
    steps: tuple[Step, ...] = ()
    reason: Reason = Reason.ONLY
    rate_before_delivery: bool = False
    earlier_cost: int = 0


@dataclasses.dataclass(slots=True)
class Attempts:
    """Attempts at one step of a request.

    Attributes:
      vms: VMs of the workers that received an attempt; each receives only one.
      run_state: whether a failed attempt may have run the request.
      worker: worker of the attempt in progress.
      rejection: reply of an engine that rejected the request as invalid.
      blocks: hashes of the prompt's blocks, for prefix-aware routing.
    """

    vms: set[str] = dataclasses.field(default_factory=set)
    run_state: RunState = RunState.NOT_RUN
    worker: Worker | None = None
    rejection: EngineRefusal | None = None
    blocks: tuple[str, ...] | None = None


@dataclasses.dataclass(slots=True)
class StartedAnswer:
    """An answer whose first event has arrived.

    Attributes:
      prepared: the request.
      attempts: its attempts.
      answer: the stream of events.
      ticket: the admission ticket to release.
      first_event_at: monotonic arrival time of the first event.
      finished: whether `finish` has run.
    """

    prepared: PreparedRequest
    attempts: Attempts
    answer: Answer
    ticket: Ticket
    first_event_at: dt.timedelta
    finished: bool = False
    charge: Charge | None = None  # on the allowance of the team

    @property
    def worker(self) -> Worker | None:
        """The worker of the current attempt, or None once it has ended."""
        return self.attempts.worker


@dataclasses.dataclass(frozen=True, slots=True)
class _FailedAttempt:
    failure: Failure
    detail: str  # for the log; without text of the engine
    refusal: EngineRefusal | None = None


def start(
    node: Node, prepared: PreparedRequest, ticket: Ticket
) -> Result[StartedAnswer, Refusal]:
    """Send a request to a worker and wait for its first event.

    Args:
      node: state of this process.
      prepared: the request.
      ticket: its admission; released here if no worker answers, otherwise by
        `finish`.
    """
    attempts = Attempts()
    answer = None
    try:
        answer = _run_attempts(node, prepared, attempts)
    finally:
        if answer is None:
            _release_worker(node, attempts)
            node.admission.release(ticket)
    if answer is None:
        return Err(_refusal_for(node, prepared, attempts))
    return Ok(
        StartedAnswer(
            prepared, attempts, answer, ticket, node.clock.monotonic()
        )
    )


def _run_attempts(
    node: Node, prepared: PreparedRequest, attempts: Attempts
) -> Answer | None:
    node.retries.earn()
    while not _deadline_passed(node, prepared):
        worker = _next_worker(node, prepared, attempts)
        if worker is None:
            return None
        outcome = _attempt(node, prepared, attempts, worker)
        prepared.request.trace.event(
            'try',
            worker=worker.vm,
            attempt=len(attempts.vms),
            **_failure_fields(outcome),
        )
        if isinstance(outcome, Ok):
            return outcome.ok_value
        failed = outcome.err_value
        _count_lost_attempt(node, prepared, failed.failure)
        if failed.failure.run_state is not RunState.NOT_RUN:
            attempts.run_state = failed.failure.run_state
        if failed.failure is Failure.REJECTED:
            attempts.rejection = failed.refusal
        # The request is idempotent: a chat completion has no side effects.
        if not node.retries.may_retry(len(attempts.vms), failed.failure, True):
            return None
        node.retries.spend()
    return None


def _failure_fields(
    outcome: Result[Answer, _FailedAttempt],
) -> dict[str, str | None]:
    if isinstance(outcome, Ok):
        return {'failure': None}
    failed = outcome.err_value
    return {'failure': failed.failure.name, 'detail': failed.detail}


def _deadline_passed(node: Node, prepared: PreparedRequest) -> bool:
    return node.clock.monotonic() >= prepared.deadline


def _next_worker(
    node: Node, prepared: PreparedRequest, attempts: Attempts
) -> Worker | None:
    # The configuration may have changed while the request was queued, retried
    # or streamed.
    if not is_permitted(node, prepared):
        return None
    workers = serving_model(
        node.workers, prepared.choice.model, prepared.choice.version
    )
    choice = node.routing.choose(
        workers,
        RoutedRequest(
            _blocks(node, prepared, attempts), prepared.caller.rank.priority
        ),
        attempts.vms,
    )
    if isinstance(choice, NoWorker):
        return None
    return next(worker for worker in workers if worker.vm == choice.worker)


def _blocks(
    node: Node, prepared: PreparedRequest, attempts: Attempts
) -> tuple[str, ...]:
    if attempts.blocks is None:
        messages = (
            {'role': message.role, 'content': message.content}
            for message in prepared.chat.messages
        )
        attempts.blocks = prompt_blocks(messages, node.routing.settings.prefix)
    return attempts.blocks


def _refusal_for(
    node: Node, prepared: PreparedRequest, attempts: Attempts
) -> Refusal:
    state = attempts.run_state
    if attempts.rejection is not None:
        message = (
            f'the engine rejected the request: {attempts.rejection.detail}'
        )
        return Refusal(
            attempts.rejection.status, 'engine_rejected', message, state
        )
    if _deadline_passed(node, prepared):
        message = 'the deadline passed before the first token'
        return Refusal(504, 'deadline_exceeded', message, state)
    message = f'no worker of {prepared.choice.model!r} answered'
    return Refusal(503, 'no_worker', message, state, RETRY_AFTER)


def _attempt(
    node: Node, prepared: PreparedRequest, attempts: Attempts, worker: Worker
) -> Result[Answer, _FailedAttempt]:
    attempts.vms.add(worker.vm)
    stream = _open_stream(node, prepared, attempts, worker, 0)
    if isinstance(stream, Err):
        return stream

    def reopen(tokens: int) -> EngineStream | None:
        return _resume_stream(node, prepared, attempts, tokens)

    answer = Answer(
        stream.ok_value,
        prepared.request.request_id,
        reopen if worker.resumes_streams else None,
    )
    if answer.read_first_events():
        node.routing.succeeded(worker.vm)
        return Ok(answer)
    answer.close()
    detail = 'a foreign event' if answer.mismatched else 'no event'
    failed = _FailedAttempt(Failure.LOST, detail)
    return Err(_record_failure(node, attempts, failed))


def _open_stream(
    node: Node,
    prepared: PreparedRequest,
    attempts: Attempts,
    worker: Worker,
    tokens: int,
) -> Result[EngineStream, _FailedAttempt]:
    check_choice(node, prepared)
    remaining = prepared.deadline - node.clock.monotonic()
    attempts.worker = worker
    node.routing.started(worker.vm, attempts.blocks or ())
    stream = engines.open_stream(
        node.pool,
        worker.address,
        engines.EngineRequest(
            prepared.request.request_id,
            prepared.chat.engine_body(
                prepared.choice.model, prepared.choice.version
            ),
            prepared.caller.rank.priority,
            tokens,
        ),
        engines.stream_timeout(
            node.settings.connect_timeout,
            max(remaining, dt.timedelta(seconds=1)),
        ),
    )
    if isinstance(stream, Ok):
        return stream
    return Err(_record_failure(node, attempts, _classify(stream.err_value)))


def _classify(error: CallFailure | EngineRefusal) -> _FailedAttempt:
    if isinstance(error, EngineRefusal):
        return _FailedAttempt(
            failure_of_status(error.status), f'status {error.status}', error
        )
    failure = Failure.LOST if error.sent else Failure.NOT_CONNECTED
    return _FailedAttempt(failure, error.detail)


def _resume_stream(
    node: Node, prepared: PreparedRequest, attempts: Attempts, tokens: int
) -> EngineStream | None:
    failed = _FailedAttempt(Failure.LOST, 'the stream broke')
    _record_failure(node, attempts, failed)
    _count_lost_attempt(node, prepared, Failure.LOST)
    if _deadline_passed(node, prepared):
        return None
    worker = _next_worker(node, prepared, attempts)
    if worker is None or not worker.resumes_streams:
        return None
    attempts.vms.add(worker.vm)
    return _open_stream(node, prepared, attempts, worker, tokens).ok()


def _count_lost_attempt(
    node: Node, prepared: PreparedRequest, failure: Failure
) -> None:
    # Counts against the version even if a retry succeeds.
    if failure is Failure.LOST:
        node.versions.observe(
            prepared.choice.model, prepared.choice.version, FAILED
        )


def is_permitted(node: Node, prepared: PreparedRequest) -> bool:
    """Return whether the active configuration permits the chosen version.

    Checked again before every attempt: since the choice, the version may have
    been withdrawn or halted, or its grant revoked.
    """
    if node.catalog is None:
        return False
    if not catalogs.is_granted_to_team(
        node.catalog,
        prepared.caller.team.name,
        prepared.choice.model,
        prepared.choice.version,
    ):
        return False
    state = catalogs.version_state(
        node.catalog, prepared.choice.model, prepared.choice.version
    )
    if state is VersionState.WITHDRAWN:
        return False
    return node.versions.permits(
        node.catalog,
        prepared.choice.model,
        prepared.choice.version,
        prepared.request.header('X-Session-Id') is not None,
    )


def check_choice(node: Node, prepared: PreparedRequest) -> None:
    """Check the invariants of a choice against the active configuration.

    The team is granted the version, and the version is not withdrawn.
    """
    choice = prepared.choice
    catalog = node.catalog or prepared.caller.catalog
    team = prepared.caller.team.name
    require(
        catalogs.is_granted_to_team(
            catalog, team, choice.model, choice.version
        ),
        'allowed-version',
        choice,
    )
    state = catalogs.version_state(catalog, choice.model, choice.version)
    require(state is not VersionState.WITHDRAWN, 'withdrawn-version', choice)


def finish(node: Node, started: StartedAnswer) -> None:
    """Close an answer, release its worker and ticket, and settle its charge.

    Further calls do nothing.
    """
    if started.finished:
        return
    started.finished = True
    if started.answer.complete:
        node.routing.record_service_time(
            node.clock.monotonic() - started.first_event_at
        )
    _release_worker(node, started.attempts)
    node.admission.release(started.ticket)
    if started.charge is not None:
        node.allowances.settle(started.charge, started.answer.usage())
    started.answer.close()


def _release_worker(node: Node, attempts: Attempts) -> None:
    if attempts.worker is not None:
        node.routing.finished(attempts.worker.vm)
        attempts.worker = None


def _record_failure(
    node: Node, attempts: Attempts, failed: _FailedAttempt
) -> _FailedAttempt:
    if attempts.worker is not None:
        node.routing.failed(attempts.worker.vm, failed.failure)
    _release_worker(node, attempts)
    return failed
