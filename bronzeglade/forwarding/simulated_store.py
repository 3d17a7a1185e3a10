"""Simulated nodes that follow a store whose answers may be lost.

For tests of how long a node acts on rows that have changed, in virtual time.
The store may also be restored from a copy of an earlier state.
"""

import dataclasses
import datetime as dt
import enum
import random
from collections.abc import Mapping, Sequence

import eventlet
from eventlet.event import Event
from result import Err, Ok, Result

from bronzeglade.adapters.feed import (
    Changes,
    HistoryTruncated,
    Position,
    Snapshot,
)
from bronzeglade.adapters.table import Row, StoreError
from bronzeglade.forwarding import builders, copies
from bronzeglade.forwarding.copies import TableCopies
from bronzeglade.forwarding.follower import FollowerContext
from bronzeglade.forwarding.settings import Address
from bronzeglade.forwarding.tables import Handlers, Tables
from bronzeglade.virtual_time import VirtualClock

LATENCY_S = 0.004
# Time limit of a call, in addition to the time that it asks to wait.
CALL_LIMIT_S = 1.0
WATCHERS = 3
TABLES = ('orders', 'endpoints', 'bronzeglade')
ROW = 'row'


class Loss(enum.Enum):
    """How an answer is lost."""

    SILENT = 'silent'  # nothing arrives
    HALF = 'half'  # its first bytes arrive, so that the time limit starts anew
    CLOSED = 'closed'  # the connection is closed


@dataclasses.dataclass(slots=True)
class Losses:
    """The next answers with rows of a table that are lost.

    `nodes` are those that lose them, each of them one after the other in the
    ways of `kinds`. With `peers`, answers of other nodes are lost, too.
    """

    table: str
    nodes: frozenset[int]
    kinds: Sequence[Loss]
    peers: bool = False
    lost: dict[int, int] = dataclasses.field(default_factory=dict)

    def take(self, node: int, tables: Sequence[str]) -> Loss | None:
        """Return how the answer with these tables is lost, and count it."""
        lost = self.lost.get(node, 0)
        if node not in self.nodes or self.table not in tables:
            return None
        self.lost[node] = lost + 1
        return self.kinds[lost] if lost < len(self.kinds) else None


@dataclasses.dataclass(frozen=True, slots=True)
class Backup:
    """State of a store."""

    version: int
    rows: dict[str, Row]
    removed: dict[str, int]


class SimulatedStore:
    """Rows of the tables, and the versions at which they last changed.

    The body of a row is its own number, so that rows of different eras differ
    although their versions are the same.
    """

    def __init__(self) -> None:
        """Create a store with one row in each table."""
        self.era = 1
        self.writes = 0
        self.backups: list[Backup] = []
        self.version = 0
        self.rows: dict[str, Row] = {}
        self.removed: dict[str, int] = {}
        self.changed = Event()
        self.losses: list[Losses] = []
        self.silent = False  # no call is answered
        self.down = False  # each call is refused
        self.calls = 0
        for table in TABLES:
            self.put(table)

    def put(self, table: str) -> int:
        """Write the row of a table; return the version of the store."""
        return self._change(table, is_removal=False)

    def remove(self, table: str) -> int:
        """Remove the row of a table; return the version of the store."""
        return self._change(table, is_removal=True)

    def restore(self, lost_changes: int) -> None:
        """Return to the state before the last changes, in a new era."""
        backup = self.backups[-lost_changes]
        del self.backups[-lost_changes:]
        self.era += 1
        self.version = backup.version
        self.rows = dict(backup.rows)
        self.removed = dict(backup.removed)
        waiting = self.changed
        self.changed = Event()
        waiting.send()

    def _change(self, table: str, is_removal: bool) -> int:
        backup = Backup(self.version, dict(self.rows), dict(self.removed))
        self.backups.append(backup)
        self.version += 1
        self.writes += 1
        key = f'{table}/{ROW}'
        if is_removal:
            self.rows.pop(key, None)
            self.removed[key] = self.version
        else:
            body = str(self.writes).encode()
            self.rows[key] = Row(key, self.version, body)
            self.removed.pop(key, None)
        waiting = self.changed
        self.changed = Event()
        waiting.send()
        return self.version


