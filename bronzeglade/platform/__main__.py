"""Entry point: `python3 -m bronzeglade.platform`."""

import sys

from bronzeglade import green

green.patch()

from bronzeglade.platform import program  # noqa: E402

sys.exit(program.main())
