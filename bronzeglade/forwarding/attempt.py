"""One try of a request on one endpoint."""

import dataclasses
import datetime as dt
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from bronzeglade.decisions.load import Load
from bronzeglade.decisions.placement import PlacedRequest
from bronzeglade.decisions.retry import Failure
from bronzeglade.decisions.stopwatch import Task, TimedTry
from bronzeglade.forwarding.endpoint import Endpoint
from bronzeglade.forwarding.message import AnswerFacts, Dispatch
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.upstream import (
    Broken,
    EndpointConnection,
    OutgoingRequest,
    idle_time,
)
from bronzeglade.forwarding.work import Work

# An endpoint that takes longer to accept a connection is not reachable: the
# longest way there and back is about 20 ms.
CONNECT_LIMIT = dt.timedelta(milliseconds=250)
# Work that may run once is not put on a connection that was idle longer: the
# endpoint may have dropped it, and the outcome would be unknown.
FRESH_IDLE = dt.timedelta(milliseconds=100)
# Surplus answers to other requests that are skipped on one connection.
SURPLUS_LIMIT = 3
# Time and bytes to read what is left of a refusal or of a surplus answer, so
# that its connection can be kept.
REFUSAL_REST = dt.timedelta(milliseconds=100)
SURPLUS_REST = dt.timedelta(seconds=1)
LARGEST_REST = 64 * 1024  # bytes

Read = TypeVar('Read')


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A try without a usable answer.

    `local` tells that the reason lies on this node, not at the endpoint,
    `timed_out` that the endpoint took too long.
    """

    failure: Failure
    detail: str
    status: int | None = None
    local: bool = False
    timed_out: bool = False


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request on an endpoint.

    `unread` are prompt tokens that it has to read; `answered_after` is the
    time from the start to the head of an answer, `progress_at` the time of
    the last event that the caller did not have yet. `timed` is set while a
    roll-out compares versions.
    """

    endpoint: Endpoint
    model: str | None
    placed: PlacedRequest
    unread: int
    task: Task
    connection: EndpointConnection | None = None
    facts: AnswerFacts | None = None
    began: dt.timedelta = dt.timedelta()
    answered_after: dt.timedelta | None = None
    progress_at: dt.timedelta | None = None
    timed: TimedTry | None = None
    reading: bool = True
    ended: bool = False

    @property
    def kind(self) -> tuple[str, str | None]:
        """What latencies are compared by: the service and the model."""
        return self.endpoint.entry.service, self.model


# Returns the monotonic time at which a read ends, or None to give up.
Wait = Callable[[], dt.timedelta | None]


def open_attempt(
    router: Router,
    work: Work,
    attempt: Attempt,
    wait: Wait,
    resume_after: int | None,
) -> Result[AnswerFacts, Failed]:
    """Send a request to an endpoint and read the head of its answer.

    Args:
      router: state of this process.
      work: the request.
      attempt: the endpoint; `end_attempt` has to follow in every case.
      wait: tells until when the head is waited for.
      resume_after: last event that the caller has, if it has one.

    Returns:
      The head of an answer from the endpoint's service, or why there is none.
    """
    attempt.began = router.clock.monotonic()
    router.placement.started(
        attempt.endpoint.name, attempt.placed, attempt.unread
    )
    longest_idle = None if work.route.repeatable else FRESH_IDLE
    limit = min(CONNECT_LIMIT, work.until - attempt.began)
    taken = attempt.endpoint.pool.take(limit, longest_idle)
    if isinstance(taken, Err):
        broken = taken.err_value
        return Err(
            Failed(Failure.NOT_CONNECTED, broken.detail, local=broken.local)
        )
    attempt.connection = taken.ok_value
    if not router.takes_work(attempt.endpoint):
        # It said so while the connection was made.
        detail = 'the endpoint takes no work any more'
        return Err(Failed(Failure.NOT_CONNECTED, detail, local=True))
    if not taken.ok_value.reused:
        router.metrics.connections.inc()
    now = router.clock.monotonic()
    outgoing = _outgoing(router, work, attempt, now, resume_after)
    attempt.timed = router.rollouts.start_timing(
        work.service, attempt.endpoint.entry.version, attempt.task
    )
    sent = taken.ok_value.send(outgoing, work.until)
    if isinstance(sent, Err):
        return Err(Failed(Failure.LOST, sent.err_value.detail))
    return _read_answer(router, work, attempt, wait)


def read_patiently(
    read: Callable[[dt.timedelta], Result[Read, Broken]], wait: Wait
) -> Result[Read, Broken]:
    """Read until something comes, the connection breaks or patience ends.

    Args:
      read: reads until a monotonic time.
      wait: tells until when to read, again after each time-out.
    """
    deadline = wait()
    if deadline is None:
        return Err(Broken(True, 'no time is left', timed_out=True))
    while True:
        outcome = read(deadline)
        if isinstance(outcome, Ok) or not outcome.err_value.timed_out:
            return outcome
        deadline = wait()
        if deadline is None:
            return outcome


