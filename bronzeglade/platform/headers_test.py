"""Tests of parsing and building the platform's headers."""

import datetime as dt
import math

import pytest
from result import Err, Ok

from bronzeglade.forwarding.message import (
    LoadReport,
    Dispatch,
    PromptSegment,
    RequestHead,
)
from bronzeglade.outcome import Refusal
from bronzeglade.platform.headers import PlatformHeaders

HEADERS = PlatformHeaders()
HEAD = RequestHead(
    b'POST',
    b'/chat/x?q=1',
    (
        (b'Host', b'api.example:80'),
        (b'Request-Id', b'r1'),
        (b'Credential', b'secret'),
        (b'Deadline-Ms', b'1500'),
        (b'Model', b'*'),
        (b'Token-Count', b'1460,80'),
        (b'Prompt-Prefix', b'5c1e:800,91bd:410'),
        (b'Last-Event-Id', b'12'),
        (b'Tenant', b'forged'),
        (b'Kv-From', b'10.0.0.1:1/x'),
        (b'Hold', b'h'),
        (b'Connection', b'close, X-Hop'),
        (b'X-Hop', b'1'),
        (b'X-Kept', b'2'),
    ),
)


def test_facts_of_a_request() -> None:
    """Each header is decoded into its field, with its unit."""
    outcome = HEADERS.read_request(HEAD)
    assert isinstance(outcome, Ok)
    facts = outcome.ok_value
    assert facts.host == 'api.example'
    assert facts.key == 'secret'
    assert facts.time_limit == dt.timedelta(milliseconds=1500)
    assert facts.model is None
    assert (facts.prompt_tokens, facts.output_tokens) == (1460, 80)
    assert facts.prompt_segments == (
        PromptSegment('5c1e', 800),
        PromptSegment('91bd', 410),
    )
    assert facts.last_event == 12


def test_endpoint_gets_headers_of_the_router() -> None:
    """Callers cannot set reserved headers, and API keys are not forwarded."""
    dispatch = Dispatch(
        instance='i-1',
        time_remaining=dt.timedelta(milliseconds=900),
        team='atlas',
        model='small',
        priority=0,
        resume_after=14,
    )
    sent = dict(HEADERS.endpoint_headers(HEAD, dispatch, 5))
    assert sent[b'Expect-Instance'] == b'i-1'
    assert sent[b'Deadline-Ms'] == b'900'
    assert sent[b'Tenant'] == b'atlas'
    assert sent[b'Model'] == b'small'
    assert sent[b'Last-Event-Id'] == b'14'
    assert sent[b'Content-Length'] == b'5'
    assert sent[b'X-Kept'] == b'2'
    dropped = {b'Credential', b'Kv-From', b'Hold', b'Connection', b'X-Hop'}
    assert not dropped & sent.keys()
    names = [name for name, _ in HEADERS.endpoint_headers(HEAD, dispatch, 5)]
    assert len(names) == len(set(names))


@pytest.mark.parametrize(
    'header',
    [
        (b'Deadline-Ms', b'soon'),
        (b'Deadline-Ms', b'1e300'),
        (b'Deadline-Ms', b'nan'),
        (b'Token-Count', b'9' * 5000),
        (b'Token-Count', b'many'),
        (b'Last-Event-Id', b'x'),
        (b'Prompt-Prefix', b'5c1e:'),
    ],
)
def test_unreadable_header_is_refused(header: tuple[bytes, bytes]) -> None:
    """A malformed header must not be replaced by a default value."""
    head = RequestHead(b'GET', b'/', ((b'Request-Id', b'r'), header))
    outcome = HEADERS.read_request(head)
    assert isinstance(outcome, Err)
    assert outcome.err_value.status == 400


def test_request_without_id_is_refused() -> None:
    """Without the id an answer cannot be matched to its request."""
    outcome = HEADERS.read_request(RequestHead(b'GET', b'/', ()))
    assert isinstance(outcome, Err)


def test_facts_of_an_answer() -> None:
    """A malformed optional header does not invalidate the answer."""
    facts = HEADERS.read_answer(
        503,
        (
            (b'Request-Id', b'r1'),
            (b'Not-Executed', b'1'),
            (b'Server-Load', b'3,0,8'),
            (b'Keep-Alive', b'timeout=5'),
            (b'Confidence', b'unknown'),
            (b'Transfer-Encoding', b'chunked'),
        ),
    )
    assert facts.not_run
    assert not facts.signed
    assert facts.load is not None
    assert facts.load.slots == 8
    assert facts.idle_limit == dt.timedelta(seconds=5)
    assert facts.confidence is None
    assert (b'Transfer-Encoding', b'chunked') not in facts.headers
    other = HEADERS.read_answer(421, ((b'Instance-Id', b'i-2'),))
    assert other.not_run
    assert other.misdirected


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        (b'2', 2),
        (b'0.75', 0.75),
        (b'-3', -3),
        (b'0', 0),
        (b'soon', 1),
        (b'nan', 1),
        (b'', 1),
    ],
)
def test_retry_after_of_an_unavailable_endpoint(
    text: bytes, seconds: float
) -> None:
    """A malformed Retry-After still means that the endpoint wants a pause."""
    facts = HEADERS.read_answer(503, ((b'Retry-After', text),))
    assert facts.no_work_for == dt.timedelta(seconds=seconds)
    assert len(facts.unreadable) == (text in {b'soon', b'nan', b''})


