"""Tests the roles of nodes, derived from the registered nodes alone."""

import pytest
from result import Ok

from bronzeglade.adapters.table import Row
from bronzeglade.forwarding import builders, roster

LARGE = (*(f'a-{number}' for number in range(9)), 'b-1')


def test_registered_node_is_read_back() -> None:
    """A row without an address would make a node unreachable to others."""
    node = builders.node('a-1')
    row = Row('bronzeglade/node/a-1', 1, roster.encode(node))
    assert roster.decode(row) == Ok(node)


@pytest.mark.parametrize('body', [b'', b'\xff', b'[]', b'{"name": "a-1"}'])
def test_malformed_row_is_an_error(body: bytes) -> None:
    """One malformed row must not hide the nodes in the following rows."""
    assert roster.decode(Row('bronzeglade/node/a-1', 1, body)).is_err()


def test_small_failure_domain_follows_the_store_itself() -> None:
    """With few nodes, polling others saves no calls to the store."""
    names = ('a-1', 'a-2', 'a-3', 'b-1')
    rosters = [builders.roster(name, *names) for name in names]
    assert not any(member.watchers() for member in rosters)
    assert rosters[0].store_followers() == 4


def test_watchers_are_the_same_for_all_nodes_of_a_failure_domain() -> None:
    """If nodes chose different watchers, all would call the store."""
    polled = {name: builders.roster(name, *LARGE).watchers() for name in LARGE}
    assert not any(polled[name] for name in ('a-0', 'a-1', 'a-2', 'b-1'))
    expected = [builders.node(f'a-{number}').control for number in range(3)]
    assert all(polled[f'a-{number}'] == expected for number in range(3, 9))
    assert builders.roster('a-0', *LARGE).store_followers() == 4


def test_seeds_are_used_until_nodes_are_known() -> None:
    """A node must be able to start while the store is down."""
    known = builders.roster('a-1')
    known.seeds = (('seed', 1),)
    assert known.peers() == [('seed', 1)]
    known.nodes['a-2'] = builders.node('a-2')
    assert known.peers() == [builders.node('a-2').control]


def test_each_node_has_a_different_rank() -> None:
    """Two nodes of the same rank would advance a roll-out at once."""
    ranks = {builders.roster(name, *LARGE).rank() for name in LARGE}
    assert ranks == set(range(len(LARGE)))
