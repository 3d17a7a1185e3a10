"""Decodes the rows of a table, and each version of a row only once.

A node reads its whole copy of a table again after each change of a row, so
results are cached by row. The version alone does not identify the content: a
restored store gives it out again.
"""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from result import Err, Result

from bronzeglade.adapters.table import Row
from bronzeglade.forwarding.log import Log

Content = TypeVar('Content')
_MAX_REASON_CHARS = 200


class RowDecoder(Generic[Content]):
    """Caches the decoded content of the current rows of a table."""

    def __init__(
        self,
        decode: Callable[[Row], Result[Content, str]],
        event: str,
        log: Log,
    ) -> None:
        """Create a decoder with an empty cache.

        Args:
          decode: decodes one row, or returns why it cannot be decoded.
          event: name of the log event for a row that cannot be decoded; it is
            logged once for each version.
          log: the node's log.
        """
        self.decode = decode
        self.event = event
        self.log = log
        self.known: dict[str, tuple[Row, Result[Content, str]]] = {}

    def read(self, rows: Iterable[Row]) -> list[Content]:
        """Return the content of all rows that can be decoded."""
        known = self.known
        self.known = {}
        contents: list[Content] = []
        for row in rows:
            decoded_row, outcome = known.get(row.key, (None, None))
            if outcome is None or decoded_row != row:
                outcome = self._decode(row)
            self.known[row.key] = (row, outcome)
            if not isinstance(outcome, Err):
                contents.append(outcome.ok_value)
        return contents

    def _decode(self, row: Row) -> Result[Content, str]:
        outcome = self._try_decode(row)
        if isinstance(outcome, Err):
            self.log.event(self.event, key=row.key, reason=outcome.err_value)
        return outcome

    def _try_decode(self, row: Row) -> Result[Content, str]:
        try:
            return self.decode(row)
        except Exception as error:
            # A fault of the decoder at one row must not hide the other rows.
            return Err(repr(error)[:_MAX_REASON_CHARS])
