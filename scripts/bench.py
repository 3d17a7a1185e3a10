"""Runs the benchmark scenarios and writes build/bench.json."""

import dataclasses
import importlib
import json
import sys
import time
from pathlib import Path

from absl import app, flags

from fleet.bench import SCENARIOS, Figure

ROOT = Path(__file__).resolve().parent.parent
ONLY = flags.DEFINE_list('only', [], 'Scenarios to run; all when empty.')
SEEDS = flags.DEFINE_list('seeds', ['1', '2', '3'], 'Seeds of the runs.')


def main(_words: list[str]) -> None:
    """Run the scenarios of every fleet/bench_*.py module."""
    for path in sorted((ROOT / 'fleet').glob('bench_*.py')):
        if not path.stem.endswith('_test'):
            importlib.import_module(f'fleet.{path.stem}')
    seeds = tuple(int(seed) for seed in SEEDS.value)
    figures: list[Figure] = []
    for name, bench in SCENARIOS.items():
        if not ONLY.value or name in ONLY.value:
            started = time.monotonic()
            figures.extend(_shown(bench(seeds)))
            took = time.monotonic() - started
            sys.stdout.write(f'{name}: {took:.1f} s\n')
    target = ROOT / 'build' / 'bench.json'
    target.parent.mkdir(exist_ok=True)
    documents = [{**dataclasses.asdict(one), 'seeds': seeds} for one in figures]
    target.write_text(json.dumps(documents, indent=2))


def _shown(figures: list[Figure]) -> list[Figure]:
    for one in figures:
        baseline = '-' if one.baseline is None else f'{one.baseline:.4g}'
        verdict = 'met' if one.met else 'MISSED'
        sys.stdout.write(
            f'{one.scenario}: {one.metric}: baseline {baseline}, '
            f'ours {one.ours:.4g}, target {one.target:.4g} {one.unit}: '
            f'{verdict}\n'
        )
    sys.stdout.flush()
    return figures


if __name__ == '__main__':
    app.run(main)
