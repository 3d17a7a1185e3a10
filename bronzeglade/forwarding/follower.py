"""Keeps the node's copies of tables current, as the store tells changes."""

import dataclasses
import datetime as dt
import random
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import hubs
from result import Err, Ok, Result

from bronzeglade.adapters.feed import (
    Changes,
    HistoryGone,
    TableFeed,
)
from bronzeglade.adapters.table import StoreError
from bronzeglade.coordination.mirror import Mirror
from bronzeglade.forwarding.copies import TableCopy
from bronzeglade.forwarding.log import Log

# How long the store keeps a call waiting for changes of the table that is
# watched closest. A store that accepts calls and does not answer is noticed
# after this time and the call's limit; the calls for the other tables, which
# wait longer to save calls, are given up then.
CLOSE_WAIT = dt.timedelta(seconds=2)
LONG_WAIT = dt.timedelta(seconds=12)
# Pauses between calls of a store that gives no answer.
SHORTEST_PAUSE = dt.timedelta(milliseconds=150)
LONGEST_PAUSE = dt.timedelta(milliseconds=800)
# How often a table looks whether the probe of another one has succeeded.
PROBE_CHECK = dt.timedelta(milliseconds=50)
# Every change wakes the waiting calls of all nodes that follow the store. After
# one a node pauses for longer the more of them there are, so that changes in
# quick succession cost these nodes together about fifty calls a second and
# table.
COALESCING_PER_NODE = dt.timedelta(milliseconds=25)
LONGEST_COALESCING = dt.timedelta(milliseconds=400)
# Longest time of a call that has changes to tell, on a calm day.
LONGEST_CALL = dt.timedelta(milliseconds=100)
_MILLISECOND = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerContext:
    """What the copies of a node work with.

    `nodes` returns how many nodes follow the store.
    """

    store: TableFeed
    log: Log
    random: random.Random
    nodes: Callable[[], int]


class _GivenUpError(Exception):
    """The store gives no answer to other calls."""


class Follower:
    """One table, and what is done when it changes."""

    def __init__(
        self,
        context: FollowerContext,
        mirror: Mirror,
        on_change: Callable[[], None],
        wait: dt.timedelta = LONG_WAIT,
    ) -> None:
        """Follow a table.

        Args:
          context: parts of the node.
          mirror: the copy.
          on_change: called after each change, and when rows that are missing
            have become surely gone.
          wait: how long a call waits for changes.
        """
        self.context = context
        self.mirror = mirror
        self.on_change = on_change
        self.wait = wait
        self.on_loss: list[Callable[[], None]] = []
        # The table whose calls probe a lost store; this one waits for it.
        self.probe: Mirror | None = None
        self.caller: Any = None
        self.pause = SHORTEST_PAUSE
        self.must_read = True

    def follow_next(self) -> None:
        """Wait for the next change and take it; one turn of a loop."""
        if self._waits_for_probe():
            eventlet.sleep(PROBE_CHECK.total_seconds())
            return
        if self.must_read:
            self._read_whole()
            return
        outcome = self._changes()
        if isinstance(outcome, Ok):
            changed = self.mirror.apply(outcome.ok_value)
            self._reached()
            if changed:
                self.on_change()
                self._coalesce()
            return
        error = outcome.err_value
        if isinstance(error, HistoryGone):
            self.context.log.event(
                'history_gone', table=self.mirror.table, after=self.mirror.as_of
            )
            self.must_read = True
        else:
            self._missed(error)

    def give_up(self) -> None:
        """End a call that waits for changes: the store does not answer."""
        hubs.get_hub().schedule_call_global(0, self._interrupt, self.caller)

    def _interrupt(self, caller: Any) -> None:
        # The call may have ended since it was given up.
        if caller is not None and caller is self.caller:
            caller.throw(_GivenUpError())

    def take(self, copy: TableCopy) -> bool:
        """Take the copy of another node; return whether it is newer."""
        if copy.snapshot.as_of < self.mirror.as_of:
            return False
        newer = self.mirror.replace(copy.snapshot, lapsed=copy.lapsed.keys())
        if copy.lapsed:
            self.mirror.take_lapsed(copy.lapsed, copy.settling)
            eventlet.spawn_after(self._settling_s(), self.on_change)
        if newer or copy.lapsed:
            self.on_change()
        return newer

    def _waits_for_probe(self) -> bool:
        """Return whether another table finds out when the store is back."""
        return (
            self.probe is not None
            and self.probe.failing_since is not None
            and self.mirror.failing_since is not None
        )

    def _changes(self) -> Result[Changes, StoreError | HistoryGone]:
        # A failing store is asked for an answer at once: it may take a call and
        # never answer it, and what changes after it is back must be told from
        # what changed while it was away.
        failing = self.mirror.failing_since is not None
        wait = dt.timedelta() if failing else self.wait
        self.caller = eventlet.getcurrent()
        try:
            return self.context.store.changes(
                self.mirror.table, self.mirror.as_of, wait
            )
        except _GivenUpError:
            return Err(StoreError('another call had no answer'))
        finally:
            self.caller = None

    def _coalesce(self) -> None:
        """Let further changes come together before the next call."""
        longest = coalescing_pause(self.context.nodes())
        spread = 0.3 + 0.7 * self.context.random.random()
        eventlet.sleep(longest.total_seconds() * spread)

    def _read_whole(self) -> None:
        outcome = self.context.store.snapshot(self.mirror.table)
        if isinstance(outcome, Err):
            self._missed(outcome.err_value)
            return
        self.must_read = False
        self.mirror.replace(outcome.ok_value)
        self._reached()
        self.on_change()

    def _reached(self) -> None:
        self.pause = SHORTEST_PAUSE
        failing = self.mirror.failing_since
        if self.mirror.record_success() and failing is not None:
            lasted = self.mirror.clock.monotonic() - failing
            self.context.log.event(
                'store_back',
                table=self.mirror.table,
                lasted_ms=lasted // _MILLISECOND,
            )
            eventlet.spawn_after(self._settling_s(), self.on_change)

    def _settling_s(self) -> float:
        until = self.mirror.settled_at or dt.timedelta()
        left = until - self.mirror.clock.monotonic()
        return left.total_seconds() + 0.01

    def _missed(self, error: StoreError) -> None:
        if self.mirror.record_failure():
            self.context.log.event(
                'store_lost', table=self.mirror.table, detail=error.detail
            )
            for action in self.on_loss:
                action()
        spread = 0.5 + self.context.random.random()
        eventlet.sleep(self.pause.total_seconds() * spread)
        self.pause = min(LONGEST_PAUSE, self.pause * 2)


def coalescing_pause(nodes: int) -> dt.timedelta:
    """Return the longest pause after a change.

    Args:
      nodes: how many nodes follow the tables.
    """
    return min(LONGEST_COALESCING, COALESCING_PER_NODE * nodes)


def propagation_time(nodes: int) -> dt.timedelta:
    """Return the time in which a change reaches all nodes of a calm fleet.

    Args:
      nodes: how many nodes follow the tables.
    """
    # One call of the store, and one between nodes.
    return coalescing_pause(nodes) + 2 * LONGEST_CALL
