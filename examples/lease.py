"""Embeds the lease: two workers share one table row, one of them leads.

Run with `python -m examples.lease`. The table is kept in memory here; any
object with `read` and `commit` of `bronzeglade.adapters.table.Table` does.
"""

import datetime as dt
import sys

from result import Ok

from bronzeglade.adapters.table import Table
from bronzeglade.builders import ManualClock, MemoryTable
from bronzeglade.coordination.lease import Lease, LeaseSettings

SETTINGS = LeaseSettings(key='lease/nightly-export')
STEP = dt.timedelta(seconds=1)


def take_turn(lease: Lease, table: Table) -> int | None:
    """Observe the row, ask for the lease when it is due, observe again.

    Args:
      lease: state of one worker.
      table: where the row is kept.

    Returns:
      The fencing token while the worker leads, otherwise None.
    """
    _observe(lease, table)
    wanted = lease.request()
    if wanted is not None:
        # The outcome is not looked at: only a row that is read back counts.
        table.commit(wanted)
        _observe(lease, table)
    tenure = lease.held()
    return tenure.token if tenure else None


def _observe(lease: Lease, table: Table) -> None:
    rows = table.read([SETTINGS.key])
    if isinstance(rows, Ok):
        lease.observe(rows.ok_value.get(SETTINGS.key))


def main() -> None:
    """Let one worker lead, freeze it, and see the other take over."""
    clock = ManualClock()
    table = MemoryTable()
    first = Lease(SETTINGS, clock, 'first')
    second = Lease(SETTINGS, clock, 'second')
    for second_of_run in range(30):
        frozen = second_of_run >= 10
        leader = None if frozen else take_turn(first, table)
        other = take_turn(second, table)
        held = first.held()
        sys.stdout.write(
            f'{second_of_run:2} s  first: token {leader} '
            f'(still leads: {held is not None})  second: token {other}\n'
        )
        clock.advance(STEP)


if __name__ == '__main__':
    main()
