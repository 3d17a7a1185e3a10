"""Billing records of a node, and the replicas that it holds for others.

An origin numbers its records from 1. The row `ledger-cursor/ORIGIN` holds the
highest number in the ledger; one transaction checks it, advances it and writes
the records after it, so whoever flushes, no record is written twice.

Cursor rows are kept as long as the ledger rows of their origin: without the
cursor a delayed first flush of that origin would be applied again. Their
number is small beside the ledger's: 241 started processes on an ordinary day
against up to 4.3 million ledger rows.
"""

import dataclasses
import datetime as dt
import math
from collections.abc import Collection, Sequence
from random import Random

import msgpack
from result import Err, Ok, Result

from bronzeglade.adapters.table import (
    ABSENT,
    Check,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
)
from bronzeglade.coordination import bill as bills
from bronzeglade.manifest import Rank
from bronzeglade.outcome import require


@dataclasses.dataclass(frozen=True, slots=True)
class JournalSettings:
    """Bounds and times of the journal."""

    limit: int = 65_536  # records of this node that are not flushed
    # Part of the limit for requests that run when the last one is admitted:
    # as many as the caller port has connections.
    reserve: int = 4096
    # Each rank below the most urgent one is refused this part of the limit
    # earlier.
    shed_step: float = 0.1
    # Replicas of other nodes; origins are spread by hash, so that some nodes
    # hold several times the mean.
    replica_limit: int = 262_144
    batch: int = 4096  # records of one flush or message, about 450 KB
    min_interval: dt.timedelta = dt.timedelta(seconds=1)
    writes_per_second: float = 50  # of all nodes together
    longest_interval: dt.timedelta = dt.timedelta(seconds=30)
    # How long an origin is missing from the live nodes before its replica
    # holder flushes for it.
    safe_delay: dt.timedelta = dt.timedelta(seconds=5)
    # The same for an origin that is listed as live and silent: its VM may run
    # a new process. Origins with records write at least every `keepalive`.
    silence: dt.timedelta = dt.timedelta(seconds=60)
    keepalive: dt.timedelta = dt.timedelta(seconds=10)


DEFAULTS = JournalSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class Cursor:
    """Highest number in the ledger and the version of the cursor row."""

    sequence: int
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records on their way to the replica holder.

    `flushed` is the highest number that the origin knows to be in the ledger;
    `first` is the number of the first record.
    """

    origin: str
    vm: str
    flushed: int
    first: int
    records: tuple[bytes, ...] = ()

    def document(self) -> list[object]:
        """Return the message."""
        return [
            self.origin,
            self.vm,
            self.flushed,
            self.first,
            list(self.records),
        ]


def parse_batch(document: Sequence[object]) -> Batch:
    """Return the batch of a message made by `Batch.document`."""
    origin, vm, flushed, first, records = document
    return Batch(origin, vm, flushed, first, tuple(records))  # type: ignore


def cursor_key(origin: str) -> str:
    """Return the key of an origin's cursor row."""
    return f'ledger-cursor/{origin}'


def ledger_key(origin: str, first: int) -> str:
    """Return the key of the ledger row that starts with a number."""
    return f'ledger/{origin}/{first:012d}'


def decode_cursor(row: Row | None) -> Cursor:
    """Return the content of a cursor row."""
    if row is None:
        return Cursor(0, ABSENT)
    return Cursor(msgpack.unpackb(row.body)['sequence'], row.version)


class Window:
    """Contiguous records of one origin that are not known to be flushed."""

    def __init__(
        self, origin: str, first: int = 1, row_version: int | None = None
    ) -> None:
        """Create an empty window.

        Args:
          origin: unique name of the process that numbers the records.
          first: number of the first record.
          row_version: of the cursor row; None until it is read.
        """
        self.origin = origin
        self.first = first
        self.row_version = row_version
        self.records: list[bytes] = []

    @property
    def last(self) -> int:
        """Number of the last record; `first - 1` when there is none."""
        return self.first + len(self.records) - 1

    def drop(self, upto: int) -> None:
        """Forget the records up to a number that is in the ledger."""
        if upto >= self.first:
            del self.records[: upto - self.first + 1]
            self.first = upto + 1

    def observe(self, cursor: Cursor) -> bool:
        """Take over a cursor; return whether the window continues it."""
        if cursor.sequence < self.first - 1:
            return False
        self.drop(cursor.sequence)
        self.row_version = cursor.row_version
        return True

    def slice(self, start: int, limit: int) -> tuple[bytes, ...]:
        """Return up to `limit` records from a number on."""
        offset = start - self.first
        return tuple(self.records[offset : offset + limit])


