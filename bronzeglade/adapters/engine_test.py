"""Tests that decoding a chunked body neither loses nor repeats bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzeglade.adapters.engine import split_chunks

LAST = b'0\r\n\r\n'


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=6),
    st.lists(st.integers(1, 30), max_size=40),
)
def test_any_segmentation_gives_the_same_body(
    contents: list[bytes], sizes: list[int]
) -> None:
    """Reads may end anywhere, also inside a chunk or its size line."""
    sent = b''.join(b'%x\r\n%s\r\n' % (len(chunk), chunk) for chunk in contents)
    sent += LAST
    received = b''
    body = b''
    sizes.append(len(sent))
    for size in sizes:
        content, received = split_chunks(received + sent[:size])
        sent = sent[size:]
        body += content
    assert body == b''.join(contents)
    assert received == LAST


@pytest.mark.parametrize('size', [b'-5', b'zz', b'ffffffff'])
def test_wrong_size_is_an_error(size: bytes) -> None:
    """An unchecked size would stall the stream or exhaust memory."""
    with pytest.raises(ValueError):
        split_chunks(size + b'\r\nabc\r\n')
