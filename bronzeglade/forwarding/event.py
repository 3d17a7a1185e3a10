"""Splits a stream of server-sent events into complete events."""

import dataclasses

from result import Err, Ok, Result

# Events hold a few tokens. Larger ones are rejected, since an event without end
# would fill the memory.
MAX_EVENT_BYTES = 128 * 1024
MAX_STREAM_BYTES = 8 * 1024 * 1024  # of a whole stream
MAX_ID_DIGITS = 18  # decimal digits of an event id
_TERMINATORS = (b'\n\n', b'\r\n\r\n', b'\r\r')
_MAX_TERMINATOR_BYTES = max(len(end) for end in _TERMINATORS)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete event, including the blank line that ends it."""

    number: int | None
    content: bytes

    @property
    def is_comment(self) -> bool:
        """Whether the event has only comments, which callers ignore."""
        lines = self.content.splitlines()
        return all(not line or line.startswith(b':') for line in lines)


def event_number(content: bytes) -> int | None:
    """Return the numeric id of an event, or None if it has none."""
    for line in content.splitlines():
        name, _, text = line.partition(b':')
        if name == b'id':
            text = text.strip()
            numeric = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if numeric else None
    return None


class EventSplitter:
    """Splits the bytes of a stream into complete events."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        """Create a splitter with an empty buffer.

        Args:
          max_event_bytes: maximum size of one event.
        """
        self.max_event_bytes = max_event_bytes
        self.buffer = bytearray()
        self.total_bytes = 0
        self.searched_bytes = 0  # leading buffer bytes without a terminator

    def feed(self, block: bytes) -> Result[list[StreamEvent], str]:
        """Add a block to the buffer and return the events that it completes.

        Args:
          block: the next bytes of the stream.

        Returns:
          The events, or an error when an event or the stream is too large.
        """
        self.buffer += block
        self.total_bytes += len(block)
        events: list[StreamEvent] = []
        while True:
            end = self._find_end()
            if end < 0:
                break
            content = bytes(self.buffer[:end])
            del self.buffer[:end]
            self.searched_bytes = 0
            events.append(StreamEvent(event_number(content), content))
        if len(self.buffer) > self.max_event_bytes:
            return Err(f'an event has more than {self.max_event_bytes} bytes')
        if self.total_bytes > MAX_STREAM_BYTES:
            return Err(f'the stream has more than {MAX_STREAM_BYTES} bytes')
        return Ok(events)

    def _find_end(self) -> int:
        """Return the end of the first event in the buffer, or -1."""
        start = max(0, self.searched_bytes - _MAX_TERMINATOR_BYTES + 1)
        found = (
            position + len(end)
            for end in _TERMINATORS
            if (position := self.buffer.find(end, start)) >= 0
        )
        self.searched_bytes = len(self.buffer)
        return min(found, default=-1)
