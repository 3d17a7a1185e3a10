"""Follows the tables through other nodes, so that few nodes call the store.

The first nodes of a failure domain (watchers) follow the store. The others poll
the watchers in rotation, so that a watcher that has not yet noticed the loss of
the store delays a change by at most one call. A node follows the store itself
for a while when a watcher does not answer or no usable watcher remains. A node
that reaches neither watchers nor store copies the tables of any peer.
"""

import datetime as dt
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import eventlet
from eventlet.event import Event
from result import Err, Result

from bronzeglade.adapters.feed import Position
from bronzeglade.clock import Clock
from bronzeglade.forwarding.copies import TableCopies, TableCopy
from bronzeglade.forwarding.follower import Follower
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.settings import Address

# How long a watcher holds a call while there are no changes.
WATCH_WAIT = dt.timedelta(milliseconds=700)
# How long a watcher is not called after it failed to answer, and after it
# reported that it has lost the store.
AVOID_TIME = dt.timedelta(seconds=8)
AVOID_TIME_STORE_LOST = dt.timedelta(seconds=1)
# Interval between calls to peers while the store cannot be reached.
PEER_INTERVAL = dt.timedelta(milliseconds=700)

# Fetches the tables that changed since the known states from a node, which may
# hold the call for the given time.
Fetch = Callable[
    [Address, Mapping[str, Position], dt.timedelta], Result[TableCopies, str]
]


class Directory(Protocol):
    """Provides the control addresses of other nodes."""

    def watchers(self) -> Sequence[Address]:
        """Return the watchers that this node polls for changes."""

    def peers(self) -> Sequence[Address]:
        """Return all known other nodes."""


class Relay:
    """Switches a node between polling watchers and following the store."""

    def __init__(
        self,
        followers: Sequence[Follower],
        fetch: Fetch,
        directory: Directory,
        clock: Clock,
        log: Log,
        rng: random.Random,
    ) -> None:
        """Start out following the store.

        Args:
          followers: one follower for each table.
          fetch: fetches changed tables from another node.
          directory: provides the addresses of other nodes.
          clock: monotonic time.
          log: log of this node.
          rng: chooses peers and adds jitter to the calls.
        """
        self.followers = {
            follower.mirror.table: follower for follower in followers
        }
        self.fetch = fetch
        self.directory = directory
        self.clock = clock
        self.log = log
        self.rng = rng
        self.watcher_index = -1
        self.avoided: dict[Address, dt.timedelta] = {}
        self.relayed = False
        self.relaying_ended = Event()

    def pause_while_relayed(
        self, step: Callable[[], None]
    ) -> Callable[[], None]:
        """Return a loop body that blocks while changes come from watchers."""

        def wait_and_run() -> None:
            if self.relayed:
                self.relaying_ended.wait()
            step()

        return wait_and_run

    def follow_next(self) -> None:
        """Fetch the next change from a watcher; the body of a loop."""
        watcher = None if self._has_lost_store() else self._next_watcher()
        if watcher is None:
            self._stop_relaying('no watcher')
            self._pause()
            return
        outcome = self._fetch(watcher, wait=WATCH_WAIT)
        if isinstance(outcome, Err):
            # Waiting for another silent watcher would take too long.
            self._avoid(watcher, AVOID_TIME)
            self._stop_relaying(outcome.err_value, watcher)
        elif not outcome.ok_value.current:
            # Other watchers may still reach the store; they are polled at once.
            self._avoid(watcher, AVOID_TIME_STORE_LOST)
        elif not self.relayed:
            self.relayed = True
            self.log.event('relaying_started', watcher=_name(watcher))

    def fetch_from_peer(self) -> None:
        """Fetch newer copies from any peer while the store is lost."""
        self._pause()
        peers = list(self.directory.peers())
        if peers and self._has_lost_store():
            peer = self.rng.choice(peers)
            outcome = self._fetch(peer, wait=dt.timedelta())
            if isinstance(outcome, Err):
                self.log.event(
                    'peer_call_failed',
                    peer=_name(peer),
                    reason=outcome.err_value,
                )

    def _has_lost_store(self) -> bool:
        return any(
            follower.mirror.failing_since is not None
            or not follower.mirror.loaded
            for follower in self.followers.values()
        )

    def _next_watcher(self) -> Address | None:
        now = self.clock.monotonic()
        usable = [
            watcher
            for watcher in self.directory.watchers()
            if self.avoided.get(watcher, now) <= now
        ]
        if not usable:
            return None
        self.watcher_index += 1
        return usable[self.watcher_index % len(usable)]

    def _fetch(
        self, peer: Address, wait: dt.timedelta
    ) -> Result[TableCopies, str]:
        known = {
            table: follower.mirror.position
            for table, follower in self.followers.items()
        }
        outcome = self.fetch(peer, known, wait)
        if not isinstance(outcome, Err):
            for table, copy in outcome.ok_value.tables.items():
                self._apply_copy(table, copy, peer)
            if outcome.ok_value.current:
                for follower in self.followers.values():
                    follower.mirror.record_peer_contact()
        return outcome

    def _apply_copy(self, table: str, copy: TableCopy, peer: Address) -> None:
        follower = self.followers.get(table)
        if follower is not None and follower.apply_copy(copy):
            self.log.event(
                'copy_of_peer',
                table=table,
                peer=_name(peer),
                as_of=follower.mirror.as_of,
            )

    def _avoid(self, watcher: Address, duration: dt.timedelta) -> None:
        self.avoided[watcher] = self.clock.monotonic() + duration

    def _stop_relaying(
        self, reason: str, watcher: Address | None = None
    ) -> None:
        if self.relayed:
            self.relayed = False
            ended = self.relaying_ended
            self.relaying_ended = Event()
            ended.send()
            self.log.event(
                'relaying_ended',
                watcher=None if watcher is None else _name(watcher),
                reason=reason,
            )

    def _pause(self) -> None:
        jitter = 0.8 + 0.4 * self.rng.random()
        eventlet.sleep(PEER_INTERVAL.total_seconds() * jitter)


def _name(address: Address) -> str:
    return f'{address[0]}:{address[1]}'
