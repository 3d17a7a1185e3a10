"""Billing records of a node, and replicas of the records of other nodes.

An origin is a router process. It numbers its records from 1. The row
`ledger-cursor/ORIGIN` holds the highest number in the ledger. A single
transaction checks and advances the cursor and writes the records that follow
it, so no record is written twice, whichever node flushes.

Cursor rows are kept as long as the ledger rows of their origin: without the
cursor, a delayed first flush of that origin would be applied again. There are
few of them: about 241 processes start on an ordinary day, compared with up to
4.3 million ledger rows.
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
    """Limits and timing of the journal."""

    limit: int = 65_536  # unflushed records of this node
    # Records of the limit that are reserved for the requests in progress when
    # admission stops: one for each connection of the caller port.
    reserve: int = 4096
    # Each rank below the most urgent one is refused earlier by this fraction
    # of the limit.
    shed_step: float = 0.1
    # Records held for other nodes. Origins are assigned by hash, so some nodes
    # hold several times the mean.
    replica_limit: int = 262_144
    batch: int = 4096  # records in one flush or message, about 450 KB
    min_interval: dt.timedelta = dt.timedelta(seconds=1)
    writes_per_second: float = 50  # by all nodes together
    max_interval: dt.timedelta = dt.timedelta(seconds=30)
    # Time that an origin has to be missing from the live nodes before its
    # replica holder flushes for it.
    takeover_delay: dt.timedelta = dt.timedelta(seconds=5)
    # Time without messages before the holder flushes for an origin whose VM is
    # live: the VM may run a new process. Origins with unflushed records send a
    # message at least every `keepalive`.
    silence_timeout: dt.timedelta = dt.timedelta(seconds=60)
    keepalive: dt.timedelta = dt.timedelta(seconds=10)


DEFAULTS = JournalSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class Cursor:
    """Highest record number in the ledger, and version of the cursor row."""

    sequence: int
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Replication message from an origin to its replica holder.

    `flushed` is the highest record number that the origin knows to be in the
    ledger; `first` is the number of the first record in the batch.
    """

    origin: str
    vm: str
    flushed: int
    first: int
    records: tuple[bytes, ...] = ()

    def document(self) -> list[object]:
        """Return the batch as a document for MessagePack."""
        return [
            self.origin,
            self.vm,
            self.flushed,
            self.first,
            list(self.records),
        ]


def parse_batch(document: Sequence[object]) -> Batch:
    """Parse a document made by `Batch.document`."""
    origin, vm, flushed, first, records = document
    return Batch(origin, vm, flushed, first, tuple(records))  # type: ignore


def cursor_key(origin: str) -> str:
    """Return the table key of an origin's cursor row."""
    return f'ledger-cursor/{origin}'


def ledger_key(origin: str, first: int) -> str:
    """Return the table key of the ledger row that starts at `first`."""
    return f'ledger/{origin}/{first:012d}'


def decode_cursor(row: Row | None) -> Cursor:
    """Decode a cursor row; without a row the ledger holds no record yet."""
    if row is None:
        return Cursor(0, ABSENT)
    return Cursor(msgpack.unpackb(row.body)['sequence'], row.version)


class Window:
    """Contiguous records of one origin that may not be in the ledger yet."""

    def __init__(
        self, origin: str, first: int = 1, row_version: int | None = None
    ) -> None:
        """Create an empty window.

        Args:
          origin: unique name of the process that numbers the records.
          first: number of the first record.
          row_version: version of the cursor row; None until it is read.
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
        """Drop the records up to number `upto`, which the ledger holds."""
        if upto >= self.first:
            del self.records[: upto - self.first + 1]
            self.first = upto + 1

    def observe(self, cursor: Cursor) -> bool:
        """Update the window from a read of the cursor.

        Returns:
          False, without a change, when records between the cursor and the
          window are missing; otherwise True.
        """
        if cursor.sequence < self.first - 1:
            return False
        self.drop(cursor.sequence)
        self.row_version = cursor.row_version
        return True

    def slice(self, start: int, limit: int) -> tuple[bytes, ...]:
        """Return up to `limit` records, from number `start` on."""
        offset = start - self.first
        return tuple(self.records[offset : offset + limit])


def flush(
    table: Table, window: Window, limit: int, now: dt.datetime
) -> Result[None, str]:
    """Move the first records of a window into the ledger.

    Any process may flush any origin at any time: the transaction is
    applied only if the cursor is at the number before the first record. If the
    cursor has not been read yet, this call only reads it.

    Args:
      table: the table service.
      window: records to flush; those in the ledger are dropped from it.
      limit: maximum number of records to flush.
      now: wall time, written to the cursor row for operators.

    Returns:
      None when the window is consistent with the ledger, or what failed.
    """
    if window.row_version is None:
        return read_cursor(table, window)
    records = window.slice(window.first, limit)
    if not records:
        return Ok(None)
    last = window.first + len(records) - 1
    version = window.row_version
    outcome = table.commit(_flush_transaction(window, records, now))
    if isinstance(outcome, Ok):
        window.observe(Cursor(last, version + 1))
        return Ok(None)
    if isinstance(outcome.err_value, Unavailable):
        return Err(outcome.err_value.detail)
    reread = read_cursor(table, window)
    if isinstance(reread, Ok) and window.first <= last:
        # The transaction may still be applied later. The next flush checks the
        # same row version, so only one of the two transactions is applied.
        return Err('the flush was not found in the ledger')
    return reread


def _flush_transaction(
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
    """Read the cursor and drop the records of a window that it covers.

    Args:
      table: the table service.
      window: records of one origin.

    Returns:
      None, or an error when the read failed or records between the ledger and
      the window are missing.
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
    """Billing records of this node, each kept until it is in the ledger."""

    def __init__(
        self, origin: str, vm: str, settings: JournalSettings = DEFAULTS
    ) -> None:
        """Create an empty journal.

        Args:
          origin: unique name of this process.
          vm: name of its VM in the membership.
          settings: limits and timing.
        """
        self.vm = vm
        self.settings = settings
        self.window = Window(origin, row_version=ABSENT)
        self.last_number = 0
        self.holder: str | None = None
        self.replicated_upto = 0

    def append(self, record: bytes) -> int:
        """Append a packed record and return its number."""
        self.window.records.append(record)
        self.last_number += 1
        require(
            self.window.last == self.last_number,
            'journal-numbering',
            (self.window.last, self.last_number),
        )
        return self.last_number

    def durable(self) -> int:
        """Return the number up to which records survive a node loss."""
        return max(self.window.first - 1, self.replicated_upto)

    def assign(self, holder: str | None) -> None:
        """Set the replica holder; a new holder has no records yet."""
        if holder != self.holder:
            self.holder = holder
            self.replicated_upto = 0

    def unsent(self) -> Batch:
        """Return the next batch of records that the holder does not have."""
        start = max(self.replicated_upto + 1, self.window.first)
        return Batch(
            self.window.origin,
            self.vm,
            self.window.first - 1,
            start,
            self.window.slice(start, self.settings.batch),
        )

    def acknowledge(self, holder: str, upto: int) -> None:
        """Record the acknowledgement of the replica holder.

        Args:
          holder: VM that replied; ignored unless it is the current holder.
          upto: number up to which it holds all records not yet flushed.
        """
        require(
            upto <= self.last_number,
            'journal-numbering',
            (upto, self.last_number),
        )
        if holder == self.holder:
            self.replicated_upto = upto

    def flush(self, table: Table, now: dt.datetime) -> Result[None, str]:
        """Move records into the ledger.

        Records are removed from the journal only once they are in the ledger.

        Args:
          table: the table service.
          now: wall time.

        Returns:
          None, or what failed.
        """
        outcome = flush(table, self.window, self.settings.batch, now)
        require(
            self.window.first <= self.last_number + 1,
            'ledger-cursor',
            (self.window.first, self.last_number),
        )
        return outcome

    def is_shedding(self, rank: Rank) -> bool:
        """Return whether new work of a rank is refused to limit the backlog."""
        fraction = 1 - self.settings.shed_step * rank.priority
        bound = (self.settings.limit - self.settings.reserve) * max(0, fraction)
        return len(self.window.records) >= bound


