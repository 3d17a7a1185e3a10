"""Tests that roll-outs go on when the store has lost their last steps."""

import dataclasses

import pytest

from bronzeglade.adapters.feed import Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.coordination import rollout_plan
from bronzeglade.coordination.rollout_plan import Plan, Stage
from bronzeglade.coordination.table_mirror import RESTORING_TIME
from bronzeglade.decisions.evidence import Observation
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.builders import SERVICE
from bronzeglade.forwarding.service_rollouts import EVIDENCE_TABLE
from bronzeglade.forwarding.service_rollouts_test import (
    DURATION_S,
    ORDER,
    Fleet,
    versions,
)

PLAN_KEY = 'bronzeglade/rollout/workers'
STATUS_KEY = 'status/workers'
NODES = 3


class RestoredFleet(Fleet):
    """Nodes whose store may return to the rows that it had before."""

    def __init__(self) -> None:
        """Start with a roll-out under way."""
        super().__init__(NODES)
        self.order()
        self.run(DURATION_S / 4)
        self.backup = dict(self.memory.rows)

    def restore(
        self, rows: dict[str, Row] | None = None, order: Row = ORDER
    ) -> None:
        """Return to a backup, and let all nodes read it in a new era."""
        order = dataclasses.replace(order, version=2)
        self.memory.rows = dict(self.backup if rows is None else rows)
        for node in self.nodes:
            node.operator_rows.replace(
                Snapshot(3, {order.key: order}, era=node.operator_rows.era + 1)
            )
        self.share()

    def share(self, *_nodes: object) -> None:
        """Deliver the rows of the store to all nodes, in the newest era."""
        found = self.memory.scan('bronzeglade/', 100).unwrap()
        rows = {row.key: row for row in found}
        for node in self.nodes:
            era = node.operator_rows.era
            version = 1 + max((row.version for row in found), default=0)
            if era == node.router_rows.era:
                version = node.router_rows.as_of + 1
            node.router_rows.replace(Snapshot(version, rows, era=era))
            node.refresh()

    def repeat_order(self, order: Row) -> None:
        """Let the operator write an order again."""
        for node in self.nodes:
            rows = node.operator_rows
            row = dataclasses.replace(order, version=rows.as_of + 1)
            rows.replace(Snapshot(row.version, {row.key: row}, era=rows.era))
            node.refresh()

    def stored_plan(self) -> Plan:
        """Return the plan in the store."""
        return rollout_plan.decode(self.memory.rows[PLAN_KEY]).unwrap()

    def stages(self) -> set[Stage]:
        """Return the stages of the plans that nodes follow."""
        return {node.plans[SERVICE].stage for node in self.nodes}


def ended_fleet(stage: Stage) -> RestoredFleet:
    """Return nodes whose roll-out has ended."""
    fleet = RestoredFleet()
    if stage is Stage.ROLLED_BACK:
        fleet.report_failures_of_target()
    fleet.run(DURATION_S)
    assert fleet.stages() == {stage}
    return fleet


# Without it, a bad version got requests again, or a good one was shut out while
# the endpoints of the other version had ended.
@pytest.mark.parametrize('stage', [Stage.COMPLETED, Stage.ROLLED_BACK])
@pytest.mark.parametrize('has_plan', [True, False])
def test_ended_rollout_does_not_go_on(stage: Stage, has_plan: bool) -> None:
    """The end is kept, and written again with the status."""
    fleet = ended_fleet(stage)
    fleet.restore(fleet.backup if has_plan else {})
    assert fleet.stages() == {stage}
    expected = {'v2'} if stage is Stage.COMPLETED else {'v1'}
    assert all(set(versions(node)) == expected for node in fleet.nodes)
    fleet.run(1)
    assert fleet.stored_plan().stage is stage
    assert fleet.memory.rows[STATUS_KEY].body == stage.value.encode()
    assert not any(node.lost_plans for node in fleet.nodes)
    assert not any(node.running for node in fleet.nodes)


