"""Builds the single-file executable `build/bronzeglade`."""

import subprocess  # noqa: S404
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BINARY = ROOT / 'build' / 'bronzeglade'
# VMs have no disks: compiled extensions are unpacked into this in-memory file
# system once per boot. The environment variable SHIV_ROOT overrides the path.
UNPACK_ROOT = '/run/bronzeglade'


def main() -> None:
    """Build the executable with shiv and print its size."""
    BINARY.parent.mkdir(exist_ok=True)
    subprocess.run(  # noqa: S603
        [
            Path(sys.executable).parent / 'shiv',
            '--quiet',
            '--output-file',
            BINARY,
            '--entry-point',
            'bronzeglade.main:main',
            '--python',
            '/usr/bin/env python3',
            '--root',
            UNPACK_ROOT,
            '--no-cache-dir',
            str(ROOT),
        ],
        check=True,
    )
    megabytes = BINARY.stat().st_size / 1_000_000
    sys.stdout.write(f'{BINARY.relative_to(ROOT)}: {megabytes:.1f} MB\n')


if __name__ == '__main__':
    main()
