"""The rule on answers around planned stops, and how requests end.

Checked only on what callers and workers observe.
"""

import dataclasses
import enum
from collections.abc import Iterable

GRACE_S = 8.0
# Time after the grace period in which a stop still counts.
_STOP_SLACK_S = 1.0
# A request that ends unanswered this soon may have crossed the close of its
# connection.
_CROSSING_S = 0.2
# Requests sent no later than this after the signal may be cut while a worker
# runs them, but only in the last part of the grace period.
_LATE_REQUEST_S = 3.0
_LAST_PART_S = GRACE_S * 5 / 6
# A request that ends this close to its time limit has reached it.
_LIMIT_SLACK_S = 0.05
_NOT_EXECUTED = frozenset((429, 503))
_OK = 200


class Ending(enum.Enum):
    """How a request ended for its caller."""

    WHOLE = 'whole'
    REFUSED = 'refused'  # by a status that says that no worker has run it
    REFUSED_AFTER_RUN = 'refused after a run'
    ERROR = 'error status'
    CROSSED = 'crossed'  # the close of its connection; no worker ran it
    TIMED_OUT = 'timed out'
    WORKER_ENDED = 'worker ended'
    EXCUSED = 'excused'  # cut, but too late in the stop to count
    CUT = 'cut'  # the rule is broken
    CLOSED = 'closed'  # cut, but not around a planned stop


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request and its answer as the caller recorded them.

    Times are monotonic; `sent_s` is when the last byte was sent. `status` is 0
    without the head of an answer. `complete`: the answer ended as HTTP requires
    and has every event.
    """

    request_id: str
    kind: str
    router: str
    kept: bool  # the connection had served a request before
    sent_s: float
    ended_s: float
    limit_s: float
    status: int = 0
    events: int = 0
    complete: bool = False
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a router; times are monotonic."""

    router: str
    signalled_s: float
    ended_s: float
    exit_code: int


def stop_of(
    exchange: Exchange, stops: Iterable[PlannedStop]
) -> PlannedStop | None:
    """Return the stop of the router during which a request ended."""
    for stop in stops:
        until = stop.signalled_s + GRACE_S + _STOP_SLACK_S
        if (
            stop.router == exchange.router
            and stop.signalled_s <= exchange.ended_s <= until
            and exchange.sent_s <= stop.ended_s
        ):
            return stop
    return None


def ending_of(
    exchange: Exchange,
    stop: PlannedStop | None,
    ran: bool,
    worker_ended: bool = False,
) -> Ending:
    """Return how a request ended.

    Args:
      exchange: the request and its answer.
      stop: the planned stop during which it ended, if any.
      ran: whether a worker ran it.
      worker_ended: whether a worker that ran it has been killed.
    """
    if exchange.complete:
        return _ending_of_answer(exchange, ran)
    duration_s = exchange.ended_s - exchange.sent_s
    if not ran and duration_s <= _CROSSING_S:
        return Ending.CROSSED
    if duration_s >= exchange.limit_s - _LIMIT_SLACK_S:
        return Ending.TIMED_OUT
    if worker_ended:
        return Ending.WORKER_ENDED
    if stop is None:
        return Ending.CLOSED
    sent_early = exchange.sent_s - stop.signalled_s <= _LATE_REQUEST_S
    in_last_part = exchange.ended_s - stop.signalled_s >= _LAST_PART_S
    if ran and sent_early and in_last_part:
        return Ending.EXCUSED
    return Ending.CUT


def _ending_of_answer(exchange: Exchange, ran: bool) -> Ending:
    if exchange.status == _OK:
        return Ending.WHOLE
    if exchange.status not in _NOT_EXECUTED:
        return Ending.ERROR
    return Ending.REFUSED_AFTER_RUN if ran else Ending.REFUSED
