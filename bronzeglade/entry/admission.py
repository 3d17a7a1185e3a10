"""Admission of requests to the fleet's capacity."""

import dataclasses
import datetime as dt

from result import Ok, Result

from bronzeglade.manifest import Rank, Team
from bronzeglade.outcome import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Leave to run one request of a model; released exactly once."""

    team: str
    rank: str
    model: str


class Admission:
    """Admits every request."""

    def __init__(self) -> None:
        """Start with no open tickets."""
        self.open = 0

    def enter(
        self, team: Team, rank: Rank, model: str, deadline: dt.timedelta
    ) -> Result[Ticket, Refusal]:
        """Wait for leave to run a request.

        Args:
          team: who asks.
          rank: rank of the request.
          model: model that is to answer.
          deadline: monotonic time by which the answer is needed.

        Returns:
          A ticket, or a refusal at once; nothing has run.
        """
        self.open += 1
        return Ok(Ticket(team.name, rank.name, model))

    def leave(self, ticket: Ticket) -> None:
        """Return a ticket when its request has ended."""
        self.open -= 1
