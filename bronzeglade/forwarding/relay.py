"""Follows the tables through other nodes, so that few of them call the store.

The first nodes of a failure domain follow the store. The others ask these in
turn, so that one of them that no longer hears from the store, and does not know
it yet, delays a change by one call at most. When one gives no answer or has
lost the store, the node follows the store itself for a while. A node that hears
neither takes the copies of any node.
"""

import datetime as dt
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import eventlet
from eventlet.event import Event
from result import Err, Result

from bronzeglade.clock import Clock
from bronzeglade.forwarding.copies import Copies, TableCopy
from bronzeglade.forwarding.follower import Follower
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.settings import Address

# How long a watcher keeps a call waiting for changes.
WATCH_WAIT = dt.timedelta(milliseconds=700)
# A watcher that gave no answer is not asked again for this time, and one that
# has lost the store for a shorter one.
AVOIDED = dt.timedelta(seconds=8)
AVOIDED_LOST = dt.timedelta(seconds=1)
# A node that cannot reach the store asks a peer this often.
PEER_INTERVAL = dt.timedelta(milliseconds=700)

# Asks a node for the tables that changed after known versions, with the time
# that it may wait.
Fetch = Callable[
    [Address, Mapping[str, int], dt.timedelta], Result[Copies, str]
]


class Directory(Protocol):
    """Control addresses of other nodes."""

    def watchers(self) -> Sequence[Address]:
        """Return whom this node asks for changes."""

    def peers(self) -> Sequence[Address]:
        """Return any other nodes."""


class Relay:
    """Where a node hears of changes: from watchers or from the store."""

    def __init__(
        self,
        followers: Sequence[Follower],
        fetch: Fetch,
        directory: Directory,
        clock: Clock,
        log: Log,
        source: random.Random,
    ) -> None:
        """Begin with the store.

        Args:
          followers: one of each table.
          fetch: asks another node.
          directory: tells which nodes there are.
          clock: monotonic time.
          log: of the node.
          source: spreads the calls.
        """
        self.followers = {one.mirror.table: one for one in followers}
        self.fetch = fetch
        self.directory = directory
        self.clock = clock
        self.log = log
        self.random = source
        self.turn = -1
        self.avoided: dict[Address, dt.timedelta] = {}
        self.relayed = False
        self.ended = Event()

    def unless_relayed(self, turn: Callable[[], None]) -> Callable[[], None]:
        """Return a turn of a loop that waits while watchers tell changes."""

        def wait_and_turn() -> None:
            if self.relayed:
                self.ended.wait()
            turn()

        return wait_and_turn

    def follow_next(self) -> None:
        """Hear of the next change from a watcher; one turn of a loop."""
        watcher = None if self._is_cut_off() else self._next_watcher()
        if watcher is None:
            self._end('no watcher')
            self._pause()
            return
        outcome = self._fetch(watcher, wait=WATCH_WAIT)
        if isinstance(outcome, Err):
            # Another silent one would take too long.
            self._avoid(watcher, AVOIDED)
            self._end(outcome.err_value, watcher)
        elif not outcome.ok_value.current:
            # The others may hear from the store; they are asked at once.
            self._avoid(watcher, AVOIDED_LOST)
        elif not self.relayed:
            self.relayed = True
            self.log.event('relayed', watcher=_name(watcher))

    def ask_peer(self) -> None:
        """Take newer copies of any node while the store is lost."""
        self._pause()
        peers = list(self.directory.peers())
        if peers and self._is_cut_off():
            peer = self.random.choice(peers)
            outcome = self._fetch(peer, wait=dt.timedelta())
            if isinstance(outcome, Err):
                self.log.event(
                    'peer_silent', peer=_name(peer), reason=outcome.err_value
                )

    def _is_cut_off(self) -> bool:
        return any(
            one.mirror.failing_since is not None or not one.mirror.loaded
            for one in self.followers.values()
        )

    def _next_watcher(self) -> Address | None:
        now = self.clock.monotonic()
        usable = [
            one
            for one in self.directory.watchers()
            if self.avoided.get(one, now) <= now
        ]
        if not usable:
            return None
        self.turn += 1
        return usable[self.turn % len(usable)]

    def _fetch(self, peer: Address, wait: dt.timedelta) -> Result[Copies, str]:
        known = {
            table: one.mirror.as_of for table, one in self.followers.items()
        }
        outcome = self.fetch(peer, known, wait)
        if not isinstance(outcome, Err):
            for table, copy in outcome.ok_value.tables.items():
                self._take(table, copy, peer)
        return outcome

    def _take(self, table: str, copy: TableCopy, peer: Address) -> None:
        follower = self.followers.get(table)
        if follower is not None and follower.take(copy):
            self.log.event(
                'copy_of_peer',
                table=table,
                peer=_name(peer),
                as_of=follower.mirror.as_of,
            )

    def _avoid(self, watcher: Address, duration: dt.timedelta) -> None:
        self.avoided[watcher] = self.clock.monotonic() + duration

    def _end(self, reason: str, watcher: Address | None = None) -> None:
        if self.relayed:
            self.relayed = False
            ended = self.ended
            self.ended = Event()
            ended.send()
            self.log.event(
                'not_relayed',
                watcher=None if watcher is None else _name(watcher),
                reason=reason,
            )

    def _pause(self) -> None:
        spread = 0.8 + 0.4 * self.random.random()
        eventlet.sleep(PEER_INTERVAL.total_seconds() * spread)


def _name(address: Address) -> str:
    return f'{address[0]}:{address[1]}'
