"""At-most-once execution of requests with an idempotency key.

The row `idempotency/TEAM/KEY` is written before the request is sent. Only the
attempt that wrote the row may send the request, and only once. An attempt that
does not know whether its row was written never sends.

Here, an attempt is one arrival of a request at a node (a `KeyedRequest`); the
caller's repetition of the request with the same key is another attempt.
"""

import dataclasses
import datetime as dt
import enum
import hashlib
from collections.abc import Sequence
from urllib.parse import quote

import msgpack
from result import Err, Ok, Result

from bronzeglade.adapters.table import (
    ABSENT,
    Check,
    CommitError,
    Conflict,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
    Unknown,
)
from bronzeglade.outcome import Refusal, RunState, require

RETENTION = dt.timedelta(hours=24)
MAX_ANSWER_BYTES = 65_536  # larger answers are not stored
MAX_KEY_LENGTH = 200  # characters
EXPIRY_PREFIX = 'idempotency-expiry/'
RETRY_AFTER = dt.timedelta(seconds=1)
# Each expired key takes two of the 128 writes that a transaction may have.
MAX_SWEEP_ROWS = 50


class KeyState(enum.StrEnum):
    """Execution state of a key's request."""

    CLAIMED = 'claimed'  # sent or about to be sent
    NOT_RUN = 'not_run'  # never sent; another attempt may claim the key
    UNKNOWN = 'unknown'  # sent; it may have run
    RAN = 'ran'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A stored response; `body` is None when it was too large to store."""

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Content of an idempotency row.

    `attempt_id` identifies the attempt that claimed the key, `claimed_at` is
    the wall time of the claim.
    """

    attempt_id: str
    digest: bytes
    state: KeyState
    claimed_at: dt.datetime
    answer: StoredAnswer | None = None

    def expired(self, now: dt.datetime) -> bool:
        """Return whether the entry has expired and its key may be reused."""
        return now - self.claimed_at >= RETENTION


