"""Loading of a candidate on the engines of its groups before a step."""

import datetime as dt
from collections.abc import Callable, Iterable
from typing import Protocol

from result import Err

from bronzeglade.adapters.orders import (
    ORDER_TIMEOUT,
    LoadedVersions,
    Order,
    Orders,
)
from bronzeglade.clock import Clock
from bronzeglade.coordination.lease import Tenure
from bronzeglade.entry.workers import Worker, serving_model
from bronzeglade.manifest import Rollout

# The weight store is rate-limited; more loads at a time only take longer.
MAX_LOADS = 2

Spawn = Callable[[Callable[[], None]], object]


class Leader(Protocol):
    """Leadership that may end between two orders."""

    def held(self) -> Tenure | None:
        """Return the present leadership."""


class Loading:
    """Orders of the lease holder to engines, repeated until they hold."""

    def __init__(
        self, orders: Orders, leader: Leader, clock: Clock, spawn: Spawn
    ) -> None:
        """Create the loading.

        Args:
          orders: client of the engines.
          leader: asked again before each order.
          clock: counts the wait of a new holder.
          spawn: runs an order beside the caller, whose lease must be renewed
            while an engine loads.
        """
        self.orders = orders
        self.leader = leader
        self.clock = clock
        self.spawn = spawn
        self.under_way: set[str] = set()
        self.token = 0
        self.token_since = dt.timedelta()

    def advance(
        self,
        rollout: Rollout,
        workers: Iterable[Worker],
        fenced: Callable[[str], bool],
    ) -> bool:
        """Read back every engine and order what is missing.

        Args:
          rollout: whose candidate is to be loaded.
          workers: live endpoints.
          fenced: whether the engines of a group refuse an old token.

        Returns:
          Whether every engine of the candidate's groups holds it.
        """
        tenure = self.leader.held()
        if tenure is None:
            return False
        if tenure.token != self.token:
            self.token = tenure.token
            self.token_since = self.clock.monotonic()
        wanted = serving_model(workers, rollout.model, rollout.to_version)
        settled = self.clock.monotonic() >= self.token_since + ORDER_TIMEOUT
        if not settled and not all(fenced(one.group) for one in wanted):
            # An order of the previous holder may still arrive at an engine
            # that ignores tokens; what is read back before that may change.
            return False
        return bool(wanted) and self._load(rollout, wanted)

    def _load(self, rollout: Rollout, wanted: tuple[Worker, ...]) -> bool:
        name = f'{rollout.model}@{rollout.to_version}'
        ready = True
        for worker in wanted:
            found = self.orders.read(worker.address)
            if isinstance(found, Err):
                ready = False
            elif not _holds(found.ok_value, name):
                ready = False
                self._order(rollout, worker.address)
        return ready

    def _order(self, rollout: Rollout, address: str) -> None:
        tenure = self.leader.held()
        full = len(self.under_way) >= MAX_LOADS or address in self.under_way
        if tenure is None or full:
            return
        order = Order(rollout.model, rollout.to_version, tenure.token)
        self.under_way.add(address)
        self.spawn(lambda: self._send(address, order))

    def _send(self, address: str, order: Order) -> None:
        # Whatever the outcome, the engine is read back before the step.
        try:
            self.orders.send(address, order)
        finally:
            self.under_way.discard(address)


def _holds(loaded: LoadedVersions, name: str) -> bool:
    return name in loaded.held or not loaded.accepts_orders
