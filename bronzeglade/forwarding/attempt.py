"""One attempt: a request sent to one endpoint."""

import dataclasses
import datetime as dt
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from bronzeglade.decisions.attempt_timing import Task, TimedAttempt
from bronzeglade.decisions.load import Load
from bronzeglade.decisions.placement import PlacedRequest
from bronzeglade.decisions.retry import Failure
from bronzeglade.forwarding.accepted_request import AcceptedRequest
from bronzeglade.forwarding.endpoint import Endpoint
from bronzeglade.forwarding.endpoint_connection import (
    ConnectionFailure,
    EndpointConnection,
    OutgoingRequest,
    usable_idle_time,
)
from bronzeglade.forwarding.message import AnswerFacts, Dispatch
from bronzeglade.forwarding.router import Router

# An endpoint that takes longer to accept a connection counts as unreachable;
# the maximum round trip is about 20 ms.
CONNECT_TIMEOUT = dt.timedelta(milliseconds=250)
# A request that must not run twice is not sent on a connection that was idle
# longer: the endpoint may have closed it, which leaves the outcome unknown.
MAX_IDLE_NON_REPEATABLE = dt.timedelta(milliseconds=100)
# An attempt fails after this many answers to other requests.
MAX_SURPLUS_ANSWERS = 3
# Limits for reading the remaining body of a refusal or surplus answer, so that
# its connection can be reused.
REFUSAL_DISCARD_TIMEOUT = dt.timedelta(milliseconds=100)
SURPLUS_DISCARD_TIMEOUT = dt.timedelta(seconds=1)
MAX_DISCARD_BYTES = 64 * 1024
# Callers repeat any request after these statuses, as one that has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

