"""A node's copy of one table of the store.

The store's version rises with every transaction, so the copy with the higher
version is the newer one, whether it comes from the store or from another node.
A copy never reverts to a lower version, unless the store itself was restored
from a backup: this begins a new era, in which versions are given out again. Any
state of a later era is newer, and a copy never combines rows of two eras.

Rows that are removed during an outage of the store may have expired only
because their owners could not renew them. Such rows are called lapsed and are
kept until their owners have had time to write them again. If another node
reached the store just before, only this node had lost it, and owners could
renew their rows: a removal is meant then.

A restored store has lost its last seconds until their writers have repeated
them. Rows that are missing from it are lapsed, too, and rows that had been
removed before count as removed, until they are written again or their remover
has had time to remove them again.
"""

import datetime as dt
from collections.abc import Collection, Iterable, Mapping

from bronzeglade.adapters.feed import Changes, Position, Snapshot
from bronzeglade.adapters.table import Row
from bronzeglade.clock import Clock

# Time after an outage of the store by which owners have rewritten the rows that
# expired during the outage.
SETTLING_TIME = dt.timedelta(milliseconds=2500)
# Time after a restoration of the store by which its writers have repeated what
# was lost. Longer than the time in which a row expires.
RESTORING_TIME = dt.timedelta(seconds=5)
# How long a removal counts as meant after another node reached the store.
# Shorter than the time in which a row expires, and longer than the interval
# between two calls of a node that has lost the store.
PEER_CONTACT_TIME = dt.timedelta(seconds=1)
# Maximum number of removed keys to keep; the oldest are evicted first. Other
# nodes keep a lapsed row only for seconds, so a few hundred would suffice.
MAX_REMOVED_KEYS = 4096


