"""Guards which endpoints get work while entries come, lapse and return."""

from bronzeglade.builders import ManualClock
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.endpoint import Registry, connection_limit


def serving(registry: Registry) -> list[str]:
    """Return the names of the endpoints that take work."""
    return [one.name for one in registry.serving(builders.SERVICE)]


def test_draining_endpoint_gets_no_work() -> None:
    """An endpoint that leaves must not get new requests."""
    registry = Registry(ManualClock())
    registry.update([builders.entry('e1'), builders.entry('e2')])
    registry.update(
        [builders.entry('e1', draining=True), builders.entry('e2')],
    )
    assert serving(registry) == ['e2']


def test_endpoint_that_started_anew_forgets_its_connections() -> None:
    """A new process under an old id has none of the old connections."""
    registry = Registry(ManualClock())
    registry.update([builders.entry('e1', started=1)])
    before = registry.endpoints['e1'].pool
    ended = registry.update([builders.entry('e1', started=2)])
    assert ended == ['e1']
    assert registry.endpoints['e1'].pool is not before


def test_endpoint_whose_address_another_one_has_gets_no_work() -> None:
    """A request that is misdirected once must not be sent there again."""
    registry = Registry(ManualClock())
    registry.update([builders.entry('e1'), builders.entry('e2')])
    registry.endpoints['e1'].elsewhere = True
    registry.update([builders.entry('e1'), builders.entry('e2')])
    assert serving(registry) == ['e2']
    registry.update([builders.entry('e1', started=2), builders.entry('e2')])
    assert set(serving(registry)) == {'e1', 'e2'}


def test_nodes_share_the_connections_of_an_endpoint() -> None:
    """All nodes together must stay below what an endpoint accepts."""
    for nodes in (1, 8, 79, 330):
        total = connection_limit(730, nodes) * nodes
        assert total <= 730
