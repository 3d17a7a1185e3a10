"""Guards against retry waves and against untrue run states."""

import random

import pytest

from bronzeglade.decisions.retry import (
    Failure,
    RetryBudget,
    RetrySettings,
    failure_of_status,
)
from bronzeglade.outcome import RunState


def test_amplification_stays_under_its_limit() -> None:
    """Retries of a third of all requests multiply an overload."""
    budget = RetryBudget(RetrySettings())
    source = random.Random(1)
    retries = 0
    for _request in range(1000):
        budget.earn()
        failed = source.randrange(10) < 3
        if failed and budget.may_retry(1, Failure.NOT_CONNECTED, True):
            budget.spend()
            retries += 1
    assert 50 < retries <= 100


def test_quiet_time_saves_up_no_wave() -> None:
    """A budget without a cap lets every request retry after an outage."""
    settings = RetrySettings()
    budget = RetryBudget(settings)
    for _request in range(1000):
        budget.earn()
    assert budget.balance <= settings.reserve


@pytest.mark.parametrize(
    ('status', 'state'),
    [
        (429, RunState.NOT_RUN),
        (503, RunState.NOT_RUN),
        (404, RunState.NOT_RUN),
        (400, RunState.NOT_RUN),
        (500, RunState.UNKNOWN),
        (502, RunState.UNKNOWN),
    ],
)
def test_run_state_of_a_reply(status: int, state: RunState) -> None:
    """A refusal that says not run must be true."""
    assert failure_of_status(status).run_state is state


def test_lost_work_is_retried_only_when_repeatable() -> None:
    """Work with side effects must not run twice."""
    budget = RetryBudget(RetrySettings())
    assert budget.may_retry(1, Failure.LOST, True)
    assert not budget.may_retry(1, Failure.LOST, False)
    assert budget.may_retry(1, Failure.REFUSED, False)
    assert not budget.may_retry(1, Failure.REJECTED, True)
