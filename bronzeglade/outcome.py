"""Outcomes as values: whether a request ran, and why it was refused."""

import dataclasses
import datetime as dt
import enum


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


def require(holds: bool, invariant: str, detail: object = '') -> None:
    """Raise BrokenInvariantError unless the invariant holds.

    Args:
      holds: whether it does.
      invariant: its name in docs/promises.md.
      detail: the values it is about, formatted only on failure.
    """
    if not holds:
        raise BrokenInvariantError(invariant, str(detail))
