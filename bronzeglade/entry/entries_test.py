"""Tests the list of entry addresses, the refusal of requests and drain."""

import datetime as dt
from typing import Any

import pytest
from eventlet.event import Event
from result import Err

from bronzeglade.builders import ManualClock, entry_settings, manifest_text
from bronzeglade.catalog import Configuration, digest_of
from bronzeglade.coordination.datagram import Member, MemberState
from bronzeglade.coordination.head import Published
from bronzeglade.entry import access, entries, process
from bronzeglade.entry.heartbeats import new_member
from bronzeglade.entry.http import Request
from bronzeglade.entry.node import Node

SECOND = dt.timedelta(seconds=1)


@pytest.fixture(name='node')
def node_with_manual_clock(monkeypatch: pytest.MonkeyPatch) -> Node:
    """Return a node in failure domain `a` with a manual clock."""
    monkeypatch.setattr('bronzeglade.entry.node.SystemClock', ManualClock)
    return Node(entry_settings())


def add_peer(node: Node, index: int, **changes: Any) -> Member:
    """Merge a peer, identified by its index, into the membership of a node."""
    settings = entry_settings(index)
    member = new_member(settings, f'origin-{index}', node.clock.now())
    fields = {name: getattr(member, name) for name in Member.__slots__}
    member = Member(**{**fields, **changes})
    node.membership.merge(member)
    return member


def addresses(node: Node, failure_domain: str | None = None) -> list[str]:
    """Return the addresses in the order that a caller receives."""
    return [entry.address for entry in entries.ordered(node, failure_domain)]


def test_leaving_dead_and_long_suspect_nodes_are_excluded(node: Node) -> None:
    """Callers that cache the list must not call unavailable nodes."""
    add_peer(node, 1, leaving=True)
    add_peer(node, 2, state=MemberState.SUSPECT)
    alive = add_peer(node, 3)
    add_peer(node, 4)
    add_peer(node, 4, state=MemberState.DEAD)
    suspected = entry_settings(2)
    suspect = f'{suspected.host}:{suspected.port}'
    own_address = node.membership.local_member.caller_address
    assert set(addresses(node)) == {own_address, alive.caller_address, suspect}
    node.clock.sleep(node.membership.suspicion_timeout() / 2)
    assert set(addresses(node)) == {own_address, alive.caller_address}
    node.draining = True
    assert addresses(node) == [alive.caller_address]


def test_nearest_domain_comes_first_and_callers_spread(node: Node) -> None:
    """A node that is first in every list would be overloaded."""
    members = [add_peer(node, index) for index in range(1, 10)]
    nearest = {
        member.caller_address
        for member in members
        if member.failure_domain == 'b'
    }
    first_addresses = set()
    for _caller in range(100):
        listed = addresses(node, 'b')
        assert set(listed[: len(nearest)]) == nearest
        first_addresses.add(listed[0])
    assert first_addresses == nearest


def test_requests_are_refused_once_the_configuration_expires(
    node: Node,
) -> None:
    """An unconfirmed manifest may still list a version that was withdrawn."""
    text = manifest_text()
    configuration = Configuration(1, digest_of(text), text)
    request = Request('GET', '/', '', {}, 'r1')
    node.adopt(Published(configuration, 'id', 'operator'))
    node.clock.sleep(SECOND * 61)
    assert node.publication.candidates_suspended()
    assert access.identify(node, request).unwrap_err().status == 401
    node.clock.sleep(node.settings.staleness_limit)
    outcome = access.identify(node, request)
    assert isinstance(outcome, Err)
    assert outcome.err_value.code == 'stale_configuration'
    assert outcome.err_value.retry_after is not None


def test_drain_serves_then_refuses_then_hands_over(node: Node) -> None:
    """Requests in flight when the node starts to refuse must be finished."""
    events: list[Any] = []
    node.draining = True
    node.open_requests = 1

    def sleep(duration: dt.timedelta) -> None:
        events.append((duration, node.refuses_requests))
        if len(events) == 4:
            node.open_requests = 0

    def fail() -> None:
        raise ValueError('one action fails')

    node.clock.sleep = sleep  # type: ignore[method-assign]
    node.on_drain.extend([fail, lambda: events.append('handed over')])
    stopped = Event()
    process.drain(node, stopped)
    assert stopped.ready()
    assert events[0] == (node.settings.entries_max_age, False)
    assert set(events[1:4]) == {(process.DRAIN_POLL_INTERVAL, True)}
    assert events[4:] == ['handed over']


def test_commit_without_other_holders_is_not_accepted(node: Node) -> None:
    """Otherwise the loss of a failure domain could lose the change."""
    text = manifest_text()
    configuration = Configuration(1, digest_of(text), text)
    node.adopt(Published(configuration, 'id', 'operator'))
    assert not node.distribution.wait_accepted(1)
    document = node.distribution.handle_pull({})
    other = Node(entry_settings(1))
    assert other.distribution.handle_push(document) == {'generation': 1}
    sender = other.membership.local_member
    node.publication.receive_heartbeat(sender, other.publication.heartbeat())
    assert node.distribution.wait_accepted(1)
