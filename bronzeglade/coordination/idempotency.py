"""At-most-once execution of requests with an idempotency key.

The row `idempotency/TEAM/KEY` is written before a request leaves. Only the
attempt that wrote it may send the request, once. An attempt that does not know
whether its row was written never sends.
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

KEPT = dt.timedelta(hours=24)
LARGEST_ANSWER = 65_536  # bytes; a larger answer is not stored
LONGEST_KEY = 200  # characters
EXPIRY_PREFIX = 'idempotency-expiry/'
RETRY_AFTER = dt.timedelta(seconds=1)
# Rows that one sweep removes; each takes two of the 128 writes that a
# transaction may have.
SWEEP_ROWS = 50


class State(enum.StrEnum):
    """What is known of the execution under a key."""

    CLAIMED = 'claimed'  # sent or about to be sent
    NOT_RUN = 'not_run'  # never sent; another attempt may claim
    UNKNOWN = 'unknown'
    RAN = 'ran'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A stored response; `body` is None when it was too large."""

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Content of a row; `at` is the wall time of the claim."""

    attempt: str
    digest: bytes
    state: State
    at: dt.datetime
    answer: Answer | None = None

    def expired(self, now: dt.datetime) -> bool:
        """Return whether the key may be used again."""
        return now - self.at >= KEPT


class Attempt:
    """A request under a key on this node."""

    def __init__(
        self, team: str, key: str, digest: bytes, identity: str
    ) -> None:
        """Create an attempt that has claimed nothing.

        Args:
          team: who asks.
          key: the caller's idempotency key.
          digest: of the operation and the body.
          identity: unique name of the attempt.
        """
        self.name = f'{quote(team, safe="")}/{quote(key, safe="")}'
        self.digest = digest
        self.identity = identity
        self.claimed_at: dt.datetime | None = None
        self.checked = ABSENT  # row version on which the claim depends
        self.left = False

    @property
    def row_key(self) -> str:
        """Key of the row."""
        return f'idempotency/{self.name}'

    def leave(self) -> None:
        """Note that the request is handed to the network."""
        require(self.claimed_at is not None, 'at-most-once', self.row_key)
        require(not self.left, 'at-most-once', self.row_key)
        self.left = True

    def returned(self) -> None:
        """Note that the request surely never left."""
        self.left = False

    def entry(
        self, state: State, now: dt.datetime, answer: Answer | None = None
    ) -> Entry:
        """Return the row's content under a state."""
        require(
            state is not State.NOT_RUN or not self.left,
            'not-run-is-true',
            self.row_key,
        )
        at = self.claimed_at or now
        return Entry(self.identity, self.digest, state, at, answer)


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The claim is not known to be stored; the request must not be sent.

    With `pending` the row may exist or appear later and has to be released.
    """

    detail: str
    pending: bool


def digest_of(parts: Sequence[str], body: bytes) -> bytes:
    """Return the digest that tells requests under one key apart."""
    return hashlib.sha256(msgpack.packb([*parts, body])).digest()


def encode(entry: Entry) -> bytes:
    """Return the body of a row."""
    answer = entry.answer
    packed: bytes = msgpack.packb(
        [
            entry.attempt,
            entry.digest,
            entry.state.value,
            entry.at.timestamp(),
            None
            if answer is None
            else [answer.status, answer.content_type, answer.body],
        ]
    )
    return packed


def decode(row: Row) -> Entry:
    """Return the content of a row."""
    attempt, digest, state, at, answer = msgpack.unpackb(row.body)
    return Entry(
        attempt,
        digest,
        State(state),
        dt.datetime.fromtimestamp(at, dt.UTC),
        None if answer is None else Answer(*answer),
    )


def claim(
    table: Table, attempt: Attempt, now: dt.datetime
) -> Entry | NotStored | None:
    """Claim a key for an attempt.

    Args:
      table: the table service.
      attempt: who claims.
      now: wall time.

    Returns:
      None when the attempt may send its request; otherwise the entry of
      another attempt, or why nothing is known.
    """
    outcome = _write(table, attempt, now, ABSENT)
    if isinstance(outcome, Ok) or isinstance(outcome.err_value, Unavailable):
        return _claimed(attempt, now, outcome)
    rows = table.read([attempt.row_key])
    unknown = isinstance(outcome.err_value, Unknown)
    if isinstance(rows, Err):
        return NotStored(rows.err_value.detail, unknown)
    row = rows.ok_value.get(attempt.row_key)
    if row is None:
        return NotStored('the claim has not been seen', unknown)
    entry = decode(row)
    if entry.attempt == attempt.identity:
        attempt.claimed_at = entry.at
        return None
    if not _may_take_over(entry, attempt, now):
        return entry
    return _take_over(table, attempt, row, now)


def _may_take_over(entry: Entry, attempt: Attempt, now: dt.datetime) -> bool:
    if entry.expired(now):
        return True
    return entry.state is State.NOT_RUN and entry.digest == attempt.digest


def _take_over(
    table: Table, attempt: Attempt, row: Row, now: dt.datetime
) -> Entry | NotStored | None:
    outcome = _write(table, attempt, now, row.version)
    if isinstance(outcome, Err) and isinstance(outcome.err_value, Conflict):
        # Another attempt was faster; it runs now.
        return dataclasses.replace(decode(row), state=State.CLAIMED, at=now)
    return _claimed(attempt, now, outcome)


def _claimed(
    attempt: Attempt, now: dt.datetime, outcome: Result[None, CommitError]
) -> NotStored | None:
    if isinstance(outcome, Ok):
        attempt.claimed_at = now
        return None
    unknown = isinstance(outcome.err_value, Unknown)
    return NotStored('the table is not available', unknown)


def _write(
    table: Table, attempt: Attempt, now: dt.datetime, version: int
) -> Result[None, CommitError]:
    attempt.checked = version
    entry = attempt.entry(State.CLAIMED, now)
    puts = (
        Put(attempt.row_key, encode(entry)),
        Put(expiry_key(attempt.name, now), b''),
    )
    checks = (Check(attempt.row_key, version),)
    return table.commit(Transaction(checks=checks, puts=puts))


def finish(table: Table, attempt: Attempt, wanted: Entry) -> bool:
    """Bring the row of an attempt into its final state.

    It also makes sure that a claim whose commit is still on its way is never
    applied: the write raises the version that the claim depends on.

    Args:
      table: the table service.
      attempt: whose row.
      wanted: final content.

    Returns:
      Whether it is done; call again when it is not.
    """
    rows = table.read([attempt.row_key])
    if isinstance(rows, Err):
        return False
    row = rows.ok_value.get(attempt.row_key)
    if row is None:
        return _replace(table, attempt, ABSENT, encode(wanted))
    entry = decode(row)
    if entry.attempt != attempt.identity:
        if row.version != attempt.checked:
            return True
        return _replace(table, attempt, row.version, row.body)
    require(
        entry.state in {State.CLAIMED, wanted.state},
        'at-most-once',
        (attempt.row_key, entry.state, wanted.state),
    )
    if entry.state is wanted.state:
        return True
    return _replace(table, attempt, row.version, encode(wanted))


def _replace(table: Table, attempt: Attempt, version: int, body: bytes) -> bool:
    checks = (Check(attempt.row_key, version),)
    puts = [Put(attempt.row_key, body)]
    if version == ABSENT:
        at = decode(Row(attempt.row_key, version, body)).at
        puts.append(Put(expiry_key(attempt.name, at), b''))
    return table.commit(Transaction(checks=checks, puts=tuple(puts))).is_ok()


def verdict(
    entry: Entry, digest: bytes, now: dt.datetime, longest: dt.timedelta
) -> Answer | Refusal:
    """Return what an attempt is told that found the entry of another one.

    Args:
      entry: the other attempt's.
      digest: of this attempt.
      now: wall time.
      longest: time after which the other attempt cannot be running.
    """
    if entry.digest != digest:
        message = 'the Idempotency-Key was used for another request'
        return Refusal(422, 'idempotency_key_reused', message)
    if entry.state is State.RAN:
        if entry.answer is not None and entry.answer.body is not None:
            return entry.answer
        message = 'the request ran; its answer was too large to be kept'
        return Refusal(409, 'answer_not_kept', message, RunState.RAN)
    if entry.state is State.CLAIMED and now - entry.at < longest:
        message = 'another attempt with this Idempotency-Key may be running'
        return Refusal(
            409, 'attempt_running', message, RunState.UNKNOWN, RETRY_AFTER
        )
    message = 'it is not known whether the request ran'
    return Refusal(409, 'outcome_unknown', message, RunState.UNKNOWN)


def expiry_key(name: str, at: dt.datetime) -> str:
    """Return the key of the row that marks when a claim expires."""
    minute = int((at + KEPT).timestamp()) // 60
    return f'{EXPIRY_PREFIX}{minute:010d}/{name}'


def sweep(table: Table, now: dt.datetime) -> int:
    """Remove expired rows, the oldest first.

    Args:
      table: the table service.
      now: wall time.

    Returns:
      How many marks were removed; 0 also when the table did not answer.
    """
    marks = table.scan(EXPIRY_PREFIX, SWEEP_ROWS)
    if isinstance(marks, Err):
        return 0
    minute = int(now.timestamp()) // 60
    limit = f'{EXPIRY_PREFIX}{minute:010d}/'
    due = [mark.key for mark in marks.ok_value if mark.key < limit]
    if not due:
        return 0
    names = {mark.removeprefix(EXPIRY_PREFIX).partition('/')[2] for mark in due}
    rows = table.read([f'idempotency/{name}' for name in names])
    if isinstance(rows, Err):
        return 0
    # A key that was claimed again since has a later mark of its own.
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
