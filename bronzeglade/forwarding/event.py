"""Splits a stream of server-sent events into complete events."""

import dataclasses
import re

from result import Err, Ok, Result

# Events hold a few tokens. Larger ones are rejected, since an event without end
# would fill the memory.
MAX_EVENT_BYTES = 128 * 1024
MAX_STREAM_BYTES = 8 * 1024 * 1024  # of a whole stream
# Events that are returned at a time: a block of 64 KB may complete more than
# 30,000.
MAX_BATCH_EVENTS = 32
MAX_ID_DIGITS = 18  # decimal digits of an event id
_TERMINATORS = (b'\n\n', b'\r\n\r\n', b'\r\r')
_ID_LINE = re.compile(rb'(?:\A|[\r\n])id(?::([^\r\n]*))?(?=[\r\n]|\Z)')
_FIELD = re.compile(rb'(?:\A|[\r\n])[^:\r\n]')  # first byte of a field


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete event, including the blank line that ends it."""

    number: int | None
    content: bytes

    @property
    def is_comment(self) -> bool:
        """Whether the event has only comments, which callers ignore."""
        return self.number is None and not _FIELD.search(self.content)


def event_number(content: bytes) -> int | None:
    """Return the numeric id of an event, or None if it has none."""
    found = _ID_LINE.search(content)
    if found is None:
        return None
    text = (found[1] or b'').strip()
    numeric = text.isdigit() and len(text) <= MAX_ID_DIGITS
    return int(text) if numeric else None


class _Cursor:
    """Finds the ends of events that have the same terminator.

    `end` is the next end after the last event, or -1 if there is none in the
    first `searched_bytes` of the buffer.
    """

    def __init__(self, terminator: bytes) -> None:
        self.terminator = terminator
        self.end = -1
        self.searched_bytes = 0

    def find(self, buffer: bytearray, start: int) -> int:
        """Return the next end, or -1.

        Args:
          buffer: the buffer; only bytes that are new are searched.
          start: where the next event starts.
        """
        size = len(self.terminator)
        if self.end - size >= start:
            return self.end
        if self.searched_bytes < len(buffer):
            start = max(start, self.searched_bytes - size + 1)
            position = buffer.find(self.terminator, start)
            self.end = -1 if position < 0 else position + size
            self.searched_bytes = len(buffer) if position < 0 else self.end
        else:
            self.end = -1
        return self.end

    def drop(self, size: int) -> None:
        """Adapt the positions after bytes at the start were removed."""
        self.searched_bytes = max(0, self.searched_bytes - size)
        self.end = max(-1, self.end - size)


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
        self.cursors = [_Cursor(terminator) for terminator in _TERMINATORS]

    def feed(self, block: bytes) -> Result[list[StreamEvent], str]:
        """Add a block to the buffer and return the first complete events.

        Args:
          block: the next bytes of the stream; empty to get the events that
            follow those of the last call.

        Returns:
          At most `MAX_BATCH_EVENTS` events, or an error when an event or the
          stream is too large. With fewer events, no complete one is left.
        """
        self.buffer += block
        self.total_bytes += len(block)
        events: list[StreamEvent] = []
        start = 0
        while len(events) < MAX_BATCH_EVENTS:
            end = self._find_end(start)
            if end < 0:
                break
            content = bytes(self.buffer[start:end])
            events.append(StreamEvent(event_number(content), content))
            start = end
        self._drop(start)
        if len(events) == MAX_BATCH_EVENTS:
            return Ok(events)
        if len(self.buffer) > self.max_event_bytes:
            return Err(f'an event has more than {self.max_event_bytes} bytes')
        if self.total_bytes > MAX_STREAM_BYTES:
            return Err(f'the stream has more than {MAX_STREAM_BYTES} bytes')
        return Ok(events)

    def _find_end(self, start: int) -> int:
        """Return the end of the event at a position, or -1."""
        ends = (cursor.find(self.buffer, start) for cursor in self.cursors)
        return min((end for end in ends if end >= 0), default=-1)

    def _drop(self, size: int) -> None:
        if size:
            del self.buffer[:size]
            for cursor in self.cursors:
                cursor.drop(size)
