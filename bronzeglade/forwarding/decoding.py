"""Decoding of a table's rows, each version of a row once.

A change of one row makes a node look at its whole copy of the table again.
"""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from result import Err, Result

from bronzeglade.adapters.table import Row
from bronzeglade.forwarding.log import Log

Content = TypeVar('Content')


class RowDecoder(Generic[Content]):
    """Remembers what the present rows of a table hold."""

    def __init__(
        self,
        decode: Callable[[Row], Result[Content, str]],
        event: str,
        log: Log,
    ) -> None:
        """Know no row.

        Args:
          decode: reads one row, or tells why it cannot be read.
          event: what is logged once for a row that cannot be read.
          log: of the node.
        """
        self.decode = decode
        self.event = event
        self.log = log
        self.known: dict[tuple[str, int], Result[Content, str]] = {}

    def read(self, rows: Iterable[Row]) -> list[Content]:
        """Return what the readable ones of all rows hold."""
        known = self.known
        self.known = {}
        found: list[Content] = []
        for row in rows:
            version = (row.key, row.version)
            outcome = known.get(version)
            if outcome is None:
                outcome = self._decode(row)
            self.known[version] = outcome
            if not isinstance(outcome, Err):
                found.append(outcome.ok_value)
        return found

    def _decode(self, row: Row) -> Result[Content, str]:
        outcome = self.decode(row)
        if isinstance(outcome, Err):
            self.log.event(self.event, key=row.key, reason=outcome.err_value)
        return outcome
