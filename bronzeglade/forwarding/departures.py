"""Endpoints that have said that they leave.

Such an endpoint takes no new work again, whatever its registration says: a
registration may be old, and the store that holds it may be away. Only another
start of the endpoint, which is another incarnation, counts as new.
"""

import dataclasses

# Incarnations that are remembered; the oldest are dropped first. Registrations
# outlast a departure by seconds, so a few hundred would do.
REMEMBERED = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of an endpoint; `started` is a Unix time in milliseconds."""

    name: str
    started: int
    address: tuple[str, int]


class Departures:
    """The incarnations that leave or have left."""

    def __init__(self) -> None:
        """Know of none."""
        self.known: dict[Incarnation, None] = {}

    def note(self, incarnation: Incarnation) -> bool:
        """Take note that an endpoint leaves; return whether it is news."""
        if incarnation in self.known:
            return False
        self.known[incarnation] = None
        if len(self.known) > REMEMBERED:
            self.known.pop(next(iter(self.known)))
        return True

    def includes(self, incarnation: Incarnation) -> bool:
        """Return whether an endpoint leaves or has left."""
        return incarnation in self.known
