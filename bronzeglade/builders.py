"""Fakes and builders of test data."""

import dataclasses
import datetime as dt
import enum
import json
from collections.abc import Callable, Iterator, Mapping, Sequence
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

_EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class ManualClock:
    """A clock that moves only when it is told to."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.elapsed = dt.timedelta()

    def now(self) -> dt.datetime:
        """Return the wall time."""
        return _EPOCH + self.elapsed

    def monotonic(self) -> dt.timedelta:
        """Return the time since the start."""
        return self.elapsed

    def sleep(self, duration: dt.timedelta) -> None:
        """Advance without waiting."""
        self.advance(duration)

    def advance(self, duration: dt.timedelta) -> None:
        """Move the time forward."""
        self.elapsed += duration


@dataclasses.dataclass(slots=True)
class FakeStream:
    """A stream of an engine that sends given payloads and then ends."""

    payloads: Sequence[bytes]
    complete_after: bool = True
    complete: bool = False
    closed: bool = False

    def batches(self) -> Iterator[list[bytes]]:
        """Yield each payload by itself."""
        for payload in self.payloads:
            yield [payload]
        self.complete = self.complete_after

    def close(self) -> None:
        """Note the call."""
        self.closed = True


def engine_event(
    request_id: str,
    text: str | None = None,
    finish_reason: str | None = None,
    usage: dict[str, int] | None = None,
) -> bytes:
    """Return the payload of an event of an engine.

    Args:
      request_id: the request that it belongs to.
      text: generated text.
      finish_reason: set on the last event with choices.
      usage: set on the event without choices.
    """
    delta = {} if text is None else {'content': text}
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    document: dict[str, Any] = {
        'id': f'chatcmpl-{request_id}',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': 'm@v1',
        'choices': [] if usage else [choice],
    }
    if usage:
        document['usage'] = usage
    return json.dumps(document).encode()


def engine_events(request_id: str, first: int, count: int) -> list[bytes]:
    """Return the payloads of an answer of `count` tokens.

    Args:
      request_id: the request that it belongs to.
      first: token to start at.
      count: tokens of the whole answer.
    """
    usage = {'prompt_tokens': 1, 'completion_tokens': count}
    return [
        *(engine_event(request_id, f'w{n} ') for n in range(first, count)),
        engine_event(request_id, finish_reason='stop'),
        engine_event(request_id, usage=usage),
    ]


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
        fault = interrupt()
        self.reads += 1
        found = {key: self.rows[key] for key in keys if key in self.rows}
        interrupt()
        return Ok(found) if fault is Fault.NONE else Err(StoreError('fault'))

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        """Read rows by prefix."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return Ok([self.rows[key] for key in keys[:limit]])

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction, under the fault of the task's step."""
        fault = interrupt()
        outcome: Result[None, CommitError] = Err(Unknown(fault.value))
        if fault is Fault.REFUSED:
            outcome = Err(Unavailable(fault.value))
        elif fault is Fault.DELAYED:
            self.delayed.append(transaction)
        elif fault is not Fault.LOST_CALL:
            applied = self.apply(transaction)
            outcome = applied if fault is Fault.NONE else outcome
        interrupt()
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
