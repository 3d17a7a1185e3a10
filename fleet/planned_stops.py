"""Stops routers in turn under streams: `python -m fleet.planned_stops`.

Prints how the requests ended, and every answer that was cut.
"""

import collections
import fcntl
import os
import random
import signal
import subprocess  # noqa: S404
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

from absl import app, flags

from fleet.planned_stop_rule import (
    GRACE_S,
    Ending,
    Exchange,
    PlannedStop,
    ending_of,
    stop_of,
)
from fleet.platform import HTTP_POOL, PlatformFleet, configuration
from fleet.stop_callers import LIMIT_S, StopCallers

# How the standard output of the routers is read.
READERS = ('file', 'fast', 'slow', 'silent', 'closed')
# What else happens during a stop.
EVENTS = (
    *('none', 'second_signal', 'reload', 'configuration'),
    *('store_silent', 'store_outage', 'worker_leaves', 'worker_killed'),
    *('last_worker_slow', 'all_routers'),
)
EVENT_INTERVAL_S = 0.1
SLOW_EVENT_INTERVAL_S = 1.7  # callers wait for two seconds
WORK_S = 0.1
_WORKERS = ('plain-1', 'plain-2', 'plain-3')
_PIPE_BYTES = 4096
_SLOW_READ_S = 0.5
_MAX_EVENT_DELAY_S = 6.0
_DRAIN_S = 2.0  # from the report that a worker is draining to its removal
_MAX_GAP_S = 0.5  # between the signals when all routers stop

SEED = flags.DEFINE_integer('seed', 1, 'Seed of callers and moments.')
RUNS = flags.DEFINE_integer('runs', 1, 'Runs, with consecutive seeds.')
READER = flags.DEFINE_enum('reader', 'file', READERS, 'Reader of the logs.')
EVENT = flags.DEFINE_enum('event', 'none', EVENTS, 'Event during each stop.')
ROUTERS = flags.DEFINE_integer('routers', 3, 'Number of routers.')
STOPS = flags.DEFINE_integer('stops', 2, 'Number of routers that are stopped.')
CALLERS = flags.DEFINE_integer('callers', 16, 'Number of callers.')
LOGS = flags.DEFINE_string('logs', '', 'Folder to keep the logs in.')


class PipedFleet(PlatformFleet):
    """Fleet whose routers write their output to a file or a pipe."""

    reader = 'file'

    def open_output(self, name: str) -> BinaryIO:
        """Return a file, or the writing end of a pipe for a router."""
        log = super().open_output(name)
        if self.reader == 'file' or name not in self.routers:
            return log
        reading, writing = os.pipe()
        if self.reader != 'fast':
            fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, _PIPE_BYTES)
        if self.reader == 'closed':
            os.close(reading)
        else:
            self._read_from(reading, log)
        return os.fdopen(writing, 'wb')

    def _read_from(self, reading: int, log: BinaryIO) -> None:
        """Copy the output of a router to its log file."""

        def copy() -> None:
            while block := os.read(reading, _PIPE_BYTES):
                log.write(block)
                log.flush()
                if self.reader == 'slow':
                    time.sleep(_SLOW_READ_S)
            log.close()
            os.close(reading)

        if self.reader != 'silent':
            threading.Thread(target=copy, daemon=True).start()


