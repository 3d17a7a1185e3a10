"""Claims of idempotency keys by this node."""

import collections
import datetime as dt
from collections.abc import Callable
from random import Random

import eventlet

from bronzeglade.adapters.table import Table
from bronzeglade.clock import Clock
from bronzeglade.coordination import idempotency as keys
from bronzeglade.coordination.idempotency import (
    Answer,
    Attempt,
    Entry,
    NotStored,
    State,
)
from bronzeglade.outcome import Refusal

RETRY_INTERVAL = dt.timedelta(milliseconds=500)
# Rows that could not be brought into their final state. Beyond it the oldest
# stay claimed: their keys answer "unknown" until they expire.
UNFINISHED_LIMIT = 20_000
SWEEP_INTERVAL = dt.timedelta(seconds=1)  # of all nodes together


class Idempotency:
    """Drives claims, their final states and the removal of old rows."""

    def __init__(
        self,
        table: Table,
        clock: Clock,
        random: Random,
        longest: dt.timedelta,
        nodes: Callable[[], int],
    ) -> None:
        """Create the claims of one node.

        Args:
          table: where the rows are.
          clock: times of claims and retries.
          random: spreads the sweeps of the nodes.
          longest: longest time of one request.
          nodes: returns the number of live nodes.
        """
        self.table = table
        self.clock = clock
        self.random = random
        self.longest = longest
        self.nodes = nodes
        self.unfinished: collections.deque[tuple[Attempt, Entry]] = (
            collections.deque(maxlen=UNFINISHED_LIMIT)
        )

    def start(self) -> None:
        """Start the loops."""
        eventlet.spawn(self._finish_forever)
        eventlet.spawn(self._sweep_forever)

    def claim(self, attempt: Attempt) -> Answer | Refusal | None:
        """Claim a key.

        Args:
          attempt: a new attempt.

        Returns:
          None when the request may be sent, the stored answer of an earlier
          attempt, or a refusal.
        """
        now = self.clock.now()
        found = keys.claim(self.table, attempt, now)
        if isinstance(found, NotStored):
            if found.pending:
                wanted = attempt.entry(State.NOT_RUN, now)
                self.unfinished.append((attempt, wanted))
            message = f'the Idempotency-Key cannot be claimed: {found.detail}'
            return Refusal(
                503,
                'table_unavailable',
                message,
                retry_after=keys.RETRY_AFTER,
            )
        if found is None:
            return None
        return keys.outcome_for_duplicate(
            found, attempt.digest, now, self.longest
        )

    def settle(
        self, attempt: Attempt, state: State, answer: Answer | None = None
    ) -> None:
        """Store the outcome of an attempt, in the background if need be."""
        wanted = attempt.entry(state, self.clock.now(), answer)
        if not keys.finish(self.table, attempt, wanted):
            self.unfinished.append((attempt, wanted))

    def finish_some(self) -> None:
        """Try again to store outcomes, until one fails."""
        while self.unfinished:
            attempt, wanted = self.unfinished.popleft()
            if not keys.finish(self.table, attempt, wanted):
                self.unfinished.append((attempt, wanted))
                return

    def _finish_forever(self) -> None:
        while True:
            self.clock.sleep(RETRY_INTERVAL * self.random.uniform(0.5, 1.5))
            self.finish_some()

    def _sweep_forever(self) -> None:
        while True:
            spread = self.random.uniform(0.5, 1.5)
            self.clock.sleep(SWEEP_INTERVAL * (self.nodes() + 1) * spread)
            keys.sweep(self.table, self.clock.now())


def kept(answer: Answer) -> Answer:
    """Return an answer as it is stored: without a large body."""
    if answer.body is None or len(answer.body) <= keys.MAX_ANSWER_BYTES:
        return answer
    return Answer(answer.status, answer.content_type, None)
