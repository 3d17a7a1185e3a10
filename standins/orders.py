"""Engine commands: load and unload versions, change the role."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import eventlet

Reply = tuple[int, Any]

ROLES = ('serving', 'prefill', 'decode', 'idle')


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedVersion:
    """A model version in the memory of an engine."""

    model: str
    version: str


class CommandState:
    """Engine state that commands change, protected by a fencing token."""

    def __init__(
        self, loaded: set[LoadedVersion], checks_fencing: bool, load_s: float
    ) -> None:
        """Create the initial state.

        Args:
          loaded: versions in memory; empty means that all are served.
          checks_fencing: whether commands with a stale token are refused.
          load_s: duration of loading a version, in seconds.
        """
        self.loaded = set(loaded)
        self.serves_all_versions = not loaded
        self.checks_fencing = checks_fencing
        self.load_s = load_s
        self.role = ROLES[0]
        self.highest_token = 0
        self.accepted: list[dict[str, Any]] = []

    def execute(self, document: Mapping[str, Any]) -> Reply:
        """Execute a command.

        Returns:
          The new state; status 409 for a stale fencing token, 422 for an
          invalid command.
        """
        token = int(document.get('fencing_token') or 0)
        if self.checks_fencing and token < self.highest_token:
            return 409, {'highest_token': self.highest_token}
        self.highest_token = max(self.highest_token, token)
        error = self._apply(document)
        if error:
            return 422, {'error': error}
        self.accepted.append(dict(document))
        return self.read({})

    def read(self, _document: Mapping[str, Any]) -> Reply:
        """Return loaded versions, role, highest token and accepted commands."""
        loaded = sorted((entry.model, entry.version) for entry in self.loaded)
        return 200, {
            'loaded': [
                {'model': model, 'version': version}
                for model, version in loaded
            ],
            'role': self.role,
            'highest_token': self.highest_token,
            'accepted': self.accepted,
        }

    def is_loaded(self, model: str, version: str) -> bool:
        """Return whether requests for a version can be served."""
        return (
            self.serves_all_versions
            or LoadedVersion(model, version) in self.loaded
        )

    def _apply(self, document: Mapping[str, Any]) -> str:
        action = document.get('action')
        target = LoadedVersion(
            str(document.get('model')), str(document.get('version'))
        )
        if action == 'load':
            eventlet.sleep(self.load_s)
            self.loaded.add(target)
        elif action == 'unload':
            self.loaded.discard(target)
        elif action == 'role' and document.get('role') in ROLES:
            self.role = str(document['role'])
        else:
            return 'action: load, unload, or role with a known role'
        return ''
