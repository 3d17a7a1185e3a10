"""Prints costs of a node's periodic reads at the planned size, as JSON."""

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


def main(_words: list[str]) -> None:
    """Measure the VM list by VMs and the manifest by teams."""
    report = {
        'vm_list': [_vm_list(nodes, workers) for nodes, workers in SIZES],
        'manifest': [_manifest(teams) for teams in TEAM_COUNTS],
    }
    sys.stdout.write(json.dumps(report, indent=2) + '\n')


def _vm_list(nodes: int, workers: int) -> dict[str, float]:
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
        'decode_ms': _milliseconds(lambda: vms.decode(body)),
    }


def _manifest(teams: int) -> dict[str, float]:
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
        'build_ms': _milliseconds(lambda: catalogs.build(configuration)),
        'key_lookup_ms': _milliseconds(
            lambda: catalogs.team_of_key(catalog, 'some key')
        ),
    }


def _milliseconds(action: Callable[[], object]) -> float:
    taken: list[float] = []
    for _repeat in range(REPEATS):
        begin = time.process_time()
        action()
        taken.append((time.process_time() - begin) * 1000)
    return round(sorted(taken)[REPEATS // 2], 3)


if __name__ == '__main__':
    app.run(main)
