"""Runs a soak test of router processes: `make soak SEED=n SECONDS=n`."""

import sys
import tempfile
from pathlib import Path

from absl import app, flags

from fleet import soak
from fleet.soak import FleetSize

SEED = flags.DEFINE_integer('seed', 1, 'Seed of faults and callers.')
RUNS = flags.DEFINE_integer('runs', 1, 'Runs, with consecutive seeds.')
SECONDS = flags.DEFINE_float('seconds', 60, 'No fault begins after this time.')
ROUTERS = flags.DEFINE_integer('routers', 4, 'Number of router processes.')
LOGS = flags.DEFINE_string('logs', '', 'Folder to keep the logs in.')


def main(_arguments: list[str]) -> None:
    """Run the soak tests; exit with status 1 on a violation."""
    failed_runs = 0
    for seed in range(SEED.value, SEED.value + RUNS.value):
        with tempfile.TemporaryDirectory() as directory:
            folder = Path(LOGS.value or directory) / f'seed-{seed}'
            folder.mkdir(parents=True)
            violations, summary = soak.run_soak(
                folder, seed, SECONDS.value, FleetSize(routers=ROUTERS.value)
            )
        failed_runs += bool(violations)
        sys.stdout.write(f'{summary}\n')
        for line in violations:
            sys.stdout.write(f'BROKEN {line}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{RUNS.value} runs, {failed_runs} with broken rules\n')
    sys.exit(failed_runs > 0)


if __name__ == '__main__':
    app.run(main)
