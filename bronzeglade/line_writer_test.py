"""Tests of the line writer against a model of its reader."""

import datetime as dt
import fcntl
import json
import os
import posix
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import eventlet
import pytest
from eventlet.green import os as green_os
from hypothesis import example, given
from hypothesis import strategies as st

from bronzeglade import line_writer
from bronzeglade.line_writer import LineWriter

PIPE_BYTES = 4096
QUEUED_LINES = 4
TIMEOUT_S = 20

Step = tuple[str, int]

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('append'), st.integers(0, 3 * PIPE_BYTES)),
        st.tuples(st.just('append'), st.integers(0, 200)),
        st.tuples(st.just('read'), st.integers(1, 2 * PIPE_BYTES)),
        st.tuples(
            st.sampled_from(['run', 'flush', 'drop', 'leave', 'come']),
            st.just(0),
        ),
    ),
    max_size=60,
)


@pytest.fixture(autouse=True, scope='module')
def _green_os() -> Iterator[None]:
    """Replace functions of `os` as in the processes; `posix` keeps them."""
    with pytest.MonkeyPatch.context() as patch:
        for name in ('read', 'write'):
            patch.setattr(os, name, getattr(green_os, name))
        yield


class NamedPipe:
    """A named pipe, which outlives its readers, and the text read from it."""

    def __init__(self, path: Path) -> None:
        """Create the pipe with a reader and a descriptor to write to."""
        os.mkfifo(path)
        self.path = path
        self.text = b''
        self.reader: int | None = None
        self.come()
        self.writer = posix.open(path, os.O_WRONLY | os.O_NONBLOCK)
        fcntl.fcntl(self.writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)

    def come(self) -> None:
        """Open the pipe for reading unless it has a reader."""
        if self.reader is None:
            self.reader = posix.open(self.path, os.O_RDONLY | os.O_NONBLOCK)

    def leave(self) -> None:
        """Close the reader."""
        if self.reader is not None:
            posix.close(self.reader)
            self.reader = None

    def read(self, size: int) -> None:
        """Read bytes that are in the pipe."""
        if self.reader is None:
            return
        try:
            self.text += posix.read(self.reader, size)
        except BlockingIOError:
            return

    def close(self) -> None:
        """Close both ends."""
        self.leave()
        posix.close(self.writer)


class WriterModel:
    """A started writer, its pipe, and the lines that it was given."""

    def __init__(self, pipe: NamedPipe) -> None:
        """Start a writer."""
        self.pipe = pipe
        self.writer = LineWriter(pipe.writer)
        self.appended = 0
        self.drops = 0
        self.writer.on_drop = self.count_drop
        self.writer.start()

    def count_drop(self) -> None:
        """Count a dropped line."""
        self.drops += 1

    def run(self, step: Step) -> None:
        """Run a step of a sequence."""
        kind, size = step
        actions: dict[str, Callable[[], object]] = {
            'append': lambda: self.append(size),
            'drop': self.drop,
            'read': lambda: self.pipe.read(size),
            'flush': lambda: self.writer.flush(dt.timedelta()),
            'run': lambda: eventlet.sleep(0.0001),
            'leave': self.pipe.leave,
            'come': self.pipe.come,
        }
        actions[kind]()

    def append(self, size: int) -> None:
        """Append a line that has the size of its text."""
        number = self.appended
        self.writer.append({'number': number, 'text': 'x' * size, 'size': size})
        self.appended += 1

    def drop(self) -> None:
        """Drop a line as above a rate limit."""
        self.writer.drop()
        self.appended += 1

    def finish(self) -> list[dict[str, Any]]:
        """Read until every line has arrived; return the lines."""
        self.pipe.come()
        while self.writer.unsent or self.writer.lines:
            self.pipe.read(PIPE_BYTES)
            # A reader that has left and come back doesn't wake the writer.
            self.writer.flush(dt.timedelta())
        self.pipe.read(PIPE_BYTES)
        return [json.loads(line) for line in self.pipe.text.splitlines()]

    def close(self) -> None:
        """End the writer."""
        self.writer.thread.kill()
        self.pipe.close()


@given(STEPS)
# A dropped line that reports another one.
@example([('drop', 0), ('append', 9), ('leave', 0), ('run', 0)])
def test_lines_arrive_whole_once_and_in_order(steps: list[Step]) -> None:
    """Whatever the reader does, a line arrives or is counted as dropped."""
    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch.object(line_writer, 'MAX_QUEUED_LINES', QUEUED_LINES),
        eventlet.Timeout(TIMEOUT_S),
    ):
        model = WriterModel(NamedPipe(Path(folder, 'pipe')))
        try:
            for step in steps:
                model.run(step)
                assert len(model.writer.lines) <= QUEUED_LINES
            lines = model.finish()
        finally:
            model.close()
    assert all(len(line['text']) == line['size'] for line in lines)
    numbers = [line['number'] for line in lines]
    assert numbers == sorted(set(numbers))
    reported = sum(line.get('dropped_before', 0) for line in lines)
    assert reported + model.writer.dropped == model.drops
    assert len(lines) + model.drops == model.appended
