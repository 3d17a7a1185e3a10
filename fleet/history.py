"""What callers asked and what they saw: the records that a checker reads."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any


class Kind(enum.StrEnum):
    """What a caller asks for."""

    CHAT = 'chat'
    ORDER = 'order'  # a non-idempotent operation of a plain service


class Outcome(enum.StrEnum):
    """How a call ended for its caller."""

    WHOLE = 'whole'
    REFUSED = 'refused'  # surely not run, in every attempt
    UNKNOWN = 'unknown'  # it may have run, or ran without a whole answer
    TRUNCATED = 'truncated'  # the response ended as if it were whole


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """A call that is due at a time; `at` is in seconds from the start."""

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
        """Messages of a chat completion."""
        # A team's requests share a system prompt, which engines cache.
        system = f'You answer for {self.team}. ' * 16
        return [
            {'role': 'system', 'content': system},
            {'role': 'user', 'content': self.prompt},
        ]

    @property
    def order_id(self) -> str:
        """Identity of an order, in its body."""
        return f'order-{self.prompt}'


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a call through one entry process.

    `run_state` is `not_run`, `unknown`, `ran` or `whole`; `request_id` is
    empty when the caller did not learn it. Times are wall times.
    """

    entry: str
    run_state: str
    request_id: str = ''
    status: int = 0
    code: str = ''
    retry_after_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller received."""

    text: str = ''
    identity: str = ''
    model: str = ''
    version: str = ''
    completion_tokens: int = 0
    order: Mapping[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call from its first to its last attempt.

    `first_token_s` counts from the time at which the call was due.
    """

    planned: Planned
    outcome: Outcome
    attempts: tuple[Attempt, ...]
    answer: Answer = Answer()
    first_token_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A manifest that an operator sent; `at` is when its reply arrived."""

    generation: int
    digest: str
    accepted: bool
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StatusSeen:
    """Configuration that a process reported."""

    process: str
    at: float
    generation: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """A version that may get no work between two wall times."""

    model: str
    version: str
    since: float
    until: float
