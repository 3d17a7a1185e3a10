"""Tests that dead nodes are detected and live ones are not declared dead."""

import datetime as dt

import pytest

from bronzeglade.coordination.simulation import SimulatedNode, Simulation

SECOND = dt.timedelta(seconds=1)


@pytest.fixture(name='simulation')
def started_simulation() -> Simulation:
    """Return eight nodes that know each other."""
    simulation = Simulation(8)
    simulation.run(SECOND * 5)
    return simulation


def split(simulation: Simulation) -> tuple[SimulatedNode, list[SimulatedNode]]:
    """Return the first node and the others."""
    nodes = list(simulation.nodes.values())
    return nodes[0], nodes[1:]


def test_short_pause_does_not_make_node_dead(simulation: Simulation) -> None:
    """Declaring a slow node dead would lose its requests and documents."""
    paused, others = split(simulation)
    for _pause in range(3):
        paused.paused = True
        simulation.run(SECOND * 5)
        assert not any(node.dead_addresses() for node in others)
        paused.paused = False
        simulation.run(SECOND * 10)
    assert not any(node.dead_addresses() for node in (paused, *others))
    assert all(len(node.membership.usable()) == 7 for node in others)


def test_node_returns_after_a_long_pause(simulation: Simulation) -> None:
    """A node that was declared dead must become usable again."""
    paused, others = split(simulation)
    incarnation = paused.membership.local_member.incarnation
    paused.paused = True
    simulation.run(SECOND * 30)
    assert all(node.dead_addresses() == {paused.address} for node in others)
    paused.paused = False
    simulation.run(SECOND * 15)
    assert paused.membership.local_member.incarnation > incarnation
    assert all(len(node.membership.usable()) == 7 for node in others)


def test_dead_node_disappears_after_the_suspicion_period(
    simulation: Simulation,
) -> None:
    """Callers must not be sent to a dead node for longer than this."""
    dead, others = split(simulation)
    period = others[0].membership.suspicion_timeout()
    simulation.nodes.pop(dead.address)
    # The extra time covers one round of probes and the spreading of updates.
    simulation.run(period + SECOND * 10)
    assert all(node.dead_addresses() == {dead.address} for node in others)


def test_leaving_node_is_excluded_at_once(simulation: Simulation) -> None:
    """Callers must not be sent to a node that is shutting down."""
    leaving, others = split(simulation)
    leaving.heartbeats.leave()
    simulation.run(SECOND / 10)
    assert all(len(node.membership.usable()) == 6 for node in others)
    # A delayed earlier message must not make it usable again.
    simulation.run(SECOND * 5)
    assert all(len(node.membership.usable()) == 6 for node in others)


def test_restarted_process_replaces_its_predecessor(
    simulation: Simulation,
) -> None:
    """Documents of the earlier process must not be counted any more."""
    simulation.nodes.pop(split(simulation)[0].address)
    started = simulation.start(0)
    simulation.run(SECOND * 10)
    for node in simulation.nodes.values():
        members = {
            member.address: member for member in node.membership.usable()
        }
        members[node.address] = node.membership.local_member
        assert members[started.address].origin == started.gossip.origin
