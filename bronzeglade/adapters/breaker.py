"""A table that is not asked again right after it failed."""

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

PAUSE = dt.timedelta(milliseconds=500)
_OPEN = 'the table failed a moment ago'


class BreakingTable:
    """Refuses calls for a moment after a failure.

    Requests that need the table are then refused at once instead of each
    waiting for the time limit of a call.
    """

    def __init__(self, table: Table, clock: Clock) -> None:
        """Wrap a table.

        Args:
          table: the table service.
          clock: time since the last failure.
        """
        self.table = table
        self.clock = clock
        self.open_until = dt.timedelta.min

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key."""
        if self._open():
            return Err(StoreError(_OPEN))
        outcome = self.table.read(keys)
        self._note(isinstance(outcome, Err))
        return outcome

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        """Read rows by prefix."""
        if self._open():
            return Err(StoreError(_OPEN))
        outcome = self.table.scan(prefix, limit)
        self._note(isinstance(outcome, Err))
        return outcome

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction whole or not at all.

        An unknown outcome does not refuse the read that resolves it.
        """
        if self._open():
            return Err(Unavailable(_OPEN))
        outcome = self.table.commit(transaction)
        self._note(
            isinstance(outcome, Err)
            and isinstance(outcome.err_value, Unavailable)
        )
        return outcome

    def _open(self) -> bool:
        return self.clock.monotonic() < self.open_until

    def _note(self, failed: bool) -> None:
        if failed:
            self.open_until = self.clock.monotonic() + PAUSE