class TableMirror:
    """Rows of one table at version `as_of`.

    `loaded` is set once the table has been read; the version of an empty store
    is 0, as it is before the first read. `changed_version` is the version at
    which this copy last changed. The rows may have changed in the store
    somewhat earlier. `era` is that of all versions.
    """

    def __init__(self, table: str, clock: Clock) -> None:
        """Start with an empty copy.

        Args:
          table: name of the table.
          clock: only its monotonic time is used.
        """
        self.table = table
        self.clock = clock
        self.rows: dict[str, Row] = {}
        self.loaded = False
        self.era = 0
        self.as_of = 0
        self.changed_version = 0
        self.failing_since: dt.timedelta | None = None
        self.settled_at: dt.timedelta | None = None
        # When another node was last known to reach the store.
        self.peer_contact_at: dt.timedelta | None = None
        # When the store, or a node that reaches it, last confirmed this copy.
        self.confirmed_at: dt.timedelta | None = None
        # Version from which this era was followed, and until when the last
        # writes before it may be repeated.
        self.restored_at = 0
        self.restoring_until: dt.timedelta | None = None
        # Rows of a restored store that had been removed before.
        self.outdated: dict[str, Row] = {}
        self.lapsed: dict[str, Row] = {}
        # Keys known to be removed and not lapsed, the oldest first.
        self.removed_keys: dict[str, None] = {}
        self.store_clock_offset = dt.timedelta()

    @property
    def position(self) -> Position:
        """The state of the store that this is a copy of."""
        return self.era, self.as_of

    @property
    def changed_position(self) -> Position:
        """The state of the store at which this copy last changed."""
        return self.era, self.changed_version

    def current(self) -> dict[str, Row]:
        """Return the rows by key, including lapsed rows."""
        if self.lapsed and self.is_settled():
            self._record_removed(self.lapsed.keys() - self.rows.keys())
            self.lapsed.clear()
        return {**self.lapsed, **self.rows}

    def stored(self) -> dict[str, Row]:
        """Return the rows that the store has, by key."""
        return {**self.outdated, **self.rows}

    def replace(
        self, snapshot: Snapshot, lapsed: Collection[str] | None = None
    ) -> bool:
        """Replace the copy by a snapshot, unless the snapshot is older.

        Args:
          snapshot: the table.
          lapsed: keys of the lapsed rows of the node that the snapshot comes
            from; None for a snapshot from the store.

        Returns:
          Whether the rows changed or were read for the first time.
        """
        if snapshot.position < self.position:
            return False
        is_restored = self.loaded and snapshot.era > self.era
        before = self.stored()
        if is_restored:
            self._begin_era(snapshot)
        self.outdated = {
            key: row
            for key, row in self.outdated.items()
            if snapshot.rows.get(key) == row
        }
        rows = {
            key: row
            for key, row in snapshot.rows.items()
            if key not in self.outdated
        }
        removed = self.rows.keys() - rows.keys()
        changed = not self.loaded or is_restored or before != snapshot.rows
        if is_restored:
            self.lapsed.update({key: self.rows[key] for key in removed})
        elif lapsed is None:
            self._keep_lapsed(removed)
        else:
            self._record_removed(removed - set(lapsed))
        self._record_written(rows)
        self.loaded = True
        self.era = snapshot.era
        self.as_of = snapshot.as_of
        if changed:
            self.changed_version = self.as_of
        self.rows = rows
        self._sync_store_clock(snapshot.now)
        if lapsed is None:
            self.confirmed_at = self.clock.monotonic()
        return changed

    def apply(self, changes: Changes) -> bool:
        """Apply changes, unless they are older; return whether rows changed.

        Changes of a later era are not applied: rows that the store has lost are
        not among them, so a snapshot is needed.
        """
        if changes.era != self.era or changes.as_of < self.as_of:
            return False
        self.confirmed_at = self.clock.monotonic()
        self._keep_lapsed(changes.removed)
        self._record_written(changes.written)
        self.as_of = changes.as_of
        self._sync_store_clock(changes.now)
        for key in changes.removed:
            self.rows.pop(key, None)
            self.outdated.pop(key, None)
        self.rows.update(changes.written)
        changed = bool(changes.written or changes.removed)
        if changed:
            self.changed_version = self.as_of
        return changed

    def store_time(self) -> dt.timedelta:
        """Return an estimate of the store's monotonic time."""
        return self.clock.monotonic() + self.store_clock_offset

    def record_success(self) -> bool:
        """Record an answer of the store; return whether it ends an outage."""
        if self.failing_since is None:
            return False
        self.failing_since = None
        self.settled_at = self.clock.monotonic() + SETTLING_TIME
        return True

    def record_failure(self) -> bool:
        """Record a failed call; return whether it begins an outage."""
        if self.failing_since is not None:
            return False
        self.failing_since = self.clock.monotonic()
        return True

    def record_peer_contact(self) -> None:
        """Record that another node reaches the store, and sent its copy."""
        self.peer_contact_at = self.clock.monotonic()
        self.confirmed_at = self.peer_contact_at

    def failing_for(self) -> dt.timedelta:
        """Return how long the store has been unavailable, 0 if it is not."""
        if self.failing_since is None:
            return dt.timedelta()
        return self.clock.monotonic() - self.failing_since

    def is_settled(self) -> bool:
        """Return whether the settling time after the last outage has passed.

        Until then, missing rows count as lapsed, not as removed.
        """
        if self.failing_since is not None:
            return False
        if self.settled_at is None:
            return True
        return self.clock.monotonic() >= self.settled_at

    def settle(self) -> None:
        """Let rows of a restored store count that were not removed again."""
        if self.outdated and not self.is_restoring():
            self.rows = self.stored()
            self._record_written(self.outdated)
            self.outdated = {}

    def is_restoring(self) -> bool:
        """Return whether writers may not have repeated their lost writes."""
        until = self.restoring_until
        return until is not None and self.clock.monotonic() < until

    def settling_remaining(self) -> dt.timedelta:
        """Return the remaining time until the table is settled."""
        if self.settled_at is None:
            return dt.timedelta()
        return max(dt.timedelta(), self.settled_at - self.clock.monotonic())

    def take_lapsed(
        self, rows: Mapping[str, Row], settling: dt.timedelta
    ) -> None:
        """Add the lapsed rows of a peer.

        A peer that was disconnected may have missed the removal of a row and
        report it as lapsed. Rows that this node knows to be removed are not
        added.

        Args:
          rows: lapsed rows of the peer, by key.
          settling: remaining time for their owners to write them again.
        """
        kept = {
            key: row
            for key, row in rows.items()
            if key not in self.removed_keys
        }
        if kept:
            self.lapsed.update(kept)
            until = self.clock.monotonic() + settling
            self.settled_at = max(self.settled_at or until, until)

    def _begin_era(self, snapshot: Snapshot) -> None:
        now = self.clock.monotonic()
        until = now + SETTLING_TIME
        self.settled_at = max(self.settled_at or until, until)
        self.restoring_until = now + RESTORING_TIME
        self.restored_at = snapshot.as_of
        self.outdated = {
            key: row
            for key, row in snapshot.rows.items()
            if key in self.removed_keys
        }

    def _keep_lapsed(self, removed: Iterable[str]) -> None:
        """Keep removed rows as lapsed during an outage of the store.

        Without an outage, a removal is intended, so the rows are not kept, nor
        if the outage affects only this node.
        """
        if self.failing_since is None or self._store_serves_others():
            self._record_removed(removed)
            return
        for key in removed:
            row = self.rows.get(key)
            if row is not None:
                self.lapsed[key] = row

    def _store_serves_others(self) -> bool:
        if self.peer_contact_at is None:
            return False
        age = self.clock.monotonic() - self.peer_contact_at
        return age <= PEER_CONTACT_TIME

    def _record_removed(self, removed: Iterable[str]) -> None:
        for key in removed:
            self.removed_keys[key] = None
            self.lapsed.pop(key, None)
        while len(self.removed_keys) > MAX_REMOVED_KEYS:
            self.removed_keys.pop(next(iter(self.removed_keys)))

    def _record_written(self, written: Iterable[str]) -> None:
        for key in written:
            self.removed_keys.pop(key, None)

    def _sync_store_clock(self, store_time: dt.timedelta) -> None:
        if store_time:
            self.store_clock_offset = store_time - self.clock.monotonic()
