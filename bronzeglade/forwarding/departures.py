"""Endpoints that have reported that they are shutting down.

Such an endpoint gets no new work, whatever its registration says: the
registration may be stale, or the store unavailable. Only a restart of the
endpoint, which is a new incarnation, makes it eligible again.
"""

import dataclasses

# Incarnations that are kept; the oldest are evicted first. A registration
# outlasts a departure by seconds only, so a few hundred would suffice.
MAX_INCARNATIONS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One process of an endpoint.

    `started` is its start time, a Unix time in milliseconds.
    """

    name: str
    started: int
    address: tuple[str, int]


class Departures:
    """Bounded set of incarnations that are shutting down or have ended."""

    def __init__(self) -> None:
        """Create an empty set."""
        self.incarnations: dict[Incarnation, None] = {}

    def add(self, incarnation: Incarnation) -> bool:
        """Add a leaving endpoint; return whether it was not known before."""
        if incarnation in self.incarnations:
            return False
        self.incarnations[incarnation] = None
        if len(self.incarnations) > MAX_INCARNATIONS:
            self.incarnations.pop(next(iter(self.incarnations)))
        return True

    def includes(self, incarnation: Incarnation) -> bool:
        """Return whether an endpoint is shutting down or has ended."""
        return incarnation in self.incarnations
