"""Uses the lease as a library: two workers elect a leader by a table row.

Run with `python -m examples.lease`. The example keeps the table in memory;
any implementation of `bronzeglade.adapters.table.Table` can be used instead.
"""

import datetime as dt
import sys

from result import Ok

from bronzeglade.adapters.table import Table
from bronzeglade.builders import ManualClock, MemoryTable
from bronzeglade.coordination.lease import Lease, LeaseSettings

SETTINGS = LeaseSettings(key='lease/nightly-export')
STEP = dt.timedelta(seconds=1)


def run_step(lease: Lease, table: Table) -> int | None:
    """Observe the row, acquire or renew the lease when due, observe again.

    Args:
      lease: lease state of one worker.
      table: table that contains the lease row.

    Returns:
      The fencing token while the worker is the leader, otherwise None.
    """
    _observe_row(lease, table)
    transaction = lease.request()
    if transaction is not None:
        # The result of the commit is ignored, as its reply may be lost: the
        # row that is read back decides.
        table.commit(transaction)
        _observe_row(lease, table)
    tenure = lease.held()
    return tenure.token if tenure else None


def _observe_row(lease: Lease, table: Table) -> None:
    rows = table.read([SETTINGS.key])
    if isinstance(rows, Ok):
        lease.observe(rows.ok_value.get(SETTINGS.key))


def main() -> None:
    """Freeze the first worker as leader; the second one takes over."""
    clock = ManualClock()
    table = MemoryTable()
    first = Lease(SETTINGS, clock, 'first')
    second = Lease(SETTINGS, clock, 'second')
    for elapsed_s in range(30):
        is_frozen = elapsed_s >= 10
        first_token = None if is_frozen else run_step(first, table)
        second_token = run_step(second, table)
        first_tenure = first.held()
        sys.stdout.write(
            f'{elapsed_s:2} s  first: token {first_token} '
            f'(still leads: {first_tenure is not None})  '
            f'second: token {second_token}\n'
        )
        clock.advance(STEP)


if __name__ == '__main__':
    main()
