"""Tests that logging is bounded and non-blocking."""

import datetime as dt
import fcntl
import json
import os
import posix
import subprocess  # noqa: S404
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import eventlet
import pytest
from eventlet import hubs
from eventlet.green import os as green_os

from bronzeglade.builders import ManualClock
from bronzeglade.forwarding import log as logs
from bronzeglade.forwarding.log import Log
from bronzeglade.line_writer import MAX_QUEUED_LINES

PIPE_BYTES = 4096
SMALL_READ = 700
TIMEOUT_S = 20


@pytest.fixture(autouse=True, scope='module')
def _green_os() -> Iterator[None]:
    """Replace functions of `os` as in the processes; `posix` keeps them."""
    with pytest.MonkeyPatch.context() as patch:
        for name in ('read', 'write'):
            patch.setattr(os, name, getattr(green_os, name))
        yield


def lines(descriptor: int) -> list[dict[str, object]]:
    """Return the lines that are in a pipe now."""
    os.set_blocking(descriptor, False)
    text = os.read(descriptor, 1 << 20)
    return [json.loads(line) for line in text.splitlines()]


def small_pipe() -> tuple[int, int]:
    """Return the ends of a pipe that holds `PIPE_BYTES`."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    os.set_blocking(reader, False)
    return reader, writer


def started_log(descriptor: int) -> Log:
    """Return a log that writes to a descriptor."""
    log = Log(descriptor, 'n', ManualClock())
    log.start()
    return log


def run_script(script: str, output: int, errors: int) -> int:
    """Run a script with buffered standard streams; return its exit code."""
    environment = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
    environment.pop('PYTHONUNBUFFERED', None)
    process = subprocess.Popen(  # noqa: S603
        [sys.executable, '-c', script],
        stdout=output,
        stderr=errors,
        env=environment,
    )
    try:
        return process.wait(TIMEOUT_S)
    finally:
        process.kill()


@pytest.fixture(autouse=True)
def restored_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    """Undo the redirection of the standard error after each test."""
    monkeypatch.setattr(sys, 'stderr', sys.stderr)
    monkeypatch.setattr(sys, 'excepthook', sys.excepthook)


def fill(log: Log) -> None:
    """Log events until the writer waits for the reader of a small pipe."""
    for number in range(20):
        log.event('long', number=number, text='x' * 1000)
        eventlet.sleep(0)
    eventlet.sleep(0.01)
    assert log.lines


def read_all(reader: int, done: Callable[[bytes], bool]) -> bytes:
    """Read from a pipe a little at a time until a condition holds."""
    text = b''
    with eventlet.Timeout(TIMEOUT_S):
        while not done(text):
            try:
                text += posix.read(reader, SMALL_READ)
            except BlockingIOError:
                eventlet.sleep(0.001)
            else:
                eventlet.sleep(0)
    return text


def numbers(text: bytes) -> list[int]:
    """Return the field `number` of each line."""
    return [json.loads(line)['number'] for line in text.splitlines()]


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


# A router ended with RuntimeError: Second simultaneous write.
def test_flush_while_the_writer_waits_for_the_reader() -> None:
    """Flushing a full pipe neither fails nor blocks."""
    _reader, writer = small_pipe()
    log = started_log(writer)
    fill(log)
    with eventlet.Timeout(TIMEOUT_S):
        log.flush()


# A router that was to stop waited for a reader that did not read.
def test_flush_of_a_full_pipe_returns_before_the_writer_has_run() -> None:
    """Flushing a full pipe does not wait for its reader."""
    _reader, writer = small_pipe()
    posix.write(writer, b'x' * PIPE_BYTES)
    log = started_log(writer)
    log.event('last')
    with eventlet.Timeout(TIMEOUT_S):
        log.flush()


# A router used a whole processor after the reader had closed the pipe.
def test_closed_reader_costs_no_processor_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Lines for a closed pipe are dropped and counted; nothing spins."""
    reader, writer = small_pipe()
    log = started_log(writer)
    dropped: list[int] = []
    log.on_drop = lambda: dropped.append(1)
    fill(log)
    posix.close(reader)
    hub = hubs.get_hub()
    waits: list[float | None] = []
    wait = hub.wait

    def counted_wait(seconds: float | None = None) -> None:
        waits.append(seconds)
        wait(seconds)

    monkeypatch.setattr(hub, 'wait', counted_wait)
    for number in range(3):
        log.event('lost', number=number)
        eventlet.sleep(0.02)
    assert len(waits) < 50
    assert not log.lines
    assert len(dropped) > 3
    with eventlet.Timeout(TIMEOUT_S):
        log.flush()


