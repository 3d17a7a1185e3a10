"""Relates the ends of endpoints to the prompts that they were asked."""

import datetime as dt

import eventlet

from bronzeglade.decisions.crashing_segments import Verdict
from bronzeglade.decisions.retry import Failure
from bronzeglade.forwarding import tcp
from bronzeglade.forwarding.accepted_request import AcceptedRequest
from bronzeglade.forwarding.attempt import Attempt, FailedAttempt
from bronzeglade.forwarding.departures import Incarnation
from bronzeglade.forwarding.router import Router

# A process that ends on a prompt may still send the beginning of the answer.
SURVIVAL_TIME = dt.timedelta(milliseconds=300)
# A process that ends closes its connections and its listener one after the
# other.
END_TIME = dt.timedelta(milliseconds=50)
CONNECT_TIMEOUT = dt.timedelta(milliseconds=250)


def record_attempt(
    router: Router,
    request: AcceptedRequest,
    attempt: Attempt,
    failed: FailedAttempt | None,
) -> None:
    """Record what the end of an attempt tells of the prompt.

    Args:
      router: state of this process.
      request: the request.
      attempt: the attempt, which has ended.
      failed: how it failed, or None if it did not.
    """
    if attempt.survived or not request.shared_segments:
        return
    if _may_have_ended(attempt, failed):
        eventlet.spawn(
            _record_if_ended,
            router,
            request,
            attempt.endpoint.entry.incarnation,
        )


def _may_have_ended(attempt: Attempt, failed: FailedAttempt | None) -> bool:
    """Return whether the process of an endpoint may have ended."""
    if failed is None:
        return attempt.ended_by_closing
    return failed.failure is Failure.LOST and not failed.timed_out


def record_answer(
    router: Router, request: AcceptedRequest, attempt: Attempt
) -> None:
    """Record that an endpoint has answered to the end.

    It has survived the prompt, unless the end of its process looks the same.
    """
    connection = attempt.connection
    if connection is not None and connection.ends_by_closing:
        attempt.ended_by_closing = True
    else:
        record_survival(router, request, attempt)


def record_event(
    router: Router, request: AcceptedRequest, attempt: Attempt
) -> None:
    """Record that an endpoint sent an event of its answer."""
    now = router.clock.monotonic()
    if attempt.first_event_at is None:
        attempt.first_event_at = now
    elif now - attempt.first_event_at >= SURVIVAL_TIME:
        record_survival(router, request, attempt)


def record_survival(
    router: Router, request: AcceptedRequest, attempt: Attempt
) -> None:
    """Record that an endpoint has survived the prompt of an attempt."""
    if not attempt.survived:
        attempt.survived = True
        router.crashes.record_sound(request.service, request.shared_segments)


def _record_if_ended(
    router: Router, request: AcceptedRequest, process: Incarnation
) -> None:
    """Record a crash if nothing listens at the address of an endpoint.

    A connection that breaks alone says nothing of the endpoint.
    """
    if not router.ended_processes.includes(process):
        eventlet.sleep(END_TIME.total_seconds())
        try:
            tcp.close(tcp.connect(process.address, CONNECT_TIMEOUT))
        except ConnectionRefusedError:
            router.ended_processes.add(process)
        except OSError:
            return
        else:
            return
    router.crashes.record_crash(
        request.service,
        request.shared_segments,
        f'{process.name}/{process.started}',
    )
    router.log.event(
        'endpoint_ended',
        request=request.request_id,
        endpoint=process.name,
        shared_segments=request.shared_segments,
    )


def find_refusal(router: Router, request: AcceptedRequest) -> Verdict | None:
    """Return the verdict that keeps a request from all endpoints, or None.

    One node tests a verdict whose time is over, with one request at a time.
    """
    verdict = router.crashes.find_verdict(
        request.service, request.shared_segments
    )
    if verdict is None:
        return None
    if router.roster.is_chosen(min(verdict.names)):
        if router.crashes.begin_probe(request.service, verdict):
            router.log.event(
                'segment_probed',
                request=request.request_id,
                segments=sorted(verdict.names),
            )
            return None
    return verdict
