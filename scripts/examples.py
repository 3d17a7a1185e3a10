"""Generates the manifests in `examples/` from `fleet/deployments.py`."""

import json
from pathlib import Path

from fleet.deployments import DEPLOYMENTS, manifest

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'


def main() -> None:
    """Write one JSON manifest per deployment."""
    for name, deployment in DEPLOYMENTS.items():
        text = json.dumps(manifest(deployment), indent=2)
        (EXAMPLES / f'{name}.json').write_text(f'{text}\n')


if __name__ == '__main__':
    main()
