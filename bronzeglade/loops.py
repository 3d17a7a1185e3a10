"""Background loops that run as long as the process."""

from collections.abc import Callable

import eventlet
from eliot import write_traceback


def spawn_loop(action: Callable[[], None]) -> None:
    """Repeat an action in a green thread until the process ends.

    An exception is logged and the loop continues: if it ended unnoticed, the
    state of the node would become stale.

    Args:
      action: one iteration of the loop; it waits by itself.
    """

    def loop() -> None:
        while True:
            try:
                action()
            except Exception:
                write_traceback()
                # Avoids a busy loop if the action fails before it waits.
                eventlet.sleep(1)

    eventlet.spawn(loop)
