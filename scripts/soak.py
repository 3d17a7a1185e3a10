"""Runs the real router processes under faults; `make soak SEED=n SECONDS=n`."""

import sys
import tempfile
from pathlib import Path

from absl import app, flags

from fleet import soak
from fleet.soak import Size

SEED = flags.DEFINE_integer('seed', 1, 'Of faults and callers.')
RUNS = flags.DEFINE_integer('runs', 1, 'Runs; each has the next seed.')
SECONDS = flags.DEFINE_float('seconds', 60, 'The last fault begins before.')
ROUTERS = flags.DEFINE_integer('routers', 4, 'Router processes.')
LOGS = flags.DEFINE_string('logs', '', 'Folder that keeps the logs.')


def main(_argv: list[str]) -> None:
    """Run soaks; exit with 1 when a rule was broken."""
    failed = 0
    for seed in range(SEED.value, SEED.value + RUNS.value):
        with tempfile.TemporaryDirectory() as directory:
            folder = Path(LOGS.value or directory) / f'seed-{seed}'
            folder.mkdir(parents=True)
            broken, told = soak.run_soak(
                folder, seed, SECONDS.value, Size(routers=ROUTERS.value)
            )
        failed += bool(broken)
        sys.stdout.write(f'{told}\n')
        for line in broken:
            sys.stdout.write(f'BROKEN {line}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{RUNS.value} runs, {failed} with broken rules\n')
    sys.exit(failed > 0)


if __name__ == '__main__':
    app.run(main)
