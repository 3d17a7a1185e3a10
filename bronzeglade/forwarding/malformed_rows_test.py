"""Guards that malformed rows of the router table affect no other row."""

import dataclasses
import datetime as dt
import json
from typing import Any

from hypothesis import given
from result import Ok

from bronzeglade import malformed
from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock
from bronzeglade.coordination import rollout_plan
from bronzeglade.coordination.rollout_plan import Order, Plan
from bronzeglade.forwarding import builders

ORDER = Order(builders.SERVICE, 'v2', dt.timedelta(seconds=60), 2)
KEY = rollout_plan.PLAN_PREFIX + builders.SERVICE
PLAN = json.loads(
    rollout_plan.encode(
        dataclasses.replace(
            rollout_plan.first_plan(ORDER, builders.SECOND, None),
            withdrawn=('v0',),
            writer='node-1',
        )
    )
)


def use(plan: Plan) -> None:
    """Carry out a plan, with that of another service behind it."""
    clock = ManualClock()
    rollouts = builders.rollouts(clock)
    orders = {
        'orders/rollout/z': Row('orders/rollout/z', 1, b'z v2 60'),
        'orders/rollout/s': Row(
            'orders/rollout/s', 2, f'{builders.SERVICE} v2 60'.encode()
        ),
    }
    rollouts.operator_rows.replace(Snapshot(2, orders))
    rows = {KEY: Row(KEY, 2, rollout_plan.encode(plan))}
    rollouts.router_rows.replace(Snapshot(2, rows, builders.SECOND))
    rollouts.refresh()
    assert rollouts.plans[builders.SERVICE] == plan
    for _ in range(4):
        rollouts.tick()
        clock.advance(builders.SECOND)
    assert (
        'bronzeglade/rollout/z'
        in rollouts.table.read(['bronzeglade/rollout/z']).unwrap()
    )
    assert 0 <= plan.share_at(clock.monotonic()) <= 1
    assert json.dumps([plan.withdrawn, plan.reason, plan.writer])


def test_plan_with_one_malformed_value() -> None:
    """A text as the share failed each request of the service."""
    used = 0
    for body in malformed.json_variants(PLAN):
        outcome = rollout_plan.decode(Row(KEY, 1, body))
        if isinstance(outcome, Ok):
            use(outcome.ok_value)
            used += 1
        else:
            assert len(outcome.err_value) < 400
    assert used


@given(malformed.json_like(PLAN))
def test_plan_with_generated_values(body: bytes) -> None:
    """No combination of values may decode to an unusable plan."""
    outcome = rollout_plan.decode(Row(KEY, 1, body))
    if isinstance(outcome, Ok):
        use(outcome.ok_value)


def test_plan_under_the_key_of_another_service() -> None:
    """Such a row replaced the plan of a service that it does not belong to."""
    body = json.dumps(PLAN).encode()
    row = Row(f'{rollout_plan.PLAN_PREFIX}other', 1, body)
    assert rollout_plan.decode(row).is_err()
    assert rollout_plan.decode(Row(KEY, 1, body)).is_ok()


def test_unreadable_row_is_logged_once() -> None:
    """Each change of any row logged all unreadable plans again."""
    rollouts = builders.rollouts(ManualClock())
    plan = Row(KEY, 1, b'{}')
    rollouts.router_rows.replace(Snapshot(1, {plan.key: plan}))
    for _ in range(3):
        rollouts.refresh()
    events = [json.loads(line)['event'] for line in rollouts.log.lines]
    assert events == ['unreadable_plan']


def test_roll_out_that_cannot_advance_does_not_stop_the_others() -> None:
    """An exception at one service ended the step for those behind it."""
    clock = ManualClock()
    rollouts = builders.rollouts(clock)
    orders = {
        f'orders/rollout/{name}': Row(
            f'orders/rollout/{name}', number, f'{name} v2 60'.encode()
        )
        for number, name in enumerate(('a', 'b'), 1)
    }
    rollouts.operator_rows.replace(Snapshot(2, orders))
    rollouts.router_rows.replace(Snapshot(2, {}, builders.SECOND))
    rollouts.refresh()
    no_text: Any = None
    odd = rollouts.running['a']
    odd.order = dataclasses.replace(odd.order, service=no_text)
    for _ in range(4):
        rollouts.tick()
        clock.advance(builders.SECOND)
    rows = rollouts.table.scan('bronzeglade/rollout/', 9).unwrap()
    assert 'bronzeglade/rollout/b' in [row.key for row in rows]
