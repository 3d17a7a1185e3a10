"""Bindings of sessions to versions in the table service.

The row `session/TEAM/ID/MODEL` is written only if it is absent or unchanged, so
nodes that bind the same session at the same time agree on its version.
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

MAX_BATCH_SIZE = 100  # a transaction has at most 128 writes
MAX_SESSION_ID_LENGTH = 200  # characters
MAX_TOKEN_LENGTH = 2048  # characters

# Bounds the retries of a batch when other nodes bind its sessions meanwhile.
_MAX_COMMITS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Identity of a session binding."""

    team: str
    session_id: str
    model: str

    @property
    def row_key(self) -> str:
        """Key of the row in the table."""
        parts = (self.team, self.session_id, self.model)
        return 'session/{0}/{1}/{2}'.format(
            *(quote(part, safe='') for part in parts)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRequest:
    """Request to look up or bind the version of a session.

    `kept` lists the versions to which the session may stay bound; `preferred`
    is one of them, used for a new binding. `exists` states that the row is
    known to exist.
    """

    row_key: str
    preferred: str
    kept: tuple[str, ...]
    exists: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BoundVersion:
    """Version bound in the table; `replaced` is the previous one, if any."""

    version: str
    replaced: str | None = None


def resolve(
    table: Table, requests: Sequence[VersionRequest]
) -> dict[str, BoundVersion]:
    """Look up or create the bindings of a batch of sessions.

    Unless a row is known to exist, it first commits all bindings as new, so
    that new sessions need no read. Otherwise it reads the rows once.

    Args:
      table: the table service.
      requests: requests with distinct keys, at most `MAX_BATCH_SIZE`.

    Returns:
      The bindings by row key, without sessions whose binding is not known.
    """
    if not any(request.exists for request in requests):
        outcome = table.commit(_binding(requests, {}))
        if isinstance(outcome, Ok):
            return {
                request.row_key: BoundVersion(request.preferred)
                for request in requests
            }
        if isinstance(outcome.err_value, Unavailable):
            return {}
    rows = table.read([request.row_key for request in requests])
    if isinstance(rows, Err):
        return {}
    found = rows.ok_value
    bound = {
        request.row_key: BoundVersion(decode(found[request.row_key]))
        for request in requests
        if request.row_key in found
        and decode(found[request.row_key]) in request.kept
    }
    unbound = {
        request.row_key: request
        for request in requests
        if request.row_key not in bound
    }
    return bound | _bind(table, unbound, found)


def _bind(
    table: Table, unbound: dict[str, VersionRequest], found: Mapping[str, Row]
) -> dict[str, BoundVersion]:
    for _attempt in range(_MAX_COMMITS):
        if not unbound:
            break
        outcome = table.commit(_binding(list(unbound.values()), found))
        if isinstance(outcome, Ok):
            return {
                key: BoundVersion(request.preferred, _version(found.get(key)))
                for key, request in unbound.items()
            }
        if not isinstance(outcome.err_value, Conflict):
            break
        # Bound by another node since the read; its caller has to retry.
        unbound.pop(outcome.err_value.key, None)
    return {}


def _binding(
    requests: Sequence[VersionRequest], found: Mapping[str, Row]
) -> Transaction:
    checks = []
    puts = []
    for request in requests:
        row = found.get(request.row_key)
        require(
            _version(row) not in request.kept, 'session-keeps-version', request
        )
        version = row.version if row else ABSENT
        checks.append(Check(request.row_key, version))
        puts.append(Put(request.row_key, encode(request.preferred)))
    return Transaction(tuple(checks), tuple(puts))


def _version(row: Row | None) -> str | None:
    return None if row is None else decode(row)


def encode(version: str) -> bytes:
    """Encode a version as the body of a row."""
    packed: bytes = msgpack.packb({'version': version})
    return packed


def decode(row: Row) -> str:
    """Decode the version of a row."""
    return str(msgpack.unpackb(row.body)['version'])


def token_keys(keys: Sequence[SharedKey]) -> tuple[SharedKey, ...]:
    """Derive the keys for session tokens from the shared keys.

    Separate keys prevent a token from being accepted as a peer message.
    """
    return tuple(
        SharedKey(
            key.number,
            hmac.digest(key.secret, b'session-token', hashlib.sha256),
        )
        for key in keys
    )


def sign(keys: Sequence[SharedKey], session: Session, version: str) -> str:
    """Return a signed token for a binding.

    Args:
      keys: keys from `token_keys`.
      session: the bound session.
      version: the version to which it is bound.
    """
    payload = msgpack.packb([*dataclasses.astuple(session), version])
    sealed = seal.seal(keys, payload)
    return base64.urlsafe_b64encode(sealed).decode().rstrip('=')


def verify(
    keys: Sequence[SharedKey], session: Session, token: str
) -> str | None:
    """Return the version of a token, or None when the token is not valid.

    Args:
      keys: keys from `token_keys`.
      session: the session for which the token must have been issued.
      token: untrusted text from a caller.
    """
    if len(token) > MAX_TOKEN_LENGTH or not token.isascii():
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
