"""Tests of retry budgets and of the run states of failed attempts."""

import datetime as dt
import random

import pytest

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.retry import (
    Failure,
    RetryBudget,
    RetrySettings,
    WindowBudget,
    WindowSettings,
    failure_of_status,
)
from bronzeglade.outcome import RunState


def test_amplification_stays_under_its_limit() -> None:
    """Retrying every failed request would amplify an overload."""
    budget = RetryBudget(RetrySettings())
    rng = random.Random(1)
    retries = 0
    for _request in range(1000):
        budget.earn()
        failed = rng.randrange(10) < 3
        if failed and budget.may_retry(1, Failure.NOT_CONNECTED, True):
            budget.spend()
            retries += 1
    assert 50 < retries <= 100


def test_idle_time_saves_up_no_burst() -> None:
    """Without a cap, every request could be retried after an idle time."""
    settings = RetrySettings()
    budget = RetryBudget(settings)
    for _request in range(1000):
        budget.earn()
    assert budget.balance <= settings.max_balance


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
    """A request reported as not run must not have run."""
    assert failure_of_status(status).run_state is state


def test_lost_work_is_retried_only_when_repeatable() -> None:
    """Work that is not idempotent must not run twice."""
    budget = RetryBudget(RetrySettings())
    assert budget.may_retry(1, Failure.LOST, True)
    assert not budget.may_retry(1, Failure.LOST, False)
    assert budget.may_retry(1, Failure.REFUSED, False)
    assert not budget.may_retry(1, Failure.REJECTED, True)


def window_budget(clock: ManualClock) -> WindowBudget:
    """Return a budget of 0.5 attempts per request plus 2 in 10 s."""
    settings = WindowSettings(0.5, 2, dt.timedelta(seconds=10))
    return WindowBudget(settings, clock)


def test_unused_attempts_of_the_window_serve_a_burst() -> None:
    """All streams of a failed endpoint must be resumed without delay."""
    clock = ManualClock()
    budget = window_budget(clock)
    for _ in range(40):
        budget.earn()
        clock.advance(dt.timedelta(milliseconds=200))
    resumed = 0
    while budget.allows():
        budget.spend()
        resumed += 1
    assert resumed == 22


def test_no_window_exceeds_its_bound_on_attempts() -> None:
    """Attempts above the bound would overload failing endpoints further."""
    clock = ManualClock()
    budget = window_budget(clock)
    spent: list[dt.timedelta] = []
    for number in range(400):
        if number % 3 == 0:
            budget.earn()
        if budget.allows():
            budget.spend()
            spent.append(clock.monotonic())
        clock.advance(dt.timedelta(milliseconds=100))
    for end in spent:
        start = end - dt.timedelta(seconds=10)
        count = sum(start < at <= end for at in spent)
        assert count <= 0.5 * 34 + 2


def test_improving_attempts_leave_budget_for_lost_attempts() -> None:
    """Attempts with a larger model must not use up the retries of lost ones."""
    budget = window_budget(ManualClock())
    for _ in range(40):
        budget.earn()
    while budget.allows(improving=True):
        budget.spend()
    assert budget.allows()
