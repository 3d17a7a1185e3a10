"""Delivery of one request: tries, resumes and exactly one final answer."""

import dataclasses
import datetime as dt
import enum
import functools

from result import Err

from bronzeglade.decisions import timings
from bronzeglade.decisions.evidence import Observation
from bronzeglade.decisions.placement import Place, PlacedRequest, PromptShare
from bronzeglade.decisions.retry import Failure
from bronzeglade.decisions.sizing import Alternative, accepts, larger
from bronzeglade.decisions.stopwatch import Task
from bronzeglade.forwarding import attempt as attempts
from bronzeglade.forwarding.attempt import Attempt, Failed
from bronzeglade.forwarding.caller import Caller
from bronzeglade.forwarding.endpoint import Endpoint
from bronzeglade.forwarding.event import EventSplitter, StreamEvent
from bronzeglade.forwarding.message import AnswerFacts
from bronzeglade.forwarding.route import Kind
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.upstream import EndpointConnection
from bronzeglade.forwarding.work import Work
from bronzeglade.outcome import Refusal, RunState

# Part of the objective after which an endpoint that has not begun its answer is
# given up for another one, when the request may run twice; and the same for an
# endpoint from which nothing at all was heard meanwhile.
PATIENCE = 0.75
SILENT_PATIENCE = 0.5
# An answer that takes this many times as long as usual is not just queued.
TYPICAL_TIMES = 3
# Part of the time without an event after which callers leave; a stream that
# may be resumed is given up then for another endpoint.
STALL_PART = 0.75
# A longer answer is passed on while it arrives, so that it cannot fill the
# memory; it cannot be asked again elsewhere then.
HELD_BODY = 256 * 1024  # bytes
LARGEST_ANSWER = 8 * 1024 * 1024  # bytes
# How often it is looked whether another try is allowed by now.
PATIENCE_CHECK = dt.timedelta(milliseconds=100)
_SERVER_ERROR = 500
_MILLISECOND = dt.timedelta(milliseconds=1)


class End(enum.Enum):
    """How the reading of an answer ended."""

    COMPLETE = 'complete'
    BROKEN = 'broken'
    LEFT = 'left'  # the caller has gone


