"""How sure a node is which nodes take part in what all of them share.

Nodes divide a limit by the number of registered nodes, as each of them knows
it. While a change of the registered nodes spreads, their shares may add up to
more than the limit. A node therefore takes no share until all others have had
time to learn of the newest change that it knows, nor while it cannot tell
whether its knowledge is up to date: after a start, a pause, or the loss of the
store and of the nodes that reach it.
"""

import dataclasses
import datetime as dt
from collections.abc import Collection

from bronzeglade.clock import Clock
from bronzeglade.decisions.rate_limit import Turn


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipViewSettings:
    """Time limits.

    Attributes:
      max_age: how long a node counts as up to date after the last answer of the
        store, or of a node that reaches it.
      spread: how long a node takes no share after a change. At least the time
        in which a change reaches all nodes that get answers, 3 s, and `max_age`
        for those that got no further one.
    """

    max_age: dt.timedelta = dt.timedelta(seconds=2)
    spread: dt.timedelta = dt.timedelta(seconds=5)


class MembershipView:
    """The registered nodes, as known to one node."""

    def __init__(
        self, local_name: str, settings: MembershipViewSettings, clock: Clock
    ) -> None:
        """Start without knowing any node.

        Args:
          local_name: name of this node.
          settings: time limits.
          clock: monotonic time.
        """
        self.local_name = local_name
        self.settings = settings
        self.clock = clock
        self.names: frozenset[str] = frozenset()
        self.rank = 0  # of this node among all by name
        self.changed_at = clock.monotonic()

    def update(self, names: Collection[str]) -> None:
        """Replace the names of the registered nodes."""
        if self.names != frozenset(names):
            self.names = frozenset(names)
            self.rank = sum(name < self.local_name for name in names)
            self.changed_at = self.clock.monotonic()

    def is_certain(self, confirmed_at: dt.timedelta | None) -> bool:
        """Return whether the shares of all nodes add up to the whole.

        Args:
          confirmed_at: when this node last knew to be up to date, or None.
        """
        now = self.clock.monotonic()
        return (
            self.local_name in self.names
            and confirmed_at is not None
            and now - confirmed_at <= self.settings.max_age
            and now - self.changed_at >= self.settings.spread
        )

    def turn(
        self, now: dt.timedelta, confirmed_at: dt.timedelta | None
    ) -> Turn | None:
        """Return this node's place among all nodes; None if that is unsure.

        Args:
          now: time of the common clock.
          confirmed_at: when this node last knew to be up to date, or None.
        """
        if not self.is_certain(confirmed_at):
            return None
        return Turn(now, self.rank, len(self.names))
