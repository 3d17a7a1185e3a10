"""Loading of roll-out candidates on the engines before a step."""

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

# The weight store is rate-limited: with more concurrent loads, each is slower.
MAX_LOADS = 2

Spawn = Callable[[Callable[[], None]], object]


class Leader(Protocol):
    """Leadership by lease, which may end between two orders."""

    def held(self) -> Tenure | None:
        """Return the current tenure, or None if the lease is not held."""


class CandidateLoader:
    """Orders engines to load a candidate, as the lease holder.

    An order is repeated until the engine reports that it holds the candidate.
    """

    def __init__(
        self, orders: Orders, leader: Leader, clock: Clock, spawn: Spawn
    ) -> None:
        """Create a loader without outstanding orders.

        Args:
          orders: client of the engines' order interface.
          leader: leadership of this node, checked before each order.
          clock: monotonic time.
          spawn: runs an order concurrently, since the caller has to renew its
            lease while an engine loads.
        """
        self.orders = orders
        self.leader = leader
        self.clock = clock
        self.spawn = spawn
        self.outstanding: set[str] = set()
        self.token = 0
        self.token_acquired_at = dt.timedelta()

    def advance(
        self,
        rollout: Rollout,
        workers: Iterable[Worker],
        checks_fencing: Callable[[str], bool],
    ) -> bool:
        """Read the state of every engine and order missing loads.

        Args:
          rollout: the roll-out whose candidate is to be loaded.
          workers: live endpoints.
          checks_fencing: returns whether the engines of a group reject orders
            with an outdated fencing token.

        Returns:
          Whether all engines in the candidate's groups hold it.
        """
        tenure = self.leader.held()
        if tenure is None:
            return False
        if tenure.token != self.token:
            self.token = tenure.token
            self.token_acquired_at = self.clock.monotonic()
        engines = serving_model(workers, rollout.model, rollout.to_version)
        are_previous_orders_expired = (
            self.clock.monotonic() >= self.token_acquired_at + ORDER_TIMEOUT
        )
        if not are_previous_orders_expired and not all(
            checks_fencing(worker.group) for worker in engines
        ):
            # An order of the previous holder may still reach an engine that
            # ignores fencing tokens, and change the state that was read.
            return False
        return bool(engines) and self._load(rollout, engines)

    def _load(self, rollout: Rollout, engines: tuple[Worker, ...]) -> bool:
        name = f'{rollout.model}@{rollout.to_version}'
        ready = True
        for worker in engines:
            loaded = self.orders.read(worker.address)
            if isinstance(loaded, Err):
                ready = False
            elif not _is_ready(loaded.ok_value, name):
                ready = False
                self._order(rollout, worker.address)
        return ready

    def _order(self, rollout: Rollout, address: str) -> None:
        tenure = self.leader.held()
        is_busy = (
            len(self.outstanding) >= MAX_LOADS or address in self.outstanding
        )
        if tenure is None or is_busy:
            return
        order = Order(rollout.model, rollout.to_version, tenure.token)
        self.outstanding.add(address)
        self.spawn(lambda: self._send(address, order))

    def _send(self, address: str, order: Order) -> None:
        # The outcome is ignored: the engine is read again before the step.
        try:
            self.orders.send(address, order)
        finally:
            self.outstanding.discard(address)


def _is_ready(loaded: LoadedVersions, name: str) -> bool:
    return name in loaded.held or not loaded.accepts_orders
