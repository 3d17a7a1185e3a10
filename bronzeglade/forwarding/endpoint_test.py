"""Tests which endpoints get work as registrations change."""

from bronzeglade.builders import ManualClock
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.endpoint import Registry, connection_limit


def serving(registry: Registry) -> list[str]:
    """Return the names of the endpoints that accept work."""
    return [endpoint.name for endpoint in registry.serving(builders.SERVICE)]


def test_draining_endpoint_gets_no_work() -> None:
    """An endpoint that is shutting down gets no new requests."""
    registry = Registry(ManualClock())
    registry.update([builders.entry('e1'), builders.entry('e2')])
    registry.update(
        [builders.entry('e1', draining=True), builders.entry('e2')],
    )
    assert serving(registry) == ['e2']


def test_older_registration_does_not_bring_back_an_endpoint_that_leaves() -> (
    None
):
    """A delayed write to the store restores an older registration.

    Endpoints that had reported their shutdown got requests again.
    """
    leaving = builders.entry('e1', draining=True, started=1, sequence=7)
    older = builders.entry('e1', started=1, sequence=6)
    registry = Registry(ManualClock())
    for entries in ([older], [leaving], [older], [], [older]):
        registry.update(entries)
    assert not serving(registry)
    registry.update([builders.entry('e1', started=2)])
    assert serving(registry) == ['e1']


def test_unused_connections_of_an_endpoint_that_leaves_are_closed() -> None:
    """The endpoint waits for its connections to close before it exits."""
    registry = Registry(ManualClock())
    registry.update([builders.entry('e1')])
    pool = registry.endpoints['e1'].pool
    registry.update([builders.entry('e1', draining=True)])
    assert pool.draining


def test_restarted_endpoint_has_no_connections() -> None:
    """A new process under the same name has none of the connections."""
    registry = Registry(ManualClock())
    registry.update([builders.entry('e1', started=1)])
    before = registry.endpoints['e1'].pool
    removed = registry.update([builders.entry('e1', started=2)])
    assert removed == ['e1']
    assert registry.endpoints['e1'].pool is not before


def test_endpoint_with_a_reused_address_gets_no_work() -> None:
    """After a misdirected answer, no request is sent to the address."""
    registry = Registry(ManualClock())
    registry.update([builders.entry('e1'), builders.entry('e2')])
    registry.endpoints['e1'].address_reused = True
    registry.update([builders.entry('e1'), builders.entry('e2')])
    assert serving(registry) == ['e2']
    registry.update([builders.entry('e1', started=2), builders.entry('e2')])
    assert set(serving(registry)) == {'e1', 'e2'}


def test_nodes_share_the_connections_of_an_endpoint() -> None:
    """All nodes together stay within the limit of an endpoint."""
    for nodes in (1, 8, 79, 330):
        total = connection_limit(730, nodes) * nodes
        assert total <= 730