def test_other_nodes_write_for_a_writer_that_ended() -> None:
    """The status must be right although the writer is gone."""
    fleet = ended_fleet(Stage.COMPLETED)
    writer = fleet.stored_plan().writer
    acting = [
        number
        for number, node in enumerate(fleet.nodes)
        if node.roster.local_node.name != writer
    ]
    fleet.restore()
    fleet.run(3, *acting)
    assert fleet.stored_plan().stage is Stage.COMPLETED
    assert fleet.stored_plan().writer != writer


def test_running_rollout_keeps_its_share() -> None:
    """A lost step is written again, and the roll-out ends in time."""
    fleet = RestoredFleet()
    share = fleet.stored_plan().share
    while fleet.stored_plan().share == share:
        fleet.run(1)
    share = fleet.stored_plan().share
    fleet.restore()
    assert {node.plans[SERVICE].share for node in fleet.nodes} == {share}
    fleet.run(1)
    assert fleet.stored_plan().share >= share
    fleet.run(DURATION_S)
    assert fleet.stages() == {Stage.COMPLETED}


def test_repeated_order_is_the_same() -> None:
    """The operator writes its order again, with another version."""
    fleet = ended_fleet(Stage.COMPLETED)
    fleet.restore()
    fleet.repeat_order(ORDER)
    fleet.run(DURATION_S)
    assert fleet.stages() == {Stage.COMPLETED}
    assert not any(node.running for node in fleet.nodes)


def test_order_before_the_lost_one_is_not_followed() -> None:
    """The backup may have an order that had ended long before."""
    fleet = ended_fleet(Stage.COMPLETED)
    earlier = Row(ORDER.key, 0, f'workers v1 {DURATION_S}'.encode())
    fleet.restore(order=earlier)
    fleet.run(1)
    assert all(node.orders[SERVICE].target == 'v2' for node in fleet.nodes)
    fleet.repeat_order(ORDER)
    fleet.run(RESTORING_TIME.total_seconds() + 1)
    assert all(node.orders[SERVICE].target == 'v2' for node in fleet.nodes)
    assert fleet.stages() == {Stage.COMPLETED}


def test_new_order_after_the_restoration() -> None:
    """Another order is carried out, whatever version it has."""
    fleet = ended_fleet(Stage.COMPLETED)
    fleet.restore()
    later = Row(ORDER.key, 0, f'workers v3 {DURATION_S}'.encode())
    fleet.repeat_order(later)
    fleet.run(DURATION_S * 2)
    assert fleet.stored_plan().target == 'v3'
    assert fleet.stages() == {Stage.COMPLETED}


def test_restarted_node_carries_on() -> None:
    """A node that knows no earlier era takes the plan for its order's."""
    fleet = RestoredFleet()
    fleet.restore()
    fleet.repeat_order(ORDER)
    started = builders.rollouts(fleet.clock, fleet.memory)
    fleet.nodes.append(started)
    started.operator_rows.replace(
        Snapshot(9, {ORDER.key: dataclasses.replace(ORDER, version=9)}, era=1)
    )
    fleet.share()
    number = fleet.nodes[0].orders[SERVICE].number
    assert started.orders[SERVICE].number == number
    assert started.running[SERVICE].order.number == number
    fleet.run(DURATION_S)
    assert fleet.stages() == {Stage.COMPLETED}


def test_evidence_is_written_again() -> None:
    """Lost evidence against a version would keep its share rising."""
    fleet = RestoredFleet()
    node = fleet.nodes[-1]
    node.observe(SERVICE, 'v2', Observation())
    fleet.run(8)
    written = [key for key in fleet.memory.rows if EVIDENCE_TABLE in key]
    assert written
    rollouts = [other.running[SERVICE] for other in fleet.nodes]
    assert any(rollout.decoded for rollout in rollouts)
    fleet.restore(
        {
            key: row
            for key, row in fleet.memory.rows.items()
            if key not in written
        }
    )
    assert not any(rollout.decoded for rollout in rollouts)
    fleet.run(8)
    assert set(written) <= fleet.memory.rows.keys()
