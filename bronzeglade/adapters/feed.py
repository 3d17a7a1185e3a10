"""Types for reading whole tables and following their changes."""

import dataclasses
import datetime as dt
from typing import Protocol

from result import Result

from bronzeglade.adapters.table import Row, StoreError

# Era and version of the store. Later states compare greater.
Position = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows of a table by key, as of a version of the store.

    `now` is the monotonic time of the store at the read. `era` counts the times
    that the store was restored from a backup; versions of different eras cannot
    be compared.
    """

    as_of: int
    rows: dict[str, Row]
    now: dt.timedelta = dt.timedelta()
    era: int = 0

    @property
    def position(self) -> Position:
        """The state of the store that was read."""
        return self.era, self.as_of


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Rows written and keys removed, up to the version `as_of` of the store."""

    as_of: int
    written: dict[str, Row]
    removed: frozenset[str] = frozenset()
    now: dt.timedelta = dt.timedelta()
    era: int = 0

    @property
    def position(self) -> Position:
        """The state of the store that was read."""
        return self.era, self.as_of


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryTruncated:
    """The store no longer has the requested changes; read a new snapshot."""


class TableFeed(Protocol):
    """Reads that keep a copy of a table up to date."""

    def snapshot(self, table: str) -> Result[Snapshot, StoreError]:
        """Read a whole table."""

    def changes(
        self, table: str, after: int, wait: dt.timedelta
    ) -> Result[Changes, StoreError | HistoryTruncated]:
        """Wait for changes after a version, for at most the time `wait`."""
