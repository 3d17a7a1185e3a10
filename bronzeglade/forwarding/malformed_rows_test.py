"""Guards that malformed rows of the router table affect no other row."""

import dataclasses
import datetime as dt
import json
import random
import socket
from typing import Any

from hypothesis import given
from result import Ok

from bronzeglade import malformed
from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.builders import ManualClock
from bronzeglade.coordination import rollout_plan
from bronzeglade.coordination.liveness import (
    ExpectedNode,
    FailureDetector,
    FailureDetectorSettings,
)
from bronzeglade.coordination.rollout_plan import Order, Plan
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.departures import Incarnation
from bronzeglade.forwarding.exchange_message import Departure
from bronzeglade.forwarding.load_exchange import LoadExchange
from bronzeglade.forwarding.roster import (
    NODE_PREFIX,
    RouterNode,
    addresses_for,
    decode,
    encode,
)

ORDER = Order(builders.SERVICE, 'v2', dt.timedelta(seconds=60), 2)
NODE = builders.node('a-2')
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
    events = [json.loads(line.text)['event'] for line in rollouts.log.lines]
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


def meet(node: RouterNode) -> None:
    """Send loads, announce a departure and list addresses, with a node."""
    clock = ManualClock()
    known = builders.roster('a-1', 'b-1')
    known.nodes[node.name] = node
    placement = builders.router().placement
    rng = random.Random(1)
    exchange = LoadExchange(known, placement, clock, builders.log(), rng)
    exchange.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    departure = Departure('a-1', Incarnation('e', 1, ('10.0.0.1', 1)))
    exchange._send(node, departure)
    exchange.sock.close()
    assert known.count() == 3
    known.peers()
    addresses_for(known.nodes.values(), 'a', 'r', {'a': 'r'})
    detector = FailureDetector(FailureDetectorSettings(), clock)
    detector.suspects({node.name: ExpectedNode(0, node.rejoins)})
    assert json.dumps(sorted(known.nodes))


def test_node_with_one_malformed_value() -> None:
    """A port of 65536 stopped the exchange of loads with all nodes."""
    used = 0
    key = NODE_PREFIX + NODE.name
    for body in malformed.json_variants(json.loads(encode(NODE))):
        outcome = decode(Row(key, 1, body))
        if isinstance(outcome, Ok):
            meet(outcome.ok_value)
            used += 1
        else:
            assert len(outcome.err_value) < 400
    assert used


def test_node_under_the_key_of_another_one() -> None:
    """Such a row replaced the registration of a running node."""
    body = encode(NODE)
    assert decode(Row(f'{NODE_PREFIX}a-3', 1, body)).is_err()
    assert decode(Row(NODE_PREFIX + NODE.name, 1, body)) == Ok(NODE)
