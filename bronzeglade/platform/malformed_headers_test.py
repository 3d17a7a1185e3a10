"""Guards that no header value of a caller or an endpoint stops a request."""

import datetime as dt
import json
from collections.abc import Iterator

import h11
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from bronzeglade import malformed
from bronzeglade.decisions.escalation import (
    Alternative,
    EscalationSettings,
    keeps_answer,
)
from bronzeglade.decisions.load import Load
from bronzeglade.decisions.placement import PlacedRequest, SharedSegment
from bronzeglade.decisions.rate_limit import Turn
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.endpoint_connection import usable_idle_time
from bronzeglade.forwarding.exchange_message import LoadMessage, MessageKind
from bronzeglade.forwarding.exchange_message import encode as encode_load
from bronzeglade.forwarding.message import (
    AnswerFacts,
    Dispatch,
    RequestFacts,
    RequestHead,
)
from bronzeglade.platform.headers import PlatformHeaders

HEADERS = PlatformHeaders()
REQUEST_HEADERS = (
    b'Deadline-Ms',
    b'Token-Count',
    b'Prompt-Prefix',
    b'Last-Event-Id',
    b'Model',
    b'Session',
    b'Credential',
    b'Host',
)
ANSWER_HEADERS = (
    b'Retry-After',
    b'Server-Limit',
    b'Server-Load',
    b'Server-Leaving',
    b'Confidence',
    b'Keep-Alive',
    b'Content-Encoding',
)
VALUES = malformed.header_values()


def use_request(facts: RequestFacts, head: RequestHead) -> None:
    """Place a request, report its load and build its headers."""
    router = builders.router(builders.route())
    router.update_endpoints([builders.entry('e'), builders.entry('f')])
    now = router.clock.monotonic()
    if facts.time_limit is not None:
        assert now + facts.time_limit < dt.timedelta.max
    placed = PlacedRequest(
        tuple(
            SharedSegment(part.name, part.tokens)
            for part in facts.prompt_segments
        ),
        facts.prompt_tokens,
        100,
    )
    endpoints = list(router.registry.endpoints.values())
    choice = router.placement.choose(endpoints, placed)
    assert choice is not None
    unread = max(0, placed.tokens - choice.cached_tokens)
    router.placement.started(choice.name, placed, unread)
    load = router.placement.outstanding()
    assert encode_load(LoadMessage(MessageKind.NODE, 'n', load))
    assert all(report.unread_tokens >= 0 for report in load.values())
    assert router.placement.choose(endpoints, placed) is not None
    dispatch = Dispatch(
        'e', dt.timedelta(seconds=1), 't', facts.model, 1, facts.last_event
    )
    sent = HEADERS.endpoint_headers(head, dispatch, 0)
    h11.Connection(h11.CLIENT).send(
        h11.Request(method='GET', target='/', headers=sent)
    )
    assert json.dumps([facts.session, facts.request_id])


def use_answer(facts: AnswerFacts) -> None:
    """Apply what an endpoint reports, and choose endpoints again."""
    router = builders.router(builders.route())
    entries = [builders.entry('e'), builders.entry('f')]
    router.update_endpoints(entries)
    endpoint = router.registry.endpoints['e']
    router.set_availability(endpoint, facts)
    if facts.load is not None:
        load = Load(builders.SERVICE, facts.load.running, facts.load.waiting)
        router.placement.report('e', load)
        assert facts.load.running / endpoint.slots >= 0
    placed = PlacedRequest((SharedSegment('s', 9),), 90, 10)
    for request in (placed, PlacedRequest()):
        choice = router.placement.choose(
            list(router.registry.endpoints.values()), request
        )
        assert choice is not None
        assert choice.cost >= 0
        json.dumps(choice.load, allow_nan=False)
    turn = Turn(dt.timedelta(days=3000), 0, 3)
    router.rate_limits.exhausted(turn)
    router.rate_limits.take('e', turn)
    assert router.pauses.time_until_first_end(['e']) is not None
    assert usable_idle_time(facts.idle_limit) >= dt.timedelta()
    keeps_answer(
        EscalationSettings(),
        facts.confidence,
        0,
        Alternative(builders.SECOND, builders.SECOND),
    )
    assert msgpack.packb(list(facts.unreadable))
    json.dumps([facts.confidence, facts.rate_limit == 0], allow_nan=False)


def request_head(name: bytes, value: bytes) -> RequestHead:
    """Return the head of a request with one more header."""
    headers = {b'Host': b'h', b'Request-Id': b'r', name: value}
    return RequestHead(b'GET', b'/', tuple(headers.items()))


@pytest.mark.parametrize('name', REQUEST_HEADERS)
def test_odd_value_of_a_request(name: bytes) -> None:
    """A token count of 30 digits stopped the reports of the node's load."""
    for value in VALUES:
        head = request_head(name, value)
        outcome = HEADERS.read_request(head)
        if isinstance(outcome, Err):
            assert outcome.err_value.status == 400
        else:
            use_request(outcome.ok_value, head)


@pytest.mark.parametrize('name', ANSWER_HEADERS)
@pytest.mark.parametrize('status', [200, 503])
def test_odd_value_of_an_answer(name: bytes, status: int) -> None:
    """A large load or rate of one endpoint failed all requests of the node."""
    for value in VALUES:
        use_answer(HEADERS.read_answer(status, ((name, value),)))


def visible(values: Iterator[bytes]) -> st.SearchStrategy[bytes]:
    """Return a strategy of header values built from some of these."""
    return st.lists(
        st.sampled_from(sorted(values, key=len)[:80]), min_size=1, max_size=3
    ).map(b','.join)


@given(st.sampled_from(ANSWER_HEADERS), visible(iter(VALUES)))
def test_generated_value_of_an_answer(name: bytes, value: bytes) -> None:
    """No list of odd values may stop the requests of the node."""
    use_answer(HEADERS.read_answer(200, ((name, value),)))


@given(st.sampled_from(REQUEST_HEADERS), visible(iter(VALUES)))
def test_generated_value_of_a_request(name: bytes, value: bytes) -> None:
    """No list of odd values may end a request without an answer."""
    head = request_head(name, value)
    outcome = HEADERS.read_request(head)
    if not isinstance(outcome, Err):
        use_request(outcome.ok_value, head)


@pytest.mark.parametrize('model', ['\u65e5'.encode(), b'\xe9', b'small'])
def test_model_of_the_caller_is_unchanged(model: bytes) -> None:
    """A name beyond ASCII was encoded twice, so another model was asked for."""
    head = request_head(b'Model', model)
    facts = HEADERS.read_request(head).unwrap()
    dispatch = Dispatch('e', None, model=facts.model)
    assert dict(HEADERS.endpoint_headers(head, dispatch, 0))[b'Model'] == model
    larger = Dispatch('e', None, model='\u65e5')
    sent = dict(HEADERS.endpoint_headers(head, larger, 0))
    assert sent[b'Model'] == '\u65e5'.encode()
