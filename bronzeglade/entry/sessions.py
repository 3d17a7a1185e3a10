"""Session-to-version bindings."""

import dataclasses
from collections.abc import Sequence

from result import Ok, Result

from bronzeglade.outcome import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRequest:
    """A request that names a session; `token` repeats an earlier binding."""

    team: str
    session_id: str
    token: str | None
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class Binding:
    """The version that a session keeps, and the token that says so."""

    version: str
    token: str | None = None


class Sessions:
    """Bindings of this node's callers."""

    def __init__(self) -> None:
        """Know no session."""
        self.bindings: dict[tuple[str, str, str], str] = {}

    def bind(
        self, wanted: SessionRequest, usable: Sequence[str], preferred: str
    ) -> Result[Binding, Refusal]:
        """Return the version of a session, bound now if it is new.

        Args:
          wanted: the session.
          usable: versions that the team may use now.
          preferred: version of a new session; one of `usable`.

        Returns:
          The binding, or a refusal; nothing has run.
        """
        key = (wanted.team, wanted.session_id, wanted.model)
        version = self.bindings.get(key, preferred)
        if version not in usable:
            version = preferred
        self.bindings[key] = version
        return Ok(Binding(version))
