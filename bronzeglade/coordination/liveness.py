"""Failure detection from the time of each node's last message, without I/O.

Nodes send each other their load several times a second. A node that sends no
messages for a long time is a suspect: it has stopped, hangs or is disconnected.
This node suspects no other node right after it was paused, because it has not
read the messages received in the meantime, nor while it receives no messages at
all, because then it may itself be disconnected.
"""

import dataclasses
import datetime as dt
from collections.abc import Mapping

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class FailureDetectorSettings:
    """Time limits of failure detection.

    A node is a suspect after `silence` without a message. The nodes that
    observe it act in turn, each `stagger` after the previous node. A gap of
    more than `max_check_gap` between two checks means that this node was
    paused.
    """

    silence: dt.timedelta = dt.timedelta(seconds=8)
    stagger: dt.timedelta = dt.timedelta(milliseconds=1500)
    max_check_gap: dt.timedelta = dt.timedelta(seconds=2)
    # The silence limit of a node doubles with each of its rejoins, at most
    # this many times: a rejoin shows that it was removed while alive.
    max_doublings: int = 5


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedNode:
    """A node from which this node should receive messages.

    `before` is the number of nodes that act on its silence before this node,
    `rejoins` the number of times that it has rejoined after a removal.
    """

    before: int
    rejoins: int = 0


class FailureDetector:
    """Suspects expected nodes from which no message arrives for too long."""

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

    def silences(self) -> dict[str, dt.timedelta]:
        """Return how long each expected node has sent no message."""
        now = self.clock.monotonic()
        return {name: now - at for name, at in self.last_received.items()}

    def suspects(self, expected: Mapping[str, ExpectedNode]) -> list[str]:
        """Return the nodes that this node suspects and should act on now.

        Args:
          expected: nodes that should send messages to this node, by name.
        """
        now = self.clock.monotonic()
        known = self.last_received
        if now - self.last_check_at > self.settings.max_check_gap:
            # Messages received during the pause have not been read yet.
            known = {}
        self.last_check_at = now
        rejoins = {name: node.rejoins for name, node in expected.items()}
        # A node that is new or has rejoined gets its full silence limit.
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
