"""Keeps a node's copy of a table current by long-polling the store.

The answer of a waiting call may be lost while the store is well, and nothing on
the connection tells. Two signs lead to a second call, which does not wait: the
answer is overdue, or the store has a newer version than the copy. The version
rises with each change of any table, so it says that rows may have changed, and
never hides that they have.

A store that was restored from a backup begins a new era. The first answer that
tells of it leads to a new snapshot, whatever its content.
"""

import dataclasses
import datetime as dt
import random
from collections.abc import Callable, Collection
from typing import Any

import eventlet
from eventlet import hubs
from result import Err, Ok, Result

from bronzeglade.adapters.feed import (
    Changes,
    HistoryTruncated,
    Position,
    Snapshot,
    TableFeed,
)
from bronzeglade.adapters.table import StoreError
from bronzeglade.coordination.table_mirror import RESTORING_TIME, TableMirror
from bronzeglade.forwarding.copies import TableCopy
from bronzeglade.forwarding.log import Log

# How long a call waits for changes. The calls for one table (the probe) wait
# only PROBE_WAIT: a store that accepts calls without answering is detected
# after this time plus the call's time limit. The calls for the other tables,
# which wait longer to save calls, are then cancelled. The answers to the probe
# also tell the version of the store, so that a lost answer is found in less
# than two seconds.
PROBE_WAIT = dt.timedelta(milliseconds=1500)
LONG_WAIT = dt.timedelta(seconds=12)
# Minimum interval of the calls that check a table while others change. With it
# and a lost answer of a watcher, copies are current again in three seconds.
CHECK_INTERVAL = dt.timedelta(milliseconds=1800)
# An answer is overdue this long after the time that its call asked to wait.
OVERDUE_TIME = dt.timedelta(milliseconds=350)
# Connections that may be closed in a row in place of an answer. With more of
# them, the store itself counts as lost.
MAX_LOST_ANSWERS = 2
# Back-off between calls while the store does not answer.
MIN_BACKOFF = dt.timedelta(milliseconds=150)
MAX_BACKOFF = dt.timedelta(milliseconds=800)
# How often a follower checks whether the probe has reached the store again.
PROBE_CHECK_INTERVAL = dt.timedelta(milliseconds=50)
# Every change wakes the waiting calls of all nodes that follow the store. After
# a change each node delays its next call in proportion to the number of these
# nodes, which limits their calls during a series of changes to about 50 per
# second and table in total.
COALESCING_DELAY_PER_NODE = dt.timedelta(milliseconds=25)
MAX_COALESCING_DELAY = dt.timedelta(milliseconds=400)
# Maximum duration of a call that returns changes, under normal conditions.
MAX_CALL_TIME = dt.timedelta(milliseconds=100)
# Timers fire after the time that they wait for.
TIMER_MARGIN_S = 0.01
_MILLISECOND = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerContext:
    """Dependencies that all followers of a node share.

    `nodes` returns the number of nodes that follow the store.
    """

    store: TableFeed
    log: Log
    rng: random.Random
    nodes: Callable[[], int]


class _CallCancelledError(Exception):
    """Raised in a waiting call when the store is found not to answer."""


class _AnswerLostError(Exception):
    """Raised in a waiting call when its answer is found to be lost."""


@dataclasses.dataclass(slots=True, eq=False)
class WaitingCall:
    """A call for changes that has no answer yet, made at a monotonic time.

    `overdue` is set once its answer should have arrived.
    """

    thread: Any
    began_at: dt.timedelta
    overdue: bool = False


