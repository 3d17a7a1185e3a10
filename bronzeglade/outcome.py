"""Whether a request ran, why it was refused, and invariant checks."""

import dataclasses
import datetime as dt
import enum
from collections.abc import Callable
from typing import Final


class RunState(enum.Enum):
    """Whether a request without an answer was executed by an endpoint."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The error response to a request that gets no result.

    `code` is stable and meant for programs, `message` for people.
    """

    status: int
    code: str
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: dt.timedelta | None = None


class BrokenInvariantError(Exception):
    """An invariant of the program is violated; the process must stop."""

    def __init__(self, invariant: str, detail: str) -> None:
        """Describe the violation.

        Args:
          invariant: name of the invariant in docs/promises.md.
          detail: the values that violate it.
        """
        super().__init__(f'{invariant}: {detail}')
        self.invariant = invariant
        self.detail = detail


# Called with each violated invariant before the error is raised. The router
# registers a handler that ends the process, because eventlet's hub and WSGI
# server catch exceptions of green threads and handlers and carry on.
INVARIANT_HANDLERS: Final[list[Callable[[BrokenInvariantError], None]]] = []


def require(holds: bool, invariant: str, detail: object = '') -> None:
    """Raise BrokenInvariantError unless the invariant holds.

    Args:
      holds: the condition.
      invariant: name of the invariant in docs/promises.md.
      detail: the values involved; formatted only on failure.
    """
    if holds:
        return
    error = BrokenInvariantError(invariant, str(detail))
    for handler in INVARIANT_HANDLERS:
        handler(error)
    raise error
