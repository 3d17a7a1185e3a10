"""Guards what a node believes of the load of others."""

import datetime as dt

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.shared_load import (
    Share,
    SharedLoads,
    SharedLoadSettings,
)


def test_sum_leaves_out_the_node_that_asks() -> None:
    """A node that counted its own requests twice would avoid its endpoints."""
    loads = SharedLoads(SharedLoadSettings(), ManualClock())
    loads.tell('n1', {'e1': Share(2, 100)})
    loads.tell('n2', {'e1': Share(1, 50), 'e2': Share(4, 0)})
    assert loads.total('n1') == {'e1': Share(1, 50), 'e2': Share(4, 0)}
    assert loads.total() == {'e1': Share(3, 150), 'e2': Share(4, 0)}


def test_load_of_a_node_that_is_gone_is_forgotten() -> None:
    """The requests of a killed node must not count for ever."""
    clock = ManualClock()
    loads = SharedLoads(SharedLoadSettings(), clock)
    loads.tell('killed', {'e1': Share(9, 9000)})
    clock.advance(dt.timedelta(seconds=1))
    loads.tell('alive', {'e1': Share(1, 10)})
    clock.advance(dt.timedelta(seconds=1))
    assert loads.total() == {'e1': Share(1, 10)}
    assert loads.sources() == ['alive']