@dataclasses.dataclass(slots=True)
class Delivery:
    """What is known of one request while it is delivered.

    `sent` counts the endpoints that it was sent to. `last_event` is the last
    event that the caller has; `begun` tells whether the head of an answer was
    sent to it.
    """

    router: Router
    work: Work
    caller: Caller
    tried: list[str] = dataclasses.field(default_factory=list)
    sent: int = 0
    model: str | None = None
    run_state: RunState = RunState.NOT_RUN
    last_event: int | None = None
    begun: bool = False
    first_byte: dt.timedelta | None = None
    last_byte: dt.timedelta | None = None
    longest_gap: dt.timedelta = dt.timedelta()
    events: int = 0
    outcome: str = ''
    detail: str = ''

    def run(self) -> None:
        """Deliver the request; the caller has its final answer afterwards."""
        self.last_event = self.work.facts.last_event
        self.model = self.router.first_model(self.work)
        self.router.retries(self.work.service).earn()
        while not self.outcome:
            self._try_next()

    def _try_next(self) -> None:
        attempt = self._next_attempt()
        if attempt is None:
            self._give_up()
            return
        self.tried.append(attempt.endpoint.name)
        self.sent += 1
        self.caller.on_disconnect = lambda: _abort(attempt)
        failed: Failed | None = Failed(Failure.LOST, 'interrupted')
        complete = False
        try:
            failed, complete = self._use(attempt)
        finally:
            self.caller.on_disconnect = None
            if self.caller.disconnected:
                failed = None
            attempts.end_attempt(self.router, attempt, failed, complete)
        self._log_attempt(attempt, failed)
        self._observe(attempt, failed)
        if self.caller.disconnected:
            self.outcome = 'abandoned'
        elif failed is not None and not self.outcome:
            self._after_failure(failed)

    def _use(self, attempt: Attempt) -> tuple[Failed | None, bool]:
        """Return how the try failed, if so, and whether all was read."""
        if self.caller.disconnected:
            return None, False
        opened = attempts.open_attempt(
            self.router,
            self.work,
            attempt,
            functools.partial(self._wait, attempt),
            self.last_event,
        )
        if isinstance(opened, Err):
            return opened.err_value, False
        facts = opened.ok_value
        self.router.log.event(
            'answer',
            request=self.work.request_id,
            endpoint=attempt.endpoint.name,
            status=facts.status,
            model=attempt.model,
            confidence=facts.confidence,
            load=None if facts.load is None else facts.load.running,
            waiting=None if facts.load is None else facts.load.waiting,
            after_ms=_ms(attempt.answered_after),
        )
        if self.work.route.kind is Kind.STREAM and facts.succeeded:
            larger = self._larger_model(facts)
            if larger is not None:
                self._escalate(attempt, facts, larger)
                return None, False
            return self._relay(attempt, facts)
        return self._whole(attempt, facts)

    def _larger_model(self, facts: AnswerFacts) -> str | None:
        """Return the model that is to answer instead, or None."""
        if self.begun or self.last_event is not None or not self._has_tries():
            return None
        model = larger(self.work.route.sizes, self.model)
        if model is None:
            return None
        now = self.router.clock.monotonic()
        kept = accepts(
            self.router.sizing,
            facts.confidence,
            self.work.priority,
            Alternative(
                self.router.latencies.typical((self.work.service, model)),
                self.work.objective_at - now,
                self.router.pressure(self.work.service, self.model or ''),
            ),
        )
        if kept or not self._may_improve():
            return None
        return model

    def _may_improve(self) -> bool:
        return self.router.retries(self.work.service).allows(improving=True)

    def _escalate(
        self, attempt: Attempt, facts: AnswerFacts, model: str
    ) -> None:
        self.router.retries(self.work.service).spend()
        self.router.metrics.escalations.inc()
        self.router.log.event(
            'escalation',
            request=self.work.request_id,
            dropped=attempt.model,
            model=model,
            confidence=facts.confidence,
        )
        self.model = model
        # The endpoint works well; it may run the larger model, too.
        self.tried.remove(attempt.endpoint.name)

    def _whole(
        self, attempt: Attempt, facts: AnswerFacts
    ) -> tuple[Failed | None, bool]:
        connection = attempt.connection
        if connection is None:
            return Failed(Failure.NOT_CONNECTED, 'no connection'), False
        body = connection.read_part(self.work.until, HELD_BODY)
        attempts.end_reading(self.router, attempt)
        if isinstance(body, Err):
            return Failed(Failure.LOST, body.err_value.detail), False
        self.run_state = RunState.RAN
        if not body.ok_value.whole:
            return self._pass_long(connection, facts, body.ok_value.content)
        if facts.status >= _SERVER_ERROR:
            failed = Failed(Failure.LOST, 'endpoint error', facts.status)
            if self._may_retry(failed):
                return failed, True
        if self.begun:
            return Failed(Failure.LOST, 'error in place of a stream'), True
        self.first_byte = self.router.clock.monotonic()
        self.caller.respond(facts.status, facts.headers, body.ok_value.content)
        self.outcome = 'answered' if facts.succeeded else 'endpoint_error'
        self.detail = str(facts.status)
        return None, True

    def _pass_long(
        self, connection: EndpointConnection, facts: AnswerFacts, first: bytes
    ) -> tuple[Failed | None, bool]:
        """Pass a long answer on block by block."""
        if self.begun or not facts.succeeded:
            return Failed(Failure.LOST, 'the error is too long'), False
        self._begin(facts)
        failed = self._copy(connection, first)
        if failed is None and not self.caller.disconnected:
            self.caller.finish()
            self.outcome = 'answered'
            return None, True
        return failed, False

    def _copy(
        self, connection: EndpointConnection, first: bytes
    ) -> Failed | None:
        """Write a body to the caller until its end or the caller's."""
        block: bytes | None = first
        size = 0
        while block is not None and not self.caller.disconnected:
            self.caller.write(block)
            size += len(block)
            late = self.router.clock.monotonic() >= self.work.until
            if late or size > LARGEST_ANSWER:
                return Failed(Failure.LOST, 'the answer does not end')
            outcome = connection.read_block(self.work.until)
            if isinstance(outcome, Err):
                return Failed(Failure.LOST, outcome.err_value.detail)
            block = outcome.ok_value
        return None

    def _relay(
        self, attempt: Attempt, facts: AnswerFacts
    ) -> tuple[Failed | None, bool]:
        end, detail = self._pump(attempt, facts)
        if end is End.COMPLETE:
            if not self.begun:
                self._begin(facts)
            self.caller.finish()
            self.outcome = 'answered'
            return None, True
        if end is End.LEFT:
            return None, False
        return Failed(Failure.LOST, detail), False

    def _pump(self, attempt: Attempt, facts: AnswerFacts) -> tuple[End, str]:
        splitter = EventSplitter()
        connection = attempt.connection
        if connection is None:
            return End.BROKEN, 'no connection'
        wait = functools.partial(self._wait, attempt)
        while not self.caller.disconnected:
            block = attempts.read_patiently(connection.read_block, wait)
            if isinstance(block, Err):
                return End.BROKEN, block.err_value.detail
            if block.ok_value is None:
                if splitter.rest:
                    return End.BROKEN, 'the stream ends inside an event'
                return End.COMPLETE, ''
            events = splitter.feed(block.ok_value)
            if isinstance(events, Err):
                return End.BROKEN, events.err_value
            if not self._pass_events(attempt, facts, events.ok_value):
                return End.BROKEN, 'an event is missing'
        return End.LEFT, ''

    def _pass_events(
        self, attempt: Attempt, facts: AnswerFacts, events: list[StreamEvent]
    ) -> bool:
        """Send events; return False when one before them is missing."""
        for event in events:
            attempts.end_reading(self.router, attempt)
            self._note_progress(attempt, event.number)
            if attempt.timed is not None:
                attempt.timed.progress.note_event(self.router.clock.monotonic())
            if not self._pass_on(facts, event.number, event.content):
                return False
        return True

    def _note_progress(self, attempt: Attempt, number: int | None) -> None:
        """Note an event that brings the answer on.

        Neither an event that the caller has nor, in a stream of numbered
        events, one without a number does.
        """
        known = -1 if self.last_event is None else self.last_event
        first = attempt.progress_at is None or known < 0
        if first or (number is not None and number > known):
            attempt.progress_at = self.router.clock.monotonic()

    def _pass_on(
        self, facts: AnswerFacts, number: int | None, content: bytes
    ) -> bool:
        """Send an event; return False when one before it is missing."""
        if number is not None and self.last_event is not None:
            if number <= self.last_event:
                return True
            if number > self.last_event + 1:
                return False
        if not self.begun:
            self._begin(facts)
        self._count_event()
        self.caller.write(content)
        self.run_state = RunState.RAN
        if number is not None:
            self.last_event = number
        return True

    def _count_event(self) -> None:
        now = self.router.clock.monotonic()
        if self.last_byte is not None:
            self.longest_gap = max(self.longest_gap, now - self.last_byte)
        self.last_byte = now
        self.events += 1

    def _begin(self, facts: AnswerFacts) -> None:
        self.begun = True
        self.first_byte = self.router.clock.monotonic()
        chunked = (b'Transfer-Encoding', b'chunked')
        self.caller.begin(facts.status, [*facts.headers, chunked])

    def _next_attempt(self) -> Attempt | None:
        work = self.work
        if self.router.clock.monotonic() >= work.until:
            return None
        model = self.model
        placed = _placed(work, model)
        offered = self.router.eligible_endpoints(work)
        place = self.router.placement.choose(offered, placed, self.tried)
        if place is None:
            self.detail = f'none of {len(offered)} endpoints is left'
            return None
        endpoint = self.router.registry.endpoints[place.name]
        unread = max(0, placed.tokens - place.cached_tokens)
        self.router.log.event(
            'attempt',
            request=work.request_id,
            number=len(self.tried) + 1,
            endpoint=place.name,
            model=model,
            failure_domain=endpoint.failure_domain,
            offered=len(offered),
            cost=round(place.cost, 2),
            cached=place.cached_tokens,
            load=round(place.load, 1),
            resume_after=self.last_event,
            configuration=self.router.version,
        )
        task = task_of(
            Attempted(work.route.name, model, placed, endpoint, place),
            len(offered),
        )
        return Attempt(endpoint, model, placed, unread, task)

    def _wait(self, attempt: Attempt) -> dt.timedelta | None:
        """Return until when an answer is waited for; None to give it up.

        An endpoint that has not begun its answer is given up for another one
        after a while, but only when another try is allowed then.
        """
        until = self.work.until
        now = self.router.clock.monotonic()
        if now >= until:
            return None
        if attempt.progress_at is not None:
            return self._wait_for_event(attempt.progress_at, now)
        if not attempt.reading or not self.work.route.repeatable:
            return until
        give_up_at = attempt.began + self._patience(attempt)
        if now < give_up_at:
            return min(until, give_up_at)
        if self._may_retry(Failed(Failure.LOST, 'no answer')):
            return None
        return min(until, now + PATIENCE_CHECK)

    def _wait_for_event(
        self, progress_at: dt.timedelta, now: dt.timedelta
    ) -> dt.timedelta | None:
        """Return until when the next event is waited for; None to give up.

        Bytes that complete no event are no progress. A stream that is only
        slow goes on for as long as callers wait for its next event.
        """
        route = self.work.route
        ends_at = min(self.work.until, progress_at + route.stall)
        if now >= ends_at:
            return None
        if not route.repeatable:
            return ends_at
        resume_at = progress_at + route.stall * STALL_PART
        if now < resume_at:
            return min(ends_at, resume_at)
        if self._may_retry(Failed(Failure.LOST, 'stalled')):
            return None
        return min(ends_at, now + PATIENCE_CHECK)

    def _patience(self, attempt: Attempt) -> dt.timedelta:
        """Return how long an endpoint may take to begin its answer."""
        objective = self.work.route.objective
        if attempt.endpoint.pool.heard_at < attempt.began:
            return objective * SILENT_PATIENCE
        typical = self.router.latencies.typical(attempt.kind)
        return max(objective * PATIENCE, typical * TYPICAL_TIMES)

    def _has_tries(self) -> bool:
        return self.sent < self.work.route.attempts

    def _may_retry(self, failed: Failed) -> bool:
        if not self._has_tries() or self.caller.disconnected:
            return False
        if self.router.clock.monotonic() >= self.work.until:
            return False
        repeatable = self.work.route.repeatable
        not_run = failed.failure.run_state is RunState.NOT_RUN
        if not repeatable and not not_run:
            return False
        # A connection that was never made is no arrival at an endpoint.
        if failed.failure is Failure.NOT_CONNECTED:
            return True
        return self.router.retries(self.work.service).allows()

    def _after_failure(self, failed: Failed) -> None:
        if failed.failure.run_state is not RunState.NOT_RUN:
            if self.run_state is RunState.NOT_RUN:
                self.run_state = RunState.UNKNOWN
        self.detail = failed.detail
        if failed.failure is Failure.NOT_CONNECTED:
            self.sent -= 1
            if self._may_retry(failed):
                return
        elif self._may_retry(failed):
            self.router.retries(self.work.service).spend()
            self.router.metrics.retries.labels(failed.failure.value).inc()
            return
        self._give_up()

    def _give_up(self) -> None:
        """Send the final answer of a request that gets no result."""
        if self.begun:
            self.outcome = 'broken_off'
            self.caller.abort_answer()
            return
        refusal = self._refusal()
        self.outcome = refusal.code
        self.detail = self.detail or refusal.message
        refuse(self.router, self.caller, refusal, self.work.request_id)

    def _refusal(self) -> Refusal:
        late = self.router.clock.monotonic() >= self.work.until
        if self.run_state is RunState.NOT_RUN:
            return Refusal(
                503,
                'no_endpoint',
                'no endpoint took the request',
                RunState.NOT_RUN,
                self.router.retry_after(self.work),
            )
        if late:
            message = 'the time limit passed'
            return Refusal(504, 'timeout', message, self.run_state)
        message = 'the endpoint failed'
        return Refusal(502, 'endpoint_failed', message, self.run_state)

    def _observe(self, attempt: Attempt, failed: Failed | None) -> None:
        """Count the try as evidence about the endpoint's version.

        A connection that breaks tells of the endpoint, not of its version.
        """
        facts = attempt.facts
        error = False
        if facts is None:
            if failed is None or not failed.timed_out:
                return
            after = self.router.clock.monotonic() - attempt.began
            self.router.latencies.note(attempt.kind, after)
        elif facts.not_run:
            return
        else:
            error = facts.status >= _SERVER_ERROR
        self.router.rollouts.observe(
            self.work.service,
            attempt.endpoint.entry.version,
            Observation(error),
        )

    def _log_attempt(self, attempt: Attempt, failed: Failed | None) -> None:
        if failed is None:
            return
        self.router.log.event(
            'attempt_failed',
            request=self.work.request_id,
            endpoint=attempt.endpoint.name,
            failure=failed.failure.value,
            status=failed.status,
            detail=failed.detail,
            events=self.last_event,
        )
        self.router.metrics.failures.labels(failed.failure.value).inc()


