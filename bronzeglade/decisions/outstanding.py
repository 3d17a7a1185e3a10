"""Work that the requests of other nodes put on the endpoints."""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class Outstanding:
    """Requests on an endpoint, and prompt tokens that it has yet to read."""

    requests: int = 0
    unread_tokens: int = 0


ByEndpoint = Mapping[str, Outstanding]
NOTHING = Outstanding()


@dataclasses.dataclass(frozen=True, slots=True)
class ReportSettings:
    """A report counts for `memory`, then nothing is known of its source."""

    memory: dt.timedelta = dt.timedelta(milliseconds=1500)


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    work: ByEndpoint
    at: dt.timedelta


class OutstandingReports:
    """The last report of each source: a node or a group of nodes."""

    def __init__(self, settings: ReportSettings, clock: Clock) -> None:
        """Know no source.

        Args:
          settings: how long to believe a report.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.reports: dict[str, _Report] = {}

    def report(self, source: str, work: ByEndpoint) -> None:
        """Take a report.

        Args:
          source: who reports.
          work: on all endpoints; those left out have nothing of the source.
        """
        self.reports[source] = _Report(work, self.clock.monotonic())

    def current(self) -> dict[str, ByEndpoint]:
        """Return the reports that still count, by source."""
        oldest = self.clock.monotonic() - self.settings.memory
        return {
            source: report.work
            for source, report in self.reports.items()
            if report.at >= oldest
        }

    def total(self) -> dict[str, Outstanding] | None:
        """Return the sum of the reports that count; None when none does."""
        current = self.current()
        return summed(current.values()) if current else None


def summed(parts: Iterable[ByEndpoint]) -> dict[str, Outstanding]:
    """Return the sum of several reports by endpoint."""
    total: dict[str, Outstanding] = {}
    for work in parts:
        for name, one in work.items():
            known = total.get(name, NOTHING)
            total[name] = Outstanding(
                known.requests + one.requests,
                known.unread_tokens + one.unread_tokens,
            )
    return total


def without(total: ByEndpoint, part: ByEndpoint) -> dict[str, Outstanding]:
    """Return a sum less one of its parts; endpoints without work are left out.

    Args:
      total: the sum.
      part: what it contains.
    """
    rest = dict(total)
    for name, one in part.items():
        left = Outstanding(
            total[name].requests - one.requests,
            total[name].unread_tokens - one.unread_tokens,
        )
        if left == NOTHING:
            del rest[name]
        else:
            rest[name] = left
    return rest
