"""Events of a server-sent stream: whole ones only, with their ids."""

import dataclasses

from result import Err, Ok, Result

# An event holds a few tokens. A larger one is no event, and its end may never
# come.
LARGEST_EVENT = 128 * 1024  # bytes
LARGEST_STREAM = 8 * 1024 * 1024  # bytes of a whole stream
LONGEST_NUMBER = 18  # digits of the id of an event
_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')
_LONGEST_END = max(len(end) for end in _ENDS)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event with the blank line that ends it."""

    number: int | None
    content: bytes


def event_number(content: bytes) -> int | None:
    """Return the id of an event, or None when it has no numeric one."""
    for line in content.splitlines():
        name, _, text = line.partition(b':')
        if name == b'id':
            text = text.strip()
            numeric = text.isdigit() and len(text) <= LONGEST_NUMBER
            return int(text) if numeric else None
    return None


class EventSplitter:
    """Splits the bytes of a stream into whole events."""

    def __init__(self, largest: int = LARGEST_EVENT) -> None:
        """Hold no bytes.

        Args:
          largest: number of bytes of an event.
        """
        self.largest = largest
        self.rest = bytearray()
        self.taken = 0
        self.searched = 0  # bytes of the rest that hold no end

    def feed(self, block: bytes) -> Result[list[StreamEvent], str]:
        """Return the events that a block completes.

        Args:
          block: the next bytes of the stream.

        Returns:
          The events; or why what follows cannot be one.
        """
        self.rest += block
        self.taken += len(block)
        events: list[StreamEvent] = []
        while True:
            end = self._end()
            if end < 0:
                break
            content = bytes(self.rest[:end])
            del self.rest[:end]
            self.searched = 0
            events.append(StreamEvent(event_number(content), content))
        if len(self.rest) > self.largest:
            return Err(f'an event has more than {self.largest} bytes')
        if self.taken > LARGEST_STREAM:
            return Err(f'the stream has more than {LARGEST_STREAM} bytes')
        return Ok(events)

    def _end(self) -> int:
        """Return where the first event ends; -1 while none does."""
        start = max(0, self.searched - _LONGEST_END + 1)
        found = (
            position + len(end)
            for end in _ENDS
            if (position := self.rest.find(end, start)) >= 0
        )
        self.searched = len(self.rest)
        return min(found, default=-1)
