"""Session-to-version bindings."""

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

COMMIT_INTERVAL = dt.timedelta(milliseconds=20)
CACHE_LIMIT = 20_000  # sessions, about 300 bytes each
RETRY_AFTER = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRequest:
    """A request that names a session; `token` repeats an earlier binding."""

    team: str
    session_id: str
    token: str | None
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class ModelVersions:
    """ModelVersions of a model for one team.

    `usable` are those for new sessions, `preferred` is one of them; `kept`
    are those that a bound session may stay with.
    """

    usable: Sequence[str]
    kept: tuple[str, ...]
    preferred: str


@dataclasses.dataclass(frozen=True, slots=True)
class Binding:
    """The version that a session keeps, and the token that says so.

    `rebound_from` is a version that the session had and may no longer use.
    """

    version: str
    token: str | None = None
    rebound_from: str | None = None


@dataclasses.dataclass(slots=True)
class _Waiting:
    request: VersionRequest
    done: Event
    found: BoundVersion | None = None


class Sessions:
    """Bindings of this node's callers."""

    def __init__(self, table: Table, keys: Sequence[SharedKey]) -> None:
        """Know no session.

        Args:
          table: where bindings last.
          keys: shared by all nodes; tokens are signed with keys derived.
        """
        self.table = table
        self.keys = bindings.token_keys(keys)
        self.cache: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.waiting: dict[str, _Waiting] = {}

    def bind(
        self, wanted: SessionRequest, versions: ModelVersions
    ) -> Result[Binding, Refusal]:
        """Return the version of a session, bound now if it is new.

        Args:
          wanted: the session.
          versions: what the team may use now.

        Returns:
          The binding, or a refusal; nothing has run.
        """
        if not _valid_id(wanted.session_id):
            message = 'X-Session-Id: 1 to 200 printable ASCII characters'
            return Err(Refusal(422, 'invalid_session_id', message))
        session = Session(wanted.team, wanted.session_id, wanted.model)
        cached = self.cache.get(session.row_key)
        named = bindings.verify(self.keys, session, wanted.token or '')
        known = {one for one in (cached, named) if one is not None}
        if len(known) == 1 and known.issubset(versions.kept):
            return Ok(self._binding(session, known.pop(), None))
        # Cache and token differ when another node has bound the session
        # again; then the row decides.
        request = VersionRequest(
            session.row_key, versions.preferred, versions.kept, bool(known)
        )
        bound = self._ask(request)
        if bound is None:
            return self._without_row(versions)
        replaced = bound.replaced or min(known - {bound.version}, default=None)
        return Ok(self._binding(session, bound.version, replaced))

    def _binding(
        self, session: Session, version: str, replaced: str | None
    ) -> Binding:
        self.cache[session.row_key] = version
        self.cache.move_to_end(session.row_key)
        if len(self.cache) > CACHE_LIMIT:
            self.cache.popitem(last=False)
        token = bindings.sign(self.keys, session, version)
        return Binding(version, token, replaced)

    def _without_row(self, versions: ModelVersions) -> Result[Binding, Refusal]:
        if len(versions.usable) == 1:
            return Ok(Binding(versions.preferred))
        message = 'the version of the session cannot be read or bound now'
        return Err(
            Refusal(
                503, 'session_unavailable', message, retry_after=RETRY_AFTER
            )
        )

    def _ask(self, request: VersionRequest) -> BoundVersion | None:
        waiting = self.waiting.get(request.row_key)
        if waiting is None:
            waiting = _Waiting(request, Event())
            if not self.waiting:
                delay = COMMIT_INTERVAL.total_seconds()
                eventlet.spawn_after(delay, self._commit)
            self.waiting[request.row_key] = waiting
        waiting.done.wait()
        # The manifest may have changed between two requests of one batch.
        found = waiting.found
        return found if found and found.version in request.kept else None

    def _commit(self) -> None:
        waiting = list(self.waiting.values())
        self.waiting = {}
        for start in range(0, len(waiting), bindings.MAX_BATCH_SIZE):
            batch = waiting[start : start + bindings.MAX_BATCH_SIZE]
            eventlet.spawn(self._resolve, batch)

    def _resolve(self, batch: Sequence[_Waiting]) -> None:
        found: dict[str, BoundVersion] = {}
        try:
            found = bindings.resolve(self.table, [one.request for one in batch])
        finally:
            for waiting in batch:
                waiting.found = found.get(waiting.request.row_key)
                waiting.done.send()


def _valid_id(session_id: str) -> bool:
    fits = 0 < len(session_id) <= bindings.MAX_SESSION_ID_LENGTH
    return fits and session_id.isascii() and session_id.isprintable()
