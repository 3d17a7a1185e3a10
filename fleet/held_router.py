"""Router process that pauses itself (SIGSTOP) just before its planned exit.

Takes the arguments of `bronzeglade.main`. While the process is paused, the
kernel establishes connections that it has not accepted.
"""

import os
import signal
import sys
from typing import Any

from bronzeglade import main
from bronzeglade.entry.heartbeats import Heartbeats

leave = Heartbeats.leave


def leave_and_pause(heartbeats: Heartbeats, exiting: bool = False) -> None:
    """Report the departure, then pause if the process exits."""
    leave(heartbeats, exiting)
    if exiting:
        os.kill(os.getpid(), signal.SIGSTOP)


if __name__ == '__main__':
    heartbeats_class: Any = Heartbeats
    heartbeats_class.leave = leave_and_pause
    sys.exit(main.main())