def _outgoing(
    router: Router,
    work: Work,
    attempt: Attempt,
    now: dt.timedelta,
    resume_after: int | None,
) -> OutgoingRequest:
    dispatch = Dispatch(
        instance=attempt.endpoint.name,
        time_left=work.time_left(now),
        team=None if work.team is None else work.team.name,
        model=attempt.model,
        priority=work.priority if work.facts.prompt_tokens else None,
        resume_after=resume_after,
    )
    headers = router.dialect.endpoint_headers(
        work.head, dispatch, len(work.body)
    )
    return OutgoingRequest(
        work.head.method, work.head.target, headers, work.body
    )


def _read_answer(
    router: Router, work: Work, attempt: Attempt, wait: Wait
) -> Result[AnswerFacts, Failed]:
    connection = attempt.connection
    if connection is None:
        return Err(Failed(Failure.NOT_CONNECTED, 'there is no connection'))
    for _ in range(SURPLUS_LIMIT):
        head = read_patiently(connection.read_head, wait)
        if isinstance(head, Err):
            broken = head.err_value
            return Err(
                Failed(Failure.LOST, broken.detail, timed_out=broken.timed_out)
            )
        facts = router.dialect.read_answer(
            head.ok_value.status, head.ok_value.headers
        )
        if _answers(facts, work, connection):
            return _judge(router, attempt, facts)
        if facts.request_id is None:
            detail = 'an answer without an id on a used connection'
            return Err(Failed(Failure.LOST, detail, facts.status))
        router.log.event(
            'surplus_answer',
            request=work.request_id,
            endpoint=attempt.endpoint.name,
            answered=facts.request_id,
        )
        until = min(work.until, router.clock.monotonic() + SURPLUS_REST)
        rest = connection.discard_body(until, LARGEST_REST)
        if isinstance(rest, Err):
            return Err(Failed(Failure.LOST, rest.err_value.detail))
        connection.skip_answer()
    return Err(Failed(Failure.LOST, 'answers to other requests only'))


def _answers(
    facts: AnswerFacts, work: Work, connection: EndpointConnection
) -> bool:
    """Return whether an answer belongs to a request.

    On a connection that carried another request before, an answer without an
    id may be a late copy of the one to that request.
    """
    if facts.request_id is None:
        return not connection.reused
    return facts.request_id == work.request_id


def _judge(
    router: Router, attempt: Attempt, facts: AnswerFacts
) -> Result[AnswerFacts, Failed]:
    attempt.facts = facts
    attempt.answered_after = router.clock.monotonic() - attempt.began
    router.set_availability(attempt.endpoint, facts)
    if facts.load is not None:
        load = Load(
            attempt.endpoint.entry.service,
            facts.load.running,
            facts.load.waiting,
        )
        router.placement.report(attempt.endpoint.name, load)
    connection = attempt.connection
    if connection is not None:
        connection.idle_limit = idle_time(facts.idle_limit)
    if facts.misdirected:
        attempt.endpoint.address_reused = True
    if facts.not_run:
        detail = f'the endpoint refused with status {facts.status}'
        return Err(Failed(Failure.REFUSED, detail, facts.status))
    if facts.encoded or (facts.succeeded and not facts.signed):
        return Err(Failed(Failure.LOST, 'the answer is not authentic'))
    if not facts.signed:
        detail = f'unsigned answer with status {facts.status}'
        return Err(Failed(Failure.LOST, detail, facts.status))
    router.latencies.note(attempt.kind, attempt.answered_after)
    if attempt.timed is not None:
        attempt.timed.progress.note_first(router.clock.monotonic())
    return Ok(facts)


def end_reading(router: Router, attempt: Attempt) -> None:
    """Take note that the endpoint no longer reads the prompt."""
    if attempt.reading:
        attempt.reading = False
        router.placement.read(attempt.endpoint.name, attempt.unread)


def _end_timing(
    router: Router, attempt: Attempt, failed: Failed | None, complete: bool
) -> None:
    """Count how long a try took.

    A connection that breaks, or a refusal, tells nothing of the version.
    """
    timed = attempt.timed
    if timed is None:
        return
    service = attempt.endpoint.entry.service
    if failed is not None and attempt.facts is None and not failed.timed_out:
        router.rollouts.forget_timing(service, timed)
    elif failed is not None and failed.failure is Failure.REFUSED:
        router.rollouts.forget_timing(service, timed)
    else:
        router.rollouts.end_timing(service, timed, complete)


def end_attempt(
    router: Router, attempt: Attempt, failed: Failed | None, complete: bool
) -> None:
    """Give back what an attempt holds; further calls do nothing.

    Args:
      router: state of this process.
      attempt: the try.
      failed: how it failed, or None.
      complete: whether its answer was read to the end.
    """
    if attempt.ended:
        return
    attempt.ended = True
    end_reading(router, attempt)
    _end_timing(router, attempt, failed, complete)
    name = attempt.endpoint.name
    if failed is None:
        router.placement.ejections.succeeded(name)
    elif failed.failure is not Failure.REFUSED and not failed.local:
        router.placement.ejections.failed(name, failed.failure)
    router.placement.finished(name)
    connection = attempt.connection
    if connection is None:
        return
    attempt.connection = None
    if failed is not None and failed.failure is Failure.REFUSED:
        # The rest of a refusal is short; it leaves the connection clean.
        until = router.clock.monotonic() + REFUSAL_REST
        rest = connection.discard_body(until, LARGEST_REST)
        complete = isinstance(rest, Ok)
    if complete:
        attempt.endpoint.pool.give_back(connection)
    else:
        attempt.endpoint.pool.discard(connection)