@dataclasses.dataclass(slots=True)
class Replica:
    """Records held for another node.

    `last_received` is the monotonic time of the last message, `missing_since`
    the time from which the VM has not been among the live nodes.
    """

    window: Window
    vm: str
    last_received: dt.timedelta
    missing_since: dt.timedelta | None = None


class Replicas:
    """Records that this node holds for other nodes."""

    def __init__(self, settings: JournalSettings = DEFAULTS) -> None:
        """Create an empty set of replicas.

        Args:
          settings: limits and timing.
        """
        self.settings = settings
        self.by_origin: dict[str, Replica] = {}

    def hold(self, batch: Batch, now: dt.timedelta) -> tuple[int, bool]:
        """Store the records of a batch.

        Args:
          batch: message of an origin.
          now: monotonic time.

        Returns:
          The number up to which all records not yet flushed are held, and
          whether the batch was refused because this node is full.
        """
        replica = self.by_origin.get(batch.origin)
        if replica is None:
            if batch.first != batch.flushed + 1 or not batch.records:
                return batch.flushed, False
            window = Window(batch.origin, batch.first)
            replica = Replica(window, batch.vm, now)
            self.by_origin[batch.origin] = replica
        replica.last_received = now
        window = replica.window
        window.drop(batch.flushed)
        overlap = window.last + 1 - batch.first
        if overlap < 0:
            return window.last, False
        new_records = batch.records[overlap:]
        full = self.size() + len(new_records) > self.settings.replica_limit
        if not full:
            window.records.extend(new_records)
        return window.last, full

    def size(self) -> int:
        """Return the number of records held for all origins."""
        return sum(
            len(replica.window.records) for replica in self.by_origin.values()
        )

    def due(self, live: Collection[str], now: dt.timedelta) -> list[Window]:
        """Return the windows to flush in place of their origins.

        Args:
          live: names of the VMs of live nodes.
          now: monotonic time.

        Returns:
          Windows of origins that are dead, or have sent nothing for so long
          that their process has probably been replaced.
        """
        return [
            replica.window
            for replica in self.by_origin.values()
            if self._is_due(replica, live, now)
        ]

    def remove_if_flushed(self, window: Window) -> None:
        """Remove the replica of an origin if all its records are flushed.

        If the origin is still alive, its next batch starts after its last
        flushed record and creates a new replica.
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
        if (
            missing is not None
            and now - missing >= self.settings.takeover_delay
        ):
            return True
        return now - replica.last_received >= self.settings.silence_timeout


def flush_interval(
    nodes: int, failures: int, rng: Random, settings: JournalSettings
) -> dt.timedelta:
    """Return the time until the next flush of a node.

    Args:
      nodes: number of live nodes.
      failures: consecutive failed flushes; the interval grows with them, so
        that the nodes do not all flush at the end of an outage.
      rng: random generator for the jitter.
      settings: limits of the interval and of the write rate.
    """
    rate_interval = dt.timedelta(seconds=nodes / settings.writes_per_second)
    base = max(settings.min_interval, rate_interval)
    max_interval = max(base, settings.max_interval)
    interval = min(max_interval, base * math.ldexp(1, min(failures, 8)))
    return interval * rng.uniform(0.5, 1.5)
