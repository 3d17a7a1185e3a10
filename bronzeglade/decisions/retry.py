"""Retries: classification of failed attempts, and retry budgets."""

import collections
import dataclasses
import datetime as dt
import enum

from bronzeglade.clock import Clock
from bronzeglade.outcome import RunState


class Failure(enum.Enum):
    """Why an attempt at an endpoint gave no answer."""

    NOT_CONNECTED = 'not_connected'  # no byte was sent
    REFUSED = 'refused'  # the endpoint accepts no more work
    REJECTED = 'rejected'  # the endpoint found the request invalid
    LOST = 'lost'  # sent, outcome unknown

    @property
    def run_state(self) -> RunState:
        """Whether the request may have run at the endpoint."""
        if self is Failure.LOST:
            return RunState.UNKNOWN
        return RunState.NOT_RUN


_REFUSED_STATUSES = frozenset((404, 429, 503))
_REJECTED_STATUSES = frozenset((400, 413, 422))


def failure_of_status(status: int) -> Failure:
    """Classify a reply of an engine with a status other than 200.

    An engine sends 429 and 503 before it queues the request, 404 when it does
    not hold the version, and 400, 413 and 422 for an invalid request. Any
    other status may come from a failure after the request began to run.

    Args:
      status: HTTP status of the reply.
    """
    if status in _REFUSED_STATUSES:
        return Failure.REFUSED
    if status in _REJECTED_STATUSES:
        return Failure.REJECTED
    return Failure.LOST


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits of the retries of one node.

    Each first attempt earns `ratio`, up to a balance of `max_balance`; a retry
    costs 1.
    """

    ratio: float = 0.095  # with the balance, under 1.1 attempts per request
    max_balance: float = 4  # consecutive retries after an idle time
    max_attempts: int = 3  # per request, including the first


class RetryBudget:
    """Token bucket that limits retries to a ratio of the first attempts.

    The balance is capped, so that a node never sends a burst of more than
    `max_balance` retries above the ratio, neither in an outage nor at its end.
    """

    def __init__(self, settings: RetrySettings) -> None:
        """Create a budget with half of the maximum balance.

        Args:
          settings: ratio and bounds.
        """
        self.settings = settings
        self.balance = settings.max_balance / 2

    def earn(self) -> None:
        """Record a first attempt."""
        limit = self.settings.max_balance
        self.balance = min(limit, self.balance + self.settings.ratio)

    def may_retry(
        self, attempt: int, failure: Failure, repeatable: bool
    ) -> bool:
        """Return whether another attempt is allowed.

        Args:
          attempt: number of attempts so far, at least 1.
          failure: outcome of the last attempt.
          repeatable: whether the work is idempotent.
        """
        if attempt >= self.settings.max_attempts or self.balance < 1:
            return False
        if failure is Failure.REJECTED:
            return False
        return repeatable or failure.run_state is RunState.NOT_RUN

    def spend(self) -> None:
        """Record a retry."""
        self.balance -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class WindowSettings:
    """One node's fraction of the bound on further attempts of all nodes.

    In any `window` there are at most `ratio` further attempts for each request,
    plus `slack`. Attempts that only improve an answer leave
    `reserved_fraction` of that to attempts that replace a lost attempt.
    """

    ratio: float
    slack: float
    window: dt.timedelta
    reserved_fraction: float = 0.25


class WindowBudget:
    """Limits further attempts to a ratio of the requests in a sliding window.

    Unlike a capped balance, the window lets attempts unused in some seconds
    be used in the burst that follows the failure of an endpoint. Bounds of this
    form add up: if each node keeps its own bound, all nodes together keep the
    shared bound.
    """

    def __init__(self, settings: WindowSettings, clock: Clock) -> None:
        """Create a budget without requests.

        Args:
          settings: bounds.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.requests: collections.deque[dt.timedelta] = collections.deque()
        self.attempts: collections.deque[dt.timedelta] = collections.deque()

    def earn(self) -> None:
        """Record a request."""
        self._expire()
        self.requests.append(self.clock.monotonic())

    def spend(self) -> None:
        """Record a further attempt."""
        self._expire()
        self.attempts.append(self.clock.monotonic())

    def allows(self, improving: bool = False) -> bool:
        """Return whether another further attempt is within the bound.

        Args:
          improving: whether the attempt only improves an answer.
        """
        self._expire()
        settings = self.settings
        bound = settings.ratio * len(self.requests) + settings.slack
        if improving:
            bound *= 1 - settings.reserved_fraction
        return len(self.attempts) + 1 <= bound

    def _expire(self) -> None:
        oldest = self.clock.monotonic() - self.settings.window
        for times in (self.requests, self.attempts):
            while times and times[0] < oldest:
                times.popleft()
