"""The published configuration in the table service.

Row `config/head` names the generation in force; row `config/generation/N`
holds its manifest. Both are written in one transaction that checks the head.
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
    """A committed generation and the publication that made it."""

    configuration: Configuration
    publication_id: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another publication holds the head."""

    generation: int
    digest: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The table is not available; nothing was published."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The reply was lost and the table could not be read back."""

    detail: str


PublishError = Superseded | NotStored | Undecided


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Content of the head row; `row_version` is 0 when it is absent."""

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
    """Return the content of the head row."""
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


def read_published(
    table: Table, known: int
) -> Result[Published | None, StoreError]:
    """Read the generation in force when it is higher than a known one.

    Args:
      table: the table service.
      known: generation that the caller has.

    Returns:
      The published generation; None when it is not higher.
    """
    outcome = read_head(table)
    if isinstance(outcome, Err):
        return outcome
    head = outcome.ok_value
    if head.generation <= known:
        return Ok(None)
    key = generation_key(head.generation)
    rows = table.read([key])
    if isinstance(rows, Err):
        return rows
    if key not in rows.ok_value:
        return Err(StoreError(f'no row {key}'))
    text = rows.ok_value[key].body
    return Ok(
        Published(
            Configuration(head.generation, digest_of(text), text),
            head.publication_id,
            head.operator,
        )
    )


def publish(
    table: Table, published: Published
) -> Result[Published, PublishError]:
    """Commit a generation on top of the one before it.

    A publication that finds itself as the head counts as committed, so a
    lost reply and a repeated call are harmless.

    Args:
      table: the table service.
      published: the new generation; it replaces `generation - 1`.

    Returns:
      The publication, or who holds the head.
    """
    outcome = read_head(table)
    if isinstance(outcome, Err):
        return Err(NotStored(outcome.err_value.detail))
    head = outcome.ok_value
    if head.publication_id == published.publication_id:
        return Ok(published)
    if head.generation != published.configuration.generation - 1:
        return Err(Superseded(head.generation, head.digest, head.operator))
    commit = table.commit(_transaction(head, published))
    if isinstance(commit, Ok):
        return Ok(published)
    if isinstance(commit.err_value, Unavailable):
        return Err(NotStored(commit.err_value.detail))
    return _read_back(table, published, isinstance(commit.err_value, Conflict))


def _transaction(head: Head, published: Published) -> Transaction:
    configuration = published.configuration
    body = msgpack.packb(
        {
            'generation': configuration.generation,
            'digest': configuration.digest,
            'publication_id': published.publication_id,
            'operator': published.operator,
        }
    )
    return Transaction(
        checks=(Check(HEAD_KEY, head.row_version),),
        puts=(
            Put(HEAD_KEY, body),
            Put(generation_key(configuration.generation), configuration.text),
        ),
    )


def _read_back(
    table: Table, published: Published, decided: bool
) -> Result[Published, PublishError]:
    outcome = read_head(table)
    if isinstance(outcome, Err):
        return Err(Undecided(outcome.err_value.detail))
    head = outcome.ok_value
    if head.publication_id == published.publication_id:
        return Ok(published)
    if decided or head.generation >= published.configuration.generation:
        return Err(Superseded(head.generation, head.digest, head.operator))
    # The commit may still be under way in the table service.
    return Err(Undecided('the commit has not been seen'))
