"""Guards that only complete events are forwarded."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzeglade.forwarding.event import MAX_BATCH_EVENTS, EventSplitter

STREAM = b'id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: three\n\n'


@given(st.sets(st.integers(1, len(STREAM) - 1)))
def test_any_cut_gives_the_same_events(cuts: set[int]) -> None:
    """The boundaries of received blocks must not change the events."""
    splitter = EventSplitter()
    bounds = [0, *sorted(cuts), len(STREAM)]
    events = [
        event
        for start, end in zip(bounds, bounds[1:], strict=False)
        for event in splitter.feed(STREAM[start:end]).unwrap()
    ]
    assert [event.number for event in events] == [1, 2, 3]
    assert b''.join(event.content for event in events) == STREAM
    assert not splitter.buffer


def test_incomplete_event_is_held_back() -> None:
    """A truncated event must not reach the caller."""
    splitter = EventSplitter()
    events = splitter.feed(b'id: 1\ndata: one\n\nid: 2\ndata: tw').unwrap()
    assert [event.number for event in events] == [1]
    assert splitter.buffer


def test_event_without_end_is_rejected() -> None:
    """An event without end must not fill the memory of the node."""
    splitter = EventSplitter(max_event_bytes=1000)
    assert splitter.feed(b'x' * 1000).is_ok()
    assert splitter.feed(b'x').is_err()


def test_end_across_two_blocks_is_found() -> None:
    """The search resumes where it ended, but a terminator may be split."""
    splitter = EventSplitter()
    for block in (b'data: a\r\n', b'\r'):
        assert not splitter.feed(block).unwrap()
    event = splitter.feed(b'\n').unwrap()[0]
    assert event.content == b'data: a\r\n\r\n'


class CountingBuffer(bytearray):  # noqa: WPS600
    """A buffer that counts the bytes searched."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        super().__init__()
        self.searched_bytes = 0

    def find(self, sub: bytes, start: int) -> int:  # type: ignore[override]
        """Find a byte string and count the bytes from the start position."""
        self.searched_bytes += len(self) - start
        return super().find(sub, start)


def test_long_event_in_small_blocks_takes_linear_time() -> None:
    """Searching from the start for each block would block the event loop."""
    splitter = EventSplitter()
    buffer = CountingBuffer()
    splitter.buffer = buffer
    for _ in range(2000):
        splitter.feed(b'x' * 10)
    assert 0 < buffer.searched_bytes < 20 * 2000 * 10


class BytesSearched(bytearray):  # noqa: WPS600
    """A buffer that counts the bytes until the position found, or the end."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        super().__init__()
        self.searched_bytes = 0

    def find(self, sub: bytes, start: int) -> int:  # type: ignore[override]
        """Find a byte string and count the bytes searched."""
        position = super().find(sub, start)
        end = len(self) if position < 0 else position
        self.searched_bytes += end - start
        return position


# The rest of the block was searched again after each event, for the
# terminators that the endpoint does not use.
@pytest.mark.parametrize('piece', [b'\n', b'\r\n', b'\r', b'a\n\n', b'\r\n\n'])
def test_many_events_in_one_block_take_linear_time(piece: bytes) -> None:
    """A block of short events must not block the event loop."""
    splitter = EventSplitter()
    buffer = BytesSearched()
    splitter.buffer = buffer
    block = piece * 10000
    contents: list[bytes] = []
    events = splitter.feed(block).unwrap()
    while events:
        assert len(events) <= MAX_BATCH_EVENTS
        contents.extend(event.content for event in events)
        events = splitter.feed(b'').unwrap()
    assert b''.join([*contents, splitter.buffer]) == block
    assert buffer.searched_bytes < 20 * len(block)


_PIECES = st.sampled_from(
    [
        b'\n',
        b'\r',
        b'\r\n',
        b'id: 7',
        b'id',
        b'id:x',
        b':',
        b'data: id: 2',
        b'a',
    ]
)


_MARKS = (b'\n\n', b'\r\n\r\n', b'\r\r')


def reference_events(stream: bytes) -> list[tuple[int | None, bool, bytes]]:
    """Return number, whether it is a comment, and bytes of each event."""
    events: list[tuple[int | None, bool, bytes]] = []
    rest = stream
    while any(mark in rest for mark in _MARKS):
        end = min(
            rest.find(mark) + len(mark) for mark in _MARKS if mark in rest
        )
        lines = [line.partition(b':') for line in rest[:end].splitlines()]
        ids = [text.strip() for name, _, text in lines if name == b'id']
        number = int(ids[0]) if ids and ids[0].isdigit() else None
        comment = not any(name for name, _, _ in lines)
        events.append((number, comment, rest[:end]))
        rest = rest[end:]
    return events


@given(st.lists(_PIECES, max_size=40).map(b''.join), st.integers(1, 9))
def test_events_are_those_of_a_search_from_the_start(
    stream: bytes, size: int
) -> None:
    """Any terminators in any blocks give events, numbers and comments."""
    splitter = EventSplitter()
    found = [
        (event.number, event.is_comment, event.content)
        for start in range(0, len(stream), size)
        for event in splitter.feed(stream[start : start + size]).unwrap()
    ]
    assert found == reference_events(stream)


def test_number_with_thousands_of_digits_is_none() -> None:
    """Python raises an error when it converts that many digits."""
    events = EventSplitter().feed(b'id: ' + b'9' * 9000 + b'\n\n').unwrap()
    assert [event.number for event in events] == [None]
