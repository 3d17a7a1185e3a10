"""Faults that tests inject into a stand-in through `/faults`."""

import random
from collections.abc import Mapping
from typing import Any

Reply = tuple[int, Any]

RESET_KEY = 'reset'
EVERY_CALL = -1


class Faults:
    """Named fault values with their defaults.

    A fault of single calls has one of these values: a probability below 1, a
    number of calls (1 or more) that are to fail, or -1 for every call. Other
    faults have a quantity, such as a delay in seconds.
    """

    def __init__(self, seed: int = 0, **defaults: Any) -> None:
        """Create faults that have their default values.

        Args:
          seed: seed of the random generator.
          defaults: value of each fault when it is not injected.
        """
        self.defaults = defaults
        self.values: dict[str, Any] = dict(defaults)
        self.rng = random.Random(seed)

    def update(self, document: Mapping[str, Any]) -> Reply:
        """Set faults; `reset` first restores the defaults.

        Returns:
          All values, or status 422 when a name is unknown.
        """
        unknown = sorted(set(document) - set(self.defaults) - {RESET_KEY})
        if unknown:
            known = sorted(self.defaults)
            return 422, {'unknown': unknown, 'known': known}
        if document.get(RESET_KEY):
            self.values = dict(self.defaults)
        for name, value in document.items():
            if name != RESET_KEY:
                self.values[name] = value
        return self.read({})

    def read(self, _document: Mapping[str, Any]) -> Reply:
        """Return the value of every fault."""
        return 200, dict(self.values)

    def value_of(self, name: str) -> float:
        """Return a fault's value as a number."""
        return float(self.values[name])

    def should_inject(self, name: str) -> bool:
        """Return whether to inject a fault into the current call.

        Decrements the value of a fault that is limited to a number of calls.
        """
        value = self.value_of(name)
        if value == EVERY_CALL:
            return True
        if value >= 1:
            self.values[name] = value - 1
            return True
        return self.rng.random() < value
