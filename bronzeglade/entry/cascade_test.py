"""Guards what a refusal says after an escalation."""

from result import Err, Ok, Result

from bronzeglade.entry.cascade import CUT, after
from bronzeglade.entry.dispatch import Started
from bronzeglade.outcome import Refusal, RunState


def state_after(earlier: RunState, later: RunState) -> RunState:
    """Return the run state of a refusal after two runs."""
    first = Refusal(503, 'no_worker', '', earlier)
    second: Result[Started, Refusal] = Err(Refusal(503, 'busy', '', later))
    outcome = after(first, second)
    assert not isinstance(outcome, Ok)
    return outcome.err_value.run_state


def test_refused_escalation_does_not_hide_the_first_run() -> None:
    """A refusal that says `not run` must be true of both runs."""
    assert CUT.run_state is RunState.RAN
    for earlier in RunState:
        assert state_after(earlier, RunState.NOT_RUN) is earlier
        assert state_after(earlier, RunState.RAN) is RunState.RAN
    assert state_after(RunState.NOT_RUN, RunState.UNKNOWN) is RunState.UNKNOWN
