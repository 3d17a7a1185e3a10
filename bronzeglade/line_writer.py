"""Writes lines to a descriptor; bounded and non-blocking."""

import collections
import dataclasses
import datetime as dt
import json
from collections.abc import Callable, Mapping
from typing import Any

import eventlet
from eventlet import hubs, patcher

# Lines queued for a slow reader; above it, the oldest line is dropped.
MAX_QUEUED_LINES = 2000
FLUSH_LIMIT = dt.timedelta(milliseconds=500)

# eventlet's `write` waits by itself, also for a reader that has gone, and fails
# on a descriptor that another green thread waits for.
_os = patcher.original('os')


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A line, and the number of dropped lines that it reports."""

    text: bytes
    dropped_before: int


class LineWriter:
    """Writes one JSON object per line to a file descriptor.

    Lines go through a bounded queue that a green thread writes out. If the
    reader of the descriptor is too slow or has gone, lines are dropped and
    counted; the next line has their number as `dropped_before`.
    """

    def __init__(self, descriptor: int) -> None:
        """Create a writer; `start` begins to write.

        Args:
          descriptor: file descriptor of the output; made non-blocking.
        """
        self.descriptor = descriptor
        self.lines: collections.deque[Line] = collections.deque()
        self.unsent = b''  # rest of a line that is written in part
        self.queued = eventlet.semaphore.Semaphore(0)
        self.drained = eventlet.event.Event()
        self.dropped = 0  # lines that no queued line reports
        self.on_drop: Callable[[], object] = bool
        self.thread: Any = None

    def start(self) -> None:
        """Start writing lines."""
        _os.set_blocking(self.descriptor, False)
        self.thread = eventlet.spawn(self._write_lines)

    def append(self, fields: Mapping[str, Any]) -> None:
        """Queue a line; it replaces the oldest one if the queue is full.

        Args:
          fields: JSON-compatible values.
        """
        if len(self.lines) >= MAX_QUEUED_LINES:
            self._drop_oldest()
        counted = {'dropped_before': self.dropped} if self.dropped else {}
        text = json.dumps({**fields, **counted}, default=str)
        self.lines.append(Line(text.encode() + b'\n', self.dropped))
        self.dropped = 0
        if self.queued.locked():
            self.queued.release()

    def drop(self) -> None:
        """Count a line that is dropped."""
        self.dropped += 1
        self.on_drop()

    def flush(self, limit: dt.timedelta = FLUSH_LIMIT) -> None:
        """Write queued lines; wait for a slow reader for a limited time.

        Args:
          limit: maximum time to wait; zero writes what can be written at once.
        """
        if not self._write_available():
            with eventlet.Timeout(limit.total_seconds(), False):
                self.drained.wait()

    def _write_lines(self) -> None:
        while True:
            self.queued.acquire()
            while not self._write_available():
                hubs.trampoline(self.descriptor, write=True)
            self.drained.send()
            self.drained = eventlet.event.Event()

    def _write_available(self) -> bool:
        """Write until the descriptor would block; never yields.

        Returns:
          False if the descriptor would block.
        """
        while self.unsent or self.lines:
            # One line a call: the system never writes part of a short one.
            text = self.unsent or self.lines[0].text
            try:
                written = _os.write(self.descriptor, text)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has gone, or the disk is full. A line that is
                # written in part is finished before another one.
                self._drop_queued()
                return True
            if not self.unsent:
                self.lines.popleft()
            self.unsent = text[written:]
        return True

    def _drop_queued(self) -> None:
        while self.lines:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        self.dropped += self.lines.popleft().dropped_before
        self.drop()
