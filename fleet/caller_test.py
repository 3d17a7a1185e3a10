"""Tests the caller: its unsafe retries would look like faults of the router."""

import dataclasses
import io
import json
import time
from typing import Any

import pytest
import urllib3

from fleet.caller import Caller, EntryDirectory
from fleet.history import Kind, Outcome, PlannedCall
from fleet.load import LoadSource, plan_calls

ORDER = PlannedCall(0, 0, Kind.ORDER, 'atlas', 'urgent', '/orders', '1')
CHAT = dataclasses.replace(ORDER, kind=Kind.CHAT, target='m')
JSON = {'Content-Type': 'application/json', 'X-Request-Id': 'r'}
STREAM = {'Content-Type': 'text/event-stream', 'X-Request-Id': 'r'}


def response(
    status: int, body: bytes, headers: dict[str, str]
) -> urllib3.HTTPResponse:
    """Return the response of an entry process."""
    return urllib3.HTTPResponse(
        io.BytesIO(body), headers, status, preload_content=False
    )


def error_response(
    run_state: str, headers: dict[str, str] | None = None
) -> urllib3.HTTPResponse:
    """Return an error response with a run state."""
    error = {'run_state': run_state, 'code': 'c', 'request_id': 'r'}
    body = json.dumps({'error': error}).encode()
    return response(503, body, {**JSON, **(headers or {})})


def order_response() -> urllib3.HTTPResponse:
    """Return the response to a successfully executed order."""
    body = json.dumps({'order': {'order_id': ORDER.order_id}}).encode()
    return response(200, body, JSON)


class ScriptedHttp(urllib3.PoolManager):
    """Returns scripted responses and records the addresses of requests."""

    def __init__(self, script: list[Any]) -> None:
        """Create a connection pool without a network.

        Args:
          script: a response or an exception for each attempt.
        """
        super().__init__()
        self.script = script
        self.requested_addresses: list[str] = []

    def request(self, *arguments: Any, **_keywords: Any) -> Any:
        """Return or raise the next scripted result.

        Requests for entry addresses get a list of three entries.
        """
        url = arguments[1]
        if url.endswith('/v1/entries'):
            entries = [
                {'address': name, 'failure_domain': 'a'} for name in 'efg'
            ]
            document = {'entries': entries, 'max_age_s': 30}
            return response(200, json.dumps(document).encode(), JSON)
        self.requested_addresses.append(url.split('/')[2])
        scripted = self.script.pop(0)
        if isinstance(scripted, Exception):
            raise scripted
        return scripted


CONNECTION_RESET = urllib3.exceptions.ProtocolError('reset')
CONNECTION_REFUSED = urllib3.exceptions.NewConnectionError(
    urllib3.connection.HTTPConnection('e'), 'refused'
)
ORDER_WITH_KEY = dataclasses.replace(ORDER, key='k')


@pytest.mark.parametrize(
    ('planned', 'script', 'outcome'),
    [
        (ORDER, [error_response('unknown'), order_response()], Outcome.UNKNOWN),
        (ORDER, [CONNECTION_RESET, order_response()], Outcome.UNKNOWN),
        (ORDER, [error_response('not_run'), order_response()], Outcome.REFUSED),
        (
            ORDER_WITH_KEY,
            [error_response('ran'), order_response()],
            Outcome.UNKNOWN,
        ),
        (
            CHAT,
            [response(200, b'data: {', STREAM), order_response()],
            Outcome.TRUNCATED,
        ),
    ],
)
def test_does_not_retry(
    planned: PlannedCall, script: list[Any], outcome: Outcome
) -> None:
    """No retry if the request may have run or the refusal is permanent."""
    http = ScriptedHttp(script)
    call = Caller(EntryDirectory(['e'], http, 'a'), http, 0).make_call(
        planned, 0
    )
    assert (call.outcome, len(call.attempts)) == (outcome, 1)


@pytest.mark.parametrize(
    ('planned', 'first_result'),
    [
        (ORDER, CONNECTION_REFUSED),
        (ORDER, error_response('not_run', {'Retry-After': '1'})),
        (ORDER_WITH_KEY, error_response('unknown')),
        (ORDER_WITH_KEY, CONNECTION_RESET),
    ],
)
def test_retries_through_another_entry(
    planned: PlannedCall, first_result: Any
) -> None:
    """A retry through the same process would likely fail in the same way."""
    http = ScriptedHttp([first_result, order_response()])
    call = Caller(EntryDirectory(['e'], http, 'a'), http, 0).make_call(
        planned, 0
    )
    assert call.outcome is Outcome.COMPLETE
    assert len(set(http.requested_addresses)) == 2


def test_latency_counts_from_the_due_time() -> None:
    """Latency includes the delay of a call that was sent late."""
    http = ScriptedHttp([order_response()])
    caller = Caller(EntryDirectory(['e'], http, 'a'), http, 0)
    call = caller.make_call(ORDER, time.monotonic() - 60)
    assert call.first_token_s is not None
    assert call.first_token_s >= 60


def test_plan_repeats_with_its_seed() -> None:
    """The plan of a failed run can be repeated from its recorded seed."""
    sources = [LoadSource(Kind.CHAT, 50, ('atlas',), 'urgent', 'm')]
    assert plan_calls(sources, 9, 7) == plan_calls(sources, 9, 7)
    assert plan_calls(sources, 9, 7) != plan_calls(sources, 9, 8)