class Follower:
    """Follows one table of the store and reports its changes."""

    def __init__(
        self,
        context: FollowerContext,
        mirror: TableMirror,
        on_change: Callable[[], None],
        wait: dt.timedelta = LONG_WAIT,
    ) -> None:
        """Create a follower that starts with a snapshot of the table.

        Args:
          context: shared dependencies.
          mirror: local copy of the table.
          on_change: called after each change, and when the settling period
            after an outage ends and lapsed rows count as removed. After an
            exception it is called again with the next answer.
          wait: how long a call waits for changes.
        """
        self.context = context
        self.mirror = mirror
        self.on_change = on_change
        self.wait = wait
        self.on_store_lost: list[Callable[[], None]] = []
        # The table whose calls probe a lost store; None for that table itself.
        self.probe: TableMirror | None = None
        # Called with the state of the store, after each answer.
        self.on_version: list[Callable[[Position], None]] = []
        self.waiting_call: WaitingCall | None = None
        self.backoff = MIN_BACKOFF
        self.lost_answers = 0  # since the last answer
        # Whether the last call was overdue, so that two others had no answer.
        self.was_overdue = False
        # The state of the store that the probe saw last, and when.
        self.store_position: Position = (0, 0)
        self.version_seen_at = mirror.clock.monotonic()
        self.confirming = False
        self.check_scheduled = False
        self.next_check_at = self.version_seen_at
        self.needs_snapshot = True
        # Set while the last change may not have been handled completely.
        self.unhandled = False

    def follow_next(self) -> None:
        """Wait for the next change and apply it; the body of a loop."""
        if self._waits_for_probe():
            eventlet.sleep(PROBE_CHECK_INTERVAL.total_seconds())
            return
        if self.needs_snapshot:
            self._load_snapshot()
            return
        outcome = self._fetch_changes()
        if outcome is None:  # another call has brought the answer
            return
        if isinstance(outcome, Ok):
            if self._begins_era(outcome.ok_value):
                return
            changed = self.mirror.apply(outcome.ok_value)
            self._record_success()
            self._report_version()
            if changed or self.unhandled:
                self._handle_change()
                self._coalesce()
            return
        error = outcome.err_value
        if isinstance(error, HistoryTruncated):
            self.context.log.event(
                'history_truncated',
                table=self.mirror.table,
                after=self.mirror.as_of,
            )
            self.needs_snapshot = True
        elif self.was_overdue or not self._may_be_lost_answer(error):
            self._record_failure(error)

    def cancel_call(self) -> None:
        """Cancel the waiting call, because the store does not answer."""
        self._end_call(self.waiting_call, _CallCancelledError)

    def restart_call(self) -> None:
        """Make the waiting call again, since the store has moved."""
        self._end_call(self.waiting_call, _AnswerLostError)

    def check_version(self, position: Position) -> None:
        """Check soon that no answer was lost.

        Args:
          position: state of the store, as another table's answer tells.
        """
        self.store_position = position
        self.version_seen_at = self.mirror.clock.monotonic()
        if self.check_scheduled or not self._may_lack_changes():
            return
        self.check_scheduled = True
        # The answer with the change may be on its way.
        delay = max(MAX_CALL_TIME, self.next_check_at - self.version_seen_at)
        eventlet.spawn_after(delay.total_seconds(), self._check)

    def _check(self) -> None:
        self.check_scheduled = False
        if self.waiting_call is not None and self._may_lack_changes():
            self.next_check_at = self.mirror.clock.monotonic() + CHECK_INTERVAL
            self._confirm(self.waiting_call)

    def _may_lack_changes(self) -> bool:
        """Return whether a call waits since before the store's version."""
        call = self.waiting_call
        return (
            call is not None
            and call.began_at < self.version_seen_at
            and self.mirror.position < self.store_position
        )

    def _confirm(self, call: WaitingCall) -> None:
        """Ask for changes that the answer to a waiting call should bring.

        The answer may be lost, too, so that another call follows if it is
        overdue.
        """
        if self.confirming:
            return
        self.confirming = True
        second = eventlet.spawn_after(
            OVERDUE_TIME.total_seconds(), self._ask, call
        )
        try:
            if self._ask(call):
                second.cancel()
        finally:
            self.confirming = False

    def _ask(self, call: WaitingCall) -> bool:
        """Ask for changes; return whether it needs no further call."""
        if call is not self.waiting_call:
            return True
        outcome = self.context.store.changes(
            self.mirror.table, self.mirror.as_of, dt.timedelta()
        )
        if call is not self.waiting_call:
            return True
        if isinstance(outcome, Ok):
            self._apply_confirmed(call, outcome.ok_value)
        elif isinstance(outcome.err_value, HistoryTruncated):
            self._end_call(call, _AnswerLostError)
        else:
            return False
        return True

    def _begins_era(self, changes: Changes) -> bool:
        """Return whether the store was restored, and all rows must be read."""
        if changes.era <= self.mirror.era:
            return False
        self.needs_snapshot = True
        return True

    def _apply_confirmed(self, call: WaitingCall, changes: Changes) -> None:
        if self._begins_era(changes):
            self._end_call(call, _AnswerLostError)
            return
        changed = self.mirror.apply(changes)
        self.lost_answers = 0
        self._report_version()
        if changed or call.overdue:
            waited = self.mirror.clock.monotonic() - call.began_at
            self._log_lost_answer(waited // _MILLISECOND)
            self._end_call(call, _AnswerLostError)
        if changed:
            self._handle_change()

    def _confirm_overdue(self, call: WaitingCall) -> None:
        call.overdue = True
        if self.mirror.failing_since is None:
            self._confirm(call)

    def _end_call(
        self, call: WaitingCall | None, error: type[Exception]
    ) -> None:
        hubs.get_hub().schedule_call_global(0, self._raise_in, call, error)

    def _raise_in(
        self, call: WaitingCall | None, error: type[Exception]
    ) -> None:
        # The call may have returned meanwhile.
        if call is not None and call is self.waiting_call:
            call.thread.throw(error())

    def apply_copy(self, copy: TableCopy) -> bool:
        """Apply a copy from another node; return whether it was newer."""
        if copy.snapshot.position < self.mirror.position:
            return False
        newer = self._replace(copy.snapshot, copy.lapsed.keys())
        if copy.lapsed:
            self.mirror.take_lapsed(copy.lapsed, copy.settling)
            eventlet.spawn_after(self._settling_s(), self._handle_change)
        if newer or copy.lapsed or self.unhandled:
            self._handle_change()
        return newer

    def _waits_for_probe(self) -> bool:
        """Return whether to wait until the probe reaches the store again."""
        return (
            self.probe is not None
            and self.probe.failing_since is not None
            and self.mirror.failing_since is not None
        )

    def _fetch_changes(
        self,
    ) -> Result[Changes, StoreError | HistoryTruncated] | None:
        """Wait for changes; return None if the answer is found to be lost."""
        # A failing store is called without a wait: it may accept a call and
        # never answer, and changes made after its return must be
        # distinguishable from changes made during the outage. After a lost
        # answer, there may be a change already.
        failing = self.mirror.failing_since is not None
        wait = dt.timedelta() if failing or self.lost_answers else self.wait
        call = WaitingCall(eventlet.getcurrent(), self.mirror.clock.monotonic())
        self.waiting_call = call
        overdue_s = (wait + OVERDUE_TIME).total_seconds()
        timer = eventlet.spawn_after(overdue_s, self._confirm_overdue, call)
        try:
            return self.context.store.changes(
                self.mirror.table, self.mirror.as_of, wait
            )
        except _CallCancelledError:
            return Err(StoreError('another call to the store was not answered'))
        except _AnswerLostError:
            return None
        finally:
            self.waiting_call = None
            self.was_overdue = call.overdue
            timer.cancel()

    def _report_version(self) -> None:
        for action in self.on_version:
            action(self.mirror.position)

    def _may_be_lost_answer(self, error: StoreError) -> bool:
        """Record a failed call; return whether the store may be well.

        Then the next call is made at once. After an outage, a removed row
        would count as lapsed.
        """
        if not error.lost or self.mirror.failing_since is not None:
            return False
        self.lost_answers += 1
        if self.lost_answers > MAX_LOST_ANSWERS:
            return False
        self._log_lost_answer(None, error.detail)
        return True

    def _log_lost_answer(
        self, waited_ms: int | None, detail: str | None = None
    ) -> None:
        self.context.log.event(
            'answer_lost',
            table=self.mirror.table,
            as_of=self.mirror.as_of,
            waited_ms=waited_ms,
            detail=detail,
        )

    def _coalesce(self) -> None:
        """Delay the next call so that it returns several changes at once."""
        max_delay = max_coalescing_delay(self.context.nodes())
        jitter = 0.3 + 0.7 * self.context.rng.random()
        eventlet.sleep(max_delay.total_seconds() * jitter)

    def _load_snapshot(self) -> None:
        outcome = self.context.store.snapshot(self.mirror.table)
        if isinstance(outcome, Err):
            error = outcome.err_value
            if not self.mirror.loaded or not self._may_be_lost_answer(error):
                self._record_failure(error)
            return
        self.needs_snapshot = False
        self._replace(outcome.ok_value, None)
        self._record_success()
        self._handle_change()

    def _replace(
        self, snapshot: Snapshot, lapsed: Collection[str] | None
    ) -> bool:
        """Replace the copy; return whether it changed."""
        is_restored = self.mirror.loaded and snapshot.era > self.mirror.era
        changed = self.mirror.replace(snapshot, lapsed)
        if is_restored:
            self._report_version()
            self.context.log.event(
                'store_restored',
                table=self.mirror.table,
                era=self.mirror.era,
                as_of=self.mirror.as_of,
                missing=len(self.mirror.lapsed),
                outdated=len(self.mirror.outdated),
            )
            eventlet.spawn_after(self._settling_s(), self._handle_change)
            eventlet.spawn_after(
                RESTORING_TIME.total_seconds() + TIMER_MARGIN_S, self._settle
            )
        return changed

    def _settle(self) -> None:
        self.mirror.settle()
        self._handle_change()

    def _handle_change(self) -> None:
        """Report a change; after an exception it is reported again later.

        The rows have been applied, so the table is followed further. The change
        would be lost if it were reported only once.
        """
        self.unhandled = True
        self.on_change()
        self.unhandled = False

    def _record_success(self) -> None:
        self.backoff = MIN_BACKOFF
        self.lost_answers = 0
        failing_since = self.mirror.failing_since
        if self.mirror.record_success() and failing_since is not None:
            outage = self.mirror.clock.monotonic() - failing_since
            self.context.log.event(
                'store_back',
                table=self.mirror.table,
                lasted_ms=outage // _MILLISECOND,
            )
            eventlet.spawn_after(self._settling_s(), self._handle_change)

    def _settling_s(self) -> float:
        until = self.mirror.settled_at or dt.timedelta()
        remaining = until - self.mirror.clock.monotonic()
        return remaining.total_seconds() + TIMER_MARGIN_S

    def _record_failure(self, error: StoreError) -> None:
        if self.mirror.record_failure():
            self.context.log.event(
                'store_lost', table=self.mirror.table, detail=error.detail
            )
            for action in self.on_store_lost:
                action()
        jitter = 0.5 + self.context.rng.random()
        eventlet.sleep(self.backoff.total_seconds() * jitter)
        self.backoff = min(MAX_BACKOFF, self.backoff * 2)


def max_coalescing_delay(nodes: int) -> dt.timedelta:
    """Return the maximum delay of a follower's next call after a change.

    Args:
      nodes: number of nodes that follow the store.
    """
    return min(MAX_COALESCING_DELAY, COALESCING_DELAY_PER_NODE * nodes)


def propagation_time(nodes: int) -> dt.timedelta:
    """Return the time in which a change normally reaches all nodes.

    Args:
      nodes: number of nodes that follow the store.
    """
    # One call to the store and one between nodes.
    return max_coalescing_delay(nodes) + 2 * MAX_CALL_TIME
