"""Tests the checker: every violation of an invariant is reported."""

import dataclasses
import datetime as dt
from typing import Any

import pytest

from bronzeglade.coordination.bill import Bill, Usage
from fleet import checker
from fleet.checker import EngineRun, Evidence, OrderRun
from fleet.history import (
    Answer,
    Attempt,
    Call,
    Kind,
    Outcome,
    PlannedCall,
    Publication,
    ReportedStatus,
    Withdrawal,
)
from standins import answers
from standins.answers import Marker

CHAT = PlannedCall(0, 0, Kind.CHAT, 'atlas', 'urgent', 'm', 'q', 3, session='s')
ORDER = PlannedCall(
    1, 0, Kind.ORDER, 'atlas', 'urgent', '/sightings', '7', key='k'
)
MARKER = Marker('m', 'v1', 0.9)
TEXT = ''.join(answers.tokens(CHAT.messages, MARKER, 3))
BILL = Bill(
    'a', 'atlas', 'urgent', 'm', 'v1', Usage(9, 3), 1, True, dt.datetime.now()
)
RUN = EngineRun('a', 'm', 'v1', 100)
ORDER_RUN = OrderRun('b', ORDER.order_id)
CONNECTION_ERROR = 'ProtocolError'
REFUSED = Attempt('e', 'not_run', 'c', 503)
CALL = Call(
    CHAT,
    Outcome.COMPLETE,
    (REFUSED, Attempt('e', 'whole', 'a', 200)),
    Answer(TEXT, 'chatcmpl-a', 'm', 'v1', 3),
)
ORDER_CALL = Call(
    ORDER,
    Outcome.COMPLETE,
    (Attempt('e', 'whole', 'b', 200),),
    Answer(order={'order_id': ORDER.order_id}),
)
WITHDRAWN = Withdrawal('m', 'v0', 50, 500)
VALID = Evidence(
    calls=(CALL, ORDER_CALL),
    engine_runs=(RUN,),
    order_runs=(ORDER_RUN,),
    bills=(BILL,),
    grants={'atlas': frozenset((('m', 'v1'), ('m', 'v0'), ('m', 'v2')))},
    withdrawals=(WITHDRAWN,),
    publications=(Publication(2, 'x', True, 1), Publication(2, 'y', False, 1)),
    statuses=(ReportedStatus('e', 1, 1, 'w'), ReportedStatus('e', 2, 2, 'x')),
    final=(ReportedStatus('e', 9, 2, 'x'),),
    drained=frozenset('e'),
)


def calls_with_answer(**changes: Any) -> tuple[Call, Call]:
    """Return the valid calls with changes to the answer of the chat."""
    answer = dataclasses.replace(CALL.answer, **changes)
    return dataclasses.replace(CALL, answer=answer), ORDER_CALL


SECOND_CALL = dataclasses.replace(
    CALL, attempts=(Attempt('e', 'ran', 'd', 200),), outcome=Outcome.UNKNOWN
)

VIOLATIONS: list[tuple[str, dict[str, Any]]] = [
    ('permitted version only', {'grants': {'atlas': {('m', 'v2')}}}),
    (
        'no new work on a withdrawn version',
        {'withdrawals': (Withdrawal('m', 'v1', 50, 500),)},
    ),
    (
        'session keeps its version',
        {
            'calls': (CALL, SECOND_CALL),
            'engine_runs': (RUN, EngineRun('d', 'm', 'v2', 101)),
        },
    ),
    (
        'session keeps its version',  # rebound before the withdrawal
        {
            'calls': (CALL, SECOND_CALL),
            'engine_runs': (
                EngineRun('a', 'm', 'v0', 40),
                EngineRun('d', 'm', 'v1', 45),
            ),
        },
    ),
    (
        'session keeps its version',  # rebound before the roll-out's halt
        {
            'calls': (CALL, SECOND_CALL),
            'engine_runs': (RUN, EngineRun('d', 'm', 'v2', 101)),
            'halts': (Withdrawal('m', 'v2', 500, 900),),
        },
    ),
    ('billed exactly once', {'bills': ()}),
    ('billed exactly once', {'bills': (BILL, BILL)}),
    ('billed exactly once', {'engine_runs': ()}),
    (
        'billed exactly once',
        {'bills': (dataclasses.replace(BILL, team='digest'),)},
    ),
    (
        'billed exactly once',
        {'bills': (dataclasses.replace(BILL, usage=Usage(9, 2)),)},
    ),
    (
        'complete answer to its own request',
        {'calls': calls_with_answer(text=TEXT[:-2])},
    ),
    (
        'complete answer to its own request',
        {'calls': calls_with_answer(identity='chatcmpl-z')},
    ),
    (
        'complete answer to its own request',
        {'calls': calls_with_answer(version='v2')},
    ),
    (
        'complete answer to its own request',
        {'calls': (dataclasses.replace(ORDER_CALL, answer=Answer()),)},
    ),
    (
        'complete answer to its own request',
        {'calls': (dataclasses.replace(CALL, outcome=Outcome.TRUNCATED),)},
    ),
    (
        'not_run means not executed',
        {'engine_runs': (RUN, EngineRun('c', 'm', 'v1', 101))},
    ),
    ('not_run means not executed', {'order_runs': (OrderRun('c', 'another'),)}),
    (
        'not_run means not executed',
        {'bills': (BILL, dataclasses.replace(BILL, request_id='c'))},
    ),
    (
        'no order executed twice',
        {'order_runs': (ORDER_RUN, OrderRun('d', ORDER.order_id))},
    ),
    (
        'configuration never reverts',
        {
            'statuses': (
                ReportedStatus('e', 1, 2, 'x'),
                ReportedStatus('e', 2, 1, 'w'),
            )
        },
    ),
    (
        'configuration never reverts',
        {'statuses': (ReportedStatus('e', 1, 2, 'z'),)},
    ),
    (
        'configuration never reverts',
        {
            'publications': (
                Publication(2, 'x', True, 1),
                Publication(2, 'y', True, 1),
            )
        },
    ),
    (
        'graceful stop interrupts no request',
        {
            'calls': (
                dataclasses.replace(
                    CALL,
                    attempts=(Attempt('e', 'unknown', code=CONNECTION_ERROR),),
                ),
            )
        },
    ),
    (
        'configuration never reverts',
        {'final': (ReportedStatus('e', 9, 1, 'w'),)},
    ),
]


def violated_invariants(evidence: Evidence) -> set[str]:
    """Return the invariants that the evidence violates."""
    return {
        verdict.invariant
        for verdict in checker.check_invariants(evidence)
        if verdict.violations
    }


def test_valid_evidence_violates_nothing() -> None:
    """Valid evidence exercises every invariant and violates none.

    False alarms would hide real violations.
    """
    assert not violated_invariants(VALID)
    unchecked = {
        verdict.invariant
        for verdict in checker.check_invariants(VALID)
        if not verdict.checked
    }
    assert not unchecked


@pytest.mark.parametrize(('invariant', 'changes'), VIOLATIONS)
def test_violation_is_reported(invariant: str, changes: dict[str, Any]) -> None:
    """The checker reports each kind of violation."""
    evidence = dataclasses.replace(VALID, **changes)
    assert invariant in violated_invariants(evidence)


def test_every_invariant_has_a_violation_case() -> None:
    """Every invariant has at least one test case that violates it."""
    assert {invariant for invariant, _ in VIOLATIONS} == set(checker.INVARIANTS)
