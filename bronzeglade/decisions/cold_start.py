"""Limits on what cold endpoints get from all nodes together.

An endpoint that has just started, or lost what it had cached, works slowly for
some seconds and ends when requests arrive well above the rate that it bears.
Many nodes see the same idle endpoint, so each of them must know its share: they
take turns by a common clock (`rate_limit`), which needs no messages. A node
that is not sure how many nodes take turns has no turn and uses other endpoints.
"""

import dataclasses
import datetime as dt
from collections.abc import Mapping

import xxhash

from bronzeglade.clock import Clock
from bronzeglade.decisions.rate_limit import RateLimits, RateLimitSettings, Turn

_ZERO = dt.timedelta()
_SECOND = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStartSettings:
    """How turns are used.

    Attributes:
      turn_lifetime: how long a node may use a turn. Short, because turns that
        were not used could otherwise come together in one second.
      sending_time: maximum time from the choice of an endpoint to the sending
        of the request, in which a connection may have to be opened.
      clock_error: maximum difference between two nodes' common clocks.
      reserve: fraction of the limit that is left to nodes that do not know yet
        that another one takes turns, or that an endpoint is cold.
      min_extension: news that extends a cold time by less is no news.
    """

    turn_lifetime: dt.timedelta = dt.timedelta(milliseconds=300)
    sending_time: dt.timedelta = dt.timedelta(milliseconds=250)
    clock_error: dt.timedelta = dt.timedelta(milliseconds=100)
    reserve: float = 0.15
    min_extension: dt.timedelta = dt.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStartLimit:
    """What a cold endpoint bears.

    Attributes:
      duration: how long it stays cold after a start.
      rate: requests per second that it bears.
      per_second: most requests that it may get in one second.
    """

    duration: dt.timedelta
    rate: float
    per_second: float


def turn_rate(settings: ColdStartSettings, limit: ColdStartLimit) -> float:
    """Return the turns per second of all nodes at a cold endpoint.

    The requests of one second had their turns within a longer time.
    """
    span = (
        _SECOND
        + settings.turn_lifetime
        + settings.sending_time
        + settings.clock_error
    )
    usable = limit.per_second * (1 - settings.reserve) - 1
    return max(0, min(limit.rate, usable / span.total_seconds()))


class ColdStarts:
    """The endpoints that one node knows to be cold, and its turns there."""

    def __init__(self, settings: ColdStartSettings, clock: Clock) -> None:
        """Start without cold endpoints.

        Args:
          settings: use of turns.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.limits = RateLimits(
            RateLimitSettings(lifetime=settings.turn_lifetime)
        )
        self.cold_until: dict[str, dt.timedelta] = {}
        self.durations: dict[str, dt.timedelta] = {}

    def record(
        self, endpoint: str, remaining: dt.timedelta, limit: ColdStartLimit
    ) -> bool:
        """Record how long an endpoint stays cold, counted from now.

        Args:
          endpoint: name of the endpoint.
          remaining: zero if it is warm.
          limit: what it bears meanwhile.

        Returns:
          Whether the endpoint is cold for notably longer than was known.
        """
        known = self.remaining(endpoint)
        if remaining <= _ZERO:
            self.forget(endpoint)
            return False
        self.cold_until[endpoint] = self.clock.monotonic() + remaining
        self.durations[endpoint] = max(limit.duration, remaining)
        self.limits.set_rate(endpoint, turn_rate(self.settings, limit))
        return remaining - known >= self.settings.min_extension

    def extend(
        self, endpoint: str, remaining: dt.timedelta, limit: ColdStartLimit
    ) -> bool:
        """Record that an endpoint may be cold; never shortens the time."""
        longest = max(remaining, self.remaining(endpoint))
        return self.record(endpoint, longest, limit)

    def remaining(self, endpoint: str) -> dt.timedelta:
        """Return how long an endpoint stays cold; zero if it is warm."""
        until = self.cold_until.get(endpoint)
        if until is None:
            return _ZERO
        remaining = until - self.clock.monotonic()
        if remaining <= _ZERO:
            self.forget(endpoint)
        return max(_ZERO, remaining)

    def fractions(self) -> Mapping[str, float]:
        """Return the fraction of its cold time that each has left."""
        return {
            endpoint: self.remaining(endpoint) / self.durations[endpoint]
            for endpoint in list(self.cold_until)
            if self.remaining(endpoint)
        }

    def exhausted(self, turn: Turn | None) -> set[str]:
        """Return the endpoints to which this node may not send now.

        Args:
          turn: this node's place in the turns, or None if it has none.
        """
        return {
            endpoint
            for endpoint in list(self.cold_until)
            if self.remaining(endpoint) and not self._has_turn(endpoint, turn)
        }

    def take(self, endpoint: str, turn: Turn | None) -> bool:
        """Use a turn of this node; return whether it has one.

        Always true at a warm endpoint.
        """
        if not self.remaining(endpoint):
            return True
        if turn is None or not self.limits.rates[endpoint]:
            return False
        return self.limits.take(endpoint, rotated(endpoint, turn))

    def forget(self, endpoint: str) -> None:
        """Discard what is known of an endpoint."""
        self.cold_until.pop(endpoint, None)
        self.durations.pop(endpoint, None)
        self.limits.forget(endpoint)

    def _has_turn(self, endpoint: str, turn: Turn | None) -> bool:
        if turn is None or not self.limits.rates[endpoint]:
            return False
        return self.limits.has_turn(endpoint, rotated(endpoint, turn))


def rotated(endpoint: str, turn: Turn) -> Turn:
    """Return a turn with another order of nodes for each endpoint.

    Otherwise a node would have its turns at all cold endpoints at once.
    """
    shift = xxhash.xxh3_64_intdigest(endpoint.encode())
    return dataclasses.replace(turn, rank=(turn.rank + shift) % turn.nodes)
