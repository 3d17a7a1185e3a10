"""Runs a fleet with stand-ins in the foreground."""

import signal
import sys
import tempfile
from pathlib import Path

from absl import app, flags

from fleet.deployments import DEPLOYMENTS
from fleet.launch import SHORT_DRAIN_OPTIONS, Fleet, interrupt_on_signals

DEPLOYMENT = flags.DEFINE_enum(
    'deployment', 'brolga', sorted(DEPLOYMENTS), 'Deployment to start.'
)


def main(_arguments: list[str]) -> None:
    """Run the fleet until it is interrupted."""
    interrupt_on_signals()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(
            DEPLOYMENTS[DEPLOYMENT.value], Path(directory), SHORT_DRAIN_OPTIONS
        )
        with fleet:
            entry = fleet.entries()[0]
            sys.stdout.write(
                f'ready base_url=http://{entry.address}/v1 '
                f'api_key={fleet.api_key()} model={fleet.model()}\n'
            )
            sys.stdout.flush()
            _wait_and_stop(fleet)


def _wait_and_stop(fleet: Fleet) -> None:
    try:
        signal.pause()
    except KeyboardInterrupt:
        sys.stdout.write('stopping; interrupt again to stop at once\n')
        sys.stdout.flush()
    try:
        fleet.stop_gracefully()
    except KeyboardInterrupt:
        sys.stdout.write('stopped before all requests ended\n')


if __name__ == '__main__':
    app.run(main)
