"""Tests of reading what engines answer, also when it is malformed."""

import datetime as dt
import io
from typing import Any

import eventlet
import pytest
import urllib3
from hypothesis import given
from hypothesis import strategies as st

from bronzeglade import malformed, time_slice
from bronzeglade.adapters import engine
from bronzeglade.adapters.engine import split_chunks

LAST = b'0\r\n\r\n'
TIMEOUT = dt.timedelta(seconds=1)


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


class Pool:
    """Answers each call with the same body."""

    def __init__(self, body: bytes) -> None:
        """Create a pool with the body of its answers."""
        self.body = body

    def request(self, *_arguments: Any, **_options: Any) -> Any:
        """Return an answer."""
        return urllib3.HTTPResponse(
            io.BytesIO(self.body), status=200, preload_content=False
        )


def test_load_with_an_odd_number() -> None:
    """A gauge of 5000 digits ended the reading of the engine's load."""
    for number in (*malformed.NUMBERS, *malformed.DIGIT_TEXTS):
        text = f'other {number}\nengine_requests_running {number}\n'
        pool: Any = Pool(f'{text}engine_requests_waiting 2\n'.encode())
        load = engine.read_load(pool, '10.0.0.1:1', TIMEOUT)
        assert load is None or 0 <= load.running < 10**9


def test_malformed_cache_events() -> None:
    """Deep nesting or an infinite number ended the reading of events."""
    document = {
        'events': [{'seq': 3, 'hash': 'h', 'action': 'added'}],
        'next': 4,
    }
    read = 0
    for body in malformed.json_variants(document):
        pool: Any = Pool(body)
        events = engine.read_cache_events(pool, '10.0.0.1:1', 0, TIMEOUT)
        read += events is not None
    assert read


class Flood:
    """The body of an answer: a start, then a block that repeats."""

    def __init__(self, start: bytes, block: bytes) -> None:
        """Create a body of which nothing was read."""
        self.start = start
        self.block = block
        self.size = 0

    def read1(self, _size: int) -> bytes:
        """Return the next bytes.

        Raises:
          OSError: more was read than any bound allows.
        """
        content = self.start or self.block
        self.start = b''
        self.size += len(content)
        if self.size > 16 * 1024 * 1024:
            raise OSError('the flood was read without end')
        return content


class FloodedResponse:
    """A response with a body in chunks that has no end."""

    chunked = True

    def __init__(self, flood: Flood) -> None:
        """Create a response around the body."""
        self._fp = self
        self.fp = flood

    def close(self) -> None:
        """Close the connection."""


# The bytes of a chunk's size or of trailers were kept until their end, and
# after the end marker a body was read for as long as it went on.
@pytest.mark.parametrize(
    ('start', 'block', 'complete'),
    [
        (b'', b'0' * 60000, False),
        (b'5;', b'x' * 60000, False),
        (b'0\r\n', b'A: b\r\n' * 10000, False),
        (b'e\r\ndata: [DONE]\n\n\r\n', b'1\r\nx\r\n' * 10000, True),
    ],
    ids=['size', 'extension', 'trailers', 'after the end marker'],
)
def test_body_without_end_is_not_read_on(
    start: bytes, block: bytes, complete: bool
) -> None:
    """The answer ends, and its connection is not used again."""
    flood = Flood(start, block)
    response: Any = FloodedResponse(flood)
    stream = engine.EngineStream(response)
    assert not list(stream.batches())
    assert stream.complete == complete
    assert not stream.drained
    assert flood.size < 4 * 1024 * 1024


# Reads of less than 2 KB were rounded down to no work at all.
def test_small_blocks_do_not_block_other_green_threads() -> None:
    """Other green threads run after a bounded number of reads."""
    flood = Flood(b'', b'1\r\nx\r\n')
    response: Any = FloodedResponse(flood)
    reader = eventlet.spawn(list, engine.EngineStream(response).batches())
    eventlet.sleep(0)
    reader.kill()
    assert flood.size <= 2 * time_slice.MAX_PIECES * len(flood.block)
