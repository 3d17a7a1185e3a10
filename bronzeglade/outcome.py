"""Outcomes as values: whether a request ran, and why it was refused."""

import dataclasses
import datetime as dt
import enum
from collections.abc import Callable
from typing import Final


class RunState(enum.Enum):
    """What is known of a request that was not answered."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The final answer to a request that gets no result.

    `code` is stable and meant for programs, `message` for people.
    """

    status: int
    code: str
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: dt.timedelta | None = None


class BrokenInvariantError(Exception):
    """A promise of the program does not hold; the process must stop."""

    def __init__(self, invariant: str, detail: str) -> None:
        """Name the invariant and what was seen.

        Args:
          invariant: its name in docs/promises.md.
          detail: the values that break it.
        """
        super().__init__(f'{invariant}: {detail}')
        self.invariant = invariant
        self.detail = detail


# Called with each broken invariant before it is raised. The router process
# registers one that ends it: eventlet's hub and its WSGI server catch
# exceptions of green threads and handlers, and would go on.
REACTIONS: Final[list[Callable[[BrokenInvariantError], None]]] = []


def require(holds: bool, invariant: str, detail: object = '') -> None:
    """Raise BrokenInvariantError unless the invariant holds.

    Args:
      holds: whether it does.
      invariant: its name in docs/promises.md.
      detail: the values it is about, formatted only on failure.
    """
    if holds:
        return
    error = BrokenInvariantError(invariant, str(detail))
    for reaction in REACTIONS:
        reaction(error)
    raise error
