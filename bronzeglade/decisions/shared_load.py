"""Load that the requests of other nodes put on the endpoints."""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Requests on one endpoint, and prompt tokens that it has yet to read."""

    requests: int = 0
    unread: int = 0


Shares = Mapping[str, Share]  # by endpoint
NOTHING = Share()


@dataclasses.dataclass(frozen=True, slots=True)
class SharedLoadSettings:
    """What was told counts for `memory`, then nothing is known."""

    memory: dt.timedelta = dt.timedelta(milliseconds=1500)


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    shares: Shares
    at: dt.timedelta


class SharedLoads:
    """What others have told last, by who told it."""

    def __init__(self, settings: SharedLoadSettings, clock: Clock) -> None:
        """Know nothing.

        Args:
          settings: how long to believe what was told.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.told: dict[str, _Told] = {}

    def tell(self, source: str, shares: Shares) -> None:
        """Take what a source has on the endpoints now.

        Args:
          source: a node, or a group of nodes.
          shares: of all its endpoints; others have nothing of it.
        """
        self.told[source] = _Told(shares, self.clock.monotonic())

    def sources(self) -> list[str]:
        """Return those who have told something lately."""
        oldest = self.clock.monotonic() - self.settings.memory
        old = [name for name, told in self.told.items() if told.at < oldest]
        for name in old:
            del self.told[name]
        return list(self.told)

    def total(self, *excluded: str) -> dict[str, Share]:
        """Return the sum of what all but some sources have told lately."""
        return summed(
            self.told[name].shares
            for name in self.sources()
            if name not in excluded
        )


def summed(parts: Iterable[Shares]) -> dict[str, Share]:
    """Return the sum of several shares by endpoint."""
    total: dict[str, Share] = {}
    for shares in parts:
        for name, share in shares.items():
            known = total.get(name, NOTHING)
            total[name] = Share(
                known.requests + share.requests, known.unread + share.unread
            )
    return total
