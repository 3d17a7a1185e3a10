"""Start of a request on a worker, with retries before the first token."""

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
from bronzeglade.entry.allowances import Taken
from bronzeglade.entry.answer import Answer
from bronzeglade.entry.completion import ChatRequest
from bronzeglade.entry.http import Request
from bronzeglade.entry.node import Node
from bronzeglade.entry.selection import Choice
from bronzeglade.entry.workers import Worker, serving_model
from bronzeglade.manifest import VersionState
from bronzeglade.outcome import Refusal, RunState, require

RETRY_AFTER = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A checked request with the version that is to answer it.

    `steps` are those of its target, `reason` tells why this one runs, and
    `rated` whether its answer is rated before the caller gets it.
    `earlier_cost` is that of runs whose answers were not accepted.
    """

    request: Request
    caller: Caller
    chat: ChatRequest
    choice: Choice
    deadline: dt.timedelta
    steps: tuple[Step, ...] = ()
    reason: Reason = Reason.ONLY
    rated: bool = False
    earlier_cost: int = 0


@dataclasses.dataclass(slots=True)
class Tries:
    """Workers that were tried for one request, and what that proves."""

    vms: set[str] = dataclasses.field(default_factory=set)
    run_state: RunState = RunState.NOT_RUN
    worker: Worker | None = None
    rejection: EngineRefusal | None = None
    blocks: tuple[str, ...] | None = None


@dataclasses.dataclass(slots=True)
class Started:
    """A stream whose first event has arrived; `at` is monotonic."""

    work: Work
    tries: Tries
    answer: Answer
    ticket: Ticket
    at: dt.timedelta
    finished: bool = False
    taken: Taken | None = None

    @property
    def worker(self) -> Worker | None:
        """The worker that runs the request, or None after a cut stream."""
        return self.tries.worker


@dataclasses.dataclass(frozen=True, slots=True)
class _Failed:
    failure: Failure
    refusal: EngineRefusal | None = None


def start(node: Node, work: Work, ticket: Ticket) -> Result[Started, Refusal]:
    """Start a request on a worker and wait for its first event.

    Args:
      node: state of this process.
      work: checked request.
      ticket: leave to run; released here when no worker answers.

    Returns:
      The started answer, or a refusal.
    """
    tries = Tries()
    answer = None
    try:
        answer = _first_answer(node, work, tries)
    finally:
        if answer is None:
            _end_try(node, tries)
            node.admission.leave(ticket)
    if answer is None:
        return Err(_failure(node, work, tries))
    return Ok(Started(work, tries, answer, ticket, node.clock.monotonic()))


def _first_answer(node: Node, work: Work, tries: Tries) -> Answer | None:
    node.retries.earn()
    while not _expired(node, work):
        worker = _next_worker(node, work, tries)
        if worker is None:
            return None
        outcome = _try_worker(node, work, tries, worker)
        work.request.trace.event(
            'try',
            worker=worker.vm,
            attempt=len(tries.vms),
            failure=_failure_name(outcome),
        )
        if isinstance(outcome, Ok):
            return outcome.ok_value
        failed = outcome.err_value
        _count_lost(node, work, failed.failure)
        if failed.failure.run_state is not RunState.NOT_RUN:
            tries.run_state = failed.failure.run_state
        if failed.failure is Failure.REJECTED:
            tries.rejection = failed.refusal
        # A chat completion has no side effects, so it may run twice.
        if not node.retries.may_retry(len(tries.vms), failed.failure, True):
            return None
        node.retries.spend()
    return None


def _failure_name(outcome: Result[Answer, _Failed]) -> str | None:
    return outcome.err_value.failure.name if isinstance(outcome, Err) else None


def _expired(node: Node, work: Work) -> bool:
    return node.clock.monotonic() >= work.deadline


def _next_worker(node: Node, work: Work, tries: Tries) -> Worker | None:
    # The configuration may have changed since the request was checked, while
    # it was queued, retried or streamed.
    if not is_permitted(node, work):
        return None
    workers = serving_model(
        node.workers, work.choice.model, work.choice.version
    )
    choice = node.routing.choose(
        workers,
        RoutedRequest(_blocks(node, work, tries), work.caller.rank.priority),
        tries.vms,
    )
    if isinstance(choice, NoWorker):
        return None
    return next(one for one in workers if one.vm == choice.worker)


def _blocks(node: Node, work: Work, tries: Tries) -> tuple[str, ...]:
    if tries.blocks is None:
        messages = (
            {'role': one.role, 'content': one.content}
            for one in work.chat.messages
        )
        tries.blocks = prompt_blocks(messages, node.routing.settings.prefix)
    return tries.blocks


def _failure(node: Node, work: Work, tries: Tries) -> Refusal:
    state = tries.run_state
    if tries.rejection is not None:
        message = f'the engine rejects the request: {tries.rejection.detail}'
        return Refusal(
            tries.rejection.status, 'engine_rejected', message, state
        )
    if _expired(node, work):
        message = 'the deadline passed before the first token'
        return Refusal(504, 'deadline_exceeded', message, state)
    message = f'no worker of {work.choice.model!r} answered'
    return Refusal(503, 'no_worker', message, state, RETRY_AFTER)


def _try_worker(
    node: Node, work: Work, tries: Tries, worker: Worker
) -> Result[Answer, _Failed]:
    tries.vms.add(worker.vm)
    stream = _open(node, work, tries, worker, 0)
    if isinstance(stream, Err):
        return stream

    def reopen(tokens: int) -> EngineStream | None:
        return _resume(node, work, tries, tokens)

    answer = Answer(
        stream.ok_value,
        work.request.request_id,
        reopen if worker.resumes_streams else None,
    )
    if answer.read_first():
        node.routing.succeeded(worker.vm)
        return Ok(answer)
    answer.close()
    return Err(_end_failed(node, tries, _Failed(Failure.LOST)))


def _open(
    node: Node, work: Work, tries: Tries, worker: Worker, tokens: int
) -> Result[EngineStream, _Failed]:
    check_choice(node, work)
    left = work.deadline - node.clock.monotonic()
    tries.worker = worker
    node.routing.started(worker.vm, tries.blocks or ())
    stream = engines.open_stream(
        node.pool,
        worker.address,
        engines.EngineRequest(
            work.request.request_id,
            work.chat.engine_body(work.choice.model, work.choice.version),
            work.caller.rank.priority,
            tokens,
        ),
        engines.stream_timeout(
            node.settings.connect_timeout, max(left, dt.timedelta(seconds=1))
        ),
    )
    if isinstance(stream, Ok):
        return stream
    return Err(_end_failed(node, tries, _failed(stream.err_value)))


def _failed(error: CallFailure | EngineRefusal) -> _Failed:
    if isinstance(error, EngineRefusal):
        return _Failed(failure_of_status(error.status), error)
    return _Failed(Failure.LOST if error.sent else Failure.NOT_CONNECTED)


def _resume(
    node: Node, work: Work, tries: Tries, tokens: int
) -> EngineStream | None:
    _end_failed(node, tries, _Failed(Failure.LOST))
    _count_lost(node, work, Failure.LOST)
    if _expired(node, work):
        return None
    worker = _next_worker(node, work, tries)
    if worker is None or not worker.resumes_streams:
        return None
    tries.vms.add(worker.vm)
    return _open(node, work, tries, worker, tokens).ok()


def _count_lost(node: Node, work: Work, failure: Failure) -> None:
    # A retry hides the failure from the caller, not from the roll-out.
    if failure is Failure.LOST:
        node.versions.observe(work.choice.model, work.choice.version, FAILED)


def is_permitted(node: Node, work: Work) -> bool:
    """Return whether the version may still receive the work."""
    if node.catalog is None:
        return False
    if not catalogs.grants(
        node.catalog,
        work.caller.team.name,
        work.choice.model,
        work.choice.version,
    ):
        return False
    state = catalogs.version_state(
        node.catalog, work.choice.model, work.choice.version
    )
    if state is VersionState.WITHDRAWN:
        return False
    return node.versions.permits(
        node.catalog,
        work.choice.model,
        work.choice.version,
        work.request.header('X-Session-Id') is not None,
    )


def check_choice(node: Node, work: Work) -> None:
    """Assert that the newest configuration permits the chosen version."""
    choice = work.choice
    catalog = node.catalog or work.caller.catalog
    team = work.caller.team.name
    require(
        catalogs.grants(catalog, team, choice.model, choice.version),
        'allowed-version',
        choice,
    )
    state = catalogs.version_state(catalog, choice.model, choice.version)
    require(state is not VersionState.WITHDRAWN, 'withdrawn-version', choice)


def finish(node: Node, started: Started) -> None:
    """Close an answer and return its ticket; further calls do nothing."""
    if started.finished:
        return
    started.finished = True
    if started.answer.complete:
        node.routing.record_service_time(node.clock.monotonic() - started.at)
    _end_try(node, started.tries)
    node.admission.leave(started.ticket)
    if started.taken is not None:
        node.allowances.settle(started.taken, started.answer.usage())
    started.answer.close()


def _end_try(node: Node, tries: Tries) -> None:
    if tries.worker is not None:
        node.routing.finished(tries.worker.vm)
        tries.worker = None


def _end_failed(node: Node, tries: Tries, failed: _Failed) -> _Failed:
    if tries.worker is not None:
        node.routing.failed(tries.worker.vm, failed.failure)
    _end_try(node, tries)
    return failed
