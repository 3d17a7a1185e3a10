"""Guards the rules under faults: short seeded runs of the real processes."""

import dataclasses
from pathlib import Path

import pytest

from fleet import soak
from fleet.soak import TENANTS, Size
from fleet.soak_plan import draw
from fleet.soak_rules import (
    CHAT,
    ORDER,
    Asked,
    Ran,
    broken_rules,
    expected_body,
)

SECONDS = 8
# Each seed that failed once is kept here with its cause.
SEEDS = (1,)

RAN = Ran('r1', 'plain-1', '/order/x', 'r1', 'atlas', None)
ASKED = Asked(
    'r1',
    ORDER,
    'node-1',
    'key-1',
    sent_s=10,
    ended_s=10.1,
    deadline_s=1,
    status=200,
    answered_id='r1',
    signature='plain-1.7',
    body='done',
    whole=True,
    calm=True,
)


@pytest.mark.parametrize('seed', SEEDS)
def test_rules_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """Kills, freezes, cut links and a failing store must break no rule."""
    broken, told = soak.play(tmp_path, seed, SECONDS, Size())
    assert not broken, told


@pytest.mark.parametrize(
    ('changes', 'runs', 'rule'),
    [
        ({}, [RAN], ()),
        ({}, [RAN, dataclasses.replace(RAN, worker='plain-2')], ('TWICE',)),
        ({'status': 503}, [RAN], ('REFUSED',)),
        ({'status': 502}, [RAN], ()),
        ({'status': 503}, [], ()),
        (
            {'status': 502},
            [dataclasses.replace(RAN, request_id='r2')],
            ('UNASKED',),
        ),
        ({}, [dataclasses.replace(RAN, path='/read/x')], ('UNASKED',)),
        ({}, [dataclasses.replace(RAN, credential='key-1')], ('UNASKED',)),
        ({}, [dataclasses.replace(RAN, tenant='survey')], ('ROUTE',)),
        ({'key': 'no'}, [RAN], ('ROUTE',)),
        ({'answered_id': 'r2'}, [RAN], ('MIXED',)),
        ({'signature': 'plain-2.7'}, [RAN], ('MIXED',)),
        ({'body': 'don'}, [RAN], ('MIXED',)),
        ({'body': 'don', 'whole': False}, [RAN], ()),
        ({'ended_s': 15}, [RAN], ('HELD',)),
        ({'ended_s': 15, 'calm': False}, [RAN], ()),
    ],
)
def test_each_broken_rule_is_found(
    changes: dict[str, object], runs: list[Ran], rule: tuple[str, ...]
) -> None:
    """A soak that sees nothing would pass whatever the routers do."""
    asked = dataclasses.replace(ASKED, **changes)  # type: ignore[arg-type]
    found = broken_rules([asked], runs, TENANTS)
    assert {one.replace(':', ' ').split()[0] for one in found} == set(rule)


def test_stream_with_a_missing_event_is_found() -> None:
    """A stream that looks whole must hold every event once."""
    run = dataclasses.replace(RAN, path='/chat/x')
    whole = dataclasses.replace(ASKED, kind=CHAT, body=expected_body(CHAT))
    assert not broken_rules([whole], [run], TENANTS)
    missing = whole.body.replace('id: 3\ndata: piece 3\n\n', '')
    cut = dataclasses.replace(whole, body=missing)
    assert broken_rules([cut], [run], TENANTS)[0].startswith('ORDER')


def test_every_kind_of_fault_comes() -> None:
    """A plan without some faults proves too little."""
    faults = draw(1, 600, ['node-1', 'node-2'], ['plain-1'])
    assert faults == draw(1, 600, ['node-1', 'node-2'], ['plain-1'])
    kinds = {(one.group, one.kind) for one in faults}
    assert len(kinds) == 24
    assert len(faults) > 900
