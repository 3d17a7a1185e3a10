"""Limits of requests per second that endpoints name for all nodes together.

All nodes take turns by a common clock, without messages: the sending times of
an endpoint are 1 / rate apart and go round among the nodes by rank. A sending
time that its node does not use expires soon, so that the unused ones of many
nodes cannot add up to a burst.
"""

import dataclasses
import datetime as dt
import math

# Below the resolution of the common clock; tells a used sending time from the
# next one despite rounding.
_MARGIN_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitSettings:
    """Use of limits.

    Attributes:
      lifetime: how long a node may use a sending time.
      min_rate: requests per second that the nodes send despite a lower limit,
        since only answers tell when it is raised.
    """

    lifetime: dt.timedelta = dt.timedelta(seconds=1)
    min_rate: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """The present time on the common clock, and this node's place in the turns.

    Attributes:
      now: the time, the same on all nodes.
      rank: position of this node among the nodes.
      nodes: number of nodes.
    """

    now: dt.timedelta
    rank: int
    nodes: int


class RateLimits:
    """The limits that endpoints named last, and this node's share of them."""

    def __init__(self, settings: RateLimitSettings) -> None:
        """Start without limits.

        Args:
          settings: use of limits.
        """
        self.settings = settings
        self.rates: dict[str, float] = {}
        # Last sending time that this node has used, in seconds.
        self.used: dict[str, float] = {}

    def set_rate(self, endpoint: str, rate: float) -> bool:
        """Set the limit of an endpoint; return whether it has changed.

        Args:
          endpoint: name of the endpoint.
          rate: requests per second from all nodes; infinite without a limit.
        """
        known = self.rates.get(endpoint, math.inf)
        if math.isinf(rate):
            self.forget(endpoint)
        else:
            self.rates[endpoint] = rate
        return rate != known

    def exhausted(self, turn: Turn) -> set[str]:
        """Return the endpoints to which this node may not send now."""
        return {
            endpoint
            for endpoint in self.rates
            if not self.has_turn(endpoint, turn)
        }

    def has_turn(self, endpoint: str, turn: Turn) -> bool:
        """Return whether this node may send to an endpoint with a limit."""
        return self.next_turn(endpoint, turn) <= turn.now.total_seconds()

    def take(self, endpoint: str, turn: Turn) -> bool:
        """Use a sending time of this node; return whether there was one.

        Without a limit there always is.
        """
        if endpoint not in self.rates:
            return True
        sending_time = self.next_turn(endpoint, turn)
        if sending_time > turn.now.total_seconds():
            return False
        self.used[endpoint] = sending_time
        return True

    def forget(self, endpoint: str) -> None:
        """Discard the limit of an endpoint that was removed."""
        self.rates.pop(endpoint, None)
        self.used.pop(endpoint, None)

    def next_turn(self, endpoint: str, turn: Turn) -> float:
        """Return the first sending time that is not used or expired.

        In seconds of the common clock; one that is past may still be used.
        """
        rate = max(self.settings.min_rate, self.rates[endpoint])
        now = turn.now.total_seconds()
        expired = now - self.settings.lifetime.total_seconds()
        used = self.used.get(endpoint, expired)
        if used > now:  # the clock was set back
            used = expired
        after = max(expired, used) + _MARGIN_S
        rounds = math.floor((after * rate - turn.rank) / turn.nodes) + 1
        return (turn.rank + rounds * turn.nodes) / rate