class StoreClient:
    """The calls of one node, which implement `TableFeed`."""

    def __init__(self, store: SimulatedStore, node: int) -> None:
        """Create the client of a node."""
        self.store = store
        self.node = node

    def snapshot(self, table: str) -> Result[Snapshot, StoreError]:
        """Return all rows of a table."""
        self.store.calls += 1
        eventlet.sleep(LATENCY_S)
        if self.store.down:
            return Err(StoreError('status 503'))
        key = f'{table}/{ROW}'
        rows = {key: self.store.rows[key]} if key in self.store.rows else {}
        return Ok(Snapshot(self.store.version, rows, era=self.store.era))

    def changes(
        self, table: str, after: int, wait: dt.timedelta
    ) -> Result[Changes, StoreError | HistoryTruncated]:
        """Wait for changes of a table."""
        self.store.calls += 1
        eventlet.sleep(LATENCY_S / 2)
        waits_until = eventlet.hubs.get_hub().clock() + wait.total_seconds()
        era = self.store.era
        while after <= self.store.version:
            if self._has_changed(table, after):
                break
            remaining_s = waits_until - eventlet.hubs.get_hub().clock()
            if remaining_s <= 0:
                break
            with eventlet.Timeout(remaining_s, exception=False):
                self.store.changed.wait()
            if self.store.down or self.store.era != era:
                return self._lose(Loss.CLOSED, waits_until)
        if self.store.down:
            return Err(StoreError('status 503'))
        if after > self.store.version:
            return Err(HistoryTruncated())
        changes = self._changes(table, after)
        loss = self._next_loss(changes, table)
        if loss is not None:
            return self._lose(loss, waits_until)
        eventlet.sleep(LATENCY_S / 2)
        return Ok(changes)

    def _next_loss(self, changes: Changes, table: str) -> Loss | None:
        """Return how an answer is lost, or None if it arrives."""
        if self.store.silent:
            return Loss.SILENT
        if not changes.written and not changes.removed:
            return None
        for losses in self.store.losses:
            loss = losses.take(self.node, (table,))
            if loss is not None:
                return loss
        return None

    def _lose(
        self, loss: Loss, waits_until: float
    ) -> Result[Changes, StoreError | HistoryTruncated]:
        now = eventlet.hubs.get_hub().clock()
        if loss is Loss.SILENT:
            eventlet.sleep(waits_until + CALL_LIMIT_S - now)
        elif loss is Loss.HALF:
            eventlet.sleep(max(0, waits_until - now) + CALL_LIMIT_S)
        return Err(StoreError(loss.value, lost=True))

    def _has_changed(self, table: str, after: int) -> bool:
        changes = self._changes(table, after)
        return bool(changes.written or changes.removed)

    def _changes(self, table: str, after: int) -> Changes:
        key = f'{table}/{ROW}'
        row = self.store.rows.get(key)
        written = {key: row} if row is not None and row.version > after else {}
        removed = [key] if self.store.removed.get(key, 0) > after else []
        return Changes(
            self.store.version,
            written,
            frozenset(removed),
            era=self.store.era,
        )


class FollowingNode:
    """A node that follows the tables; the first ones are watchers."""

    def __init__(
        self, fleet: 'SimulatedFollowers', number: int, seed: int
    ) -> None:
        """Start to follow."""
        self.fleet = fleet
        self.number = number
        self.tables = Tables(builders.documents(), fleet.clock)
        self.tables.follow(
            FollowerContext(
                StoreClient(fleet.store, number),
                builders.log(),
                random.Random(seed),
                lambda: min(WATCHERS, fleet.size),
            ),
            self,
            self.fetch,
            Handlers(_ignore, _ignore, _ignore),
        )

    def watchers(self) -> Sequence[Address]:
        """Return the watchers that this node polls."""
        if self.number < WATCHERS:
            return ()
        return [(str(number), 1) for number in range(WATCHERS)]

    def peers(self) -> Sequence[Address]:
        """Return all other nodes."""
        numbers = range(self.fleet.size)
        return [(str(each), 1) for each in numbers if each != self.number]

    def fetch(
        self, peer: Address, known: Mapping[str, Position], wait: dt.timedelta
    ) -> Result[TableCopies, str]:
        """Fetch changed tables from another node."""
        self.fleet.fetches += 1
        called_at = self.fleet.clock.monotonic()
        source = self.fleet.nodes[int(peer[0])].tables.copy_source
        eventlet.sleep(LATENCY_S)
        fetched = copies.unpack(source.answer(known, wait))
        for losses in self.fleet.store.losses:
            changed = list(fetched.tables)
            if losses.peers and losses.take(self.number, changed):
                limit = called_at + wait + copies.ANSWER_TIMEOUT
                rest = limit - self.fleet.clock.monotonic()
                eventlet.sleep(max(0, rest.total_seconds()))
                return Err('no answer')
        return Ok(fetched)

    def has(self, table: str, version: int) -> bool:
        """Return whether this node acts on a change of the row of a table."""
        row = self.row(table)
        stored = self.fleet.store.rows.get(f'{table}/{ROW}')
        if stored is None or row is None:
            return row is stored
        return row.version >= version

    def is_current(self, table: str) -> bool:
        """Return whether this node acts on what the store has."""
        stored = self.fleet.store.rows.get(f'{table}/{ROW}')
        return self.row(table) == stored

    def row(self, table: str) -> Row | None:
        """Return the row of a table that this node acts on, if any."""
        mirrors = {
            mirror.table: mirror
            for mirror in (
                self.tables.operator,
                self.tables.endpoints,
                self.tables.router,
            )
        }
        return mirrors[table].current().get(f'{table}/{ROW}')


class SimulatedFollowers:
    """Nodes of one failure domain and their store."""

    def __init__(self, clock: VirtualClock, size: int, seed: int) -> None:
        """Start the nodes."""
        self.clock = clock
        self.size = size
        self.store = SimulatedStore()
        self.fetches = 0
        self.nodes: list[FollowingNode] = []
        rng = random.Random(seed)
        for number in range(size):
            node = FollowingNode(self, number, rng.randrange(2**32))
            self.nodes.append(node)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        eventlet.sleep(seconds)

    def time_to_know(self, table: str, version: int) -> float:
        """Return the seconds until all nodes act on a change."""
        began_s = self.clock.elapsed_s
        while not all(node.has(table, version) for node in self.nodes):
            if self.clock.elapsed_s - began_s > 60:
                raise AssertionError('a node never learns of the change')
            eventlet.sleep(0.01)
        return self.clock.elapsed_s - began_s


def _ignore() -> None:
    """Handle a change."""
