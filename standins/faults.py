"""Faults that a test causes in a stand-in: `GET` and `POST /faults`."""

import random
from collections.abc import Mapping
from typing import Any

Reply = tuple[int, Any]

RESET = 'reset'
ALWAYS = -1


class Faults:
    """Named fault values with their defaults.

    A value of a fault that strikes single calls is a probability below 1, a
    number of calls from 1 on, or -1 for every call.
    """

    def __init__(self, seed: int = 0, **defaults: Any) -> None:
        """Create faults at their defaults.

        Args:
          seed: of the random source that decides probabilities.
          defaults: value of each fault when nothing is wrong.
        """
        self.defaults = defaults
        self.values: dict[str, Any] = dict(defaults)
        self.random = random.Random(seed)

    def update(self, document: Mapping[str, Any]) -> Reply:
        """Set faults; `reset` first restores the defaults."""
        unknown = sorted(set(document) - set(self.defaults) - {RESET})
        if unknown:
            known = sorted(self.defaults)
            return 422, {'unknown': unknown, 'known': known}
        if document.get(RESET):
            self.values = dict(self.defaults)
        for name, value in document.items():
            if name != RESET:
                self.values[name] = value
        return self.read({})

    def read(self, _document: Mapping[str, Any]) -> Reply:
        """Return the value of every fault."""
        return 200, dict(self.values)

    def level(self, name: str) -> float:
        """Return a fault's value as a number."""
        return float(self.values[name])

    def strikes(self, name: str) -> bool:
        """Return whether a fault strikes this call, and count it."""
        value = self.level(name)
        if value == ALWAYS:
            return True
        if value >= 1:
            self.values[name] = value - 1
            return True
        return self.random.random() < value