# A flush wrote queued lines into the middle of a line.
def test_flush_keeps_the_line_that_a_full_pipe_has_cut() -> None:
    """The rest of a line precedes the next one, also after a flush."""
    reader, writer = small_pipe()
    log = started_log(writer)
    for number in range(3):
        log.event('long', number=number, text='x' * 3 * PIPE_BYTES)
    eventlet.sleep(0.01)
    text = posix.read(reader, PIPE_BYTES)
    with eventlet.Timeout(TIMEOUT_S):
        log.flush()
    text += read_all(reader, lambda more: more.count(b'\n') == 3)
    assert numbers(text) == [0, 1, 2]


def test_slow_reader_gets_the_last_lines() -> None:
    """A flush waits for a reader that is slow."""
    reader, writer = small_pipe()
    log = started_log(writer)
    fill(log)
    for number in range(20, 23):
        log.event('last', number=number)
    texts: list[bytes] = []
    reading = eventlet.spawn(
        lambda: texts.append(
            read_all(reader, lambda text: text.count(b'\n') == 23)
        )
    )
    with eventlet.Timeout(TIMEOUT_S):
        log.flush(dt.timedelta(hours=1))
    assert not log.lines
    reading.wait()
    assert numbers(texts[0]) == list(range(23))


def test_lines_reach_a_regular_file(tmp_path: Path) -> None:
    """A descriptor that cannot be polled is written to."""
    path = tmp_path / 'log'
    descriptor = posix.open(path, os.O_WRONLY | os.O_CREAT)
    log = started_log(descriptor)
    for number in range(3):
        log.event('short', number=number)
    eventlet.sleep(0)
    log.event('short', number=3)
    log.flush()
    assert numbers(path.read_bytes()) == [0, 1, 2, 3]


# A router whose output was /dev/null ended as one with a full pipe.
def test_flush_to_the_null_device() -> None:
    """The null device, which cannot be polled, takes lines."""
    log = started_log(posix.open(os.devnull, os.O_WRONLY))
    for number in range(3):
        log.event('short', number=number)
        eventlet.sleep(0.01)
    log.event('last')
    log.flush()
    assert not log.lines


# The lines of a stop were lost when the reader had been slow before.
def test_full_queue_keeps_the_newest_lines() -> None:
    """A line for which there is no room replaces the oldest one."""
    reader, writer = small_pipe()
    clock = ManualClock()
    log = Log(writer, 'n', clock)
    log.start()
    count = MAX_QUEUED_LINES + 100
    for number in range(count):
        clock.advance(dt.timedelta(milliseconds=10))
        log.event('early', number=number)
    log.event('stop', number=count)
    text = read_all(reader, lambda more: b'"stop"' in more)
    received = [json.loads(line) for line in text.splitlines()]
    assert numbers(text) == list(range(101, count + 1))
    assert sum(line.get('dropped_before', 0) for line in received) == 101


# A stop right after a burst left no line.
@pytest.mark.parametrize('event', ['start', 'reload', 'stop'])
def test_lifecycle_events_are_logged_above_the_rate(event: str) -> None:
    """The rate limit doesn't apply to the line of a start, reload or stop."""
    _reader, writer = small_pipe()
    log = Log(writer, 'n', ManualClock())
    for number in range(logs.MAX_LINES_PER_SECOND + 7):
        log.event('flood', number=number)
    log.event(event)
    last = json.loads(log.lines[-1].text)
    assert (last['event'], last['dropped_before']) == (event, 7)


FAILING_THREADS = """
import sys
from bronzeglade import green
green.patch()
import eventlet
from bronzeglade.clock import BootClock
from bronzeglade.forwarding.log import Log

def fail():
    raise ValueError('x' * 1000)

log = Log(sys.stdout.fileno(), 'n', BootClock())
log.start()
for _number in range(20):
    eventlet.spawn(fail)
    eventlet.sleep(0.001)
log.flush()
"""


# A traceback of the event loop ended the process, or blocked it for ever.
@pytest.mark.parametrize('shared', [True, False])
def test_full_standard_error_does_not_stop_the_process(*, shared: bool) -> None:
    """Tracebacks don't need room in the pipe that is the standard error."""
    _reader, output = small_pipe()
    _error_reader, errors = small_pipe()
    error_output = output if shared else errors
    assert run_script(FAILING_THREADS, output, error_output) == 0


# A traceback is text, not one JSON object.
def test_standard_error_is_logged() -> None:
    """What is written to the standard error becomes lines of the log."""
    reader, output = os.pipe()
    script = FAILING_THREADS.replace('20', '1')
    assert run_script(script, output, output) == 0
    posix.close(output)
    assert any(
        line['event'] == 'stderr' and 'ValueError' in str(line['text'])
        for line in lines(reader)
    )


def test_uncaught_exception_is_logged() -> None:
    """The traceback of the main green thread is written out at the end."""
    reader, output = os.pipe()
    script = f'{FAILING_THREADS}\nfail()\n'.replace('range(20)', '()')
    assert run_script(script, output, output) == 1
    posix.close(output)
    assert any('ValueError' in str(line['text']) for line in lines(reader))
