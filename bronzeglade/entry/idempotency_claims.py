"""Claims of idempotency keys by this node."""

import collections
import datetime as dt
from collections.abc import Callable
from random import Random

import eventlet

from bronzeglade.adapters.table import Table
from bronzeglade.clock import Clock
from bronzeglade.coordination import idempotency
from bronzeglade.coordination.idempotency import (
    Entry,
    KeyedRequest,
    KeyState,
    NotStored,
    StoredAnswer,
)
from bronzeglade.outcome import Refusal

RETRY_INTERVAL = dt.timedelta(milliseconds=500)
# Attempts whose final state could not be stored yet. Beyond this limit the
# oldest are dropped: their rows stay claimed, and requests with these keys are
# answered "unknown" until the keys expire.
MAX_UNFINISHED = 20_000
SWEEP_INTERVAL = dt.timedelta(seconds=1)  # of all nodes together


class IdempotencyClaims:
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
        self.unfinished: collections.deque[tuple[KeyedRequest, Entry]] = (
            collections.deque(maxlen=MAX_UNFINISHED)
        )

    def start(self) -> None:
        """Start the retry and sweep loops."""
        eventlet.spawn(self._retry_forever)
        eventlet.spawn(self._sweep_forever)

    def claim(
        self, keyed_request: KeyedRequest
    ) -> StoredAnswer | Refusal | None:
        """Claim the key of an attempt.

        Args:
          keyed_request: an attempt that has claimed nothing yet.

        Returns:
          None if the request may be sent, the stored answer of an earlier
          attempt, or a refusal.
        """
        now = self.clock.now()
        outcome = idempotency.claim(self.table, keyed_request, now)
        if isinstance(outcome, NotStored):
            if outcome.pending:
                final_entry = keyed_request.entry(KeyState.NOT_RUN, now)
                self.unfinished.append((keyed_request, final_entry))
            message = f'the Idempotency-Key cannot be claimed: {outcome.detail}'
            return Refusal(
                503,
                'table_unavailable',
                message,
                retry_after=idempotency.RETRY_AFTER,
            )
        if outcome is None:
            return None
        return idempotency.outcome_for_duplicate(
            outcome, keyed_request.digest, now, self.max_request_time
        )

    def store_outcome(
        self,
        keyed_request: KeyedRequest,
        state: KeyState,
        answer: StoredAnswer | None = None,
    ) -> None:
        """Store the outcome of an attempt; if that fails, retry later."""
        final_entry = keyed_request.entry(state, self.clock.now(), answer)
        if not idempotency.finish(self.table, keyed_request, final_entry):
            self.unfinished.append((keyed_request, final_entry))

    def retry_unfinished(self) -> None:
        """Retry to store outcomes until one fails or all are stored."""
        while self.unfinished:
            keyed_request, final_entry = self.unfinished.popleft()
            if not idempotency.finish(self.table, keyed_request, final_entry):
                self.unfinished.append((keyed_request, final_entry))
                return

    def _retry_forever(self) -> None:
        while True:
            self.clock.sleep(RETRY_INTERVAL * self.rng.uniform(0.5, 1.5))
            self.retry_unfinished()

    def _sweep_forever(self) -> None:
        while True:
            jitter = self.rng.uniform(0.5, 1.5)
            self.clock.sleep(SWEEP_INTERVAL * (self.count_peers() + 1) * jitter)
            idempotency.sweep(self.table, self.clock.now())


def without_oversized_body(answer: StoredAnswer) -> StoredAnswer:
    """Return an answer without its body if that is too large to store."""
    if answer.body is None or len(answer.body) <= idempotency.MAX_ANSWER_BYTES:
        return answer
    return StoredAnswer(answer.status, answer.content_type, None)
