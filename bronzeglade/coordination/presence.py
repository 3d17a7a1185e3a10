"""Which nodes have fallen silent, as one node can tell, without I/O.

Nodes tell each other their load several times a second. A node that is not
heard for long is a suspect: it is gone for good, frozen or cut off. Silence
proves nothing while this node itself was paused, or while it hears nobody at
all: then it may be the one that is cut off.
"""

import dataclasses
import datetime as dt
from collections.abc import Mapping

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class PresenceSettings:
    """Times of the suspicion.

    `silence` makes a suspect. Of several nodes that can tell, each acts
    `stagger` after the one before. A gap of `paused` between two turns means
    that this node did not run.
    """

    silence: dt.timedelta = dt.timedelta(seconds=8)
    stagger: dt.timedelta = dt.timedelta(milliseconds=1500)
    paused: dt.timedelta = dt.timedelta(seconds=2)
    # Doublings of the silence of a node that has put itself back; each time it
    # does shows that it was taken for gone wrongly.
    doublings: int = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """A node that this one should hear.

    `before` is how many nodes act on its silence before this one, `rejoins`
    how often it has put itself back.
    """

    before: int
    rejoins: int = 0


class Presence:
    """When each expected node was last heard."""

    def __init__(self, settings: PresenceSettings, clock: Clock) -> None:
        """Expect nobody.

        Args:
          settings: times.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.heard_at: dict[str, dt.timedelta] = {}
        self.rejoins: dict[str, int] = {}
        self.last_heard: dt.timedelta | None = None
        self.turned_at = clock.monotonic()

    def heard(self, node: str) -> None:
        """Take note of a sign of life."""
        self.last_heard = self.clock.monotonic()
        if self.heard_at.get(node) is not None:
            self.heard_at[node] = self.last_heard

    def is_alone(self) -> bool:
        """Return whether nobody has been heard for long."""
        if self.last_heard is None:
            return True
        silent = self.clock.monotonic() - self.last_heard
        return silent >= self.settings.silence

    def suspects(self, expected: Mapping[str, Expected]) -> list[str]:
        """Return the nodes on whose silence this one acts now.

        Args:
          expected: nodes that it should hear, by name.
        """
        now = self.clock.monotonic()
        known = self.heard_at
        if now - self.turned_at > self.settings.paused:
            # What the others have sent meanwhile is not read yet.
            known = {}
        self.turned_at = now
        rejoins = {name: one.rejoins for name, one in expected.items()}
        # One that has put itself back begins anew.
        same = dict(rejoins.items() & self.rejoins.items())
        self.heard_at = dict.fromkeys(expected, now)
        self.heard_at.update(
            (name, at) for name, at in known.items() if name in same
        )
        self.rejoins = rejoins
        if self.is_alone():
            return []
        return sorted(
            name
            for name, one in expected.items()
            if now - self.heard_at[name] >= self._patience(one)
        )

    def _patience(self, node: Expected) -> dt.timedelta:
        settings = self.settings
        doublings = min(node.rejoins, settings.doublings)
        silence = settings.silence * (1 << doublings)
        return silence + settings.stagger * node.before
