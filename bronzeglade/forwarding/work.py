"""A request that was accepted, with all that its delivery depends on."""

import dataclasses
import datetime as dt

from bronzeglade.forwarding.message import RequestFacts, RequestHead
from bronzeglade.forwarding.route import Route, Team


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A request with its route, service and team.

    `received` and `until` are monotonic times: when its head had arrived and
    when it gets its final answer at the latest. `caller_until` is when the
    caller gives up, or None when it does not say.
    """

    head: RequestHead
    body: bytes
    facts: RequestFacts
    route: Route
    service: str
    team: Team | None
    received: dt.timedelta
    until: dt.timedelta
    caller_until: dt.timedelta | None = None

    @property
    def request_id(self) -> str:
        """Its identity on every process."""
        return self.facts.request_id

    @property
    def priority(self) -> int:
        """Its rank; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def unit(self) -> str:
        """What keeps one version during a roll-out: session or request."""
        return self.facts.session or self.request_id

    @property
    def objective_at(self) -> dt.timedelta:
        """The monotonic time by which the first byte is on time."""
        return self.received + self.route.objective

    def time_left(self, now: dt.timedelta) -> dt.timedelta | None:
        """Return how long the caller still waits, or None."""
        if self.caller_until is None:
            return None
        return self.caller_until - now
