"""Bindings of sessions to model versions, with a cache and batched lookups."""

import collections
import dataclasses
import datetime as dt
from collections.abc import Sequence

import eventlet
from eventlet.event import Event
from result import Err, Ok, Result

from bronzeglade.adapters.table import Table
from bronzeglade.coordination import session as bindings
from bronzeglade.coordination.seal import SharedKey
from bronzeglade.coordination.session import (
    BoundVersion,
    Session,
    VersionRequest,
)
from bronzeglade.outcome import Refusal

BATCH_DELAY = dt.timedelta(milliseconds=20)
MAX_CACHED_SESSIONS = 20_000  # about 300 bytes each
RETRY_AFTER = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRequest:
    """The session of a request.

    Attributes:
      team: name of the team.
      session_id: value of X-Session-Id.
      token: value of X-Session-Token, which proves an earlier binding.
      model: name of the model.
    """

    team: str
    session_id: str
    token: str | None
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class ModelVersions:
    """Versions of a model that a team may use.

    Attributes:
      usable: versions for new sessions.
      kept: versions that a session may stay bound to.
      preferred: member of `usable` for a session without a binding.
    """

    usable: Sequence[str]
    kept: tuple[str, ...]
    preferred: str


@dataclasses.dataclass(frozen=True, slots=True)
class Binding:
    """The version that a session is bound to.

    Attributes:
      version: name of the version.
      token: signed token that proves the binding.
      rebound_from: version of the session's earlier binding, if it had to
        change because the session may no longer use that version.
    """

    version: str
    token: str | None = None
    rebound_from: str | None = None


@dataclasses.dataclass(slots=True)
class _PendingLookup:
    request: VersionRequest
    resolved: Event
    found: BoundVersion | None = None


class Sessions:
    """Binds the sessions of this node's callers to versions."""

    def __init__(self, table: Table, keys: Sequence[SharedKey]) -> None:
        """Create an empty cache of bindings.

        Args:
          table: stores the bindings.
          keys: keys of all nodes; token keys are derived from them.
        """
        self.table = table
        self.keys = bindings.token_keys(keys)
        self.cache: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.pending: dict[str, _PendingLookup] = {}

    def bind(
        self, session_request: SessionRequest, versions: ModelVersions
    ) -> Result[Binding, Refusal]:
        """Return the binding of a session; bind it if it is new.

        Args:
          session_request: the session and its token.
          versions: versions that the team may use now.

        Returns:
          The binding, or a refusal; the request has not run.
        """
        if not _is_valid_id(session_request.session_id):
            message = 'X-Session-Id must be 1 to 200 printable ASCII characters'
            return Err(Refusal(422, 'invalid_session_id', message))
        session = Session(
            session_request.team,
            session_request.session_id,
            session_request.model,
        )
        cached_version = self.cache.get(session.row_key)
        token_version = bindings.verify(
            self.keys, session, session_request.token or ''
        )
        known = {
            version
            for version in (cached_version, token_version)
            if version is not None
        }
        if len(known) == 1 and known.issubset(versions.kept):
            return Ok(self._new_binding(session, known.pop(), None))
        # If another node has rebound the session, cache and token differ; the
        # row in the table is authoritative.
        request = VersionRequest(
            session.row_key, versions.preferred, versions.kept, bool(known)
        )
        bound = self._look_up(request)
        if bound is None:
            return self._binding_without_table(versions)
        rebound_from = bound.replaced or min(
            known - {bound.version}, default=None
        )
        return Ok(self._new_binding(session, bound.version, rebound_from))

    def _new_binding(
        self, session: Session, version: str, rebound_from: str | None
    ) -> Binding:
        self.cache[session.row_key] = version
        self.cache.move_to_end(session.row_key)
        if len(self.cache) > MAX_CACHED_SESSIONS:
            self.cache.popitem(last=False)
        token = bindings.sign(self.keys, session, version)
        return Binding(version, token, rebound_from)

    def _binding_without_table(
        self, versions: ModelVersions
    ) -> Result[Binding, Refusal]:
        if len(versions.usable) == 1:
            return Ok(Binding(versions.preferred))
        message = 'the version of the session cannot currently be read or bound'
        return Err(
            Refusal(
                503, 'session_unavailable', message, retry_after=RETRY_AFTER
            )
        )

    def _look_up(self, request: VersionRequest) -> BoundVersion | None:
        lookup = self.pending.get(request.row_key)
        if lookup is None:
            lookup = _PendingLookup(request, Event())
            if not self.pending:
                delay = BATCH_DELAY.total_seconds()
                eventlet.spawn_after(delay, self._start_batches)
            self.pending[request.row_key] = lookup
        lookup.resolved.wait()
        # Requests of one session share a lookup, and the manifest may have
        # changed between them.
        found = lookup.found
        return found if found and found.version in request.kept else None

    def _start_batches(self) -> None:
        pending = list(self.pending.values())
        self.pending = {}
        for start in range(0, len(pending), bindings.MAX_BATCH_SIZE):
            batch = pending[start : start + bindings.MAX_BATCH_SIZE]
            eventlet.spawn(self._resolve_batch, batch)

    def _resolve_batch(self, batch: Sequence[_PendingLookup]) -> None:
        found: dict[str, BoundVersion] = {}
        try:
            found = bindings.resolve(
                self.table, [lookup.request for lookup in batch]
            )
        finally:
            for lookup in batch:
                lookup.found = found.get(lookup.request.row_key)
                lookup.resolved.send()


def _is_valid_id(session_id: str) -> bool:
    has_valid_length = 0 < len(session_id) <= bindings.MAX_SESSION_ID_LENGTH
    return (
        has_valid_length and session_id.isascii() and session_id.isprintable()
    )
