"""Order of the events that a caller gets from the streams of endpoints."""

from result import Err, Ok, Result

from bronzeglade.forwarding.event import MAX_EVENT_BYTES, StreamEvent


class EventSequence:
    """Selects the events of one endpoint's stream that the caller gets.

    These continue the numbers of the events that the caller has. Once it has
    a numbered event, one without a number is held until the stream goes on or
    ends, since it may be the text of an error in a stream that breaks off.

    `last_event` is the number of the last event that the caller has.
    """

    def __init__(self, last_event: int | None, resumes: bool) -> None:
        """Create the sequence of a stream of which no event was read.

        Args:
          last_event: number of the last event that the caller has, or None.
          resumes: whether the stream resumes one that broke off.
        """
        self.last_event = last_event
        self.resumes = resumes
        self.advanced = False  # the stream had an event that is new
        self.last_number: int | None = None  # of this stream
        self.held = b''

    @property
    def unnumbered(self) -> bool:
        """Whether the caller has events, but none with a number."""
        return self.advanced and self.last_event is None

    def accept(self, event: StreamEvent) -> Result[bytes, str]:
        """Return the bytes that the caller gets after an event.

        Returns:
          The bytes, none if the event is repeated or held, or why the stream
          cannot go on.
        """
        if event.number is None:
            return self._accept_unnumbered(event)
        self.last_number = event.number
        if self.last_event is not None and event.number <= self.last_event:
            self.held = b''
            return Ok(b'')
        if self.last_event is not None and event.number > self.last_event + 1:
            return Err('stream skipped an event')
        content = self.held + event.content
        self.held = b''
        self.last_event = event.number
        self.advanced = True
        return Ok(content)

    def end(self, closed: bool) -> Result[bytes, str]:
        """Return the bytes that the caller gets at the end of the stream.

        Args:
          closed: whether the stream ended with its connection, as it does if
            the endpoint crashes.

        Returns:
          The bytes, or why the stream does not count as complete.
        """
        if closed and self.held:
            return Err('stream closed after an event without a number')
        if self.advanced:
            return Ok(self.held)
        if closed:
            return Err('stream closed without a new event')
        repeated = self.last_number
        if repeated is not None and repeated < (self.last_event or 0):
            return Err('stream ended before the last known event')
        return Ok(self.held)

    def _accept_unnumbered(self, event: StreamEvent) -> Result[bytes, str]:
        starts = self.resumes and not self.advanced
        if event.is_comment and not self.held:
            return Ok(b'' if starts else event.content)
        if self.last_event is None:
            self.advanced = True
            return Ok(event.content)
        if starts:
            return Err('stream resumed with an event without a number')
        self.held += event.content
        if len(self.held) > MAX_EVENT_BYTES:
            return Err('too many events without a number')
        return Ok(b'')
