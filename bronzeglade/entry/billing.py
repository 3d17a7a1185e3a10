"""Durable billing: a request's record is kept before its answer ends."""

import dataclasses
import datetime as dt

import eventlet
from eventlet.event import Event
from result import Err, Ok, Result

from bronzeglade.adapters.table import (
    ABSENT,
    Check,
    Put,
    Table,
    Transaction,
    Unavailable,
)
from bronzeglade.clock import Clock
from bronzeglade.coordination import bill as bills
from bronzeglade.coordination.bill import Bill

COMMIT_INTERVAL = dt.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    bill: Bill
    done: Event


class Billing:
    """Group commit of billing records into the table service."""

    def __init__(self, origin: str, table: Table, clock: Clock) -> None:
        """Create the ledger of one process.

        Args:
          origin: unique name of this process.
          table: where records last.
          clock: time between commits.
        """
        self.origin = origin
        self.table = table
        self.clock = clock
        self.waiting: list[_Waiting] = []
        self.sequence = 1

    def record(self, bill: Bill, limit: dt.timedelta) -> Result[None, str]:
        """Keep a record; return when it is durable.

        Args:
          bill: the record.
          limit: how long to wait.

        Returns:
          None, or why the record is not known to be durable.
        """
        entry = _Waiting(bill, Event())
        self.waiting.append(entry)
        with eventlet.Timeout(limit.total_seconds(), False):
            entry.done.wait()
            return Ok(None)
        return Err('the ledger did not answer in time')

    def run(self) -> None:
        """Commit records for ever."""
        while True:
            self.clock.sleep(COMMIT_INTERVAL)
            self.flush()

    def flush(self) -> None:
        """Commit what is waiting; keep it when that fails."""
        batch = list(self.waiting)
        if not batch:
            return
        key = f'ledger/{self.origin}/{self.sequence:012d}'
        outcome = self.table.commit(
            Transaction(
                checks=(Check(key, ABSENT),),
                puts=(Put(key, bills.encode([one.bill for one in batch])),),
            )
        )
        if isinstance(outcome, Err):
            if not isinstance(outcome.err_value, Unavailable):
                self._resolve(key, batch)
            return
        self._settle(batch)

    def _resolve(self, key: str, batch: list[_Waiting]) -> None:
        found = self.table.read([key])
        if isinstance(found, Ok) and key in found.ok_value:
            kept = {
                one.request_id for one in bills.decode(found.ok_value[key].body)
            }
            self._settle([one for one in batch if one.bill.request_id in kept])

    def _settle(self, batch: list[_Waiting]) -> None:
        self.sequence += 1
        for entry in batch:
            self.waiting.remove(entry)
            entry.done.send()