@pytest.mark.parametrize('text', [b'1e300', b'inf'])
def test_retry_after_beyond_the_maximum_is_capped(text: bytes) -> None:
    """A number too large for a timedelta must not raise OverflowError."""
    facts = HEADERS.read_answer(503, ((b'Retry-After', text),))
    assert facts.no_work_for == dt.timedelta.max


def test_retry_after_counts_with_status_503_only() -> None:
    """With another status Retry-After is meant for the caller."""
    facts = HEADERS.read_answer(429, ((b'Retry-After', b'5'),))
    assert facts.no_work_for is None


@pytest.mark.parametrize(
    ('text', 'leaving'), [(b'1', True), (b'0', False), (b'yes', False)]
)
def test_endpoint_announces_that_it_leaves(text: bytes, leaving: bool) -> None:
    """A malformed flag must not remove a healthy endpoint permanently."""
    facts = HEADERS.read_answer(200, ((b'Server-Leaving', text),))
    assert facts.leaving is leaving
    assert bool(facts.unreadable) == (text == b'yes')


def test_refusal_has_retry_after() -> None:
    """Fractions of a second are kept, because callers honour them."""
    wait = dt.timedelta(milliseconds=250)
    refusal = Refusal(503, 'busy', 'busy', retry_after=wait)
    headers = dict(HEADERS.refusal_headers(refusal, 'r1'))
    assert headers[b'Retry-After'] == b'0.250'
    assert headers[b'Request-Id'] == b'r1'


@pytest.mark.parametrize(
    ('text', 'rate'),
    [(b'1.3', 1.3), (b'0', 0), (b'nan', None), (b'-1', None), (b'many', None)],
)
def test_endpoint_names_its_rate_limit(text: bytes, rate: float | None) -> None:
    """A limit that cannot be read neither sets nor ends a limit."""
    facts = HEADERS.read_answer(200, [(b'Server-Limit', text)])
    assert facts.rate_limit == rate
    assert bool(facts.unreadable) == (rate is None)
    assert HEADERS.read_answer(200, []).rate_limit == math.inf


# An answer with four figures was taken for one without load.
@pytest.mark.parametrize(
    ('text', 'slowdown', 'unreadable'),
    [
        (b'3,0,8', None, False),
        (b'3,0,8,100', 1, False),
        (b'3,0,8, 250', 2.5, False),
        (b'3,0,8,62.5', 0.625, False),
        (b'3,0,8,120,7,new', 1.2, False),
        (b'3,0,8,', None, True),
        (b'3,0,8,0', None, True),
        (b'3,0,8,-50', None, True),
        (b'3,0,8,nan', None, True),
        (b'3,0,8,inf', None, True),
        (b'3,0,8,slow', None, True),
    ],
)
def test_load_with_further_figures(
    text: bytes, slowdown: float | None, unreadable: bool
) -> None:
    """A figure that cannot be read does not hide the others."""
    facts = HEADERS.read_answer(200, ((b'Server-Load', text),))
    assert facts.load == LoadReport(3, 0, 8, slowdown)
    assert bool(facts.unreadable) == unreadable


@pytest.mark.parametrize('text', [b'3,0', b'3,0,x', b'3,0,-1,100', b''])
def test_load_without_its_three_figures(text: bytes) -> None:
    """Such a report is ignored, and logged once."""
    facts = HEADERS.read_answer(200, ((b'Server-Load', text),))
    assert facts.load is None
    assert len(facts.unreadable) == 1


@pytest.mark.parametrize(
    ('text', 'cold_ms'), [(b'1500', 1500), (b'0', 0), (b'long', None)]
)
def test_endpoint_says_how_long_it_is_cold(
    text: bytes, cold_ms: int | None
) -> None:
    """A time that cannot be read is ignored."""
    facts = HEADERS.read_answer(200, ((b'Cold-Ms', text),))
    expected = None if cold_ms is None else dt.timedelta(milliseconds=cold_ms)
    assert facts.cold_for == expected
    assert bool(facts.unreadable) == (cold_ms is None)


@pytest.mark.parametrize('status', [200, 204, 302, 500, 502, 504])
def test_answer_of_a_run_is_no_refusal(status: int) -> None:
    """A request that may have run would be sent to another endpoint."""
    fields = ((b'Not-Executed', b'1'), (b'Server-Signature', b's'))
    assert not HEADERS.read_answer(status, fields).not_run


@pytest.mark.parametrize('status', [400, 408, 421, 429, 503])
def test_refusal_states_that_the_request_did_not_run(status: int) -> None:
    """A refused request moves to another endpoint."""
    fields = ((b'Not-Executed', b'1'),)
    assert HEADERS.read_answer(status, fields).not_run
