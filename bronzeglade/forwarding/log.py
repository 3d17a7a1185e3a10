"""Structured log of a router process; bounded and non-blocking."""

import collections
import datetime as dt
import json
import os
from collections.abc import Callable
from typing import Any

import eliot
import eventlet
from eventlet import hubs

from bronzeglade.clock import Clock

# A process at its highest load writes about 100 lines a second.
MAX_LINES_PER_SECOND = 400
# Lines queued for a slow reader; further lines are counted and dropped.
MAX_QUEUED_LINES = 2000


class Log:
    """Writes one JSON object per line to a file descriptor.

    Lines go through a bounded queue that a green thread writes out. If the
    reader of the descriptor is too slow, lines are dropped; callers of the log
    never block.
    """

    def __init__(self, descriptor: int, node: str, clock: Clock) -> None:
        """Create a log; `start` begins to write it.

        Args:
          descriptor: file descriptor of the output; made non-blocking.
          node: node name that is added to each line.
          clock: source of timestamps, and of time for the rate limit.
        """
        self.descriptor = descriptor
        self.node = node
        self.clock = clock
        self.lines: collections.deque[bytes] = collections.deque()
        self.queued = eventlet.semaphore.Semaphore(0)
        self.current_second = -1
        self.lines_this_second = 0
        self.dropped = 0
        self.on_drop: Callable[[], object] = bool

    def start(self) -> None:
        """Start writing lines; messages logged through eliot are included."""
        os.set_blocking(self.descriptor, False)
        eliot.add_destinations(self.write_message)
        eventlet.spawn(self._write_lines)

    def event(self, name: str, **fields: Any) -> None:
        """Log an event, such as a decision with its inputs.

        Args:
          name: type of the event.
          fields: further fields of the line; JSON-compatible values.
        """
        now = self.clock.now()
        self._append(
            {
                'time': now.isoformat(timespec='milliseconds'),
                'node': self.node,
                'event': name,
                **fields,
            },
            now,
        )

    def write_message(self, message: dict[str, Any]) -> None:
        """Log a message from eliot, such as a traceback."""
        self._append({**message, 'node': self.node}, self.clock.now())

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self.lines:
            try:
                os.write(self.descriptor, self.lines.popleft())
            except OSError:
                return

    def _append(self, line: dict[str, Any], now: dt.datetime) -> None:
        second = int(now.timestamp())
        if second != self.current_second:
            self.current_second = second
            if self.dropped:
                line['dropped_before'] = self.dropped
                self.dropped = 0
            self.lines_this_second = 0
        self.lines_this_second += 1
        full = len(self.lines) >= MAX_QUEUED_LINES
        if full or self.lines_this_second > MAX_LINES_PER_SECOND:
            self.dropped += 1
            self.on_drop()
            return
        self.lines.append(json.dumps(line, default=str).encode() + b'\n')
        self.queued.release()

    def _write_lines(self) -> None:
        while True:
            self.queued.acquire()
            if self.lines:
                self._write(self.lines.popleft())

    def _write(self, line: bytes) -> None:
        unsent = line
        while unsent:
            try:
                unsent = unsent[os.write(self.descriptor, unsent) :]
            except BlockingIOError:
                hubs.trampoline(self.descriptor, write=True)
            except OSError:
                # The reader has closed the pipe; the line is lost.
                return
