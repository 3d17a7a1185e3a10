"""Clock interface, so that tests can run decision logic on a manual clock."""

import datetime as dt
import time
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> dt.datetime:
        """Return the wall-clock time as an aware datetime in UTC."""

    def monotonic(self) -> dt.timedelta:
        """Return the time since an arbitrary origin; it never decreases."""

    def sleep(self, duration: dt.timedelta) -> None:
        """Suspend the calling green thread.

        Args:
          duration: time to sleep; zero yields to other green threads.
        """


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> dt.datetime:
        """Return the wall-clock time as an aware datetime in UTC."""
        return dt.datetime.now(dt.UTC)

    def monotonic(self) -> dt.timedelta:
        """Return the monotonic time of the operating system."""
        return dt.timedelta(seconds=time.monotonic())

    def sleep(self, duration: dt.timedelta) -> None:
        """Suspend the calling green thread.

        Args:
          duration: time to sleep; zero yields to other green threads.
        """
        time.sleep(duration.total_seconds())


class BootClock(SystemClock):
    """System clock whose monotonic time includes suspension of the machine."""

    def monotonic(self) -> dt.timedelta:
        """Return the time since the machine booted."""
        return dt.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
