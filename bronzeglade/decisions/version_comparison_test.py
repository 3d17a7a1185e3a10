"""Tests the sequential test and the version assignment of roll-outs."""

import datetime as dt
import random

from hypothesis import given, strategies

from bronzeglade import builders
from bronzeglade.decisions import evidence as evidences
from bronzeglade.decisions.evidence import Evidence, Moments, Observation
from bronzeglade.decisions.version_comparison import (
    Judge,
    JudgeSettings,
    Measure,
    StepRecord,
    assign,
    may_advance,
    position,
)

ROLLOUT = builders.rollout()


def sample(
    rng: random.Random,
    count: int,
    errors: float,
    slowness: float,
    mean: float,
) -> Evidence:
    """Return evidence for `count` requests, all of them rated."""
    counted = Evidence()
    for _ in range(count):
        observation = Observation(
            rng.random() < errors,
            slowness * rng.lognormvariate(-0.7, 0.4),
            min(1, max(0, rng.gauss(mean, 0.15))),
        )
        counted = evidences.count(counted, observation)
    return counted


def rounds_until_bad(
    judge: Judge, rounds: int, errors: float, slowness: float, mean: float
) -> int:
    """Feed rounds of 10 candidate and 90 control requests.

    Returns:
      Index of the first round with a bad verdict; `rounds` without one.
    """
    rng = random.Random(7)
    for number in range(rounds):
        judge.feed(
            sample(rng, 10, errors, slowness, mean),
            sample(rng, 90, 0.01, 1, 0.85),
        )
        if judge.verdict().bad:
            return number
    return rounds


def new_judge() -> Judge:
    return Judge(JudgeSettings(), ROLLOUT.limits)


def test_equal_versions_are_not_halted() -> None:
    """A false positive would halt the roll-out of a good version."""
    assert rounds_until_bad(new_judge(), 300, 0.01, 1, 0.85) == 300


def test_each_measure_finds_a_bad_version() -> None:
    """Harm that no measure detects lasts until an operator notices it."""
    judge = new_judge()
    assert rounds_until_bad(judge, 50, 0.3, 1, 0.85) < 5
    assert judge.verdict().measure is Measure.ERRORS
    judge = new_judge()
    assert rounds_until_bad(judge, 50, 0.01, 2.5, 0.85) < 5
    assert judge.verdict().measure is Measure.LATENCY
    judge = new_judge()
    assert rounds_until_bad(judge, 50, 0.01, 1, 0.65) < 10
    assert judge.verdict().measure is Measure.RATING


def test_version_that_turns_bad_late_is_found_as_soon() -> None:
    """A long period without faults must not hide a new fault."""
    judge = new_judge()
    assert rounds_until_bad(judge, 200, 0.01, 1, 0.85) == 200
    assert rounds_until_bad(judge, 50, 0.3, 1, 0.85) < 5


def test_fault_of_both_versions_does_not_halt_the_candidate() -> None:
    """An overload that affects both versions must not halt the candidate."""
    judge = new_judge()
    rng = random.Random(7)
    for error_rate in (0.01, 0.3, 0.01):
        for _ in range(20):
            judge.feed(
                sample(rng, 10, error_rate, 1 + error_rate * 5, 0.85),
                sample(rng, 90, error_rate, 1 + error_rate * 5, 0.85),
            )
            assert not judge.verdict().bad


@given(strategies.text(), strategies.floats(0, 1), strategies.floats(0, 1))
def test_rising_share_keeps_the_candidate(
    unit: str, first: float, second: float
) -> None:
    """A unit must not return to the control version when the share rises."""
    low, high = sorted((first, second))
    if assign(unit, ROLLOUT, low) == ROLLOUT.to_version:
        assert assign(unit, ROLLOUT, high) == ROLLOUT.to_version
    assert assign(unit, ROLLOUT, 0) == ROLLOUT.from_version


def test_share_is_met() -> None:
    """A non-uniform hash would give the candidate more than its share."""
    units = [str(number) for number in range(10_000)]
    share = float(ROLLOUT.steps[0].share)
    below = [unit for unit in units if position('r', unit) < share]
    assert 900 < len(below) < 1100


def test_step_needs_requests_time_and_no_suspicion() -> None:
    """A step on too little evidence exposes more callers to a bad version."""
    enough = dt.timedelta(seconds=5)
    assert may_advance(ROLLOUT, 0, StepRecord(10, enough, suspect=False))
    assert not may_advance(ROLLOUT, 0, StepRecord(9, enough, suspect=False))
    assert not may_advance(ROLLOUT, 0, StepRecord(10, enough, suspect=True))
    assert not may_advance(
        ROLLOUT, 0, StepRecord(10, enough / 2, suspect=False)
    )


def test_counters_are_unchanged_by_encoding() -> None:
    """Counters that change in transit would change the verdict."""
    counted = Evidence(
        Moments(3, 1, 1), Moments(2, 0.5, 0.25), Moments(1, 1, 1)
    )
    assert evidences.decode(evidences.encode(counted)) == counted
