"""Runs green threads in virtual time, for simulations in tests.

Time passes only while all green threads wait, so that minutes take milliseconds
and each run has the same order of events.
"""

import datetime as dt
import threading
from collections.abc import Callable
from typing import TypeVar

from eventlet import hubs

from bronzeglade.clock import SystemClock

Returned = TypeVar('Returned')
_SECOND = dt.timedelta(seconds=1)


class VirtualClock(SystemClock):
    """The time of a hub whose waits end at once."""

    def __init__(self) -> None:
        """Replace the time of the hub of this thread."""
        self.elapsed_s: float = 0
        hub = hubs.get_hub()
        hub.clock = lambda: self.elapsed_s
        hub.wait = self.wait

    def monotonic(self) -> dt.timedelta:
        """Return the time since the clock was created."""
        return self.elapsed_s * _SECOND

    def wait(self, seconds: float) -> None:
        """Let time pass until the next timer is due."""
        self.elapsed_s += max(0, seconds)


def run(simulation: Callable[[VirtualClock], Returned]) -> Returned:
    """Run a simulation in a thread of its own, which has its own hub.

    Args:
      simulation: gets the clock; green threads that it leaves end with it.
    """
    returned: list[Returned] = []
    raised: list[BaseException] = []

    def run_simulation() -> None:
        try:
            returned.append(simulation(VirtualClock()))
        except BaseException as error:
            raised.append(error)

    thread = threading.Thread(target=run_simulation)
    thread.start()
    thread.join()
    if raised:
        raise raised[0]
    return returned[0]
