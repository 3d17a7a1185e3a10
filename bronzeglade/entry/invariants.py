"""Stops the process when an invariant does not hold."""

import json
import os
import sys
import traceback

from bronzeglade import outcome
from bronzeglade.outcome import BrokenInvariantError

EXIT_BROKEN_INVARIANT = 70  # EX_SOFTWARE of sysexits.h


def install() -> None:
    """End this process at the next broken invariant."""
    if stop not in outcome.INVARIANT_HANDLERS:
        outcome.INVARIANT_HANDLERS.append(stop)


def stop(error: BrokenInvariantError) -> None:
    """Log the invariant and end the process at once.

    No exception is used: a handler further up could catch it, and a `finally`
    could act on state that is known to be wrong.

    Args:
      error: the invariant and what was seen.
    """
    line = {
        'message_type': 'invariant:broken',
        'invariant': error.invariant,
        'detail': error.detail,
        'stack': traceback.format_stack(limit=12),
    }
    sys.stderr.write(json.dumps(line) + '\n')
    sys.stderr.flush()
    os._exit(EXIT_BROKEN_INVARIANT)
