"""Guards the run state of a cascade of which one step has run."""

import pytest
from result import Err

from bronzeglade.entry.cascade import refused_after
from bronzeglade.outcome import Refusal, RunState


@pytest.mark.parametrize(
    ('earlier', 'later', 'expected'),
    [
        (RunState.NOT_RUN, RunState.NOT_RUN, RunState.NOT_RUN),
        (RunState.UNKNOWN, RunState.NOT_RUN, RunState.UNKNOWN),
        (RunState.RAN, RunState.NOT_RUN, RunState.RAN),
        (RunState.RAN, RunState.UNKNOWN, RunState.RAN),
        (RunState.UNKNOWN, RunState.RAN, RunState.RAN),
    ],
)
def test_refusal_counts_the_earlier_step(
    earlier: RunState, later: RunState, expected: RunState
) -> None:
    """`not_run` after the cheap model ran would be untrue."""
    later_refusal = Refusal(503, 'no_worker', 'none', later)
    outcome = refused_after(earlier, Err(later_refusal))
    assert isinstance(outcome, Err)
    assert outcome.err_value.run_state is expected