class PlannedStops:
    """One run: callers, stops of routers and events at the same time."""

    def __init__(self, folder: Path, seed: int, reader: str, routers: int):
        """Start every process.

        Args:
          folder: where settings files and logs are written.
          seed: seed of callers and moments.
          reader: how the output of the routers is read, see `READERS`.
          routers: number of routers.
        """
        self.rng = random.Random(seed)
        self.seed = seed
        self.fleet = PipedFleet(folder)
        self.fleet.reader = reader
        self.version = 10
        self.stops: list[PlannedStop] = []
        self.runs: dict[str, set[str]] = collections.defaultdict(set)
        # Monotonic times by worker.
        self.killed: dict[str, list[float]] = collections.defaultdict(list)
        self._configure()
        for name in _WORKERS:
            self.fleet.start_worker(name)
            self._set_interval(name, EVENT_INTERVAL_S)
        for number in range(routers):
            self.fleet.start_router(f'node-{number}')
        for name in self.fleet.routers:
            self.fleet.wait_until_ready(name)

    def run(self, event: str, stops: int, callers: int) -> StopCallers:
        """Stop routers under load.

        Args:
          event: what happens during each stop, see `EVENTS`.
          stops: number of routers to stop.
          callers: number of callers.
        """
        load = StopCallers(self.fleet, self.seed, callers)
        load.start()
        try:
            time.sleep(self.rng.uniform(2, 4))
            if event == 'all_routers':
                self._stop_all()
            else:
                for name in self.rng.sample(sorted(self.fleet.routers), stops):
                    self._stop_router(name, event)
        finally:
            load.stop()
        for name in _WORKERS:
            self._collect_runs(name)
        return load

    def ending(self, exchange: Exchange) -> Ending:
        """Return how a request ended."""
        workers = self.runs.get(exchange.request_id, set())
        return ending_of(
            exchange,
            stop_of(exchange, self.stops),
            bool(workers),
            any(
                exchange.sent_s <= killed_s <= exchange.ended_s + WORK_S
                for worker in workers
                for killed_s in self.killed[worker]
            ),
        )

    def describe(self, exchange: Exchange) -> str:
        """Return a line about a request relative to its router's stop."""
        stop = stop_of(exchange, self.stops)
        at = 'no stop'
        if stop is not None:
            start = stop.signalled_s
            at = (
                f'sent {exchange.sent_s - start:+.2f} s, '
                f'ended {exchange.ended_s - start:+.2f} s, exit code '
                f'{stop.exit_code} at {stop.ended_s - start:+.2f} s'
            )
        connection = 'kept' if exchange.kept else 'new'
        return (
            f'{self.ending(exchange).value}: {exchange.request_id} '
            f'{exchange.kind} at {exchange.router}, {connection} connection, '
            f'status {exchange.status}, {exchange.events} events, {at}, '
            f'ran on {sorted(self.runs.get(exchange.request_id, ()))}, '
            f'{exchange.error}'
        )

    def _stop_router(self, name: str, event: str) -> None:
        delay_s = self.rng.uniform(0, _MAX_EVENT_DELAY_S)
        worker = self.rng.choice(_WORKERS)
        if event.startswith('store'):
            fault = event.removeprefix('store_')
            self.fleet.set_faults(self.fleet.store_port, **{fault: 1})
            time.sleep(self.rng.uniform(0, 1))
        signalled_s = time.monotonic()
        self.fleet.send_signal(name, signal.SIGTERM)
        injection = threading.Thread(
            target=self._inject, args=(event, name, worker, delay_s)
        )
        injection.start()
        self._wait_for_end(name, signalled_s)
        injection.join()
        self.fleet.set_faults(self.fleet.store_port, reset=1)
        if self.fleet.processes[worker].poll() is not None:
            self._restart_worker(worker)
        self.fleet.start_router(name)
        self.fleet.wait_until_ready(name)

    def _inject(
        self, event: str, router: str, worker: str, delay_s: float
    ) -> None:
        time.sleep(delay_s)
        actions: dict[str, Callable[[], None]] = {
            'second_signal': lambda: self._signal(router, signal.SIGTERM),
            'reload': lambda: self._reload(router),
            'configuration': self._configure,
            'worker_killed': lambda: self._kill_worker(worker),
            'worker_leaves': lambda: self._remove_worker(worker),
            'last_worker_slow': lambda: self._slow_down_last(worker),
        }
        action = actions.get(event)
        if action is not None:
            action()

    def _signal(self, router: str, number: signal.Signals) -> None:
        if self.fleet.processes[router].poll() is None:
            self.fleet.send_signal(router, number)

    def _reload(self, router: str) -> None:
        path = self.fleet.folder / f'{router}.json'
        path.write_text(path.read_text() + '\n')
        self._signal(router, signal.SIGHUP)

    def _remove_worker(self, worker: str) -> None:
        self.fleet.register(worker, state='draining')
        time.sleep(_DRAIN_S)
        self.fleet.put({f'servers/{worker}': None})
        time.sleep(_DRAIN_S)
        self._kill_worker(worker)

    def _slow_down_last(self, last: str) -> None:
        """Pause the streams of a worker while the others are leaving."""
        others = [name for name in _WORKERS if name != last]
        for name in others:
            self.fleet.register(name, state='draining')
        self._set_interval(last, SLOW_EVENT_INTERVAL_S)
        time.sleep(2 * _DRAIN_S)
        self._set_interval(last, EVENT_INTERVAL_S)
        for name in others:
            self._kill_worker(name)
            self._restart_worker(name)

    def _stop_all(self) -> None:
        names = self.rng.sample(sorted(self.fleet.routers), ROUTERS.value)
        signalled: dict[str, float] = {}
        for name in names:
            signalled[name] = time.monotonic()
            self.fleet.send_signal(name, signal.SIGTERM)
            time.sleep(self.rng.uniform(0, _MAX_GAP_S))
        for name in names:
            self._wait_for_end(name, signalled[name])
        for name in names:
            self.fleet.start_router(name)
        for name in names:
            self.fleet.wait_until_ready(name)

    def _wait(self, name: str, until_s: float) -> None:
        """Wait for a time, or for the end of a process."""
        try:
            self.fleet.processes[name].wait(max(0, until_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            return

    def _wait_for_end(self, name: str, signalled_s: float) -> None:
        """Wait for the end of a router; kill it after the grace period."""
        process = self.fleet.processes[name]
        self._wait(name, signalled_s + GRACE_S)
        if process.poll() is None:
            process.kill()
        exit_code = process.wait()
        self.stops.append(
            PlannedStop(name, signalled_s, time.monotonic(), exit_code)
        )

    def _configure(self) -> None:
        self.version += 3
        document = configuration(self.version)
        for route in document['op/config']['routes']:
            route['service'] = 'plain'
            route['timeout-ms'] = LIMIT_S * 1000
            # Callers wait two seconds for an event.
            route['target-latency-ms'] = 500
            route['gap-aim-ms'] = 200
        self.fleet.put(document)

    def _set_interval(self, worker: str, interval_s: float) -> None:
        port = self.fleet.workers[worker]
        self.fleet.set_faults(port, event_interval_s=interval_s, work_s=WORK_S)

    def _collect_runs(self, worker: str) -> None:
        for run in self.fleet.fetch_runs(worker):
            self.runs[run['id']].add(worker)

    def _kill_worker(self, worker: str) -> None:
        self._collect_runs(worker)
        self.fleet.send_signal(worker, signal.SIGKILL)
        self.killed[worker].append(time.monotonic())
        self.fleet.processes[worker].wait()

    def _restart_worker(self, worker: str) -> None:
        self.fleet.restart_worker(worker)
        self._set_interval(worker, EVENT_INTERVAL_S)


def run_stops(folder: Path, seed: int) -> int:
    """Run once, print the result and return the number of cut answers."""
    run = PlannedStops(folder, seed, READER.value, ROUTERS.value)
    try:
        load = run.run(EVENT.value, STOPS.value, CALLERS.value)
    finally:
        run.fleet.close()
        HTTP_POOL.clear()
    endings = collections.Counter(
        run.ending(exchange) for exchange in load.exchanges
    )
    counts = ', '.join(
        f'{endings[ending]} {ending.value}'
        for ending in Ending
        if endings[ending]
    )
    exits = ', '.join(
        f'{stop.router} code {stop.exit_code} after '
        f'{stop.ended_s - stop.signalled_s:.2f} s'
        for stop in run.stops
    )
    sys.stdout.write(
        f'reader {READER.value}, event {EVENT.value}, seed {seed}: '
        f'{len(load.exchanges)} requests: {counts}; '
        f'{load.unconnected} connections refused; stops: {exits}\n'
    )
    for exchange in load.exchanges:
        if run.ending(exchange) is not Ending.WHOLE:
            sys.stdout.write(f'  {run.describe(exchange)}\n')
    sys.stdout.flush()
    return endings[Ending.CUT]


def main(_arguments: list[str]) -> None:
    """Run the stops; exit with status 1 if an answer was cut."""
    cut = 0
    for seed in range(SEED.value, SEED.value + RUNS.value):
        with tempfile.TemporaryDirectory() as directory:
            folder = Path(LOGS.value or directory) / f'seed-{seed}'
            folder.mkdir(parents=True)
            cut += run_stops(folder, seed)
    sys.exit(cut > 0)


if __name__ == '__main__':
    app.run(main)
