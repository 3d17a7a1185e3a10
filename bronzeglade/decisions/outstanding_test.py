"""Tests of the outstanding work that other nodes report."""

import datetime as dt

from hypothesis import given
from hypothesis import strategies as st

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.outstanding import (
    Outstanding,
    OutstandingReports,
    OutstandingReportSettings,
    subtract_work,
    sum_work,
)

WORK = st.dictionaries(
    st.sampled_from(('e1', 'e2', 'e3')),
    st.builds(Outstanding, st.integers(1, 9), st.integers(0, 9000)),
)


@given(st.lists(WORK, min_size=1, max_size=5))
def test_subtracting_a_node_leaves_the_sum_of_all_others(
    reports: list[dict[str, Outstanding]],
) -> None:
    """A node that counts its own requests twice avoids its endpoints."""
    assert subtract_work(sum_work(reports), reports[0]) == sum_work(reports[1:])


def test_work_of_a_stopped_node_expires() -> None:
    """The requests of a node that was killed must expire."""
    clock = ManualClock()
    reports = OutstandingReports(OutstandingReportSettings(), clock)
    reports.report('killed', {'e1': Outstanding(9, 9000)})
    clock.advance(dt.timedelta(seconds=1))
    reports.report('alive', {'e1': Outstanding(1, 10)})
    clock.advance(dt.timedelta(seconds=1))
    assert reports.total() == {'e1': Outstanding(1, 10)}
    clock.advance(dt.timedelta(seconds=1))
    assert reports.total() is None
