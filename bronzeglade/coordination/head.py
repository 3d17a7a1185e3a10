"""The published configuration in the table service.

Row `config/head` names the generation in force; row `config/generation/N`
holds its manifest and the publication that made it. Both are written in one
transaction that checks the head.
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
    """Another publication won the generation.

    `generation` and `digest` are those of the head, from which the operator
    starts again; `operator` and `publication_id` are the winner's.
    """

    generation: int
    digest: str
    operator: str
    publication_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reused:
    """The publication id belongs to another manifest."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The table is not available; nothing was published."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The reply was lost and the table could not be read back."""

    detail: str


PublishError = Superseded | Reused | NotStored | Undecided


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


def read_generation(
    table: Table, generation: int
) -> Result[Published, StoreError]:
    """Read a committed generation.

    Args:
      table: the table service.
      generation: its number, as the head row has it.

    Returns:
      The generation with its publication, or why it could not be read.
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
    """Commit a generation on top of the one before it.

    The row of the generation says which publication made it, so a lost reply
    and a repeated call are harmless, also when a later publication has
    replaced this one.

    Args:
      table: the table service.
      published: the new generation; it replaces `generation - 1`.

    Returns:
      The publication, or who won its generation.
    """
    stored = _read_stored(table, published.configuration.generation)
    if isinstance(stored, Err):
        return Err(NotStored(stored.err_value.detail))
    head, winner = stored.ok_value
    if winner is not None:
        return _judge(head, winner, published)
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
    winner = None if row is None else _decode_generation(generation, row)
    return Ok((decode_head(rows.ok_value.get(HEAD_KEY)), winner))


def _judge(
    head: Head, winner: Published, published: Published
) -> Result[Published, PublishError]:
    if winner.publication_id != published.publication_id:
        return Err(_superseded(head, winner))
    if winner.configuration.digest != published.configuration.digest:
        return Err(Reused('the publication id belongs to another manifest'))
    return Ok(winner)


def _superseded(head: Head, winner: Published | None) -> Superseded:
    return Superseded(
        head.generation,
        head.digest,
        head.operator if winner is None else winner.operator,
        head.publication_id if winner is None else winner.publication_id,
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
    table: Table, published: Published, decided: bool
) -> Result[Published, PublishError]:
    stored = _read_stored(table, published.configuration.generation)
    if isinstance(stored, Err):
        return Err(Undecided(stored.err_value.detail))
    head, winner = stored.ok_value
    if winner is not None:
        return _judge(head, winner, published)
    if decided:
        return Err(_superseded(head, None))
    # The commit may still be under way in the table service.
    return Err(Undecided('the commit has not been seen'))
