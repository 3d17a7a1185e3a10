"""A node's copy of one table of the store.

Versions of the store rise with every transaction, so of two copies the one
with the higher version is newer, wherever it comes from. A copy never goes
back to an older version.
"""

import datetime as dt
from collections.abc import Collection, Iterable, Mapping

from bronzeglade.adapters.feed import Changes, Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.clock import Clock

# A table is consistent again this long after its store has come back: rows
# that expired while it was away are written anew by then.
SETTLING = dt.timedelta(milliseconds=2500)
# Keys of removed rows that are remembered; the oldest are dropped first. Other
# nodes keep a row as lapsed for seconds, so a few hundred would do.
REMEMBERED = 4096


class Mirror:
    """Rows of one table as of a version; no version before the first read.

    `changed_at` is the version of the last change of the rows, or later.
    """

    def __init__(self, table: str, clock: Clock) -> None:
        """Hold nothing.

        Args:
          table: its name.
          clock: monotonic time.
        """
        self.table = table
        self.clock = clock
        self.rows: dict[str, Row] = {}
        self.as_of = 0
        self.changed_at = 0
        self.failing_since: dt.timedelta | None = None
        self.settled_at: dt.timedelta | None = None
        self.lapsed: dict[str, Row] = {}
        # Keys of rows that are surely gone.
        self.gone: dict[str, None] = {}
        self.offset = dt.timedelta()

    @property
    def loaded(self) -> bool:
        """Whether the table was ever read."""
        return self.as_of > 0

    def current(self) -> dict[str, Row]:
        """Return the rows, with those that may only have lapsed."""
        if self.lapsed and self.is_settled():
            self._note_gone(self.lapsed.keys() - self.rows.keys())
            self.lapsed.clear()
        return {**self.lapsed, **self.rows}

    def replace(
        self, snapshot: Snapshot, lapsed: Collection[str] | None = None
    ) -> bool:
        """Take a whole table; return whether it is newer than the copy.

        Args:
          snapshot: the table.
          lapsed: when it is the copy of a node, the keys of rows that this
            node keeps since they may only have lapsed.
        """
        if snapshot.as_of < self.as_of:
            return False
        changed = snapshot.rows != self.rows or not self.loaded
        removed = self.rows.keys() - snapshot.rows.keys()
        if lapsed is None:
            self._keep_lapsed(removed)
        else:
            self._note_gone(removed - set(lapsed))
        self._note_back(snapshot.rows)
        self.as_of = max(1, snapshot.as_of)
        if changed:
            self.changed_at = self.as_of
        self.rows = dict(snapshot.rows)
        self._set_clock(snapshot.now)
        return changed

    def apply(self, changes: Changes) -> bool:
        """Take changes that follow the copy; return whether any counts."""
        if changes.as_of < self.as_of:
            return False
        self._keep_lapsed(changes.removed)
        self._note_back(changes.written)
        self.as_of = changes.as_of
        self._set_clock(changes.now)
        for key in changes.removed:
            self.rows.pop(key, None)
        self.rows.update(changes.written)
        changed = bool(changes.written or changes.removed)
        if changed:
            self.changed_at = self.as_of
        return changed

    def store_time(self) -> dt.timedelta:
        """Return the store's monotonic time, which all nodes share."""
        return self.clock.monotonic() + self.offset

    def reached(self) -> bool:
        """Note that the store answered; return whether it was lost before."""
        if self.failing_since is None:
            return False
        self.failing_since = None
        self.settled_at = self.clock.monotonic() + SETTLING
        return True

    def missed(self) -> bool:
        """Note that the store gave no answer; return whether it did before."""
        if self.failing_since is not None:
            return False
        self.failing_since = self.clock.monotonic()
        return True

    def failing_for(self) -> dt.timedelta:
        """Return since how long the store has given no answer."""
        if self.failing_since is None:
            return dt.timedelta()
        return self.clock.monotonic() - self.failing_since

    def is_settled(self) -> bool:
        """Return whether rows that are missing now are surely gone."""
        if self.failing_since is not None:
            return False
        if self.settled_at is None:
            return True
        return self.clock.monotonic() >= self.settled_at

    def settling_left(self) -> dt.timedelta:
        """Return how long rows may still have lapsed only."""
        if self.settled_at is None:
            return dt.timedelta()
        return max(dt.timedelta(), self.settled_at - self.clock.monotonic())

    def take_lapsed(
        self, rows: Mapping[str, Row], settling: dt.timedelta
    ) -> None:
        """Keep rows that a peer keeps since they may only have lapsed.

        The peer may have been cut off and have heard of an old removal only
        now. What this node knows to be gone does not come back by that.

        Args:
          rows: by key.
          settling: how long they may still be written anew.
        """
        kept = {key: row for key, row in rows.items() if key not in self.gone}
        if kept:
            self.lapsed.update(kept)
            until = self.clock.monotonic() + settling
            self.settled_at = max(self.settled_at or until, until)

    def _keep_lapsed(self, removed: Iterable[str]) -> None:
        """Keep rows that were removed while the store gave no answer.

        A row that is removed later was removed on purpose.
        """
        if self.failing_since is None:
            self._note_gone(removed)
            return
        for key in removed:
            row = self.rows.get(key)
            if row is not None:
                self.lapsed[key] = row

    def _note_gone(self, removed: Iterable[str]) -> None:
        for key in removed:
            self.gone[key] = None
            self.lapsed.pop(key, None)
        while len(self.gone) > REMEMBERED:
            self.gone.pop(next(iter(self.gone)))

    def _note_back(self, written: Iterable[str]) -> None:
        for key in written:
            self.gone.pop(key, None)

    def _set_clock(self, store_time: dt.timedelta) -> None:
        if store_time:
            self.offset = store_time - self.clock.monotonic()
