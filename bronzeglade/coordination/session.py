"""Bindings of sessions to versions in the table service.

The row `session/TEAM/ID/MODEL` is written with put-if-absent, so that two
nodes that bind the same session at the same time agree.
"""

import base64
import binascii
import dataclasses
import hashlib
import hmac
from collections.abc import Mapping, Sequence
from urllib.parse import quote

import msgpack
from result import Err, Ok

from bronzeglade.adapters.table import (
    ABSENT,
    Check,
    Conflict,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
)
from bronzeglade.coordination import seal
from bronzeglade.coordination.seal import SharedKey
from bronzeglade.outcome import require

LARGEST_BATCH = 100  # a transaction has at most 128 writes
LONGEST_ID = 200  # characters
LONGEST_TOKEN = 2048  # characters

# Commits of one batch after another node has bound one of its sessions.
_MAX_COMMITS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Identity of a binding."""

    team: str
    session_id: str
    model: str

    @property
    def row_key(self) -> str:
        """Key of the row."""
        parts = (self.team, self.session_id, self.model)
        return 'session/{0}/{1}/{2}'.format(
            *(quote(part, safe='') for part in parts)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """A session whose version is asked of the table.

    `kept` are the versions to which it may stay bound; `preferred` is one of
    them. With `exists` the row is known to be there.
    """

    row_key: str
    preferred: str
    kept: tuple[str, ...]
    exists: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """The version that the table holds; `left` is the one it replaced."""

    version: str
    left: str | None = None


def resolve(table: Table, wants: Sequence[Want]) -> dict[str, Bound]:
    """Read or write the bindings of some sessions, with one read at most.

    Args:
      table: the table service.
      wants: sessions with different keys, at most LARGEST_BATCH.

    Returns:
      The bindings by row key; a session whose binding is not known is
      missing.
    """
    if not any(want.exists for want in wants):
        outcome = table.commit(_binding(wants, {}))
        if isinstance(outcome, Ok):
            return {want.row_key: Bound(want.preferred) for want in wants}
        if isinstance(outcome.err_value, Unavailable):
            return {}
    rows = table.read([want.row_key for want in wants])
    if isinstance(rows, Err):
        return {}
    found = rows.ok_value
    bound = {
        want.row_key: Bound(decode(found[want.row_key]))
        for want in wants
        if want.row_key in found and decode(found[want.row_key]) in want.kept
    }
    unbound = {
        want.row_key: want for want in wants if want.row_key not in bound
    }
    return bound | _bind(table, unbound, found)


def _bind(
    table: Table, unbound: dict[str, Want], found: Mapping[str, Row]
) -> dict[str, Bound]:
    for _attempt in range(_MAX_COMMITS):
        if not unbound:
            break
        outcome = table.commit(_binding(list(unbound.values()), found))
        if isinstance(outcome, Ok):
            return {
                key: Bound(want.preferred, _version(found.get(key)))
                for key, want in unbound.items()
            }
        if not isinstance(outcome.err_value, Conflict):
            break
        # Bound by another node since the read; the caller asks again.
        unbound.pop(outcome.err_value.key, None)
    return {}


def _binding(wants: Sequence[Want], found: Mapping[str, Row]) -> Transaction:
    checks = []
    puts = []
    for want in wants:
        row = found.get(want.row_key)
        require(_version(row) not in want.kept, 'session-keeps-version', want)
        version = row.version if row else ABSENT
        checks.append(Check(want.row_key, version))
        puts.append(Put(want.row_key, encode(want.preferred)))
    return Transaction(tuple(checks), tuple(puts))


def _version(row: Row | None) -> str | None:
    return None if row is None else decode(row)


def encode(version: str) -> bytes:
    """Return the body of a row."""
    packed: bytes = msgpack.packb({'version': version})
    return packed


def decode(row: Row) -> str:
    """Return the version of a row."""
    return str(msgpack.unpackb(row.body)['version'])


def token_keys(keys: Sequence[SharedKey]) -> tuple[SharedKey, ...]:
    """Return the keys of tokens: a token must not pass as a peer message."""
    return tuple(
        SharedKey(
            key.number,
            hmac.digest(key.secret, b'session-token', hashlib.sha256),
        )
        for key in keys
    )


def sign(keys: Sequence[SharedKey], session: Session, version: str) -> str:
    """Return the token of a binding.

    Args:
      keys: what `token_keys` returned.
      session: the session.
      version: its version.
    """
    payload = msgpack.packb([*dataclasses.astuple(session), version])
    sealed = seal.seal(keys, payload)
    return base64.urlsafe_b64encode(sealed).decode().rstrip('=')


def verify(
    keys: Sequence[SharedKey], session: Session, token: str
) -> str | None:
    """Return the version of a token, or None when it is not valid here.

    Args:
      keys: what `token_keys` returned.
      session: the session that the token must belong to.
      token: text from a caller.
    """
    if len(token) > LONGEST_TOKEN or not token.isascii():
        return None
    try:
        sealed = base64.urlsafe_b64decode(token + '=' * (-len(token) % 4))
    except (binascii.Error, ValueError):
        return None
    payload = seal.unseal(keys, sealed)
    if isinstance(payload, Err):
        return None
    *identity, version = msgpack.unpackb(payload.ok_value)
    return version if identity == list(dataclasses.astuple(session)) else None
