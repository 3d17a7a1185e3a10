"""Failure detection from the time of each node's last message, without I/O.

Nodes send each other their load several times a second. A node that sends no
messages for a long time is a suspect: it has stopped, hangs or is disconnected.
Right after a pause of this node nothing is concluded from silence, nor while it
receives no messages at all, since then it may be the one that is disconnected.
"""

import dataclasses
import datetime as dt
from collections.abc import Mapping

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class FailureDetectorSettings:
    """Time limits of failure detection.

    A node is a suspect after `silence` without a message. Of several nodes that
    observe it, each acts `stagger` after the one before. A gap of more than
    `max_check_gap` between two checks means that this node was paused.
    """

    silence: dt.timedelta = dt.timedelta(seconds=8)
    stagger: dt.timedelta = dt.timedelta(milliseconds=1500)
    max_check_gap: dt.timedelta = dt.timedelta(seconds=2)
    # `silence` doubles with each rejoin of a node, at most this many times: a
    # rejoin shows that the node was removed although it was alive.
    max_doublings: int = 5


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedNode:
    """A node from which this one should receive messages.

    `before` is the number of nodes that act on its silence before this one,
    `rejoins` the number of times that it has rejoined after a removal.
    """

    before: int
    rejoins: int = 0


class FailureDetector:
    """Time of the last message from each expected node."""

    def __init__(self, settings: FailureDetectorSettings, clock: Clock) -> None:
        """Start without expected nodes.

        Args:
          settings: time limits.
          clock: only its monotonic time is used.
        """
        self.settings = settings
        self.clock = clock
        self.last_received: dict[str, dt.timedelta] = {}
        self.rejoins: dict[str, int] = {}
        self.last_received_any: dt.timedelta | None = None
        self.last_check_at = clock.monotonic()

    def record_message(self, node: str) -> None:
        """Record that a node sent a message or answered a probe."""
        self.last_received_any = self.clock.monotonic()
        if self.last_received.get(node) is not None:
            self.last_received[node] = self.last_received_any

    def is_isolated(self) -> bool:
        """Return whether no node has sent a message within `silence`."""
        if self.last_received_any is None:
            return True
        elapsed = self.clock.monotonic() - self.last_received_any
        return elapsed >= self.settings.silence

    def suspects(self, expected: Mapping[str, ExpectedNode]) -> list[str]:
        """Return the nodes that this one suspects and should act on now.

        Args:
          expected: nodes that should send messages to this one, by name.
        """
        now = self.clock.monotonic()
        known = self.last_received
        if now - self.last_check_at > self.settings.max_check_gap:
            # Messages received during the pause have not been read yet.
            known = {}
        self.last_check_at = now
        rejoins = {name: node.rejoins for name, node in expected.items()}
        # For a node that has rejoined, silence is measured from now.
        unchanged = dict(rejoins.items() & self.rejoins.items())
        self.last_received = dict.fromkeys(expected, now)
        self.last_received.update(
            (name, at) for name, at in known.items() if name in unchanged
        )
        self.rejoins = rejoins
        if self.is_isolated():
            return []
        return sorted(
            name
            for name, node in expected.items()
            if now - self.last_received[name] >= self._silence_limit(node)
        )

    def _silence_limit(self, node: ExpectedNode) -> dt.timedelta:
        settings = self.settings
        doublings = min(node.rejoins, settings.max_doublings)
        silence = settings.silence * (1 << doublings)
        return silence + settings.stagger * node.before
