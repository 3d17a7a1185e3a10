"""Time as an interface, so that decision logic runs under any clock."""

import datetime as dt
import time
from typing import Protocol


class Clock(Protocol):
    """Source of wall time and of monotonic time."""

    def now(self) -> dt.datetime:
        """Return the wall time, aware, in UTC."""

    def monotonic(self) -> dt.timedelta:
        """Return the time since an arbitrary origin; it never goes back."""

    def sleep(self, duration: dt.timedelta) -> None:
        """Suspend the calling green thread.

        Args:
          duration: how long; zero yields to other green threads.
        """


class SystemClock:
    """The clock of the machine."""

    def now(self) -> dt.datetime:
        """Return the wall time, aware, in UTC."""
        return dt.datetime.now(dt.UTC)

    def monotonic(self) -> dt.timedelta:
        """Return the machine's monotonic time."""
        return dt.timedelta(seconds=time.monotonic())

    def sleep(self, duration: dt.timedelta) -> None:
        """Suspend the calling green thread.

        Args:
          duration: how long; zero yields to other green threads.
        """
        time.sleep(duration.total_seconds())


class BootClock(SystemClock):
    """A clock that also counts the time in which the machine is suspended."""

    def monotonic(self) -> dt.timedelta:
        """Return the time since the machine was started."""
        return dt.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
