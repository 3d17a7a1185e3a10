"""An accepted request and what its delivery depends on."""

import dataclasses
import datetime as dt

from bronzeglade.forwarding.message import RequestFacts, RequestHead
from bronzeglade.forwarding.route import Route, Team


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """An accepted request with its route, service and team.

    All times are monotonic: `received_at` is when its head arrived, `deadline`
    when its final answer is due, and `caller_deadline` when the caller gives
    up, or None if it states no time limit.
    """

    head: RequestHead
    body: bytes
    facts: RequestFacts
    route: Route
    service: str
    team: Team | None
    received_at: dt.timedelta
    deadline: dt.timedelta
    caller_deadline: dt.timedelta | None = None

    @property
    def request_id(self) -> str:
        """Identifies the request across all processes."""
        return self.facts.request_id

    @property
    def priority(self) -> int:
        """Priority of the team, else of the route; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def unit(self) -> str:
        """The session or request id that keeps its version in a roll-out."""
        return self.facts.session or self.request_id

    @property
    def shared_segments(self) -> tuple[str, ...]:
        """Names of the prompt segments that other requests may share."""
        segments = self.facts.prompt_segments[:-1]
        return tuple(segment.name for segment in segments)

    @property
    def objective_deadline(self) -> dt.timedelta:
        """The monotonic time by which the first byte is due."""
        return self.received_at + self.route.objective

    def time_remaining(self, now: dt.timedelta) -> dt.timedelta | None:
        """Return how long the caller still waits, or None if not stated."""
        if self.caller_deadline is None:
            return None
        return self.caller_deadline - now
