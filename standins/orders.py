"""Commands to an engine: load and unload versions, change the role."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import eventlet

Reply = tuple[int, Any]

ROLES = ('serving', 'prefill', 'decode', 'idle')


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """A version in memory."""

    model: str
    version: str


class Orders:
    """State that commands change; a fencing token guards it."""

    def __init__(
        self, loaded: set[Loaded], checks_fencing: bool, load_s: float
    ) -> None:
        """Create the state at start.

        Args:
          loaded: versions in memory; empty for all.
          checks_fencing: whether commands with an old token are refused.
          load_s: seconds that loading a version takes.
        """
        self.loaded = set(loaded)
        self.has_all = not loaded  # no version was named at start
        self.checks_fencing = checks_fencing
        self.load_s = load_s
        self.role = ROLES[0]
        self.highest_token = 0
        self.accepted: list[dict[str, Any]] = []

    def order(self, document: Mapping[str, Any]) -> Reply:
        """Carry out a command; a stale token gets 409."""
        token = int(document.get('fencing_token') or 0)
        if self.checks_fencing and token < self.highest_token:
            return 409, {'highest_token': self.highest_token}
        self.highest_token = max(self.highest_token, token)
        error = self._carry_out(document)
        if error:
            return 422, {'error': error}
        self.accepted.append(dict(document))
        return self.read({})

    def read(self, _document: Mapping[str, Any]) -> Reply:
        """Return the state."""
        loaded = sorted((one.model, one.version) for one in self.loaded)
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
        """Return whether a version can answer."""
        return self.has_all or Loaded(model, version) in self.loaded

    def _carry_out(self, document: Mapping[str, Any]) -> str:
        action = document.get('action')
        target = Loaded(
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
