"""Fakes and builders of test data."""

import datetime as dt
import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from greenlet import getcurrent, greenlet
from result import Err, Ok, Result

from bronzeglade.adapters.table import (
    ABSENT,
    CommitError,
    Conflict,
    Row,
    StoreError,
    Transaction,
    Unavailable,
    Unknown,
)


class ManualClock:
    """A clock that only moves when told to."""

    def __init__(self) -> None:
        """Start at a fixed time."""
        self.elapsed = dt.timedelta()

    def now(self) -> dt.datetime:
        """Return the wall time."""
        return dt.datetime(2026, 1, 1, tzinfo=dt.UTC) + self.elapsed

    def monotonic(self) -> dt.timedelta:
        """Return the time since the start."""
        return self.elapsed

    def sleep(self, duration: dt.timedelta) -> None:
        """Move on by a duration."""
        self.advance(duration)

    def advance(self, duration: dt.timedelta) -> None:
        """Move on by a duration."""
        self.elapsed += duration


class Fault(enum.Enum):
    """What happens to one call of the table."""

    NONE = 'none'
    REFUSED = 'refused'  # surely not applied
    LOST_REPLY = 'lost_reply'  # applied
    LOST_CALL = 'lost_call'  # not applied
    DELAYED = 'delayed'  # applied when `settle` is called


class MemoryTable:
    """A table in memory; inside a `Task`, each call can be interrupted."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.rows: dict[str, Row] = {}
        self.delayed: list[Transaction] = []
        self.reads = 0

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key."""
        fault = _interrupt()
        self.reads += 1
        found = {key: self.rows[key] for key in keys if key in self.rows}
        _interrupt()
        return Ok(found) if fault is Fault.NONE else Err(StoreError('fault'))

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        """Read rows by prefix."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return Ok([self.rows[key] for key in keys[:limit]])

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction, under the fault of the task's step."""
        fault = _interrupt()
        outcome: Result[None, CommitError] = Err(Unknown(fault.value))
        if fault is Fault.REFUSED:
            outcome = Err(Unavailable(fault.value))
        elif fault is Fault.DELAYED:
            self.delayed.append(transaction)
        elif fault is not Fault.LOST_CALL:
            applied = self.apply(transaction)
            outcome = applied if fault is Fault.NONE else outcome
        _interrupt()
        return outcome

    def settle(self, index: int) -> None:
        """Apply a delayed transaction now."""
        self.apply(self.delayed.pop(index))

    def apply(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction if its checks hold."""
        for check in transaction.checks:
            version = self._version(check.key)
            if version != check.version:
                return Err(Conflict(check.key, version))
        for put in transaction.puts:
            version = self._version(put.key) + 1
            self.rows[put.key] = Row(put.key, version, put.body)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Ok(None)

    def _version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else ABSENT


class Task:
    """Work of a node that stops before and after each call of the table.

    A task that is never stepped again is a process that died or is paused.
    """

    def __init__(self, action: Callable[..., Any], *arguments: Any) -> None:
        """Run up to the first call."""
        self.value: Any = None
        self.greenlet = greenlet(action)
        self._resume(*arguments)

    @property
    def done(self) -> bool:
        """Whether the action has returned."""
        return bool(self.greenlet.dead)

    def step(self, fault: Fault = Fault.NONE) -> None:
        """Run up to the next stop."""
        self._resume(fault)

    def finish(self) -> Any:
        """Run to the end without faults; return the action's value."""
        while not self.done:
            self.step()
        return self.value

    def _resume(self, *arguments: Any) -> None:
        value = self.greenlet.switch(*arguments)
        if self.done:
            self.value = value


def _interrupt() -> Fault:
    parent = getcurrent().parent
    fault = Fault.NONE if parent is None else parent.switch()
    return Fault(fault)
