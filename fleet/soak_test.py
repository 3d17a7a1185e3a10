"""Tests the rules of a soak run, and the routers by a short seeded run."""

import dataclasses
from pathlib import Path

import pytest

from fleet import soak
from fleet.soak import TENANTS, FleetSize
from fleet.soak_limits import find_exceeded_limits
from fleet.soak_plan import draw_faults
from fleet.soak_rules import (
    CHAT,
    ORDER,
    CallerRecord,
    WorkerRun,
    expected_body,
    find_violations,
)

SECONDS = 8
# A seed that has failed is added here, with the cause of the failure.
SEEDS = (1,)

RUN = WorkerRun('r1', 'plain-1', '/order/x', 'r1', 'atlas', None)
RECORD = CallerRecord(
    'r1',
    ORDER,
    'node-1',
    'key-1',
    sent_s=10,
    ended_s=10.1,
    deadline_s=1,
    status=200,
    answer_id='r1',
    signature='plain-1.7',
    body='done',
    complete=True,
    undisturbed=True,
)
# An answer that ends 4 seconds after its request, in a planned stop.
CUT = {
    'ended_s': 14,
    'complete': False,
    'stopped_s': 9,
    'deadline_s': 8,
    'limit_s': 5,
    'undisturbed': False,
}


@pytest.mark.parametrize('seed', SEEDS)
def test_rules_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """No rule is violated under kills, freezes, link and store faults."""
    violations, summary = soak.run_soak(tmp_path, seed, SECONDS, FleetSize())
    assert not violations, summary


@pytest.mark.parametrize(
    ('changes', 'runs', 'rule'),
    [
        ({}, [RUN], ()),
        (
            {},
            [RUN, dataclasses.replace(RUN, worker='plain-2')],
            ('TWICE',),
        ),
        ({'status': 503}, [RUN], ('REFUSED',)),
        ({'status': 502}, [RUN], ()),
        ({'status': 503}, [], ()),
        (
            {'status': 502},
            [dataclasses.replace(RUN, request_id='r2')],
            ('UNASKED',),
        ),
        ({}, [dataclasses.replace(RUN, path='/read/x')], ('UNASKED',)),
        (
            {},
            [dataclasses.replace(RUN, credential='key-1')],
            ('UNASKED',),
        ),
        ({}, [dataclasses.replace(RUN, tenant='survey')], ('ROUTE',)),
        ({'key': 'no'}, [RUN], ('ROUTE',)),
        ({'answer_id': 'r2'}, [RUN], ('MIXED',)),
        ({'signature': 'plain-2.7'}, [RUN], ('MIXED',)),
        ({'body': 'don'}, [RUN], ('MIXED',)),
        ({'body': 'don', 'complete': False}, [RUN], ()),
        ({'ended_s': 15}, [RUN], ('HELD',)),
        ({'ended_s': 15, 'undisturbed': False}, [RUN], ()),
        (CUT, [RUN], ('LOST',)),
        ({**CUT, 'stopped_s': None}, [RUN], ()),
        ({**CUT, 'complete': True, 'body': 'done'}, [RUN], ()),
        (CUT, [], ()),
        # It reached its time limit.
        ({**CUT, 'limit_s': 4}, [RUN], ()),
        # Sent early, it was cut in the last part of the grace period.
        ({**CUT, 'stopped_s': 7.2}, [RUN], ()),
        ({**CUT, 'stopped_s': 6.8}, [RUN], ('LOST',)),
        ({**CUT, 'stopped_s': 7.5}, [RUN], ('LOST',)),
    ],
)
def test_each_broken_rule_is_found(
    changes: dict[str, object], runs: list[WorkerRun], rule: tuple[str, ...]
) -> None:
    """Each rule detects its violation; otherwise no soak run could fail."""
    record = dataclasses.replace(RECORD, **changes)  # type: ignore[arg-type]
    found = find_violations([record], runs, TENANTS)
    assert {text.replace(':', ' ').split()[0] for text in found} == set(rule)


def test_stream_with_a_missing_event_is_found() -> None:
    """A complete stream without one of its events violates `ORDER`."""
    run = dataclasses.replace(RUN, path='/chat/x')
    complete = dataclasses.replace(RECORD, kind=CHAT, body=expected_body(CHAT))
    assert not find_violations([complete], [run], TENANTS)
    missing = complete.body.replace('id: 3\ndata: piece 3\n\n', '')
    cut = dataclasses.replace(complete, body=missing)
    assert find_violations([cut], [run], TENANTS)[0].startswith('ORDER')


@pytest.mark.parametrize(
    ('requests', 'fault', 'exceeded'),
    [
        (12, None, False),
        (40, None, True),
        (40, 'node-1', False),
        (40, 'worker-plain-1', False),
        (40, 'node-2', True),
    ],
)
def test_exceeded_limit_is_found(
    requests: int, fault: str | None, exceeded: bool
) -> None:
    """With a limit of 2 a second, 17 requests in 4 s are allowed."""
    ids = [f'r{number}' for number in range(requests)]
    runs = [
        dataclasses.replace(
            RUN, request_id=name, at_s=20 + 3 * number / requests, limit=2
        )
        for number, name in enumerate(ids)
    ]
    records = [dataclasses.replace(RECORD, request_id=name) for name in ids]
    disturbances = [(fault, 20.5, 21.5)] if fault else []
    found = find_exceeded_limits(records, runs, disturbances)
    rules = [text.split()[0] for text in found]
    expected = ['LIMIT'] if exceeded else []
    assert rules == expected


def test_every_kind_of_fault_is_drawn() -> None:
    """A seed gives the same plan again, and a long plan has all 26 kinds."""
    faults = draw_faults(1, 600, ['node-1', 'node-2'], ['plain-1'])
    assert faults == draw_faults(1, 600, ['node-1', 'node-2'], ['plain-1'])
    kinds = {(fault.group, fault.kind) for fault in faults}
    assert len(kinds) == 26
    assert len(faults) > 900
