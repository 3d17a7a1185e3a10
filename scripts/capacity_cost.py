"""Prints the CPU cost of a node's periodic reads by size, as JSON."""

import json
import sys
import time
from collections.abc import Callable

from absl import app

from bronzeglade import catalog as catalogs
from bronzeglade.adapters import vms
from bronzeglade.catalog import Configuration
from fleet.deployments import BROLGA, manifest

SIZES = ((8, 8), (80, 230), (330, 920))  # nodes and workers
TEAM_COUNTS = (10, 100, 1000)
REPEATS = 5


def main(_arguments: list[str]) -> None:
    """Measure the VM list by number of VMs and the manifest by teams."""
    report = {
        'vm_list': [
            _measure_vm_list(nodes, workers) for nodes, workers in SIZES
        ],
        'manifest': [_measure_manifest(teams) for teams in TEAM_COUNTS],
    }
    sys.stdout.write(json.dumps(report, indent=2) + '\n')


def _measure_vm_list(nodes: int, workers: int) -> dict[str, float]:
    entries = [
        {
            'name': f'vm-{index:04}',
            'group': 'entry' if index < nodes else 'guide-llm-large',
            'address': f'10.0.{index // 250}.{index % 250}:8000',
            'failure_domain': 'qld-a',
            'state': 'live',
            'control_address': f'10.0.{index // 250}.{index % 250}:8001',
        }
        for index in range(nodes + workers)
    ]
    body = json.dumps({'vms': entries}).encode()
    return {
        'vms': nodes + workers,
        'bytes': len(body),
        'decode_ms': _median_cpu_ms(lambda: vms.decode(body)),
    }


def _measure_manifest(teams: int) -> dict[str, float]:
    document = manifest(BROLGA)
    first = document['teams'][0]
    document['teams'] = [
        {**first, 'name': f'team-{index}', 'key_hashes': [f'{index:064x}']}
        for index in range(teams)
    ]
    body = json.dumps(document).encode()
    configuration = Configuration(1, 'digest', body)
    catalog, errors = catalogs.build(configuration)
    if catalog is None:
        raise ValueError(errors)
    return {
        'teams': teams,
        'bytes': len(body),
        'build_ms': _median_cpu_ms(lambda: catalogs.build(configuration)),
        'key_lookup_ms': _median_cpu_ms(
            lambda: catalogs.team_of_key(catalog, 'some key')
        ),
    }


def _median_cpu_ms(action: Callable[[], object]) -> float:
    durations_ms: list[float] = []
    for _repeat in range(REPEATS):
        started = time.process_time()
        action()
        durations_ms.append((time.process_time() - started) * 1000)
    return round(sorted(durations_ms)[REPEATS // 2], 3)


if __name__ == '__main__':
    app.run(main)
