"""Reads of whole tables and of what has changed in them."""

import dataclasses
import datetime as dt
from typing import Protocol

from result import Result

from bronzeglade.adapters.table import Row, StoreError


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Every row of a table by key, as of a version of the store.

    `now` is the store's own monotonic time.
    """

    as_of: int
    rows: dict[str, Row]
    now: dt.timedelta = dt.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Rows that were written and keys that were removed, up to a version."""

    as_of: int
    written: dict[str, Row]
    removed: frozenset[str] = frozenset()
    now: dt.timedelta = dt.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes that were asked for."""


class TableFeed(Protocol):
    """Reads that keep a copy of a table current."""

    def snapshot(self, table: str) -> Result[Snapshot, StoreError]:
        """Read a whole table."""

    def changes(
        self, table: str, after: int, wait: dt.timedelta
    ) -> Result[Changes, StoreError | HistoryGone]:
        """Wait for changes after a version, at most for a time."""
