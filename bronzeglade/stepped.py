"""Deterministic interleaving in tests: tasks that pause at table calls."""

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
    """The fault that is injected into a call of the table."""

    NONE = 'none'
    REFUSED = 'refused'  # not applied; reported to the caller
    LOST_REPLY = 'lost_reply'  # applied; outcome unknown to the caller
    LOST_CALL = 'lost_call'  # not applied; outcome unknown to the caller
    DELAYED = 'delayed'  # outcome unknown; applied by `apply_delayed`


class SteppedTable(MemoryTable):
    """A table whose calls pause a `Task` before and after they take effect."""

    def __init__(self) -> None:
        """Create an empty table."""
        super().__init__()
        self.delayed: list[Transaction] = []
        self.reads = 0

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key; any fault of the step makes the read fail."""
        fault = pause_task()
        self.reads += 1
        found = super().read(keys)
        pause_task()
        return found if fault is Fault.NONE else Err(StoreError('fault'))

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction, subject to the fault of the task's step."""
        fault = pause_task()
        outcome: Result[None, CommitError] = Err(Unknown(fault.value))
        if fault is Fault.REFUSED:
            outcome = Err(Unavailable(fault.value))
        elif fault is Fault.DELAYED:
            self.delayed.append(transaction)
        elif fault is not Fault.LOST_CALL:
            applied = super().commit(transaction)
            outcome = applied if fault is Fault.NONE else outcome
        pause_task()
        return outcome

    def apply_delayed(self, index: int) -> None:
        """Apply a delayed transaction.

        Args:
          index: position of the transaction in `delayed`.
        """
        self._apply(self.delayed.pop(index))


class _TaskGreenlet(greenlet):
    """Distinguishes tasks from the green threads of eventlet."""


class Task:
    """An action of a node that pauses before and after each table call.

    A task that is not stepped again models a crashed or paused process.
    """

    def __init__(self, action: Callable[..., Any], *arguments: Any) -> None:
        """Run the action up to its first pause."""
        self.value: Any = None
        self.greenlet = _TaskGreenlet(action)
        self._resume(*arguments)

    @property
    def done(self) -> bool:
        """Whether the action has returned."""
        return bool(self.greenlet.dead)

    def step(self, fault: Fault = Fault.NONE) -> None:
        """Run to the next pause.

        Args:
          fault: fault of the table call at which the task is paused; ignored
            if the call has already taken effect.
        """
        self._resume(fault)

    def finish(self) -> Any:
        """Run to the end without faults; return the value of the action."""
        while not self.done:
            self.step()
        return self.value

    def _resume(self, *arguments: Any) -> None:
        value = self.greenlet.switch(*arguments)
        if self.done:
            self.value = value


def pause_task() -> Fault:
    """Pause the current task until it is stepped; return the step's fault.

    Outside a task this does nothing and returns `Fault.NONE`.
    """
    current = getcurrent()
    if not isinstance(current, _TaskGreenlet):
        return Fault.NONE
    return Fault(current.parent.switch())
