"""Events of a server-sent stream: whole ones only, with their ids."""

import dataclasses

_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')


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
            return int(text) if text.isdigit() else None
    return None


class EventSplitter:
    """Splits the bytes of a stream into whole events."""

    def __init__(self) -> None:
        """Hold no bytes."""
        self.rest = b''

    def feed(self, block: bytes) -> list[StreamEvent]:
        """Return the events that a block completes.

        Args:
          block: the next bytes of the stream.
        """
        self.rest += block
        events: list[StreamEvent] = []
        while True:
            end = self._end()
            if end < 0:
                return events
            content = self.rest[:end]
            self.rest = self.rest[end:]
            events.append(StreamEvent(event_number(content), content))

    def _end(self) -> int:
        found = (
            position + len(end)
            for end in _ENDS
            if (position := self.rest.find(end)) >= 0
        )
        return min(found, default=-1)
