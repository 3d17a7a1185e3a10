"""Guards that only whole events are passed on."""

from hypothesis import given
from hypothesis import strategies as st

from bronzeglade.forwarding.event import EventSplitter

STREAM = b'id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: three\n\n'


@given(st.sets(st.integers(1, len(STREAM) - 1)))
def test_any_cut_gives_the_same_events(cuts: set[int]) -> None:
    """Where packets are cut must not change what a caller gets."""
    splitter = EventSplitter()
    bounds = [0, *sorted(cuts), len(STREAM)]
    events = [
        event
        for start, end in zip(bounds, bounds[1:], strict=False)
        for event in splitter.feed(STREAM[start:end]).unwrap()
    ]
    assert [event.number for event in events] == [1, 2, 3]
    assert b''.join(event.content for event in events) == STREAM
    assert not splitter.rest


def test_half_an_event_is_held_back() -> None:
    """An event that breaks off must not reach the caller."""
    splitter = EventSplitter()
    events = splitter.feed(b'id: 1\ndata: one\n\nid: 2\ndata: tw').unwrap()
    assert [event.number for event in events] == [1]
    assert splitter.rest


def test_event_without_end_is_no_event() -> None:
    """An event that never ends must not fill the memory of the node."""
    splitter = EventSplitter(largest=1000)
    assert splitter.feed(b'x' * 1000).is_ok()
    assert splitter.feed(b'x').is_err()


def test_end_across_two_blocks_is_found() -> None:
    """The search goes on where it ended, yet an end may be cut in two."""
    splitter = EventSplitter()
    for part in (b'data: a\r\n', b'\r'):
        assert splitter.feed(part).unwrap() == []
    event = splitter.feed(b'\n').unwrap()[0]
    assert event.content == b'data: a\r\n\r\n'


class Counting(bytearray):  # noqa: WPS600
    """Counts the bytes that are searched."""

    def __init__(self) -> None:
        """Hold no bytes."""
        super().__init__()
        self.searched = 0

    def find(self, part: bytes, start: int) -> int:  # type: ignore[override]
        """Return where a part is."""
        self.searched += len(self) - start
        return super().find(part, start)


def test_long_event_in_small_blocks_takes_linear_time() -> None:
    """A search from the start with each block holds the only loop for long."""
    splitter = EventSplitter()
    rest = Counting()
    splitter.rest = rest
    for _ in range(2000):
        splitter.feed(b'x' * 10)
    assert 0 < rest.searched < 20 * 2000 * 10


def test_number_with_thousands_of_digits_is_none() -> None:
    """The interpreter raises an error for a number of so many digits."""
    events = EventSplitter().feed(b'id: ' + b'9' * 9000 + b'\n\n').unwrap()
    assert [event.number for event in events] == [None]
