"""Circuit breaker for the table service."""

import datetime as dt
from collections.abc import Mapping, Sequence

from result import Err, Result

from bronzeglade.adapters.table import (
    CommitError,
    Row,
    StoreError,
    Table,
    Transaction,
    Unavailable,
)
from bronzeglade.clock import Clock

OPEN_DURATION = dt.timedelta(milliseconds=500)
_OPEN_MESSAGE = 'circuit breaker of the table is open'


class CircuitBreakerTable:
    """Refuses calls for OPEN_DURATION after a failure.

    While the breaker is open, requests that need the table fail immediately
    instead of each waiting for the time limit of a call.
    """

    def __init__(self, table: Table, clock: Clock) -> None:
        """Wrap a table.

        Args:
          table: the table service.
          clock: measures the time since the last failure.
        """
        self.table = table
        self.clock = clock
        self.open_until = dt.timedelta.min

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key."""
        if self._is_open():
            return Err(StoreError(_OPEN_MESSAGE))
        outcome = self.table.read(keys)
        self._record(isinstance(outcome, Err))
        return outcome

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        """Read rows by prefix."""
        if self._is_open():
            return Err(StoreError(_OPEN_MESSAGE))
        outcome = self.table.scan(prefix, limit)
        self._record(isinstance(outcome, Err))
        return outcome

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction atomically.

        An unknown outcome does not open the breaker, because the caller has to
        read the table to resolve it.
        """
        if self._is_open():
            return Err(Unavailable(_OPEN_MESSAGE))
        outcome = self.table.commit(transaction)
        self._record(
            isinstance(outcome, Err)
            and isinstance(outcome.err_value, Unavailable)
        )
        return outcome

    def _is_open(self) -> bool:
        return self.clock.monotonic() < self.open_until

    def _record(self, failed: bool) -> None:
        if failed:
            self.open_until = self.clock.monotonic() + OPEN_DURATION
