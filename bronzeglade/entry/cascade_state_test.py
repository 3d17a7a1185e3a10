"""Run state of a refused cascade after an earlier step."""

import pytest
from result import Err

from bronzeglade.entry.cascade import merge_run_state
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
def test_refusal_accounts_for_the_earlier_step(
    earlier: RunState, later: RunState, expected: RunState
) -> None:
    """`not_run` must not be reported if the first step may have run."""
    later_refusal = Refusal(503, 'no_worker', 'none', later)
    outcome = merge_run_state(earlier, Err(later_refusal))
    assert isinstance(outcome, Err)
    assert outcome.err_value.run_state is expected
