"""Structured log of a router process; bounded and non-blocking."""

import datetime as dt
import sys
from types import TracebackType
from typing import Any

import eliot

from bronzeglade.clock import Clock
from bronzeglade.line_stream import LineStream
from bronzeglade.line_writer import LineWriter

# A process at its highest load writes about 100 lines a second.
MAX_LINES_PER_SECOND = 400
# Logged above the rate limit too; there are few of them.
LIFECYCLE_EVENTS = frozenset(('start', 'reload', 'stopping', 'stopped', 'stop'))


class Log(LineWriter):
    """Writes events and messages of eliot, at a limited rate."""

    def __init__(self, descriptor: int, node: str, clock: Clock) -> None:
        """Create a log; `start` begins to write it.

        Args:
          descriptor: file descriptor of the output; made non-blocking.
          node: node name that is added to each line.
          clock: source of timestamps, and of time for the rate limit.
        """
        super().__init__(descriptor)
        self.node = node
        self.clock = clock
        self.current_second = -1
        self.lines_this_second = 0

    def start(self) -> None:
        """Start writing lines.

        They include the messages logged through eliot, and the lines that the
        process writes to its standard error: a pipe there may be full, and an
        exception from writing to it would end eventlet's hub.
        """
        super().start()
        eliot.add_destinations(self.write_message)
        sys.stderr = LineStream(self._write_error_line)
        sys.excepthook = self._write_uncaught

    def event(self, name: str, **fields: Any) -> None:
        """Log an event, such as a decision with its inputs.

        Args:
          name: type of the event.
          fields: further fields of the line; JSON-compatible values.
        """
        now = self.clock.now()
        self._limit(
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
        self._limit({**message, 'node': self.node}, self.clock.now())

    def _write_error_line(self, text: str) -> None:
        self.event('stderr', text=text)

    def _write_uncaught(
        self,
        kind: type[BaseException],
        error: BaseException,
        trace: TracebackType | None,
    ) -> None:
        sys.__excepthook__(kind, error, trace)
        self.flush()

    def _limit(self, line: dict[str, Any], now: dt.datetime) -> None:
        second = int(now.timestamp())
        if second != self.current_second:
            self.current_second = second
            self.lines_this_second = 0
        self.lines_this_second += 1
        exempt = line.get('event') in LIFECYCLE_EVENTS
        if exempt or self.lines_this_second <= MAX_LINES_PER_SECOND:
            self.append(line)
        else:
            self.drop()