def flush(
    table: Table, window: Window, limit: int, now: dt.datetime
) -> Result[None, str]:
    """Move the first records of a window into the ledger.

    Any process may do this at any time for any origin: the transaction is
    applied only while the cursor stands before the first record.

    Args:
      table: the table service.
      window: records to flush; what is in the ledger is dropped from it.
      limit: largest number of records.
      now: wall time, for operators who read the cursor row.

    Returns:
      None when the window agrees with the ledger, or what failed.
    """
    if window.row_version is None:
        return read_cursor(table, window)
    records = window.slice(window.first, limit)
    if not records:
        return Ok(None)
    last = window.first + len(records) - 1
    version = window.row_version
    outcome = table.commit(_transaction(window, records, now))
    if isinstance(outcome, Ok):
        window.observe(Cursor(last, version + 1))
        return Ok(None)
    if isinstance(outcome.err_value, Unavailable):
        return Err(outcome.err_value.detail)
    found = read_cursor(table, window)
    if isinstance(found, Ok) and window.first <= last:
        # The transaction may still be on its way; the next one has other
        # records and the same check, so at most one of them is applied.
        return Err('the flush has not been seen')
    return found


def _transaction(
    window: Window, records: Sequence[bytes], now: dt.datetime
) -> Transaction:
    last = window.first + len(records) - 1
    key = cursor_key(window.origin)
    cursor = msgpack.packb({'sequence': last, 'at': now.timestamp()})
    return Transaction(
        checks=(Check(key, window.row_version or ABSENT),),
        puts=(
            Put(key, cursor),
            Put(ledger_key(window.origin, window.first), bills.join(records)),
        ),
    )


def read_cursor(table: Table, window: Window) -> Result[None, str]:
    """Drop from a window what the ledger has.

    Args:
      table: the table service.
      window: records of one origin.

    Returns:
      None, or why the window does not continue the ledger.
    """
    key = cursor_key(window.origin)
    rows = table.read([key])
    if isinstance(rows, Err):
        return Err(rows.err_value.detail)
    cursor = decode_cursor(rows.ok_value.get(key))
    if window.observe(cursor):
        return Ok(None)
    return Err(
        f'{window.origin}: records {cursor.sequence + 1} to '
        f'{window.first - 1} are neither held nor in the ledger'
    )


class Journal:
    """The records of this node, each held until it is in the ledger."""

    def __init__(
        self, origin: str, vm: str, settings: JournalSettings = DEFAULTS
    ) -> None:
        """Create an empty journal.

        Args:
          origin: unique name of this process.
          vm: name of its VM, as membership has it.
          settings: bounds.
        """
        self.vm = vm
        self.settings = settings
        self.window = Window(origin, row_version=ABSENT)
        self.numbered = 0
        self.holder: str | None = None
        self.held_upto = 0

    def append(self, record: bytes) -> int:
        """Keep a packed record; return its number."""
        self.window.records.append(record)
        self.numbered += 1
        require(
            self.window.last == self.numbered,
            'journal-numbering',
            (self.window.last, self.numbered),
        )
        return self.numbered

    def durable(self) -> int:
        """Return the number up to which every record survives this node."""
        return max(self.window.first - 1, self.held_upto)

    def assign(self, holder: str | None) -> None:
        """Change the replica holder; a new one holds nothing yet."""
        if holder != self.holder:
            self.holder = holder
            self.held_upto = 0

    def unsent(self) -> Batch:
        """Return the first records that the holder does not have."""
        start = max(self.held_upto + 1, self.window.first)
        return Batch(
            self.window.origin,
            self.vm,
            self.window.first - 1,
            start,
            self.window.slice(start, self.settings.batch),
        )

    def replicated(self, holder: str, upto: int) -> None:
        """Note what the holder has.

        Args:
          holder: who replied; a former holder is ignored.
          upto: it has every record up to this one that is not flushed.
        """
        require(
            upto <= self.numbered, 'journal-numbering', (upto, self.numbered)
        )
        if holder == self.holder:
            self.held_upto = upto

    def flush(self, table: Table, now: dt.datetime) -> Result[None, str]:
        """Move records into the ledger.

        Args:
          table: the table service.
          now: wall time.

        Returns:
          None, or what failed; a record leaves only when it is in the ledger.
        """
        outcome = flush(table, self.window, self.settings.batch, now)
        require(
            self.window.first <= self.numbered + 1,
            'ledger-cursor',
            (self.window.first, self.numbered),
        )
        return outcome

    def sheds(self, rank: Rank) -> bool:
        """Return whether new work of a rank is refused to bound memory."""
        share = 1 - self.settings.shed_step * rank.priority
        bound = (self.settings.limit - self.settings.reserve) * max(0, share)
        return len(self.window.records) >= bound


