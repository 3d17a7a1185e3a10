"""Guards what a node believes of the work of others."""

import datetime as dt

from hypothesis import given
from hypothesis import strategies as st

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.outstanding import (
    Outstanding,
    OutstandingReports,
    ReportSettings,
    summed,
    without,
)

WORK = st.dictionaries(
    st.sampled_from(('e1', 'e2', 'e3')),
    st.builds(Outstanding, st.integers(1, 9), st.integers(0, 9000)),
)


@given(st.lists(WORK, min_size=1, max_size=5))
def test_a_node_is_told_the_sum_of_all_others(
    parts: list[dict[str, Outstanding]],
) -> None:
    """A node that counted its own requests twice would avoid its endpoints."""
    assert without(summed(parts), parts[0]) == summed(parts[1:])


def test_work_of_a_node_that_is_gone_is_forgotten() -> None:
    """The requests of a killed node must not count for ever."""
    clock = ManualClock()
    known = OutstandingReports(ReportSettings(), clock)
    known.report('killed', {'e1': Outstanding(9, 9000)})
    clock.advance(dt.timedelta(seconds=1))
    known.report('alive', {'e1': Outstanding(1, 10)})
    clock.advance(dt.timedelta(seconds=1))
    assert known.total() == {'e1': Outstanding(1, 10)}
    clock.advance(dt.timedelta(seconds=1))
    assert known.total() is None
