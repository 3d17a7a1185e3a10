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
        for event in splitter.feed(STREAM[start:end])
    ]
    assert [event.number for event in events] == [1, 2, 3]
    assert b''.join(event.content for event in events) == STREAM
    assert not splitter.rest


def test_half_an_event_is_held_back() -> None:
    """An event that breaks off must not reach the caller."""
    splitter = EventSplitter()
    events = splitter.feed(b'id: 1\ndata: one\n\nid: 2\ndata: tw')
    assert [event.number for event in events] == [1]
    assert splitter.rest
