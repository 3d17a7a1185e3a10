"""Tests that endpoints get no more requests than the limit that they name.

Time passes only between requests, so that none is given up for silence.
"""

import datetime as dt

from bronzeglade.builders import ManualClock
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import router_with_endpoints, send_request
from bronzeglade.forwarding.route import RouteKind
from bronzeglade.forwarding.scripted import answering
from bronzeglade.forwarding.withdrawal_test import (
    answering_with_header,
    request_counts,
)

# With a limit of 1 a second, at most in some seconds: 1.5 times as many, and 5.
MAX_REQUESTS_IN_4_S = 11


# Guards against a node that does not read the limit, or applies it only to
# some of its requests: an endpoint in need gets as much work as the others.
def test_endpoint_gets_no_more_than_its_limit() -> None:
    """Requests beyond the limit go to other endpoints."""
    clock = ManualClock()
    router, endpoints = router_with_endpoints(
        builders.route(),
        answering_with_header('Rate-Limit: 1'),
        answering,
        clock=clock,
    )
    for _ in range(40):
        assert send_request(router, RouteKind.IDEMPOTENT).status == 200
        clock.advance(dt.timedelta(seconds=4) / 40)
    limited, other = request_counts(endpoints)
    assert limited <= MAX_REQUESTS_IN_4_S
    assert limited + other == 40


# Guards against requests that wait for a limited endpoint until their deadline.
def test_requests_beyond_all_limits_are_refused_at_once() -> None:
    """The refusal says that nothing ran, and when to return."""
    clock = ManualClock()
    router, endpoints = router_with_endpoints(
        builders.route(RouteKind.NON_IDEMPOTENT),
        answering_with_header('Rate-Limit: 0.5'),
        clock=clock,
    )
    answers = []
    for _ in range(20):
        answers.append(send_request(router, RouteKind.NON_IDEMPOTENT))
        clock.advance(dt.timedelta(seconds=4) / 20)
    refused = [answer for answer in answers if answer.status == 503]
    assert len(refused) == 20 - request_counts(endpoints)[0]
    assert len(refused) >= 20 - MAX_REQUESTS_IN_4_S
    assert all(0 < float(answer.headers['retry-after']) for answer in refused)
