"""Guards the checker: each promise that a history breaks is reported."""

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
    Planned,
    Publication,
    StatusSeen,
    Withdrawal,
)
from standins import answers
from standins.answers import Marker

CHAT = Planned(0, 0, Kind.CHAT, 'atlas', 'urgent', 'm', 'q', 3, session='s')
ORDER = Planned(1, 0, Kind.ORDER, 'atlas', 'urgent', '/sightings', '7', key='k')
MARKER = Marker('m', 'v1', 0.9)
TEXT = ''.join(answers.tokens(CHAT.messages, MARKER, 3))
BILL = Bill(
    'a', 'atlas', 'urgent', 'm', 'v1', Usage(9, 3), 1, True, dt.datetime.now()
)
RUN = EngineRun('a', 'm', 'v1', 100)
ORDER_RUN = OrderRun('b', ORDER.order_id)
LOST = 'ProtocolError'
REFUSED = Attempt('e', 'not_run', 'c', 503)
CALL = Call(
    CHAT,
    Outcome.WHOLE,
    (REFUSED, Attempt('e', 'whole', 'a', 200)),
    Answer(TEXT, 'chatcmpl-a', 'm', 'v1', 3),
)
ORDER_CALL = Call(
    ORDER,
    Outcome.WHOLE,
    (Attempt('e', 'whole', 'b', 200),),
    Answer(order={'order_id': ORDER.order_id}),
)
WITHDRAWN = Withdrawal('m', 'v0', 50, 500)
GOOD = Evidence(
    calls=(CALL, ORDER_CALL),
    engine_runs=(RUN,),
    order_runs=(ORDER_RUN,),
    bills=(BILL,),
    grants={'atlas': frozenset((('m', 'v1'), ('m', 'v0'), ('m', 'v2')))},
    withdrawals=(WITHDRAWN,),
    publications=(Publication(2, 'x', True, 1), Publication(2, 'y', False, 1)),
    statuses=(StatusSeen('e', 1, 1, 'w'), StatusSeen('e', 2, 2, 'x')),
    final=(StatusSeen('e', 9, 2, 'x'),),
    drained=frozenset('e'),
)


def call_with(**changes: Any) -> tuple[Call, Call]:
    """Return the good calls with another answer to the chat."""
    answer = dataclasses.replace(CALL.answer, **changes)
    return dataclasses.replace(CALL, answer=answer), ORDER_CALL


SECOND_CALL = dataclasses.replace(
    CALL, attempts=(Attempt('e', 'ran', 'd', 200),), outcome=Outcome.UNKNOWN
)

BROKEN: list[tuple[str, dict[str, Any]]] = [
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
        'session keeps its version',  # a move before the withdrawal
        {
            'calls': (CALL, SECOND_CALL),
            'engine_runs': (
                EngineRun('a', 'm', 'v0', 40),
                EngineRun('d', 'm', 'v1', 45),
            ),
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
    ("whole answer of one's own request", {'calls': call_with(text=TEXT[:-2])}),
    (
        "whole answer of one's own request",
        {'calls': call_with(identity='chatcmpl-z')},
    ),
    ("whole answer of one's own request", {'calls': call_with(version='v2')}),
    (
        "whole answer of one's own request",
        {'calls': (dataclasses.replace(ORDER_CALL, answer=Answer()),)},
    ),
    (
        "whole answer of one's own request",
        {'calls': (dataclasses.replace(CALL, outcome=Outcome.TRUNCATED),)},
    ),
    ('a true not_run', {'engine_runs': (RUN, EngineRun('c', 'm', 'v1', 101))}),
    ('a true not_run', {'order_runs': (OrderRun('c', 'another'),)}),
    (
        'a true not_run',
        {'bills': (BILL, dataclasses.replace(BILL, request_id='c'))},
    ),
    (
        'no doubled order',
        {'order_runs': (ORDER_RUN, OrderRun('d', ORDER.order_id))},
    ),
    (
        'configuration never reverts',
        {'statuses': (StatusSeen('e', 1, 2, 'x'), StatusSeen('e', 2, 1, 'w'))},
    ),
    (
        'configuration never reverts',
        {'statuses': (StatusSeen('e', 1, 2, 'z'),)},
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
        'a planned stop interrupts no request',
        {
            'calls': (
                dataclasses.replace(
                    CALL, attempts=(Attempt('e', 'unknown', code=LOST),)
                ),
            )
        },
    ),
    ('configuration never reverts', {'final': (StatusSeen('e', 9, 1, 'w'),)}),
]


def broken_promises(evidence: Evidence) -> set[str]:
    """Return the promises that a history breaks."""
    return {
        verdict.promise
        for verdict in checker.judge(evidence)
        if verdict.violations
    }


def test_good_history_breaks_nothing() -> None:
    """A false alarm would hide real ones; each promise is exercised."""
    assert not broken_promises(GOOD)
    unchecked = {one.promise for one in checker.judge(GOOD) if not one.checked}
    assert not unchecked


@pytest.mark.parametrize(('promise', 'changes'), BROKEN)
def test_broken_history_is_reported(
    promise: str, changes: dict[str, Any]
) -> None:
    """A checker that cannot fail proves nothing."""
    evidence = dataclasses.replace(GOOD, **changes)
    assert promise in broken_promises(evidence)


def test_every_promise_has_a_broken_history() -> None:
    """A new promise needs a history that breaks it."""
    assert {promise for promise, _ in BROKEN} == set(checker.PROMISES)
