"""Delivers one request: attempts, stream resumption and one final answer."""

import dataclasses
import datetime as dt
import enum
import functools
from collections.abc import Sequence

from result import Err, Result

from bronzeglade.decisions import duration_histograms
from bronzeglade.decisions.attempt_timing import Task
from bronzeglade.decisions.crashing_segments import Verdict
from bronzeglade.decisions.escalation import (
    Alternative,
    escalation_model,
    keeps_answer,
)
from bronzeglade.decisions.evidence import Observation
from bronzeglade.decisions.memory_account import Holding
from bronzeglade.decisions.placement import (
    EndpointChoice,
    PlacedRequest,
    SharedSegment,
)
from bronzeglade.decisions.retry import Failure
from bronzeglade.forwarding import attempt as attempts
from bronzeglade.forwarding import crash_detection
from bronzeglade.forwarding.accepted_request import AcceptedRequest
from bronzeglade.forwarding.attempt import Attempt, FailedAttempt
from bronzeglade.forwarding.caller import Caller
from bronzeglade.forwarding.endpoint import Endpoint
from bronzeglade.forwarding.endpoint_connection import (
    BodyPrefix,
    ConnectionFailure,
    EndpointConnection,
)
from bronzeglade.forwarding.event import (
    MAX_BATCH_EVENTS,
    EventSplitter,
    StreamEvent,
)
from bronzeglade.forwarding.event_sequence import EventSequence
from bronzeglade.forwarding.message import AnswerFacts
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.router import Router
from bronzeglade.outcome import Refusal, RunState

# Fractions of the route's latency objective after which a repeatable request
# fails over from an endpoint that has not started its answer. The silent ratio
# applies if no bytes at all arrived from the endpoint since the attempt began.
ANSWER_TIMEOUT_RATIO = 0.75
SILENT_TIMEOUT_RATIO = 0.5
# A wait beyond this multiple of the typical latency is not due to queueing.
TYPICAL_LATENCY_FACTOR = 3
# Fraction of the route's stall time-out after which a resumable stream fails
# over to another endpoint, so that it resumes before its caller gives up.
STALL_FAILOVER_RATIO = 0.75
# Callers measure the time without an event where they are, so they give up
# later than this node would. A stream is ended only when they surely have.
STALL_END_MARGIN = dt.timedelta(milliseconds=500)
# A longer answer is forwarded while it arrives, to bound memory use, and so can
# no longer be retried at another endpoint.
MAX_BUFFERED_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Interval of checks whether a retry is allowed once an attempt is overdue.
RETRY_CHECK_INTERVAL = dt.timedelta(milliseconds=100)
# Refusal of a request that a graceful shutdown leaves no time for. Other nodes
# accept it at once.
STOPPING = Refusal(
    503,
    'stopping',
    'the node is shutting down',
    RunState.NOT_RUN,
    dt.timedelta(),
)
# Retry-After of a prompt on which endpoints crash, at least.
MIN_REFUSAL = dt.timedelta(seconds=1)
_SERVER_ERROR = 500
_MILLISECOND = dt.timedelta(milliseconds=1)


class StreamEnd(enum.Enum):
    """How reading a stream from an endpoint ended."""

    COMPLETE = 'complete'
    BROKEN = 'broken'
    SILENT = 'silent'
    CALLER_DISCONNECTED = 'left'


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingStream:
    """The answer of an endpoint, while its events are read and forwarded."""

    attempt: Attempt
    facts: AnswerFacts
    connection: EndpointConnection
    splitter: EventSplitter
    sequence: EventSequence


