"""Guards the detection of dead nodes, and only of those."""

import datetime as dt

import pytest

from bronzeglade.coordination.simulation import SimulatedNode, Simulation

SECOND = dt.timedelta(seconds=1)


@pytest.fixture(name='simulation')
def started_simulation() -> Simulation:
    """Run eight nodes until they know each other."""
    simulation = Simulation(8)
    simulation.run(SECOND * 5)
    return simulation


def split(simulation: Simulation) -> tuple[SimulatedNode, list[SimulatedNode]]:
    """Return one node and the others."""
    nodes = list(simulation.nodes.values())
    return nodes[0], nodes[1:]


def test_short_pause_is_not_taken_for_death(simulation: Simulation) -> None:
    """A slow node that is dropped loses its requests and its documents."""
    paused, others = split(simulation)
    for _pause in range(3):
        paused.paused = True
        simulation.run(SECOND * 5)
        paused.paused = False
        simulation.run(SECOND * 10)
    assert not any(node.taken_for_dead() for node in (paused, *others))
    assert all(len(node.membership.usable()) == 7 for node in others)


def test_node_returns_after_a_long_pause(simulation: Simulation) -> None:
    """A node that was taken for dead must not stay out of use."""
    paused, others = split(simulation)
    incarnation = paused.membership.myself.incarnation
    paused.paused = True
    simulation.run(SECOND * 30)
    assert all(node.taken_for_dead() == {paused.address} for node in others)
    paused.paused = False
    simulation.run(SECOND * 15)
    assert paused.membership.myself.incarnation > incarnation
    assert all(len(node.membership.usable()) == 7 for node in others)


def test_dead_node_disappears_after_the_suspicion_period(
    simulation: Simulation,
) -> None:
    """Callers that are sent to a dead node wait for a time limit."""
    dead, others = split(simulation)
    period = others[0].membership.suspicion()
    simulation.nodes.pop(dead.address)
    # One round of probes finds it; the facts take a few intervals more.
    simulation.run(period + SECOND * 10)
    assert all(node.taken_for_dead() == {dead.address} for node in others)


def test_leaving_node_is_out_of_use_at_once(simulation: Simulation) -> None:
    """Callers must not be sent to a node that is about to stop."""
    leaving, others = split(simulation)
    leaving.heartbeats.leave()
    simulation.run(SECOND / 10)
    assert all(len(node.membership.usable()) == 6 for node in others)
    # A late message from before must not bring it back.
    simulation.run(SECOND * 5)
    assert all(len(node.membership.usable()) == 6 for node in others)


def test_restarted_process_replaces_its_predecessor(
    simulation: Simulation,
) -> None:
    """The documents of the earlier process would count twice."""
    simulation.nodes.pop(split(simulation)[0].address)
    started = simulation.start(0)
    simulation.run(SECOND * 10)
    for node in simulation.nodes.values():
        members = {one.address: one for one in node.membership.usable()}
        members[node.address] = node.membership.myself
        assert members[started.address].origin == started.gossip.origin
