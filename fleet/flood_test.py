"""Tests that endpoints that send without end delay no other request.

Delays are measured in processor time of the router, which other processes of a
busy machine do not change.
"""

import dataclasses
import os
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from fleet.floods import FLOODS, TIMEOUT_MS, draw_floods
from fleet.platform import (
    PlatformFleet,
    configuration,
    route,
    wait_until,
)

SECONDS = 5.0
# The floods of these seeds differ in place, framing, piece and block size.
SEEDS = range(1, 9)
INTERVAL_S = 0.1
MAX_ORDER_S = 1.5
MAX_READINESS_S = 0.25
MAX_ADDED_KB = 16 * 1024
# From the last caller that leaves to the end of the last connection.
MAX_CLOSE_S = 10.0
ROUTER = 'node-1'


class FloodedFleet(PlatformFleet):
    """A router, a sound worker, and a worker that floods its callers."""

    def __init__(self, folder: Path, seed: int) -> None:
        """Start all processes; the floods begin with `start_floods`."""
        super().__init__(folder)
        self.start_file = folder / 'start'
        document = configuration(3)
        content = document['op/config']
        content['routes'] = [
            route('order', 'non_idempotent', 'plain'),
            route('chat', 'streaming', 'models', timeout_ms=TIMEOUT_MS),
            route('bulk', 'idempotent', 'models', timeout_ms=TIMEOUT_MS),
        ]
        self.put(document)
        self.start_worker('plain-0')
        self.start_router(ROUTER)
        port = self.ports.allocate(1)[0]
        self._spawn(
            'floods',
            'fleet.floods',
            f'--worker_port={port}',
            f'--router_port={self.routers[ROUTER].callers}',
            f'--seed={seed}',
            f'--seconds={SECONDS}',
            f'--start_file={self.start_file}',
        )
        wait_until(lambda: self._is_listening(port), 'the flooding worker')
        self.workers['flood'] = port
        self.started_ms['flood'] = 1
        self.register('flood', 'models')
        self.wait_until_ready(ROUTER)
        wait_until(self.knows_workers, 'the router knows both workers')

    def knows_workers(self) -> bool:
        """Return whether the router has logged both workers."""
        known = {
            line.get('endpoint')
            for line in self.log_entries(ROUTER)
            if line.get('event') == 'endpoint'
        }
        return known >= {'flood', 'plain-0'}

    def processor_s(self) -> float:
        """Return the processor time that the router has used."""
        pid = self.processes[ROUTER].pid
        stat = Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(') ')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    def resident_kb(self) -> int:
        """Return the resident memory of the router."""
        pid = self.processes[ROUTER].pid
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
        return next(
            int(line.split()[1]) for line in lines if line.startswith('VmRSS')
        )


@dataclasses.dataclass(slots=True)
class Delays:
    """Delays in seconds, of processor time and as callers see them."""

    processor: list[float] = dataclasses.field(default_factory=list)
    elapsed: list[float] = dataclasses.field(default_factory=list)
    statuses: list[int] = dataclasses.field(default_factory=list)


@pytest.fixture(params=SEEDS)
def flooded(
    request: pytest.FixtureRequest, tmp_path: Path
) -> Iterator[FloodedFleet]:
    """Return a fleet with the floods of a seed."""
    fleet = FloodedFleet(tmp_path, request.param)
    try:
        yield fleet
    finally:
        fleet.close()


def test_floods_delay_no_other_request(flooded: FloodedFleet) -> None:
    """Orders and readiness are answered, memory is bounded."""
    before_kb = flooded.resident_kb()
    orders, readiness = Delays(), Delays()
    threads: list[threading.Thread] = []
    added_kb = 0
    flooded.start_file.touch()
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        for delays, call in ((orders, send_order), (readiness, probe)):
            threads.append(
                threading.Thread(
                    target=measure, args=(flooded, delays, call, len(threads))
                )
            )
            threads[-1].start()
        added_kb = max(added_kb, flooded.resident_kb() - before_kb)
        time.sleep(INTERVAL_S)
    flooded.processes['floods'].wait(SECONDS + MAX_CLOSE_S)
    for thread in threads:
        thread.join()
    assert set(orders.statuses) == set(readiness.statuses) == {200}
    assert max(orders.processor) <= MAX_ORDER_S, max(orders.elapsed)
    assert max(readiness.processor) <= MAX_READINESS_S, max(readiness.elapsed)
    assert added_kb <= MAX_ADDED_KB


def send_order(fleet: PlatformFleet, number: int) -> int:
    """Send an order to the sound worker; return its status."""
    return fleet.send_request(ROUTER, '/order/x', f'order-{number}').status


def probe(fleet: PlatformFleet, _number: int) -> int:
    """Return the status of the readiness page."""
    return fleet.page_status(fleet.routers[ROUTER].ready, '/api/readiness')


def measure(
    fleet: FloodedFleet,
    delays: Delays,
    call: Callable[[PlatformFleet, int], int],
    number: int,
) -> None:
    """Record how long a call takes."""
    began, began_at = fleet.processor_s(), time.monotonic()
    delays.statuses.append(call(fleet, number))
    delays.processor.append(fleet.processor_s() - began)
    delays.elapsed.append(time.monotonic() - began_at)


def test_floods_of_a_seed_differ() -> None:
    """The seeds draw different floods, and each the same again."""
    drawn = [flood for seed in SEEDS for flood in draw_floods(seed)]
    assert drawn == [flood for seed in SEEDS for flood in draw_floods(seed)]
    assert len(set(drawn)) > len(SEEDS) * FLOODS * 0.8
