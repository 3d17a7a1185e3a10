"""Tests that logging is bounded and non-blocking."""

import datetime as dt
import json
import os

import eventlet

from bronzeglade.builders import ManualClock
from bronzeglade.forwarding import log as logs
from bronzeglade.forwarding.log import Log


def lines(descriptor: int) -> list[dict[str, object]]:
    """Return the lines that are in a pipe now."""
    os.set_blocking(descriptor, False)
    text = os.read(descriptor, 1 << 20)
    return [json.loads(line) for line in text.splitlines()]


def test_lines_above_the_rate_are_counted() -> None:
    """A burst of events is limited; dropped lines are counted."""
    reader, writer = os.pipe()
    clock = ManualClock()
    log = Log(writer, 'n', clock)
    dropped: list[int] = []
    log.on_drop = lambda: dropped.append(1)
    for number in range(logs.MAX_LINES_PER_SECOND + 7):
        log.event('flood', number=number)
    assert len(dropped) == 7
    assert len(log.lines) == logs.MAX_LINES_PER_SECOND
    log.lines.clear()
    clock.advance(dt.timedelta(seconds=1))
    log.event('calm')
    log.flush()
    assert lines(reader)[0]['dropped_before'] == 7


def test_slow_reader_loses_lines_without_blocking() -> None:
    """A full pipe does not block the process."""
    reader, writer = os.pipe()
    log = Log(writer, 'n', ManualClock())
    log.start()
    with eventlet.Timeout(5):
        for number in range(300):
            log.event('long', number=number, text='x' * 1000)
            eventlet.sleep(0)
    assert log.lines
    os.read(reader, 1 << 20)
    eventlet.sleep(0.05)
    queued = len(log.lines)
    os.read(reader, 1 << 20)
    eventlet.sleep(0.05)
    assert len(log.lines) < queued
