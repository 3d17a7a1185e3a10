"""Retries: what a failed try proves, and a budget for further tries."""

import collections
import dataclasses
import datetime as dt
import enum

from bronzeglade.clock import Clock
from bronzeglade.outcome import RunState


class Failure(enum.Enum):
    """Why a try on an endpoint gave no answer."""

    NOT_CONNECTED = 'not_connected'  # no byte left this process
    REFUSED = 'refused'  # the endpoint said that it takes no more work
    REJECTED = 'rejected'  # the endpoint found the request invalid
    LOST = 'lost'  # sent, and the outcome is not known

    @property
    def run_state(self) -> RunState:
        """Whether the request can have run at the endpoint."""
        if self is Failure.LOST:
            return RunState.UNKNOWN
        return RunState.NOT_RUN


_REFUSED_STATUSES = frozenset((404, 429, 503))
_REJECTED_STATUSES = frozenset((400, 413, 422))


def failure_of_status(status: int) -> Failure:
    """Return what a reply other than 200 of an engine proves.

    429 and 503 are sent by an engine before it queues the request, 404 when
    it does not hold the version; 400, 413 and 422 when the request is invalid.
    Any other status may come from a failure in the middle of the work.

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

    `ratio` is earned by each first try, up to `reserve`; a retry costs 1.
    """

    ratio: float = 0.095  # with the reserve stays under 1.1 tries a request
    reserve: float = 4  # retries in a row after a quiet time
    attempts: int = 3  # tries of one request


class RetryBudget:
    """Retries in proportion to first tries.

    The balance is capped, so that neither an outage nor its end lets a node
    send more than `reserve` retries at a time above the ratio.
    """

    def __init__(self, settings: RetrySettings) -> None:
        """Create a budget with half of its reserve.

        Args:
          settings: ratio and reserve.
        """
        self.settings = settings
        self.balance = settings.reserve / 2

    def earn(self) -> None:
        """Count a first try."""
        limit = self.settings.reserve
        self.balance = min(limit, self.balance + self.settings.ratio)

    def may_retry(
        self, attempt: int, failure: Failure, repeatable: bool
    ) -> bool:
        """Return whether another try is allowed.

        Args:
          attempt: tries so far, at least 1.
          failure: outcome of the last one.
          repeatable: whether the work may run twice without harm.
        """
        if attempt >= self.settings.attempts or self.balance < 1:
            return False
        if failure is Failure.REJECTED:
            return False
        return repeatable or failure.run_state is RunState.NOT_RUN

    def spend(self) -> None:
        """Count a retry."""
        self.balance -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class WindowSettings:
    """A node's part of a bound on further tries that all nodes share.

    In any `window` there are at most `ratio` further tries for each request,
    and `slack` more. Tries that only improve an answer leave `kept` of that
    to tries that replace a lost one.
    """

    ratio: float
    slack: float
    window: dt.timedelta
    kept: float = 0.25


class WindowBudget:
    """Further tries in proportion to the requests of the same window.

    Unlike a balance, the window lets the unused part of some seconds serve
    the burst of tries that follows the loss of an endpoint. Bounds of this
    form add up: when each node keeps its part, all together keep the whole.
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
        self.tries: collections.deque[dt.timedelta] = collections.deque()

    def earn(self) -> None:
        """Count a request."""
        self._expire()
        self.requests.append(self.clock.monotonic())

    def spend(self) -> None:
        """Count a further try."""
        self._expire()
        self.tries.append(self.clock.monotonic())

    def allows(self, improving: bool = False) -> bool:
        """Return whether another further try is within the bounds.

        Args:
          improving: whether it only improves an answer.
        """
        self._expire()
        settings = self.settings
        bound = settings.ratio * len(self.requests) + settings.slack
        if improving:
            bound *= 1 - settings.kept
        return len(self.tries) + 1 <= bound

    def _expire(self) -> None:
        oldest = self.clock.monotonic() - self.settings.window
        for times in (self.requests, self.tries):
            while times and times[0] < oldest:
                times.popleft()
