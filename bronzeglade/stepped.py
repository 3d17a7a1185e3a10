"""Schedules of tests: work that stops at each call of the table."""

import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from greenlet import getcurrent, greenlet
from result import Err, Result

from bronzeglade.adapters.table import (
    CommitError,
    Row,
    StoreError,
    Transaction,
    Unavailable,
    Unknown,
)
from bronzeglade.builders import MemoryTable


class Fault(enum.Enum):
    """What happens to one call of the table."""

    NONE = 'none'
    REFUSED = 'refused'  # surely not applied
    LOST_REPLY = 'lost_reply'  # applied
    LOST_CALL = 'lost_call'  # not applied
    DELAYED = 'delayed'  # applied when `settle` is called


class SteppedTable(MemoryTable):
    """A table whose calls stop inside a `Task`, before and after the effect."""

    def __init__(self) -> None:
        """Create an empty table."""
        super().__init__()
        self.delayed: list[Transaction] = []
        self.reads = 0

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key."""
        fault = interrupt()
        self.reads += 1
        found = super().read(keys)
        interrupt()
        return found if fault is Fault.NONE else Err(StoreError('fault'))

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction, under the fault of the task's step."""
        fault = interrupt()
        outcome: Result[None, CommitError] = Err(Unknown(fault.value))
        if fault is Fault.REFUSED:
            outcome = Err(Unavailable(fault.value))
        elif fault is Fault.DELAYED:
            self.delayed.append(transaction)
        elif fault is not Fault.LOST_CALL:
            applied = super().commit(transaction)
            outcome = applied if fault is Fault.NONE else outcome
        interrupt()
        return outcome

    def settle(self, index: int) -> None:
        """Apply a delayed transaction now."""
        self._apply(self.delayed.pop(index))


class _TaskGreenlet(greenlet):
    """Tells tasks from the green threads of eventlet."""


class Task:
    """Work of a node that stops before and after each call of the table.

    A task that is never stepped again is a process that died or is paused.
    """

    def __init__(self, action: Callable[..., Any], *arguments: Any) -> None:
        """Run up to the first call."""
        self.value: Any = None
        self.greenlet = _TaskGreenlet(action)
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


def interrupt() -> Fault:
    """Stop the running task, if there is one, until it is stepped."""
    running = getcurrent()
    if not isinstance(running, _TaskGreenlet):
        return Fault.NONE
    return Fault(running.parent.switch())
