"""The structured log of a router process: bounded, and never blocking."""

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

# Lines a second; a process at its largest load writes about 100 of them.
LINES_PER_SECOND = 400
# Lines that wait for a slow reader; further ones are counted and dropped.
WAITING_LINES = 2000


class Log:
    """Writes one JSON object a line to a file descriptor.

    A reader that does not keep up costs lines, never time: lines wait in a
    queue of bounded length, and a green thread writes them.
    """

    def __init__(self, descriptor: int, node: str, clock: Clock) -> None:
        """Log to a descriptor.

        Args:
          descriptor: where lines are written; it is made non-blocking.
          node: name of the process in each line.
          clock: time of the lines and of the rate limit.
        """
        self.descriptor = descriptor
        self.node = node
        self.clock = clock
        self.lines: collections.deque[bytes] = collections.deque()
        self.waiting = eventlet.semaphore.Semaphore(0)
        self.second = -1
        self.written = 0
        self.dropped = 0
        self.on_drop: Callable[[], object] = bool

    def start(self) -> None:
        """Begin to write; also what other parts log by eliot."""
        os.set_blocking(self.descriptor, False)
        eliot.add_destinations(self.write_message)
        eventlet.spawn(self._write_lines)

    def event(self, name: str, **fields: Any) -> None:
        """Log a decision or a change with its inputs.

        Args:
          name: type of the event.
          fields: what belongs to it; JSON values.
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
        """Take a message of eliot, such as a traceback."""
        self._append({**message, 'node': self.node}, self.clock.now())

    def flush(self) -> None:
        """Write what waits as far as the reader takes it at once."""
        while self.lines:
            try:
                os.write(self.descriptor, self.lines.popleft())
            except OSError:
                return

    def _append(self, line: dict[str, Any], now: dt.datetime) -> None:
        second = int(now.timestamp())
        if second != self.second:
            self.second = second
            if self.dropped:
                line['dropped_before'] = self.dropped
                self.dropped = 0
            self.written = 0
        self.written += 1
        full = len(self.lines) >= WAITING_LINES
        if full or self.written > LINES_PER_SECOND:
            self.dropped += 1
            self.on_drop()
            return
        self.lines.append(json.dumps(line, default=str).encode() + b'\n')
        self.waiting.release()

    def _write_lines(self) -> None:
        while True:
            self.waiting.acquire()
            if self.lines:
                self._write(self.lines.popleft())

    def _write(self, line: bytes) -> None:
        rest = line
        while rest:
            try:
                rest = rest[os.write(self.descriptor, rest) :]
            except BlockingIOError:
                hubs.trampoline(self.descriptor, write=True)
            except OSError:
                # The reader is gone: there is nobody to tell.
                return