@dataclasses.dataclass(slots=True, eq=False)
class Delivery:
    """State of one request during its delivery.

    `attempted` lists the endpoints that are not chosen again, `silent` those of
    them that were abandoned because nothing came from them; `sent` counts the
    attempts that reached an endpoint. `last_event` is the id of the last event
    that the caller has; `unnumbered` is set if it has events without an id and
    none with one, so that nothing can be resumed. `response_facts` is the head
    of the answer that began the response to the caller, or None before.
    `first_byte_at` and `last_byte_at` are monotonic times. `interrupted` is set
    when the process is about to exit, `verdict` when the prompt crashes
    endpoints. `survived` tells whether the last endpoint outlived the prompt.
    `holding` is the memory of an answer that is held, if it is counted.
    """

    router: Router
    request: AcceptedRequest
    caller: Caller
    attempted: list[str] = dataclasses.field(default_factory=list)
    silent: list[str] = dataclasses.field(default_factory=list)
    sent: int = 0
    model: str | None = None
    run_state: RunState = RunState.NOT_RUN
    last_event: int | None = None
    unnumbered: bool = False
    response_facts: AnswerFacts | None = None
    first_byte_at: dt.timedelta | None = None
    last_byte_at: dt.timedelta | None = None
    max_gap: dt.timedelta = dt.timedelta()
    events: int = 0
    outcome: str = ''
    detail: str = ''
    current: Attempt | None = None
    interrupted: bool = False
    survived: bool = False
    verdict: Verdict | None = None
    holding: Holding | None = None

    @property
    def response_started(self) -> bool:
        """Whether the head of an answer was sent to the caller."""
        return self.response_facts is not None

    def run(self) -> None:
        """Deliver the request and send the caller its final answer."""
        self.last_event = self.request.facts.last_event
        self.model = self.router.first_model(self.request)
        self.router.retry_budget(self.request.service).earn()
        while not self.outcome:
            self._run_attempt()

    def interrupt(self) -> None:
        """End the request now, because the process is about to exit."""
        self.interrupted = True
        self._cancel_attempt()

    def _cancel_attempt(self) -> None:
        if self.current is not None:
            self.current.cancel()

    def _run_attempt(self) -> None:
        attempt = self._next_attempt()
        if attempt is None:
            self._send_failure()
            return
        self._record_choice(attempt.endpoint.name)
        self.sent += 1
        self.current = attempt
        self.caller.on_disconnect = self._cancel_attempt
        failed: FailedAttempt | None = FailedAttempt(
            Failure.LOST, 'interrupted'
        )
        complete = False
        try:
            failed, complete = self._execute(attempt)
        finally:
            self.current = None
            if self.caller.disconnected:
                failed = None
            attempts.end_attempt(self.router, attempt, failed, complete)
        self.survived = attempt.survived
        self._log_failure(attempt, failed)
        self._record_evidence(attempt, failed)
        crash_detection.record_attempt(
            self.router, self.request, attempt, failed
        )
        if self.caller.disconnected:
            self.outcome = 'abandoned'
        elif failed is not None and not self.outcome:
            self._handle_failure(failed)

    def _record_choice(self, endpoint: str) -> None:
        self.attempted.append(endpoint)
        if endpoint in self.silent:
            # It gets one more chance only.
            self.silent.remove(endpoint)

    def _execute(self, attempt: Attempt) -> tuple[FailedAttempt | None, bool]:
        """Return the failure, if any, and whether the answer was fully read."""
        if self.caller.disconnected:
            return None, False
        opened = attempts.open_attempt(
            self.router,
            self.request,
            attempt,
            functools.partial(self._read_deadline, attempt),
            self.last_event,
        )
        if isinstance(opened, Err):
            return opened.err_value, False
        facts = opened.ok_value
        self.router.log.event(
            'answer',
            request=self.request.request_id,
            endpoint=attempt.endpoint.name,
            status=facts.status,
            model=attempt.model,
            confidence=facts.confidence,
            load=None if facts.load is None else facts.load.running,
            waiting=None if facts.load is None else facts.load.waiting,
            slowdown=None if facts.load is None else facts.load.slowdown,
            after_ms=_milliseconds(attempt.time_to_head),
        )
        if self.request.route.kind is RouteKind.STREAM and facts.succeeded:
            if not self._fits_response(facts):
                detail = 'the answer has another kind than the response'
                return FailedAttempt(Failure.LOST, detail, facts.status), False
            larger_model = self._larger_model(facts)
            if larger_model is not None:
                self._escalate(attempt, facts, larger_model)
                return None, False
            return self._relay_stream(attempt, facts)
        return self._deliver_body(attempt, facts)

    def _fits_response(self, facts: AnswerFacts) -> bool:
        """Return whether a stream may continue the started response, if any."""
        started = self.response_facts
        return started is None or (
            facts.status == started.status
            and facts.media_type == started.media_type
        )

    def _larger_model(self, facts: AnswerFacts) -> str | None:
        """Return the model to escalate to, or None to keep the answer."""
        if (
            self.response_started
            or self.last_event is not None
            or not self._has_attempts_remaining()
        ):
            return None
        model = escalation_model(self.request.route.sizes, self.model)
        if model is None:
            return None
        now = self.router.clock.monotonic()
        if not self._can_run_again():
            return None
        accepted = keeps_answer(
            self.router.escalation,
            facts.confidence,
            self.request.priority,
            Alternative(
                self.router.latencies.typical_latency(
                    (self.request.service, model)
                ),
                self.request.objective_deadline - now,
                self.router.latency_ratio(
                    self.request.service, self.model or ''
                ),
            ),
        )
        if accepted or not self._may_escalate():
            return None
        return model

    def _can_run_again(self) -> bool:
        """Return whether an endpoint may run the request once more in time."""
        others = self.attempted[:-1]  # without the one that has answered
        return self.router.has_time_for(self.request) and bool(
            self.router.eligible_endpoints(self.request, others)
        )

    def _may_escalate(self) -> bool:
        return self.router.retry_budget(self.request.service).allows(
            improving=True
        )

    def _escalate(
        self, attempt: Attempt, facts: AnswerFacts, model: str
    ) -> None:
        self.router.retry_budget(self.request.service).spend()
        self.router.metrics.escalations.inc()
        self.router.log.event(
            'escalation',
            request=self.request.request_id,
            dropped=attempt.model,
            model=model,
            confidence=facts.confidence,
        )
        self.model = model
        self.run_state = RunState.RAN
        # The endpoint is healthy, so it may also run the larger model.
        self.attempted.remove(attempt.endpoint.name)

    def _deliver_body(
        self, attempt: Attempt, facts: AnswerFacts
    ) -> tuple[FailedAttempt | None, bool]:
        try:
            return self._deliver_held_body(attempt, facts)
        finally:
            if self.holding is not None:
                self.router.memory.close(self.holding)
                self.holding = None

    def _read_prefix(
        self, connection: EndpointConnection
    ) -> Result[BodyPrefix, ConnectionFailure]:
        """Read a whole body, or its beginning if it is long.

        Without room to hold it, a body of medium length counts as long.
        """
        deadline = self.request.deadline
        small = self.router.memory.settings.small
        first = connection.read_prefix(deadline, small)
        if isinstance(first, Err) or first.ok_value.complete:
            return first
        self.holding = self.router.memory.open('', _keep_answer)
        self.router.memory.keep(self.holding)
        if not self.router.memory.grow(self.holding, MAX_BUFFERED_BYTES):
            return first
        begun = first.ok_value.content
        rest = connection.read_prefix(deadline, MAX_BUFFERED_BYTES - len(begun))
        return rest.map(
            lambda prefix: BodyPrefix(begun + prefix.content, prefix.complete)
        )

    def _deliver_held_body(
        self, attempt: Attempt, facts: AnswerFacts
    ) -> tuple[FailedAttempt | None, bool]:
        connection = attempt.connection
        if connection is None:
            return FailedAttempt(Failure.NOT_CONNECTED, 'no connection'), False
        body = self._read_prefix(connection)
        attempts.mark_prompt_read(self.router, attempt)
        if isinstance(body, Err):
            return FailedAttempt(Failure.LOST, body.err_value.detail), False
        if connection.ends_by_closing and not body.ok_value.content:
            # An endpoint that ends after its head sends the same bytes.
            detail = 'the connection ended after the head of the answer'
            return FailedAttempt(Failure.LOST, detail, facts.status), False
        self.run_state = RunState.RAN
        if facts.succeeded:
            crash_detection.record_answer(self.router, self.request, attempt)
        if not body.ok_value.complete:
            return self._stream_long_body(
                connection, facts, body.ok_value.content
            )
        if facts.status >= _SERVER_ERROR:
            failed = FailedAttempt(Failure.LOST, 'endpoint error', facts.status)
            if self._may_retry(failed):
                return failed, True
        if self.response_started:
            return FailedAttempt(
                Failure.LOST, 'answer cannot continue the started response'
            ), True
        self.first_byte_at = self.router.clock.monotonic()
        self.caller.respond(facts.status, facts.headers, body.ok_value.content)
        self.outcome = 'answered' if facts.succeeded else 'endpoint_error'
        self.detail = str(facts.status)
        return None, True

    def _stream_long_body(
        self,
        connection: EndpointConnection,
        facts: AnswerFacts,
        first_block: bytes,
    ) -> tuple[FailedAttempt | None, bool]:
        """Forward a body above the buffer limit block by block."""
        if self.response_started or not facts.succeeded:
            return FailedAttempt(
                Failure.LOST, 'body exceeds the buffer limit'
            ), False
        self._start_response(facts)
        failed = self._copy_body(connection, first_block)
        if failed is None and not self.caller.disconnected:
            self.caller.finish()
            self.outcome = 'answered'
            return None, True
        return failed, False

    def _copy_body(
        self, connection: EndpointConnection, first_block: bytes
    ) -> FailedAttempt | None:
        """Forward a body until it ends or the caller disconnects."""
        block: bytes | None = first_block
        size = 0
        while block is not None and not self.caller.disconnected:
            self.caller.write(block)
            size += len(block)
            late = self.router.clock.monotonic() >= self.request.deadline
            if late or size > MAX_ANSWER_BYTES:
                return FailedAttempt(
                    Failure.LOST, 'answer exceeds its time or size limit'
                )
            outcome = connection.read_block(self.request.deadline)
            if isinstance(outcome, Err):
                return FailedAttempt(Failure.LOST, outcome.err_value.detail)
            block = outcome.ok_value
        return None

    def _relay_stream(
        self, attempt: Attempt, facts: AnswerFacts
    ) -> tuple[FailedAttempt | None, bool]:
        end, detail = self._read_stream(attempt, facts)
        if end is StreamEnd.COMPLETE:
            crash_detection.record_answer(self.router, self.request, attempt)
            if not self.response_started:
                self._start_response(facts)
            self.caller.finish()
            self.outcome = 'answered'
            return None, True
        if end is StreamEnd.CALLER_DISCONNECTED:
            return None, False
        silent = end is StreamEnd.SILENT
        return FailedAttempt(Failure.LOST, detail, timed_out=silent), False

    def _read_stream(
        self, attempt: Attempt, facts: AnswerFacts
    ) -> tuple[StreamEnd, str]:
        connection = attempt.connection
        if connection is None:
            return StreamEnd.BROKEN, 'no connection'
        stream = IncomingStream(
            attempt,
            facts,
            connection,
            EventSplitter(),
            EventSequence(self.last_event, self.response_started),
        )
        next_deadline = functools.partial(self._read_deadline, attempt)
        while not self.caller.disconnected:
            block = attempts.read_with_deadlines(
                connection.read_block, next_deadline
            )
            if isinstance(block, Err):
                silent = block.err_value.timed_out
                end = StreamEnd.SILENT if silent else StreamEnd.BROKEN
                return end, block.err_value.detail
            if block.ok_value is None:
                if stream.splitter.buffer:
                    return StreamEnd.BROKEN, 'stream ended inside an event'
                return self._end_stream(
                    facts, stream.sequence.end(connection.input_ended())
                )
            ended = self._relay_block(stream, block.ok_value)
            if ended is not None:
                return ended
        return StreamEnd.CALLER_DISCONNECTED, ''

    def _relay_block(
        self, stream: IncomingStream, block: bytes
    ) -> tuple[StreamEnd, str] | None:
        """Forward the events that a block completes, a batch at a time.

        Returns:
          How the stream ended, or None if it continues.
        """
        is_last = False
        while not is_last:
            events = stream.splitter.feed(block)
            if isinstance(events, Err):
                return StreamEnd.BROKEN, events.err_value
            error = self._relay_batch(stream, events.ok_value)
            if error is not None:
                return StreamEnd.BROKEN, error
            block = b''
            is_last = len(events.ok_value) < MAX_BATCH_EVENTS
            stream.connection.time_slice.spend(len(events.ok_value))
            if self.caller.disconnected:
                return StreamEnd.CALLER_DISCONNECTED, ''
            if not is_last and self._read_deadline(stream.attempt) is None:
                return StreamEnd.SILENT, 'no new event in time'
        return None

    def _relay_batch(
        self, stream: IncomingStream, events: Sequence[StreamEvent]
    ) -> str | None:
        """Forward events in one write; return why the stream broke, if so."""
        contents: list[bytes] = []
        error: str | None = None
        for event in events:
            if not event.is_comment:
                self._record_event(stream.attempt, event)
            accepted = stream.sequence.accept(event)
            if isinstance(accepted, Err):
                error = accepted.err_value
                break
            contents.append(accepted.ok_value)
            self.last_event = stream.sequence.last_event
        self._forward(stream.facts, contents)
        self.unnumbered = stream.sequence.unnumbered
        return error

    def _end_stream(
        self, facts: AnswerFacts, rest: Result[bytes, str]
    ) -> tuple[StreamEnd, str]:
        if isinstance(rest, Err):
            return StreamEnd.BROKEN, rest.err_value
        self._forward(facts, (rest.ok_value,))
        return StreamEnd.COMPLETE, ''

    def _record_event(self, attempt: Attempt, event: StreamEvent) -> None:
        crash_detection.record_event(self.router, self.request, attempt)
        attempts.mark_prompt_read(self.router, attempt)
        self._record_progress(attempt, event.number)
        if attempt.timing is not None:
            attempt.timing.progress.record_event(self.router.clock.monotonic())

    def _record_progress(self, attempt: Attempt, number: int | None) -> None:
        """Update the time of the last progress if an event is new.

        Once the caller has a numbered event, repeated events and events
        without a number are no progress.
        """
        known = -1 if self.last_event is None else self.last_event
        first = attempt.last_progress_at is None or known < 0
        if first or (number is not None and number > known):
            attempt.last_progress_at = self.router.clock.monotonic()

    def _forward(self, facts: AnswerFacts, contents: Sequence[bytes]) -> None:
        """Forward the bytes of events, if any, and begin the response first."""
        forwarded = [content for content in contents if content]
        if not forwarded:
            return
        if not self.response_started:
            self._start_response(facts)
        self._record_event_times(len(forwarded))
        self.caller.write(b''.join(forwarded))
        self.run_state = RunState.RAN

    def _record_event_times(self, count: int) -> None:
        now = self.router.clock.monotonic()
        if self.last_byte_at is not None:
            self.max_gap = max(self.max_gap, now - self.last_byte_at)
        self.last_byte_at = now
        self.events += count

    def _start_response(self, facts: AnswerFacts) -> None:
        self.response_facts = facts
        self.first_byte_at = self.router.clock.monotonic()
        chunked = (b'Transfer-Encoding', b'chunked')
        self.caller.begin(facts.status, [*facts.headers, chunked])

    def _next_attempt(self) -> Attempt | None:
        request = self.request
        if self._is_over() or self._is_refused():
            return None
        model = self.model
        placed = _placed_request(request, model)
        eligible = self._eligible_endpoints()
        choice = self.router.placement.choose(
            eligible, placed, cold=self.router.cold.starts.fractions()
        )
        if choice is None:
            self.detail = f'none of {len(eligible)} endpoints is available'
            return None
        endpoint = self.router.registry.endpoints[choice.name]
        uncached_tokens = max(0, placed.tokens - choice.cached_tokens)
        self.router.log.event(
            'attempt',
            request=request.request_id,
            number=len(self.attempted) + 1,
            endpoint=choice.name,
            model=model,
            failure_domain=endpoint.failure_domain,
            offered=len(eligible),
            cost=round(choice.cost, 2),
            cached=choice.cached_tokens,
            load=round(choice.load, 1),
            resume_after=self.last_event,
            configuration=self.router.version,
        )
        task = timing_task(
            AttemptPlan(request.route.name, model, placed, endpoint, choice),
            len(eligible),
        )
        return Attempt(endpoint, model, placed, uncached_tokens, task)

    def _is_refused(self) -> bool:
        """Return whether endpoints crash on the prompt."""
        verdict = crash_detection.find_refusal(self.router, self.request)
        if verdict is None:
            return False
        self.verdict = verdict
        names = ', '.join(sorted(verdict.names))
        self.detail = f'{len(verdict.crashes)} endpoints ended on {names}'
        return True

    def _eligible_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that the next attempt may be sent to.

        If no other endpoint is left, one that was abandoned because it was
        silent may still continue.
        """
        if not self._has_attempts_remaining():
            return self._silent_endpoints()
        others = self.router.eligible_endpoints(self.request, self.attempted)
        return others or self._silent_endpoints()

    def _silent_endpoints(self) -> list[Endpoint]:
        """Return the eligible endpoints that were abandoned for silence."""
        failed = set(self.attempted) - set(self.silent)
        return [
            endpoint
            for endpoint in self.router.eligible_endpoints(self.request, failed)
            if endpoint.name in self.silent
        ]

    def _read_deadline(self, attempt: Attempt) -> dt.timedelta | None:
        """Return the monotonic time until which to read, or None to stop.

        An endpoint that is late to start its answer is abandoned for another
        one, but only once a retry is allowed.
        """
        deadline = self.request.deadline
        now = self.router.clock.monotonic()
        if now >= deadline:
            return None
        if attempt.last_progress_at is not None:
            return self._event_deadline(attempt.last_progress_at, now)
        if not attempt.reading_prompt or not self.request.route.repeatable:
            return deadline
        give_up_at = attempt.started_at + self._answer_timeout(attempt)
        if now < give_up_at:
            return min(deadline, give_up_at)
        if self._may_fail_over():
            return None
        return min(deadline, now + RETRY_CHECK_INTERVAL)

    def _event_deadline(
        self, last_progress_at: dt.timedelta, now: dt.timedelta
    ) -> dt.timedelta | None:
        """Return the monotonic time until which to await an event, or None.

        None means that the attempt is abandoned.

        Bytes that complete no event are no progress. A slow stream continues
        for as long as callers wait for its next event.
        """
        route = self.request.route
        ends_at = min(
            self.request.deadline,
            last_progress_at + route.stall_timeout + STALL_END_MARGIN,
        )
        if now >= ends_at:
            return None
        if not route.repeatable:
            return ends_at
        resume_at = (
            last_progress_at + route.stall_timeout * STALL_FAILOVER_RATIO
        )
        if now < resume_at:
            return min(ends_at, resume_at)
        if self._may_fail_over():
            return None
        return min(ends_at, now + RETRY_CHECK_INTERVAL)

    def _answer_timeout(self, attempt: Attempt) -> dt.timedelta:
        """Return how long an endpoint may take to start its answer."""
        objective = self.request.route.objective
        if attempt.endpoint.pool.last_received_at < attempt.started_at:
            return objective * SILENT_TIMEOUT_RATIO
        typical_latency = self.router.latencies.typical_latency(
            attempt.latency_key
        )
        return max(
            objective * ANSWER_TIMEOUT_RATIO,
            typical_latency * TYPICAL_LATENCY_FACTOR,
        )

    def _has_attempts_remaining(self) -> bool:
        return self.sent < self.request.route.attempts

    def _may_retry(self, failed: FailedAttempt) -> bool:
        if self._is_over() or not self._may_continue_response():
            return False
        if failed.failure is Failure.REFUSED and self._silent_endpoints():
            # The request returns to an endpoint that has had it before.
            return True
        if not self._has_attempts_remaining():
            return False
        if self._may_crash_endpoints(failed):
            return False
        repeatable = self.request.route.repeatable
        not_run = failed.failure.run_state is RunState.NOT_RUN
        if not repeatable and not not_run:
            return False
        # The request reached no endpoint, so its retry adds no load and needs
        # no budget.
        if failed.failure is Failure.NOT_CONNECTED:
            return True
        return self.router.retry_budget(self.request.service).allows()

    def _may_crash_endpoints(self, failed: FailedAttempt) -> bool:
        """Return whether the last endpoint may have ended on the prompt."""
        return (
            failed.failure is Failure.LOST
            and not failed.timed_out
            and not self.survived
            and self.router.crashes.is_suspect(
                self.request.service, self.request.shared_segments
            )
        )

    def _may_fail_over(self) -> bool:
        """Return whether another endpoint may take over from a silent one."""
        return self._may_retry(FailedAttempt(Failure.LOST, 'silent')) and bool(
            self.router.eligible_endpoints(self.request, self.attempted)
        )

    def _is_over(self) -> bool:
        """Return whether no further attempt can help the caller."""
        late = self.router.clock.monotonic() >= self.request.deadline
        return late or self.interrupted or self.caller.disconnected

    def _may_continue_response(self) -> bool:
        """Return whether another endpoint may continue the response, if any."""
        return not self.response_started or (
            self.request.route.kind is RouteKind.STREAM and not self.unnumbered
        )

    def _handle_failure(self, failed: FailedAttempt) -> None:
        if failed.failure.run_state is not RunState.NOT_RUN:
            if self.run_state is RunState.NOT_RUN:
                self.run_state = RunState.UNKNOWN
        self.detail = failed.detail
        if failed.timed_out:
            self.silent.append(self.attempted[-1])
        if failed.failure is Failure.NOT_CONNECTED:
            self.sent -= 1
            if self._may_retry(failed):
                return
        elif self._may_retry(failed):
            self.router.retry_budget(self.request.service).spend()
            self.router.metrics.retries.labels(failed.failure.value).inc()
            return
        self._send_failure()

    def _send_failure(self) -> None:
        """Send a refusal, or abort a response that has started."""
        if self.response_started:
            self.outcome = 'broken_off'
            self.caller.abort_answer()
            return
        refusal = self._refusal()
        self.outcome = refusal.code
        self.detail = self.detail or refusal.message
        refuse(self.router, self.caller, refusal, self.request.request_id)

    def _refusal(self) -> Refusal:
        late = self.router.clock.monotonic() >= self.request.deadline
        if self.interrupted:
            return _interruption(self.run_state)
        if self.verdict is not None and self.run_state is RunState.NOT_RUN:
            now = self.router.clock.monotonic()
            return Refusal(
                503,
                'crashing_prompt',
                'endpoints crash on a part of the prompt',
                RunState.NOT_RUN,
                max(MIN_REFUSAL, self.verdict.until - now),
            )
        if self.run_state is RunState.NOT_RUN:
            return Refusal(
                503,
                'no_endpoint',
                'no endpoint accepted the request',
                RunState.NOT_RUN,
                self.router.retry_after(self.request),
            )
        if late:
            message = 'the time limit was exceeded'
            return Refusal(504, 'timeout', message, self.run_state)
        message = 'the endpoint failed'
        return Refusal(502, 'endpoint_failed', message, self.run_state)

    def _record_evidence(
        self, attempt: Attempt, failed: FailedAttempt | None
    ) -> None:
        """Record the attempt as evidence about the endpoint's version.

        Refusals and broken connections are not recorded: they depend on the
        endpoint, not on its version.
        """
        facts = attempt.facts
        error = False
        if facts is None:
            if failed is None or not failed.timed_out:
                return
            after = self.router.clock.monotonic() - attempt.started_at
            self.router.latencies.record(attempt.latency_key, after)
        elif facts.not_run:
            return
        else:
            error = facts.status >= _SERVER_ERROR
        self.router.rollouts.observe(
            self.request.service,
            attempt.endpoint.entry.version,
            Observation(error),
            attempts.load_fraction(attempt),
        )

    def _log_failure(
        self, attempt: Attempt, failed: FailedAttempt | None
    ) -> None:
        if failed is None:
            return
        self.router.log.event(
            'attempt_failed',
            request=self.request.request_id,
            endpoint=attempt.endpoint.name,
            failure=failed.failure.value,
            status=failed.status,
            detail=failed.detail,
            events=self.last_event,
            survived=attempt.survived,
            shared_segments=self.request.shared_segments,
        )
        self.router.metrics.failures.labels(failed.failure.value).inc()


def refuse(
    router: Router, caller: Caller, refusal: Refusal, request_id: str | None
) -> None:
    """Send a refusal as the final answer to a caller."""
    headers = router.dialect.refusal_headers(refusal, request_id)
    caller.respond(refusal.status, headers, refusal.message.encode())


def _keep_answer() -> None:
    """Do nothing: an answer that is being delivered is not given up."""


def _interruption(run_state: RunState) -> Refusal:
    """Return the answer to a request that the end of the process ends."""
    if run_state is RunState.NOT_RUN:
        return STOPPING
    return Refusal(502, STOPPING.code, STOPPING.message, run_state)


def _milliseconds(duration: dt.timedelta | None) -> int | None:
    return None if duration is None else duration // _MILLISECOND


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptPlan:
    """Request, model and chosen endpoint of an attempt."""

    route: str
    model: str | None
    placed: PlacedRequest
    endpoint: Endpoint
    choice: EndpointChoice


def timing_task(plan: AttemptPlan, endpoints: int) -> Task:
    """Return the attributes by which the times of attempts are compared.

    Args:
      plan: the attempt and its endpoint.
      endpoints: number of endpoints that could have run it.
    """
    choice = plan.choice
    endpoint = plan.endpoint
    prompt = plan.placed.tokens > 0
    load = duration_histograms.load_level(choice.load / endpoint.slots)
    return Task(
        # The cost of a prompt depends on its tokens, not on its route, so
        # prompts of all routes are compared with each other.
        kind='' if prompt else plan.route,
        model=plan.model or '',
        first_level=duration_histograms.token_level(choice.cost)
        if prompt
        else load,
        events_level=load,
        failure_domain=endpoint.failure_domain,
        endpoint=choice.name,
        endpoints=endpoints,
    )


def _placed_request(
    request: AcceptedRequest, model: str | None
) -> PlacedRequest:
    facts = request.facts
    shared = tuple(
        SharedSegment(f'{model} {segment.name}', segment.tokens)
        for segment in facts.prompt_segments[:-1]
    )
    return PlacedRequest(shared, facts.prompt_tokens, len(request.body))
