"""Guards that every roll-out order that decodes can be carried out."""

import json

import pytest
from result import Ok

from bronzeglade import malformed
from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock
from bronzeglade.coordination.rollout_plan import Order
from bronzeglade.forwarding import builders
from bronzeglade.platform import documents
from bronzeglade.platform.malformed_documents_test import ORDER


def follow(order: Order) -> None:
    """Let a node carry out an order, with another order behind it."""
    clock = ManualClock()
    rollouts = builders.rollouts(clock)
    second = Row('orders/rollout/z', 1, b'z v2 60')
    rollouts.operator_rows.replace(Snapshot(1, {second.key: second}))
    rollouts.router_rows.replace(Snapshot(1, {}, builders.SECOND))
    rollouts._apply_order(order)
    rollouts.refresh()
    for version in range(2, 12):
        rollouts.tick()
        rows = rollouts.table.scan('bronzeglade/rollout/', 9).unwrap()
        snapshot = Snapshot(
            version, {row.key: row for row in rows}, clock.monotonic()
        )
        rollouts.router_rows.replace(snapshot)
        rollouts.refresh()
        clock.advance(builders.SECOND)
    assert 'z' in rollouts.plans
    assert order.service in rollouts.plans


def test_order_with_one_malformed_value() -> None:
    """An order without a duration stopped the roll-outs of all services."""
    used = 0
    for body in malformed.json_variants(ORDER):
        outcome = documents.read_order(Row('op/rollout/huvo', 3, body))
        if isinstance(outcome, Ok):
            follow(outcome.ok_value)
            used += 1
    assert used


@pytest.mark.parametrize('seconds', [0, 1e-300, 4e-7])
def test_order_without_a_duration(seconds: float) -> None:
    """A duration that rounds to zero has no fraction that has elapsed."""
    body = json.dumps({**ORDER, 'duration-s': seconds}).encode()
    outcome = documents.read_order(Row('op/rollout/huvo', 3, body))
    assert outcome.is_err()