class KeyedRequest:
    """An attempt to run a request that has an idempotency key."""

    def __init__(
        self, team: str, key: str, digest: bytes, attempt_id: str
    ) -> None:
        """Create an attempt that has not claimed its key yet.

        Args:
          team: team of the caller.
          key: the caller's idempotency key.
          digest: digest of the operation and the body, from `digest_of`.
          attempt_id: unique identifier of the attempt.
        """
        self.name = f'{quote(team, safe="")}/{quote(key, safe="")}'
        self.digest = digest
        self.attempt_id = attempt_id
        self.claimed_at: dt.datetime | None = None
        self.expected_version = ABSENT  # row version that the claim checks
        self.sent = False

    @property
    def row_key(self) -> str:
        """Key of the row in the table."""
        return f'idempotency/{self.name}'

    def mark_sent(self) -> None:
        """Record that the request is about to be sent."""
        require(self.claimed_at is not None, 'at-most-once', self.row_key)
        require(not self.sent, 'at-most-once', self.row_key)
        self.sent = True

    def mark_not_sent(self) -> None:
        """Record that the request certainly was not sent."""
        self.sent = False

    def entry(
        self,
        state: KeyState,
        now: dt.datetime,
        answer: StoredAnswer | None = None,
    ) -> Entry:
        """Build the content of the row for a state."""
        require(
            state is not KeyState.NOT_RUN or not self.sent,
            'not-run-is-true',
            self.row_key,
        )
        claimed_at = self.claimed_at or now
        return Entry(self.attempt_id, self.digest, state, claimed_at, answer)


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The claim is not known to be stored; the request must not be sent.

    If `pending`, the row may exist or still be written, and has to be released.
    """

    detail: str
    pending: bool


def digest_of(parts: Sequence[str], body: bytes) -> bytes:
    """Return a digest that distinguishes requests under the same key."""
    return hashlib.sha256(msgpack.packb([*parts, body])).digest()


def encode(entry: Entry) -> bytes:
    """Encode an entry as the body of a row."""
    answer = entry.answer
    packed: bytes = msgpack.packb(
        [
            entry.attempt_id,
            entry.digest,
            entry.state.value,
            entry.claimed_at.timestamp(),
            None
            if answer is None
            else [answer.status, answer.content_type, answer.body],
        ]
    )
    return packed


def decode(row: Row) -> Entry:
    """Decode the entry of a row."""
    attempt_id, digest, state, claimed_at, answer = msgpack.unpackb(row.body)
    return Entry(
        attempt_id,
        digest,
        KeyState(state),
        dt.datetime.fromtimestamp(claimed_at, dt.UTC),
        None if answer is None else StoredAnswer(*answer),
    )


def claim(
    table: Table, keyed_request: KeyedRequest, now: dt.datetime
) -> Entry | NotStored | None:
    """Claim the key of a request.

    Args:
      table: the table service.
      keyed_request: the attempt that claims the key.
      now: wall time.

    Returns:
      None when the attempt may send its request; the entry of another attempt
      that has the key; or `NotStored` when the outcome is not known.
    """
    outcome = _write_claim(table, keyed_request, now, ABSENT)
    if isinstance(outcome, Ok) or isinstance(outcome.err_value, Unavailable):
        return _claim_result(keyed_request, now, outcome)
    rows = table.read([keyed_request.row_key])
    pending = isinstance(outcome.err_value, Unknown)
    if isinstance(rows, Err):
        return NotStored(rows.err_value.detail, pending)
    row = rows.ok_value.get(keyed_request.row_key)
    if row is None:
        return NotStored('the claim was not found when read back', pending)
    entry = decode(row)
    if entry.attempt_id == keyed_request.attempt_id:
        keyed_request.claimed_at = entry.claimed_at
        return None
    if not _may_take_over(entry, keyed_request, now):
        return entry
    return _take_over(table, keyed_request, row, now)


def _may_take_over(
    entry: Entry, keyed_request: KeyedRequest, now: dt.datetime
) -> bool:
    if entry.expired(now):
        return True
    return (
        entry.state is KeyState.NOT_RUN and entry.digest == keyed_request.digest
    )


def _take_over(
    table: Table, keyed_request: KeyedRequest, row: Row, now: dt.datetime
) -> Entry | NotStored | None:
    outcome = _write_claim(table, keyed_request, now, row.version)
    if isinstance(outcome, Err) and isinstance(outcome.err_value, Conflict):
        # Another attempt has taken over the key and is running.
        return dataclasses.replace(
            decode(row), state=KeyState.CLAIMED, claimed_at=now
        )
    return _claim_result(keyed_request, now, outcome)


def _claim_result(
    keyed_request: KeyedRequest,
    now: dt.datetime,
    outcome: Result[None, CommitError],
) -> NotStored | None:
    if isinstance(outcome, Ok):
        keyed_request.claimed_at = now
        return None
    pending = isinstance(outcome.err_value, Unknown)
    return NotStored('the table service is not available', pending)


def _write_claim(
    table: Table, keyed_request: KeyedRequest, now: dt.datetime, version: int
) -> Result[None, CommitError]:
    keyed_request.expected_version = version
    entry = keyed_request.entry(KeyState.CLAIMED, now)
    puts = (
        Put(keyed_request.row_key, encode(entry)),
        Put(expiry_key(keyed_request.name, now), b''),
    )
    checks = (Check(keyed_request.row_key, version),)
    return table.commit(Transaction(checks=checks, puts=puts))


def finish(table: Table, keyed_request: KeyedRequest, final: Entry) -> bool:
    """Write the final state of an attempt to its row.

    This also prevents a delayed commit of the claim from being applied later:
    the write increments the row version that the claim checks.

    Args:
      table: the table service.
      keyed_request: the attempt that claimed, or tried to claim, the row.
      final: final content of the row.

    Returns:
      Whether the state is final; if not, the call has to be repeated.
    """
    rows = table.read([keyed_request.row_key])
    if isinstance(rows, Err):
        return False
    row = rows.ok_value.get(keyed_request.row_key)
    if row is None:
        return _write_final(table, keyed_request, ABSENT, encode(final))
    entry = decode(row)
    if entry.attempt_id != keyed_request.attempt_id:
        if row.version != keyed_request.expected_version:
            return True
        return _write_final(table, keyed_request, row.version, row.body)
    require(
        entry.state in {KeyState.CLAIMED, final.state},
        'at-most-once',
        (keyed_request.row_key, entry.state, final.state),
    )
    if entry.state is final.state:
        return True
    return _write_final(table, keyed_request, row.version, encode(final))


def _write_final(
    table: Table, keyed_request: KeyedRequest, version: int, body: bytes
) -> bool:
    checks = (Check(keyed_request.row_key, version),)
    puts = [Put(keyed_request.row_key, body)]
    if version == ABSENT:
        claimed_at = decode(
            Row(keyed_request.row_key, version, body)
        ).claimed_at
        puts.append(Put(expiry_key(keyed_request.name, claimed_at), b''))
    return table.commit(Transaction(checks=checks, puts=tuple(puts))).is_ok()


def outcome_for_duplicate(
    entry: Entry, digest: bytes, now: dt.datetime, max_duration: dt.timedelta
) -> StoredAnswer | Refusal:
    """Return the outcome of a request whose key another attempt has claimed.

    Args:
      entry: entry of the other attempt.
      digest: digest of this request.
      now: wall time.
      max_duration: time after which the other attempt cannot be running.

    Returns:
      The stored answer, or a refusal that states why there is none.
    """
    if entry.digest != digest:
        message = 'the Idempotency-Key was used for another request'
        return Refusal(422, 'idempotency_key_reused', message)
    if entry.state is KeyState.RAN:
        if entry.answer is not None and entry.answer.body is not None:
            return entry.answer
        message = 'the request ran; its answer was too large to be kept'
        return Refusal(409, 'answer_not_kept', message, RunState.RAN)
    if (
        entry.state is KeyState.CLAIMED
        and now - entry.claimed_at < max_duration
    ):
        message = 'another attempt with this Idempotency-Key may be running'
        return Refusal(
            409, 'attempt_running', message, RunState.UNKNOWN, RETRY_AFTER
        )
    message = 'it is not known whether the request ran'
    return Refusal(409, 'outcome_unknown', message, RunState.UNKNOWN)


def expiry_key(name: str, claimed_at: dt.datetime) -> str:
    """Return the key of the marker row that records when a claim expires."""
    minute = int((claimed_at + RETENTION).timestamp()) // 60
    return f'{EXPIRY_PREFIX}{minute:010d}/{name}'


def sweep(table: Table, now: dt.datetime) -> int:
    """Remove expired rows and their expiry markers, oldest first.

    Args:
      table: the table service.
      now: wall time.

    Returns:
      Number of markers removed; 0 also when the table did not answer.
    """
    markers = table.scan(EXPIRY_PREFIX, MAX_SWEEP_ROWS)
    if isinstance(markers, Err):
        return 0
    minute = int(now.timestamp()) // 60
    limit = f'{EXPIRY_PREFIX}{minute:010d}/'
    due = [marker.key for marker in markers.ok_value if marker.key < limit]
    if not due:
        return 0
    names = {
        marker.removeprefix(EXPIRY_PREFIX).partition('/')[2] for marker in due
    }
    rows = table.read([f'idempotency/{name}' for name in names])
    if isinstance(rows, Err):
        return 0
    # The row of a key that was claimed again after its expiry has not expired.
    # It has a later marker, so only the old marker is removed.
    expired = [
        row for row in rows.ok_value.values() if decode(row).expired(now)
    ]
    outcome = table.commit(
        Transaction(
            checks=tuple(Check(row.key, row.version) for row in expired),
            deletes=(*due, *(row.key for row in expired)),
        )
    )
    return len(due) if isinstance(outcome, Ok) else 0