Read = TypeVar('Read')


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt without a usable answer.

    `local` is set when the cause is on this node, not at the endpoint, and
    `timed_out` when the endpoint took too long.
    """

    failure: Failure
    detail: str
    status: int | None = None
    local: bool = False
    timed_out: bool = False


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request sent to an endpoint, and its state there.

    `uncached_tokens` is the number of prompt tokens that the endpoint has to
    read, and `reading_prompt` whether it may still be reading them.
    `started_at` is a monotonic time, and `time_to_head` the time from then to
    the head of the answer. `last_progress_at` is the monotonic time of the last
    event that the caller did not have yet. `first_event_at` is the monotonic
    time of the first event, and `survived` whether the endpoint has outlived it
    for a while, or answered whole. `ended_by_closing` is set when only the end
    of the connection marked that of the answer, which the end of the process
    does, too. `timing` is set while a roll-out
    compares versions. `cancelled` is set when its answer is not wanted any
    more.
    """

    endpoint: Endpoint
    model: str | None
    placed: PlacedRequest
    uncached_tokens: int
    task: Task
    connection: EndpointConnection | None = None
    facts: AnswerFacts | None = None
    started_at: dt.timedelta = dt.timedelta()
    time_to_head: dt.timedelta | None = None
    last_progress_at: dt.timedelta | None = None
    first_event_at: dt.timedelta | None = None
    survived: bool = False
    ended_by_closing: bool = False
    timing: TimedAttempt | None = None
    reading_prompt: bool = True
    cancelled: bool = False
    ended: bool = False

    def cancel(self) -> None:
        """End the attempt, so that the endpoint stops working on it."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.abort()

    @property
    def latency_key(self) -> tuple[str, str | None]:
        """The service and model for which latencies are recorded."""
        return self.endpoint.entry.service, self.model


# Returns the monotonic time until which to read, or None to stop reading.
NextDeadline = Callable[[], dt.timedelta | None]


def open_attempt(
    router: Router,
    request: AcceptedRequest,
    attempt: Attempt,
    next_deadline: NextDeadline,
    resume_after: int | None,
) -> Result[AnswerFacts, FailedAttempt]:
    """Send a request to an endpoint and read the head of its answer.

    Args:
      router: state of this process.
      request: the accepted request.
      attempt: the attempt; `end_attempt` must follow in every case.
      next_deadline: returns the monotonic time until which to wait for the
        head.
      resume_after: last event that the caller has, if it has one.

    Returns:
      The head of an answer signed by the endpoint's service, or the failure.
    """
    attempt.started_at = router.clock.monotonic()
    router.placement.started(
        attempt.endpoint.name, attempt.placed, attempt.uncached_tokens
    )
    if not router.take_turn(attempt.endpoint):
        detail = 'the rate limit of the endpoint leaves no room'
        return Err(FailedAttempt(Failure.NOT_CONNECTED, detail, local=True))
    max_idle = None if request.route.repeatable else MAX_IDLE_NON_REPEATABLE
    connect_timeout = min(
        CONNECT_TIMEOUT, request.deadline - attempt.started_at
    )
    acquired = attempt.endpoint.pool.acquire(connect_timeout, max_idle)
    if isinstance(acquired, Err):
        connection_failure = acquired.err_value
        if connection_failure.refused:
            # Its process has ended; the next one begins cold.
            router.mark_cold(
                attempt.endpoint.entry.incarnation, None, 'connection'
            )
        return Err(
            FailedAttempt(
                Failure.NOT_CONNECTED,
                connection_failure.detail,
                local=connection_failure.local,
            )
        )
    attempt.connection = acquired.ok_value
    if attempt.cancelled:
        detail = 'the request was cancelled'
        return Err(FailedAttempt(Failure.NOT_CONNECTED, detail, local=True))
    if not router.accepts_work(attempt.endpoint):
        # The endpoint's availability changed while the connection was opened.
        detail = 'the endpoint no longer accepts requests'
        return Err(FailedAttempt(Failure.NOT_CONNECTED, detail, local=True))
    if not acquired.ok_value.reused:
        router.metrics.connections.inc()
    now = router.clock.monotonic()
    outgoing = _build_request(router, request, attempt, now, resume_after)
    attempt.timing = router.rollouts.start_timing(
        request.service, attempt.endpoint.entry.version, attempt.task
    )
    sent = acquired.ok_value.send(outgoing, request.deadline)
    if isinstance(sent, Err):
        return Err(FailedAttempt(Failure.LOST, sent.err_value.detail))
    return _read_answer(router, request, attempt, next_deadline)


def read_with_deadlines(
    read: Callable[[dt.timedelta], Result[Read, ConnectionFailure]],
    next_deadline: NextDeadline,
) -> Result[Read, ConnectionFailure]:
    """Read until data arrives, the connection fails or no time remains.

    Args:
      read: reads until a monotonic deadline.
      next_deadline: returns the deadline; called again after each time-out.
    """
    deadline = next_deadline()
    if deadline is None:
        return Err(ConnectionFailure(True, 'no time remains', timed_out=True))
    while True:
        outcome = read(deadline)
        if isinstance(outcome, Ok) or not outcome.err_value.timed_out:
            return outcome
        deadline = next_deadline()
        if deadline is None:
            return outcome


def _build_request(
    router: Router,
    request: AcceptedRequest,
    attempt: Attempt,
    now: dt.timedelta,
    resume_after: int | None,
) -> OutgoingRequest:
    dispatch = Dispatch(
        instance=attempt.endpoint.name,
        time_remaining=request.time_remaining(now),
        team=None if request.team is None else request.team.name,
        model=attempt.model,
        priority=request.priority if request.facts.prompt_tokens else None,
        resume_after=resume_after,
    )
    headers = router.dialect.endpoint_headers(
        request.head, dispatch, len(request.body)
    )
    return OutgoingRequest(
        request.head.method, request.head.target, headers, request.body
    )


def _read_answer(
    router: Router,
    request: AcceptedRequest,
    attempt: Attempt,
    next_deadline: NextDeadline,
) -> Result[AnswerFacts, FailedAttempt]:
    connection = attempt.connection
    if connection is None:
        return Err(FailedAttempt(Failure.NOT_CONNECTED, 'no connection'))
    for _ in range(MAX_SURPLUS_ANSWERS):
        head = read_with_deadlines(connection.read_head, next_deadline)
        if isinstance(head, Err):
            connection_failure = head.err_value
            return Err(
                FailedAttempt(
                    Failure.LOST,
                    connection_failure.detail,
                    timed_out=connection_failure.timed_out,
                )
            )
        facts = router.dialect.read_answer(
            head.ok_value.status, head.ok_value.headers
        )
        if _belongs_to_request(facts, request, connection):
            return _check_answer(router, request, attempt, facts)
        if facts.request_id is None:
            detail = 'answer without a request id'
            return Err(FailedAttempt(Failure.LOST, detail, facts.status))
        router.log.event(
            'surplus_answer',
            request=request.request_id,
            endpoint=attempt.endpoint.name,
            answered=facts.request_id,
        )
        deadline = min(
            request.deadline, router.clock.monotonic() + SURPLUS_DISCARD_TIMEOUT
        )
        discarded = connection.discard_body(deadline, MAX_DISCARD_BYTES)
        if isinstance(discarded, Err):
            return Err(FailedAttempt(Failure.LOST, discarded.err_value.detail))
        connection.skip_answer()
    return Err(
        FailedAttempt(Failure.LOST, 'received only answers to other requests')
    )


def load_fraction(attempt: Attempt) -> float:
    """Return the load that the endpoint reported, as a fraction of its slots.

    Returns 0 when it reported none.
    """
    facts = attempt.facts
    if facts is None or facts.load is None:
        return 0
    return facts.load.running / max(1, attempt.endpoint.slots)


def _belongs_to_request(
    facts: AnswerFacts, request: AcceptedRequest, connection: EndpointConnection
) -> bool:
    """Return whether an answer belongs to a request.

    On a reused connection, an answer without a request id may be a late
    duplicate of the answer to an earlier request. A refusal without one is not
    certain to refuse this request, unless it comes from an endpoint that has
    taken over the address.
    """
    if facts.request_id is None:
        refused = facts.not_run and not facts.misdirected
        return not connection.reused and not refused
    return facts.request_id == request.request_id


def _check_answer(
    router: Router,
    request: AcceptedRequest,
    attempt: Attempt,
    facts: AnswerFacts,
) -> Result[AnswerFacts, FailedAttempt]:
    attempt.facts = facts
    attempt.time_to_head = router.clock.monotonic() - attempt.started_at
    router.set_availability(attempt.endpoint, facts)
    if facts.load is not None:
        load = Load(
            attempt.endpoint.entry.service,
            facts.load.running,
            facts.load.waiting,
        )
        router.placement.report(attempt.endpoint.name, load)
        router.rollouts.record_load(
            attempt.endpoint.entry.service,
            attempt.endpoint.entry.version,
            load_fraction(attempt),
        )
    connection = attempt.connection
    if connection is not None:
        connection.idle_limit = usable_idle_time(facts.idle_limit)
    if facts.misdirected:
        attempt.endpoint.address_reused = True
    if facts.not_run and _is_contradicted(router, request, attempt):
        detail = 'the endpoint refused the request and answered it'
        return Err(FailedAttempt(Failure.LOST, detail, facts.status))
    if facts.not_run:
        detail = f'the endpoint refused with status {facts.status}'
        return Err(FailedAttempt(Failure.REFUSED, detail, facts.status))
    if facts.encoded or (facts.succeeded and not facts.signed):
        return Err(FailedAttempt(Failure.LOST, 'the answer is not authentic'))
    if not facts.signed:
        detail = f'unsigned answer with status {facts.status}'
        return Err(FailedAttempt(Failure.LOST, detail, facts.status))
    if facts.status in NOT_RUN_STATUSES:
        detail = f'status {facts.status} without "not run"'
        return Err(FailedAttempt(Failure.LOST, detail, facts.status))
    router.latencies.record(attempt.latency_key, attempt.time_to_head)
    if attempt.timing is not None:
        attempt.timing.progress.record_head(router.clock.monotonic())
    return Ok(facts)


def _is_contradicted(
    router: Router, request: AcceptedRequest, attempt: Attempt
) -> bool:
    """Return whether another answer to the request follows its refusal.

    Reads the body of the refusal, so that the connection can be reused.
    """
    connection = attempt.connection
    if connection is None:
        return False
    deadline = router.clock.monotonic() + REFUSAL_DISCARD_TIMEOUT
    discarded = connection.discard_body(deadline, MAX_DISCARD_BYTES)
    if isinstance(discarded, Err) or not connection.has_further_input():
        return False
    connection.skip_answer()
    head = connection.read_head(deadline)
    if isinstance(head, Err):
        return False
    facts = router.dialect.read_answer(
        head.ok_value.status, head.ok_value.headers
    )
    named = facts.request_id in {None, request.request_id}
    return named and not facts.not_run


def mark_prompt_read(router: Router, attempt: Attempt) -> None:
    """Subtract the prompt of an attempt from the unread tokens, once."""
    if attempt.reading_prompt:
        attempt.reading_prompt = False
        router.placement.record_prompt_read(
            attempt.endpoint.name, attempt.uncached_tokens
        )


def _end_timing(
    router: Router,
    attempt: Attempt,
    failed: FailedAttempt | None,
    complete: bool,
) -> None:
    """Record how long an attempt took.

    Broken connections and refusals are not recorded, since their times do not
    depend on the endpoint's version.
    """
    timing = attempt.timing
    if timing is None:
        return
    service = attempt.endpoint.entry.service
    if failed is not None and attempt.facts is None and not failed.timed_out:
        router.rollouts.discard_timing(service, timing)
    elif failed is not None and failed.failure is Failure.REFUSED:
        router.rollouts.discard_timing(service, timing)
    else:
        router.rollouts.end_timing(service, timing, complete)


def end_attempt(
    router: Router,
    attempt: Attempt,
    failed: FailedAttempt | None,
    complete: bool,
) -> None:
    """Release the resources of an attempt; further calls do nothing.

    Args:
      router: state of this process.
      attempt: the attempt.
      failed: how it failed, or None when it did not.
      complete: whether its answer was read to the end.
    """
    if attempt.ended:
        return
    attempt.ended = True
    mark_prompt_read(router, attempt)
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
    refused = failed is not None and failed.failure is Failure.REFUSED
    if complete or refused:
        # The pool closes the connection if its answer was not read to the end.
        attempt.endpoint.pool.release(connection)
    else:
        attempt.endpoint.pool.discard(connection)
