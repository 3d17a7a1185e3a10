"""Runs the benchmark scenarios and writes `build/bench.json`."""

import dataclasses
import importlib
import json
import sys
import time
from pathlib import Path

from absl import app, flags

from fleet.bench import SCENARIOS, Figure

ROOT = Path(__file__).resolve().parent.parent
ONLY = flags.DEFINE_list('only', [], 'Scenarios to run; empty means all.')
SEEDS = flags.DEFINE_list('seeds', ['1', '2', '3'], 'Seeds of the runs.')


def main(_arguments: list[str]) -> None:
    """Run the scenarios of all `fleet/bench_*.py` modules."""
    for path in sorted((ROOT / 'fleet').glob('bench_*.py')):
        if not path.stem.endswith('_test'):
            importlib.import_module(f'fleet.{path.stem}')
    seeds = tuple(int(seed) for seed in SEEDS.value)
    figures: list[Figure] = []
    for name, bench in SCENARIOS.items():
        if not ONLY.value or name in ONLY.value:
            started = time.monotonic()
            figures.extend(_print_figures(bench(seeds)))
            duration_s = time.monotonic() - started
            sys.stdout.write(f'{name}: {duration_s:.1f} s\n')
    target = ROOT / 'build' / 'bench.json'
    target.parent.mkdir(exist_ok=True)
    documents = [
        {**dataclasses.asdict(figure), 'seeds': seeds} for figure in figures
    ]
    target.write_text(json.dumps(documents, indent=2))


def _print_figures(figures: list[Figure]) -> list[Figure]:
    for figure in figures:
        baseline = '-' if figure.baseline is None else f'{figure.baseline:.4g}'
        verdict = 'met' if figure.met else 'MISSED'
        sys.stdout.write(
            f'{figure.scenario}: {figure.metric}: baseline {baseline}, '
            f'ours {figure.ours:.4g}, target {figure.target:.4g} '
            f'{figure.unit}: {verdict}\n'
        )
    sys.stdout.flush()
    return figures


if __name__ == '__main__':
    app.run(main)
