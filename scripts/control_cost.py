"""Prints the cost of an idle router process by number of nodes and workers.

Starts fleets of several sizes without caller traffic and reads CPU time and
resident memory of each router process from `/proc`.
"""

import dataclasses
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

from absl import app, flags

from fleet.deployments import BROLGA, Deployment
from fleet.launch import Fleet

NODE_COUNTS = flags.DEFINE_list('nodes', ['2', '8', '16', '24'], 'Node counts.')
WORKER_COUNTS = flags.DEFINE_list('workers', ['8', '24'], 'Worker counts.')
SECONDS = flags.DEFINE_integer('seconds', 15, 'Measured seconds per size.')

SETTLE_S = 5
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
KB_PER_MB = 1024


def main(_arguments: list[str]) -> None:
    """Measure each size once; print one JSON object per line."""
    default_workers = len(WORKER_COUNTS.value) and int(WORKER_COUNTS.value[0])
    sizes = [(int(nodes), default_workers) for nodes in NODE_COUNTS.value]
    sizes.extend((8, int(workers)) for workers in WORKER_COUNTS.value[1:])
    for nodes, workers in sizes:
        sys.stdout.write(json.dumps(_measure(nodes, workers)) + '\n')
        sys.stdout.flush()


def _measure(nodes: int, workers: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(
            _resize_deployment(nodes, workers), Path(directory)
        ) as fleet:
            pids = [entry.process.pid for entry in fleet.entries()]
            time.sleep(SETTLE_S)
            before = [_cpu_s(pid) for pid in pids]
            time.sleep(SECONDS.value)
            cpu_fractions = [
                (_cpu_s(pid) - cpu_before_s) / SECONDS.value
                for pid, cpu_before_s in zip(pids, before, strict=True)
            ]
            resident_mb = [_resident_mb(pid) for pid in pids]
    return {
        'nodes': nodes,
        'workers': workers,
        'cpu_percent_median': round(statistics.median(cpu_fractions) * 100, 2),
        'cpu_percent_max': round(max(cpu_fractions) * 100, 2),
        'resident_mb_median': round(statistics.median(resident_mb), 1),
    }


def _resize_deployment(nodes: int, workers: int) -> Deployment:
    groups = len(BROLGA.endpoints)
    endpoints = tuple(
        dataclasses.replace(plan, count=max(1, workers // groups))
        for plan in BROLGA.endpoints
    )
    return dataclasses.replace(BROLGA, entry_count=nodes, endpoints=endpoints)


def _cpu_s(pid: int) -> float:
    stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(stat[11]) + int(stat[12])) / TICKS_PER_S


def _resident_mb(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / KB_PER_MB
    return 0


if __name__ == '__main__':
    app.run(main)
