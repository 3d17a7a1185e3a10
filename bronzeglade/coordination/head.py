"""The published configuration in the table service.

Row `config/head` names the active generation. Row `config/generation/N` holds
the manifest of a generation and the publication that created it. Both are
written in one transaction, which checks the version of the head row.
"""

import dataclasses

import msgpack
from result import Err, Ok, Result

from bronzeglade.adapters.table import (
    ABSENT,
    Check,
    Conflict,
    Put,
    Row,
    StoreError,
    Table,
    Transaction,
    Unavailable,
)
from bronzeglade.catalog import Configuration, digest_of

HEAD_KEY = 'config/head'


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """A committed generation and the publication that created it."""

    configuration: Configuration
    publication_id: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another publication took the generation.

    `generation` and `digest` are those of the head, on which the operator can
    base a new publication; `operator` and `publication_id` are those of the
    other publication.
    """

    generation: int
    digest: str
    operator: str
    publication_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublicationIdReused:
    """The publication id was already used for another manifest."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The table service is unavailable; nothing was published."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """It is unknown whether the commit took effect.

    Its reply was lost, and the table could not be read afterwards or did not
    show the commit.
    """

    detail: str


PublishError = Superseded | PublicationIdReused | NotStored | OutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Content of the head row; `row_version` is 0 if there is none."""

    generation: int
    digest: str
    publication_id: str
    operator: str
    row_version: int


NO_HEAD = Head(0, '', '', '', ABSENT)


def generation_key(generation: int) -> str:
    """Return the key of the row that holds a generation's manifest."""
    return f'config/generation/{generation:010d}'


def decode_head(row: Row | None) -> Head:
    """Decode the head row."""
    if row is None:
        return NO_HEAD
    content = msgpack.unpackb(row.body)
    return Head(row_version=row.version, **content)


def read_head(table: Table) -> Result[Head, StoreError]:
    """Read the head row."""
    outcome = table.read([HEAD_KEY])
    if isinstance(outcome, Err):
        return outcome
    return Ok(decode_head(outcome.ok_value.get(HEAD_KEY)))


def read_generation(
    table: Table, generation: int
) -> Result[Published, StoreError]:
    """Read a committed generation.

    Args:
      table: the table service.
      generation: its number, from the head row.

    Returns:
      The generation with its publication, or the error.
    """
    key = generation_key(generation)
    rows = table.read([key])
    if isinstance(rows, Err):
        return rows
    if key not in rows.ok_value:
        return Err(StoreError(f'no row {key}'))
    return Ok(_decode_generation(generation, rows.ok_value[key]))


def _decode_generation(generation: int, row: Row) -> Published:
    content = msgpack.unpackb(row.body)
    text = content['text']
    return Published(
        Configuration(generation, digest_of(text), text),
        content['publication_id'],
        content['operator'],
    )


def publish(
    table: Table, published: Published
) -> Result[Published, PublishError]:
    """Commit a generation that replaces the one before it.

    The call is idempotent: the row of the generation names the publication that
    created it, so a call can be repeated after a lost reply, even when a later
    publication has replaced this one.

    Args:
      table: the table service.
      published: the new generation; it replaces `generation - 1`.

    Returns:
      The publication, or why it was not published.
    """
    stored = _read_stored(table, published.configuration.generation)
    if isinstance(stored, Err):
        return Err(NotStored(stored.err_value.detail))
    head, existing = stored.ok_value
    if existing is not None:
        return _resolve_existing(head, existing, published)
    if head.generation != published.configuration.generation - 1:
        return Err(_superseded(head, None))
    commit = table.commit(_transaction(head, published))
    if isinstance(commit, Ok):
        return Ok(published)
    if isinstance(commit.err_value, Unavailable):
        return Err(NotStored(commit.err_value.detail))
    return _read_back(table, published, isinstance(commit.err_value, Conflict))


def _read_stored(
    table: Table, generation: int
) -> Result[tuple[Head, Published | None], StoreError]:
    key = generation_key(generation)
    rows = table.read([HEAD_KEY, key])
    if isinstance(rows, Err):
        return rows
    row = rows.ok_value.get(key)
    existing = None if row is None else _decode_generation(generation, row)
    return Ok((decode_head(rows.ok_value.get(HEAD_KEY)), existing))


def _resolve_existing(
    head: Head, existing: Published, published: Published
) -> Result[Published, PublishError]:
    if existing.publication_id != published.publication_id:
        return Err(_superseded(head, existing))
    if existing.configuration.digest != published.configuration.digest:
        return Err(
            PublicationIdReused(
                'the publication id was already used for another manifest'
            )
        )
    return Ok(existing)


def _superseded(head: Head, existing: Published | None) -> Superseded:
    return Superseded(
        head.generation,
        head.digest,
        head.operator if existing is None else existing.operator,
        head.publication_id if existing is None else existing.publication_id,
    )


def _transaction(head: Head, published: Published) -> Transaction:
    configuration = published.configuration
    publication = {
        'publication_id': published.publication_id,
        'operator': published.operator,
    }
    body = msgpack.packb(
        {
            'generation': configuration.generation,
            'digest': configuration.digest,
            **publication,
        }
    )
    text = msgpack.packb({'text': configuration.text, **publication})
    key = generation_key(configuration.generation)
    return Transaction(
        checks=(Check(HEAD_KEY, head.row_version), Check(key, ABSENT)),
        puts=(Put(HEAD_KEY, body), Put(key, text)),
    )


def _read_back(
    table: Table, published: Published, conflicted: bool
) -> Result[Published, PublishError]:
    stored = _read_stored(table, published.configuration.generation)
    if isinstance(stored, Err):
        return Err(OutcomeUnknown(stored.err_value.detail))
    head, existing = stored.ok_value
    if existing is not None:
        return _resolve_existing(head, existing, published)
    if conflicted:
        return Err(_superseded(head, None))
    # The table service may still be processing the commit.
    return Err(OutcomeUnknown('the commit is not visible in the table yet'))
