"""Nodes that press requests on one cold endpoint, in virtual time.

For tests of the bound on what a cold endpoint gets in one second. The nodes
learn late who takes part: some join, leave, restart, stop for a while, or lose
the store and all other nodes.
"""

import dataclasses
import datetime as dt
import heapq
import random

from bronzeglade.builders import ManualClock
from bronzeglade.coordination.membership_view import (
    MembershipView,
    MembershipViewSettings,
)
from bronzeglade.decisions.cold_start import (
    ColdStartLimit,
    ColdStarts,
    ColdStartSettings,
    rotated,
)

ENDPOINT = 'e0'
LIMIT = ColdStartLimit(dt.timedelta(seconds=60), rate=10, per_second=20)
# Longest time until a node that counts as up to date knows of a change.
MAX_LAG_S = 3.0
POLL_S = 0.1
RUN_S = 12.0
NEVER_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to the endpoint; times are in seconds."""

    sent_s: float
    arrived_s: float


class Node:
    """A node with its view of the others and its own common clock."""

    def __init__(self, fleet: 'ColdFleet', name: str) -> None:
        """Create a node that knows nobody."""
        settings = fleet.settings
        error_s = settings.clock_error.total_seconds() / 2
        self.name = name
        self.view = MembershipView(name, fleet.view_settings, fleet.clock)
        self.starts = ColdStarts(settings, fleet.clock)
        self.starts.record(ENDPOINT, LIMIT.duration, LIMIT)
        self.clock_error_s = fleet.rng.uniform(-error_s, error_s)
        # It stands still for a while, and then hears of the store again.
        self.stopped_s = NEVER_S
        self.resumed_s = NEVER_S
        self.heard_s = NEVER_S
        self.cut_from_s = NEVER_S
        self.known_change = -1
        # It wants to send only from then on.
        self.idle_until_s = float(0)

    def stop(self, from_s: float, until_s: float, rng: random.Random) -> None:
        """Let the node stand still."""
        self.stopped_s = from_s
        self.resumed_s = until_s
        self.heard_s = until_s + rng.uniform(0.05, 0.5)

    def is_stopped(self, now_s: float) -> bool:
        """Return whether the node stands still."""
        return _is_between(self.stopped_s, now_s, self.resumed_s)

    def confirmed_at(self, now_s: float) -> dt.timedelta:
        """Return when this node last heard of the store."""
        heard_s = min(now_s, self.cut_from_s)
        if _is_between(self.stopped_s, heard_s, self.heard_s):
            heard_s = self.stopped_s
        return dt.timedelta(seconds=heard_s)


class ColdFleet:
    """Nodes that know each other, and a cold endpoint."""

    def __init__(
        self,
        size: int,
        seed: int,
        view_settings: MembershipViewSettings | None = None,
    ) -> None:
        """Start the nodes, which have known each other for long."""
        self.rng = random.Random(seed)
        self.settings = ColdStartSettings()
        self.view_settings = view_settings or MembershipViewSettings()
        self.clock = ManualClock()
        self.names = {f'n{number}' for number in range(size)}
        self.nodes = {name: Node(self, name) for name in sorted(self.names)}
        for node in self.nodes.values():
            node.view.update(self.names)
            node.view.changed_at -= dt.timedelta(seconds=60)
        self.requests: list[Request] = []
        self.changes: list[frozenset[str]] = []
        # Heap of due time, order of planning, node, and the names that it
        # learns, or None for an attempt.
        self.planned = 0
        self.due: list[tuple[float, int, str, frozenset[str] | None]] = []

    def disturb(self) -> None:
        """Let nodes join, leave, stop, be cut off, and pause in sending."""
        size = len(self.nodes)
        # Callers come at once, and so find turns that were not used.
        burst_s = self.rng.uniform(0, RUN_S)
        for node in self.nodes.values():
            node.idle_until_s = self.rng.choice([0, burst_s])
            if self.rng.randrange(10) == 0:
                node.cut_from_s = self.rng.uniform(0, RUN_S)
            if self.rng.randrange(10) == 0:
                from_s = self.rng.uniform(0, RUN_S)
                node.stop(from_s, from_s + self.rng.uniform(0.2, 6), self.rng)
        for _ in range(self.rng.randint(0, 3)):
            at_s = self.rng.uniform(0, RUN_S)
            count = self.rng.randint(1, max(1, size // 2))
            change = self.rng.choice((self._join, self._leave, self._restart))
            change(at_s, min(count, len(self.names) - 1))

    def run(self) -> None:
        """Let the nodes send as much as they may."""
        for name, node in self.nodes.items():
            self._plan(node.idle_until_s, name)
        while self.due:
            due_s, _number, name, names = heapq.heappop(self.due)
            if due_s > RUN_S:
                return
            self.clock.elapsed = dt.timedelta(seconds=due_s)
            node = self.nodes[name]
            if names is None:
                self._plan(self._next_attempt(node, due_s), name)
            elif _is_between(node.stopped_s, due_s, node.heard_s):
                self._plan(node.heard_s, name, names)
            elif due_s < node.cut_from_s:
                self._learn(node, names)

    def most_in_a_second(self) -> int:
        """Return the most requests that were sent and arrived in a second."""
        return max(
            (
                sum(
                    first.sent_s <= other.sent_s
                    and other.arrived_s <= first.sent_s + 1
                    for other in self.requests
                )
                for first in self.requests
            ),
            default=0,
        )

    def _next_attempt(self, node: Node, now_s: float) -> float:
        """Try to send; return when to try again."""
        if node.is_stopped(now_s):
            return node.resumed_s
        common = dt.timedelta(seconds=1000 + now_s + node.clock_error_s)
        turn = node.view.turn(common, node.confirmed_at(now_s))
        if turn is None:
            return now_s + POLL_S
        if node.starts.take(ENDPOINT, turn):
            sent_s = now_s + self.rng.uniform(
                0, self.settings.sending_time.total_seconds()
            )
            arrived_s = sent_s + self.rng.uniform(0, 0.05)
            self.requests.append(Request(sent_s, arrived_s))
        next_turn_s = node.starts.limits.next_turn(
            ENDPOINT, rotated(ENDPOINT, turn)
        )
        return max(now_s + 0.001, next_turn_s - 1000 - node.clock_error_s)

    def _join(self, at_s: float, count: int) -> None:
        joining = {f'j{at_s:.3f}-{number}' for number in range(count)}
        self.names |= joining
        for name in sorted(joining):
            self.nodes[name] = Node(self, name)
            self.nodes[name].idle_until_s = at_s
        self._spread(at_s)

    def _leave(self, at_s: float, count: int) -> None:
        leaving = set(self.rng.sample(sorted(self.names), count))
        self.names -= leaving
        for name in leaving:
            # It ends before its row is removed.
            self.nodes[name].stop(0, NEVER_S, self.rng)
        self._spread(at_s)

    def _learn(self, node: Node, names: frozenset[str]) -> None:
        """Let a node learn names, unless it knows newer ones already."""
        change = self.changes.index(names) if names in self.changes else -1
        if change < 0 or change >= node.known_change:
            node.known_change = change
            node.view.update(names)

    def _restart(self, at_s: float, count: int) -> None:
        """Restart nodes, which at first know only themselves."""
        for name in self.rng.sample(sorted(self.names), count):
            self._plan(at_s, name, frozenset((name,)))
        self._spread(at_s)

    def _spread(self, at_s: float) -> None:
        names = frozenset(self.names)
        self.changes.append(names)
        for name in sorted(names):
            lag_s = self.rng.uniform(0.01, MAX_LAG_S)
            self._plan(at_s + lag_s, name, names)

    def _plan(
        self, due_s: float, name: str, names: frozenset[str] | None = None
    ) -> None:
        self.planned += 1
        heapq.heappush(self.due, (due_s, self.planned, name, names))


def _is_between(from_s: float, now_s: float, until_s: float) -> bool:
    return from_s <= now_s < until_s
