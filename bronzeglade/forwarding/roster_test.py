"""Guards whom a node asks and tells, from the registered nodes alone."""

import pytest
from result import Ok

from bronzeglade.forwarding import builders, roster

LARGE = (*(f'a-{number}' for number in range(9)), 'b-1')


def test_registered_node_is_read_back() -> None:
    """A row that loses an address would hide a node from its neighbours."""
    node = builders.node('a-1')
    assert roster.decode(roster.encode(node)) == Ok(node)


@pytest.mark.parametrize('body', [b'', b'\xff', b'[]', b'{"name": "a-1"}'])
def test_unreadable_row_names_no_node(body: bytes) -> None:
    """One bad row must not hide the nodes behind it."""
    assert roster.decode(body).is_err()


def test_small_failure_domain_follows_the_store_itself() -> None:
    """With few nodes nothing is saved by asking others."""
    names = ('a-1', 'a-2', 'a-3', 'b-1')
    known = [builders.roster(name, *names) for name in names]
    assert not any(one.watchers() for one in known)
    assert known[0].store_followers() == 4


def test_watchers_are_the_same_for_all_nodes_of_a_failure_domain() -> None:
    """Nodes that chose different watchers would all call the store."""
    asked = {name: builders.roster(name, *LARGE).watchers() for name in LARGE}
    assert not any(asked[name] for name in ('a-0', 'a-1', 'a-2', 'b-1'))
    expected = [('a-0', 1), ('a-1', 1), ('a-2', 1)]
    assert all(asked[f'a-{number}'] == expected for number in range(3, 9))
    assert builders.roster('a-0', *LARGE).store_followers() == 4


def test_seeds_are_asked_until_nodes_are_known() -> None:
    """A start while the store is down must not end the service."""
    known = builders.roster('a-1')
    known.seeds = (('seed', 1),)
    assert known.peers() == [('seed', 1)]
    known.nodes['a-2'] = builders.node('a-2')
    assert known.peers() == [('a-2', 1)]


def test_each_node_has_another_rank() -> None:
    """Two nodes of one rank would move a roll-out at the same time."""
    ranks = {builders.roster(name, *LARGE).rank() for name in LARGE}
    assert ranks == set(range(len(LARGE)))
