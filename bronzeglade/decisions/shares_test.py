"""Tests the division of slots among nodes."""

from hypothesis import given
from hypothesis import strategies as st

from bronzeglade.decisions.shares import capacities

FLOORS = {0: 0.2, 1: 0.1, 2: 0.05}

demand = st.dictionaries(
    st.tuples(st.integers(0, 2), st.sampled_from(['a', 'b', 'c'])),
    st.floats(0, 500),
    max_size=6,
)


@given(
    st.integers(0, 200),
    st.dictionaries(st.sampled_from('nopqrst'), demand, min_size=1),
)
def test_shares_add_up_to_the_slots(
    slots: int, demands: dict[str, dict[tuple[int, str], float]]
) -> None:
    """Nodes that together take more slots than exist overload the engines."""
    shares = capacities(slots, demands, FLOORS, {'a': 4})
    minimum = min(slots, 1) * len(demands)
    assert sum(shares.values()) == max(slots, minimum)
    assert min(shares.values()) >= min(slots, 1)


def test_small_team_on_its_own_node_keeps_its_slots() -> None:
    """Division by demand alone would give all slots to a flood elsewhere."""
    demands = {'n1': {(1, 'large'): 900.0}, 'n2': {(1, 'small'): 8.0}}
    shares = capacities(100, demands, FLOORS, {'large': 4})
    assert shares['n2'] >= 8


def test_teams_share_by_weight() -> None:
    """Division by demand alone would give a flood the slots of others."""
    demands = {'n1': {(1, 'large'): 900.0}, 'n2': {(1, 'other'): 90.0}}
    shares = capacities(100, demands, FLOORS, {'large': 4})
    assert shares == {'n1': 80, 'n2': 20}


def test_floor_reaches_the_node_of_the_lower_rank() -> None:
    """A floor is useless unless the node with that demand gets the slots."""
    demands = {'n1': {(0, 'a'): 900.0}, 'n2': {(2, 'b'): 50.0}}
    assert capacities(100, demands, FLOORS, {})['n2'] >= 5


def test_each_node_serves_with_fewer_slots_than_nodes() -> None:
    """A node without a slot would refuse work while engines are idle."""
    demands = {f'n{number}': {(1, 'a'): 1.0} for number in range(6)}
    shares = capacities(2, demands, FLOORS, {})
    assert shares == dict.fromkeys(demands, 1)
