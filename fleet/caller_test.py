"""Guards the caller: an unsafe retry would look like a fault of the router."""

import dataclasses
import io
import json
import time
from typing import Any

import pytest
import urllib3

from fleet.caller import Caller, Directory
from fleet.history import Kind, Outcome, Planned
from fleet.load import Source, plan

ORDER = Planned(0, 0, Kind.ORDER, 'atlas', 'urgent', '/orders', '1')
CHAT = dataclasses.replace(ORDER, kind=Kind.CHAT, target='m')
JSON = {'Content-Type': 'application/json', 'X-Request-Id': 'r'}
STREAM = {'Content-Type': 'text/event-stream', 'X-Request-Id': 'r'}


def reply(
    status: int, body: bytes, headers: dict[str, str]
) -> urllib3.HTTPResponse:
    """Return a response of an entry process."""
    return urllib3.HTTPResponse(
        io.BytesIO(body), headers, status, preload_content=False
    )


def refusal(
    run_state: str, headers: dict[str, str] | None = None
) -> urllib3.HTTPResponse:
    """Return an error with a run state."""
    error = {'run_state': run_state, 'code': 'c', 'request_id': 'r'}
    body = json.dumps({'error': error}).encode()
    return reply(503, body, {**JSON, **(headers or {})})


def done() -> urllib3.HTTPResponse:
    """Return the response to an executed order."""
    body = json.dumps({'order': {'order_id': ORDER.order_id}}).encode()
    return reply(200, body, JSON)


class ScriptedHttp(urllib3.PoolManager):
    """Gives scripted responses and records the addresses that were asked."""

    def __init__(self, script: list[Any]) -> None:
        """Create connections.

        Args:
          script: a response or an exception for each call.
        """
        super().__init__()
        self.script = script
        self.asked: list[str] = []

    def request(self, *words: Any, **_others: Any) -> Any:
        """Give the next response."""
        url = words[1]
        if url.endswith('/v1/entries'):
            entries = [
                {'address': name, 'failure_domain': 'a'} for name in 'efg'
            ]
            document = {'entries': entries, 'max_age_s': 30}
            return reply(200, json.dumps(document).encode(), JSON)
        self.asked.append(url.split('/')[2])
        given = self.script.pop(0)
        if isinstance(given, Exception):
            raise given
        return given


SENT = urllib3.exceptions.ProtocolError('reset')
UNSENT = urllib3.exceptions.NewConnectionError(
    urllib3.connection.HTTPConnection('e'), 'refused'
)
KEYED = dataclasses.replace(ORDER, key='k')


@pytest.mark.parametrize(
    ('planned', 'script', 'outcome'),
    [
        (ORDER, [refusal('unknown'), done()], Outcome.UNKNOWN),
        (ORDER, [SENT, done()], Outcome.UNKNOWN),
        (ORDER, [refusal('not_run'), done()], Outcome.REFUSED),
        (KEYED, [refusal('ran'), done()], Outcome.UNKNOWN),
        (CHAT, [reply(200, b'data: {', STREAM), done()], Outcome.TRUNCATED),
    ],
)
def test_does_not_retry(
    planned: Planned, script: list[Any], outcome: Outcome
) -> None:
    """These may have run, or no retry can help."""
    http = ScriptedHttp(script)
    call = Caller(Directory(['e'], http, 'a'), http, 0).make(planned, 0)
    assert (call.outcome, len(call.attempts)) == (outcome, 1)


@pytest.mark.parametrize(
    ('planned', 'first'),
    [
        (ORDER, UNSENT),
        (ORDER, refusal('not_run', {'Retry-After': '1'})),
        (KEYED, refusal('unknown')),
        (KEYED, SENT),
    ],
)
def test_retries_through_another_entry(planned: Planned, first: Any) -> None:
    """A retry through the same process would meet the same failure."""
    http = ScriptedHttp([first, done()])
    call = Caller(Directory(['e'], http, 'a'), http, 0).make(planned, 0)
    assert call.outcome is Outcome.WHOLE
    assert len(set(http.asked)) == 2


def test_latency_counts_from_the_due_time() -> None:
    """A call that waits for its turn must not look fast."""
    http = ScriptedHttp([done()])
    caller = Caller(Directory(['e'], http, 'a'), http, 0)
    call = caller.make(ORDER, time.monotonic() - 60)
    assert call.first_token_s is not None
    assert call.first_token_s >= 60


def test_plan_repeats_with_its_seed() -> None:
    """A failed run must be repeatable from its recorded seed."""
    sources = [Source(Kind.CHAT, 50, ('atlas',), 'urgent', 'm')]
    assert plan(sources, 9, 7) == plan(sources, 9, 7)
    assert plan(sources, 9, 7) != plan(sources, 9, 8)
