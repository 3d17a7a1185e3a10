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
# Attempts whose final state could not be stored yet. Beyond this limit the
# oldest are dropped: their rows stay claimed, and requests with these keys are
# answered "unknown" until the keys expire.
MAX_UNFINISHED = 20_000
SWEEP_INTERVAL = dt.timedelta(seconds=1)  # of all nodes together


class Idempotency:
    """Claims keys, stores final states and removes expired rows."""

    def __init__(
        self,
        table: Table,
        clock: Clock,
        rng: Random,
        max_request_time: dt.timedelta,
        count_peers: Callable[[], int],
    ) -> None:
        """Create the idempotency service of one node.

        Args:
          table: stores the rows of the keys.
          clock: times claims and retries.
          rng: spreads the retries and sweeps of the nodes.
          max_request_time: time after which a request cannot be running.
          count_peers: returns the number of live peers.
        """
        self.table = table
        self.clock = clock
        self.rng = rng
        self.max_request_time = max_request_time
        self.count_peers = count_peers
        self.unfinished: collections.deque[tuple[Attempt, Entry]] = (
            collections.deque(maxlen=MAX_UNFINISHED)
        )

    def start(self) -> None:
        """Start the retry and sweep loops."""
        eventlet.spawn(self._retry_forever)
        eventlet.spawn(self._sweep_forever)

    def claim(self, attempt: Attempt) -> Answer | Refusal | None:
        """Claim the key of an attempt.

        Args:
          attempt: an attempt that has claimed nothing yet.

        Returns:
          None if the request may be sent, the stored answer of an earlier
          attempt, or a refusal.
        """
        now = self.clock.now()
        outcome = keys.claim(self.table, attempt, now)
        if isinstance(outcome, NotStored):
            if outcome.pending:
                final_entry = attempt.entry(State.NOT_RUN, now)
                self.unfinished.append((attempt, final_entry))
            message = f'the Idempotency-Key cannot be claimed: {outcome.detail}'
            return Refusal(
                503,
                'table_unavailable',
                message,
                retry_after=keys.RETRY_AFTER,
            )
        if outcome is None:
            return None
        return keys.outcome_for_duplicate(
            outcome, attempt.digest, now, self.max_request_time
        )

    def store_outcome(
        self, attempt: Attempt, state: State, answer: Answer | None = None
    ) -> None:
        """Store the outcome of an attempt; if that fails, retry later."""
        final_entry = attempt.entry(state, self.clock.now(), answer)
        if not keys.finish(self.table, attempt, final_entry):
            self.unfinished.append((attempt, final_entry))

    def retry_unfinished(self) -> None:
        """Retry to store outcomes until one fails or all are stored."""
        while self.unfinished:
            attempt, final_entry = self.unfinished.popleft()
            if not keys.finish(self.table, attempt, final_entry):
                self.unfinished.append((attempt, final_entry))
                return

    def _retry_forever(self) -> None:
        while True:
            self.clock.sleep(RETRY_INTERVAL * self.rng.uniform(0.5, 1.5))
            self.retry_unfinished()

    def _sweep_forever(self) -> None:
        while True:
            jitter = self.rng.uniform(0.5, 1.5)
            self.clock.sleep(SWEEP_INTERVAL * (self.count_peers() + 1) * jitter)
            keys.sweep(self.table, self.clock.now())


def without_oversized_body(answer: Answer) -> Answer:
    """Return an answer without its body if that is too large to store."""
    if answer.body is None or len(answer.body) <= keys.MAX_ANSWER_BYTES:
        return answer
    return Answer(answer.status, answer.content_type, None)
