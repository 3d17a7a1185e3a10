#!/usr/bin/env bash
# The stand-ins of the cases need the standard library only: there is nothing to
# build, so this checks that each of them compiles. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py ./*/case.py <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, 'exec')
if not pathlib.Path('../target/deps').is_dir():
    sys.exit('run the build of deploy/system.toml first')
PYTHON
