"""Loading of candidates: fencing and the limit of concurrent loads."""

import datetime as dt
from collections.abc import Callable

from result import Ok, Result

from bronzeglade import builders
from bronzeglade.adapters.orders import (
    ORDER_TIMEOUT,
    LoadedVersions,
    Order,
    OrderError,
)
from bronzeglade.adapters.table import Check
from bronzeglade.coordination.lease import Tenure
from bronzeglade.entry.loading import MAX_LOADS, CandidateLoader
from bronzeglade.entry.workers import Worker

ROLLOUT = builders.rollout()
NAME = 'm@v2'


class FakeOrders:
    """Engines in memory that record and apply their orders."""

    def __init__(self) -> None:
        self.held: dict[str, frozenset[str]] = {}
        self.sent: list[tuple[str, Order]] = []
        self.on_read: Callable[[], None] | None = None

    def send(self, address: str, order: Order) -> Result[None, OrderError]:
        self.sent.append((address, order))
        self.held[address] = frozenset((f'{order.model}@{order.version}',))
        return Ok(None)

    def read(self, address: str) -> Result[LoadedVersions, str]:
        if self.on_read is not None:
            self.on_read()
        return Ok(LoadedVersions(self.held.get(address, frozenset())))


class Leader:
    """Leadership set by the test."""

    token: int | None = 1

    def held(self) -> Tenure | None:
        if self.token is None:
            return None
        return Tenure(self.token, Check('lease', 1), dt.timedelta(days=1))


def workers(count: int) -> list[Worker]:
    """Return engines of one group."""
    return [
        Worker(
            vm=f'vm-{index}',
            address=f'10.0.0.{index}:80',
            failure_domain='d',
            group='g',
            slots=8,
            resumes_streams=True,
            model='m',
            versions=('v1', 'v2'),
        )
        for index in range(count)
    ]


def test_concurrent_loads_are_limited() -> None:
    """Concurrent loads slow each other: the weight store is rate-limited."""
    orders, clock = FakeOrders(), builders.ManualClock()
    spawned: list[object] = []
    loading = CandidateLoader(orders, Leader(), clock, spawned.append)
    engines = workers(5)
    assert not loading.advance(ROLLOUT, engines, lambda _group: True)
    assert not loading.advance(ROLLOUT, engines, lambda _group: True)
    assert len(spawned) == MAX_LOADS
    loading = CandidateLoader(orders, Leader(), clock, lambda action: action())
    assert not loading.advance(ROLLOUT, engines, lambda _group: True)
    assert loading.advance(ROLLOUT, engines, lambda _group: True)
    assert {order.fencing_token for _address, order in orders.sent} == {1}


def test_new_holder_waits_if_engines_ignore_fencing_tokens() -> None:
    """An order of the previous holder may still change an engine."""
    orders, clock = FakeOrders(), builders.ManualClock()
    leader = Leader()
    loading = CandidateLoader(orders, leader, clock, lambda action: action())
    engines = workers(1)
    assert not loading.advance(ROLLOUT, engines, lambda _group: False)
    assert not orders.sent
    clock.advance(ORDER_TIMEOUT)
    assert not loading.advance(ROLLOUT, engines, lambda _group: False)
    assert loading.advance(ROLLOUT, engines, lambda _group: False)
    orders.held.clear()
    assert not loading.advance(ROLLOUT, engines, lambda _group: False)
    assert len(orders.sent) == 2
    leader.token = 2
    assert not loading.advance(ROLLOUT, engines, lambda _group: False)


def test_no_order_without_the_lease() -> None:
    """A node that has lost the lease must not send orders."""
    orders, leader = FakeOrders(), Leader()
    leader.token = None
    loading = CandidateLoader(
        orders, leader, builders.ManualClock(), lambda action: action()
    )
    assert not loading.advance(ROLLOUT, workers(1), lambda _group: True)
    assert not orders.sent
    leader.token = 1
    orders.on_read = lambda: setattr(leader, 'token', None)
    assert not loading.advance(ROLLOUT, workers(1), lambda _group: True)
    assert not orders.sent
