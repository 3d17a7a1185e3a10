"""Loops that last as long as the process."""

from collections.abc import Callable

import eventlet
from eliot import write_traceback


def spawn_loop(action: Callable[[], None]) -> None:
    """Repeat an action for ever in a green thread.

    An error is logged and the loop goes on: a loop that ended unnoticed
    would leave the node out of date. The action does the waiting.

    Args:
      action: one turn of the loop.
    """

    def loop() -> None:
        while True:
            try:
                action()
            except Exception:
                write_traceback()
                # An action that fails before it waits must not spin.
                eventlet.sleep(1)

    eventlet.spawn(loop)