def refuse(
    router: Router, caller: Caller, refusal: Refusal, request_id: str | None
) -> None:
    """Send a refusal."""
    headers = router.dialect.refusal_headers(refusal, request_id)
    caller.respond(refusal.status, headers, refusal.message.encode())


def _ms(duration: dt.timedelta | None) -> int | None:
    return None if duration is None else duration // _MILLISECOND


def _abort(attempt: Attempt) -> None:
    if attempt.connection is not None:
        attempt.connection.abort()


@dataclasses.dataclass(frozen=True, slots=True)
class Attempted:
    """What a try asks of which endpoint, and why it was chosen."""

    route: str
    model: str | None
    placed: PlacedRequest
    endpoint: Endpoint
    place: Place


def task_of(attempted: Attempted, endpoints: int) -> Task:
    """Return what the time of a try is compared by.

    Args:
      attempted: the try.
      endpoints: number that could have run it.
    """
    place = attempted.place
    endpoint = attempted.endpoint
    prompt = attempted.placed.tokens > 0
    load = timings.load_level(place.load / endpoint.slots)
    return Task(
        # The work of a prompt is its tokens, whatever route it came by.
        kind='' if prompt else attempted.route,
        model=attempted.model or '',
        first_level=timings.token_level(place.cost) if prompt else load,
        events_level=load,
        failure_domain=endpoint.failure_domain,
        endpoint=place.name,
        endpoints=endpoints,
    )


def _placed(work: Work, model: str | None) -> PlacedRequest:
    facts = work.facts
    shares = tuple(
        PromptShare(f'{model} {part.name}', part.tokens)
        for part in facts.parts[:-1]
    )
    return PlacedRequest(shares, facts.prompt_tokens, len(work.body))
