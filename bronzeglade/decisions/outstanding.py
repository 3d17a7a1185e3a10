"""Outstanding work of other nodes at the endpoints."""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class Outstanding:
    """Requests at an endpoint, and prompt tokens that it has yet to read."""

    requests: int = 0
    unread_tokens: int = 0


WorkByEndpoint = Mapping[str, Outstanding]
NO_WORK = Outstanding()


@dataclasses.dataclass(frozen=True, slots=True)
class OutstandingReportSettings:
    """A report expires after `max_age`."""

    max_age: dt.timedelta = dt.timedelta(milliseconds=1500)


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    work: WorkByEndpoint
    received_at: dt.timedelta


class OutstandingReports:
    """The last report of each source, which is a node or a group of nodes."""

    def __init__(
        self, settings: OutstandingReportSettings, clock: Clock
    ) -> None:
        """Create an empty set of reports.

        Args:
          settings: lifetime of a report.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.reports: dict[str, _Report] = {}

    def report(self, source: str, work: WorkByEndpoint) -> None:
        """Replace the report of a source.

        Args:
          source: name of the node or group.
          work: its work at all endpoints; endpoints without work are omitted.
        """
        self.reports[source] = _Report(work, self.clock.monotonic())

    def current(self) -> dict[str, WorkByEndpoint]:
        """Return the reports that have not expired, by source."""
        oldest = self.clock.monotonic() - self.settings.max_age
        return {
            source: report.work
            for source, report in self.reports.items()
            if report.received_at >= oldest
        }

    def total(self) -> dict[str, Outstanding] | None:
        """Return the sum of the current reports, or None without any."""
        current = self.current()
        return sum_work(current.values()) if current else None


def sum_work(reports: Iterable[WorkByEndpoint]) -> dict[str, Outstanding]:
    """Return the sum of several reports, by endpoint."""
    total: dict[str, Outstanding] = {}
    for work in reports:
        for name, outstanding in work.items():
            known = total.get(name, NO_WORK)
            total[name] = Outstanding(
                known.requests + outstanding.requests,
                known.unread_tokens + outstanding.unread_tokens,
            )
    return total


def subtract_work(
    total: WorkByEndpoint, report: WorkByEndpoint
) -> dict[str, Outstanding]:
    """Subtract one report from a sum; endpoints without work are omitted.

    Args:
      total: the sum.
      report: a report that the sum includes.
    """
    remaining_work = dict(total)
    for name, outstanding in report.items():
        remaining = Outstanding(
            total[name].requests - outstanding.requests,
            total[name].unread_tokens - outstanding.unread_tokens,
        )
        if remaining == NO_WORK:
            del remaining_work[name]
        else:
            remaining_work[name] = remaining
    return remaining_work
