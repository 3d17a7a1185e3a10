"""Records of calls, attempts and publications, as seen from outside the router.

The checker compares them with what endpoints executed and what was billed.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any


class Kind(enum.StrEnum):
    """What a call requests from the fleet."""

    CHAT = 'chat'
    ORDER = 'order'  # a non-idempotent operation of a plain service


class Outcome(enum.StrEnum):
    """How a call ended for its caller."""

    COMPLETE = 'whole'
    REFUSED = 'refused'  # certainly not run, in every attempt
    UNKNOWN = 'unknown'  # may have run, or ran without a complete answer
    TRUNCATED = 'truncated'  # the response ended early without an error


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """A planned call, due `at` seconds after the start of the run."""

    number: int
    at: float
    kind: Kind
    team: str
    rank: str
    target: str = ''  # model, `model@version` or route; path of an order
    prompt: str = ''
    tokens: int = 1
    stream: bool = True
    session: str = ''
    key: str = ''

    @property
    def messages(self) -> list[dict[str, str]]:
        """Messages of a chat completion.

        All requests of a team share a system prompt, which engines cache.
        """
        system = f'You answer for {self.team}. ' * 16
        return [
            {'role': 'system', 'content': system},
            {'role': 'user', 'content': self.prompt},
        ]

    @property
    def order_id(self) -> str:
        """The order id in the request body."""
        return f'order-{self.prompt}'


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One sending of a call to one entry process.

    `entry` is the address of the process. `run_state` is `not_run`, `unknown`,
    `ran` or `whole` (a complete answer). `request_id` is empty if the
    caller received none. `status` is 0 without a response. `code` is the error
    code of the response or the name of the exception that ended the attempt.
    """

    entry: str
    run_state: str
    request_id: str = ''
    status: int = 0
    code: str = ''
    retry_after_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The content of a response; `identity` is the id of the completion."""

    text: str = ''
    identity: str = ''
    model: str = ''
    version: str = ''
    completion_tokens: int = 0
    order: Mapping[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A finished call with all its attempts.

    `first_token_s` is the time from when the call was due to its first token.
    """

    planned: PlannedCall
    outcome: Outcome
    attempts: tuple[Attempt, ...]
    answer: Answer = Answer()
    first_token_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A manifest that was sent; `at` is the wall time of its reply."""

    generation: int
    digest: str
    accepted: bool
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedStatus:
    """The active configuration that a process reported at wall time `at`."""

    process: str
    at: float
    generation: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """A version that must receive no new work between two wall times."""

    model: str
    version: str
    since: float
    until: float
