"""A text stream whose lines go elsewhere, such as to a log."""

import io
from collections.abc import Callable

# A longer line is cut.
MAX_LINE_CHARS = 8192


class LineStream(io.TextIOBase):
    """Passes on each line that is written; blank ones are left out."""

    def __init__(self, receive: Callable[[str], None]) -> None:
        """Create a stream.

        Args:
          receive: called with each line, without its end; must not block.
        """
        super().__init__()
        self.receive = receive
        self.partial = ''

    def writable(self) -> bool:
        """Return true."""
        return True

    def write(self, text: str) -> int:
        """Write text; a line without an end waits for it."""
        *lines, partial = f'{self.partial}{text}'.split('\n')
        self.partial = partial[:MAX_LINE_CHARS]
        for line in lines:
            if line.strip():
                self.receive(line[:MAX_LINE_CHARS])
        return len(text)
