"""Terminates the process when an invariant is violated."""

import json
import os
import sys
import traceback

from bronzeglade import outcome
from bronzeglade.outcome import BrokenInvariantError

EXIT_BROKEN_INVARIANT = 70  # EX_SOFTWARE of sysexits.h


def install() -> None:
    """Terminate this process at the next violated invariant."""
    if terminate not in outcome.INVARIANT_HANDLERS:
        outcome.INVARIANT_HANDLERS.append(terminate)


def terminate(error: BrokenInvariantError) -> None:
    """Log the violation and terminate the process immediately.

    Raising an exception would not be safe: a caller could catch it, and a
    `finally` block could act on state that is known to be wrong.

    Args:
      error: the invariant and the observed values.
    """
    record = {
        'message_type': 'invariant:broken',
        'invariant': error.invariant,
        'detail': error.detail,
        'stack': traceback.format_stack(limit=12),
    }
    sys.stderr.write(json.dumps(record) + '\n')
    sys.stderr.flush()
    os._exit(EXIT_BROKEN_INVARIANT)
