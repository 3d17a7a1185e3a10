"""Tests of the stream that passes on lines."""

from bronzeglade.line_stream import MAX_LINE_CHARS, LineStream


def test_lines_are_passed_on_whole() -> None:
    """Text that is written in parts arrives as lines, none of them blank."""
    received: list[str] = []
    stream = LineStream(received.append)
    for text in ('one', ' line\n\ntwo\nth', 'ree', '\n', 'unfinished'):
        assert stream.write(text) == len(text)
    assert received == ['one line', 'two', 'three']


def test_long_lines_are_cut() -> None:
    """Neither a line nor the text kept for one exceeds the limit."""
    received: list[str] = []
    stream = LineStream(received.append)
    for _ in range(3):
        stream.write('x' * MAX_LINE_CHARS)
        assert len(stream.partial) == MAX_LINE_CHARS
    stream.write('\n')
    assert received == ['x' * MAX_LINE_CHARS]