@dataclasses.dataclass(slots=True)
class Replica:
    """Records held for another node."""

    window: Window
    vm: str
    heard: dt.timedelta
    missing_since: dt.timedelta | None = None


class Replicas:
    """The records that this node holds for others."""

    def __init__(self, settings: JournalSettings = DEFAULTS) -> None:
        """Hold nothing.

        Args:
          settings: bounds and times.
        """
        self.settings = settings
        self.by_origin: dict[str, Replica] = {}

    def hold(self, batch: Batch, now: dt.timedelta) -> tuple[int, bool]:
        """Keep the records of a batch.

        Args:
          batch: message of an origin.
          now: monotonic time.

        Returns:
          The number up to which every record that is not flushed is held, and
          whether the batch was refused because this node is full.
        """
        replica = self.by_origin.get(batch.origin)
        if replica is None:
            if batch.first != batch.flushed + 1 or not batch.records:
                return batch.flushed, False
            window = Window(batch.origin, batch.first)
            replica = Replica(window, batch.vm, now)
            self.by_origin[batch.origin] = replica
        replica.heard = now
        window = replica.window
        window.drop(batch.flushed)
        known = window.last + 1 - batch.first
        if known < 0:
            return window.last, False
        fresh = batch.records[known:]
        full = self.size() + len(fresh) > self.settings.replica_limit
        if not full:
            window.records.extend(fresh)
        return window.last, full

    def size(self) -> int:
        """Return the number of records held."""
        return sum(
            len(replica.window.records) for replica in self.by_origin.values()
        )

    def due(self, live: Collection[str], now: dt.timedelta) -> list[Window]:
        """Return the windows to flush in place of their origins.

        Args:
          live: names of the VMs of live nodes.
          now: monotonic time.

        Returns:
          Records of origins that are dead, or silent for so long that their
          process has probably been replaced.
        """
        return [
            replica.window
            for replica in self.by_origin.values()
            if self._is_due(replica, live, now)
        ]

    def forget_flushed(self, window: Window) -> None:
        """Drop the state of an origin that needs nothing more.

        An origin that lives after all starts again after its last flushed
        record.
        """
        if not window.records:
            self.by_origin.pop(window.origin, None)

    def _is_due(
        self, replica: Replica, live: Collection[str], now: dt.timedelta
    ) -> bool:
        if replica.vm in live:
            replica.missing_since = None
        elif replica.missing_since is None:
            replica.missing_since = now
        missing = replica.missing_since
        if missing is not None and now - missing >= self.settings.safe_delay:
            return True
        return now - replica.heard >= self.settings.silence


def flush_interval(
    nodes: int, failures: int, random: Random, settings: JournalSettings
) -> dt.timedelta:
    """Return the time until the next flush of a node.

    Args:
      nodes: number of live nodes.
      failures: flushes that failed in a row; the time grows with them, so
        that the nodes do not all flush at the end of an outage.
      random: spreads the flushes of the nodes.
      settings: bounds of the time.
    """
    spread = dt.timedelta(seconds=nodes / settings.writes_per_second)
    base = max(settings.min_interval, spread)
    longest = max(base, settings.longest_interval)
    grown = min(longest, base * math.ldexp(1, min(failures, 8)))
    return grown * random.uniform(0.5, 1.5)
