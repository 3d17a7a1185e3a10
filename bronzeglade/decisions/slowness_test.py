"""Tests which timings halt a roll-out and which must not."""

import collections
import dataclasses
import datetime as dt
import itertools
import random
from collections.abc import Callable

import pytest

from bronzeglade.decisions import duration_histograms, slowness
from bronzeglade.decisions.duration_histograms import (
    Cell,
    Phase,
    Stratum,
    Timings,
    TimingSource,
)
from bronzeglade.decisions.slowness import Slowness, SlownessSettings

SETTINGS = SlownessSettings()
THRESHOLD = 6.0  # halts a roll-out, as in `forwarding.running_rollout.JUDGE`
SUSPICION = 2.0
ENDPOINTS = 5
DOMAINS = ('a', 'b', 'c')
CONTROL_ANSWERS = 160
CANDIDATE_ANSWERS = 24
SEEDS = range(20)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A simulated answer; `level` is the amount of work."""

    level: int
    endpoint: int
    domain: str
    serial: int


# Factor by which an answer takes longer than usual.
Slowdown = Callable[[Answer], float]


def usual(_answer: Answer) -> float:
    return 1


def timed(
    rng: random.Random,
    count: int,
    slowdown: Slowdown,
    levels: tuple[int, ...] = (0, 1),
    domains: tuple[str, ...] = DOMAINS,
    share: float = 0.1,
    endpoints: int = ENDPOINTS,
) -> Timings:
    """Return simulated times to the response head, by endpoint."""
    found: Timings = collections.Counter()
    for serial in range(count):
        endpoint = rng.randrange(endpoints)
        domain = domains[endpoint % len(domains)]
        answer = Answer(rng.choice(levels), endpoint, domain, serial)
        milliseconds = 40 * 4**answer.level * rng.lognormvariate(0, 0.6)
        duration = dt.timedelta(milliseconds=milliseconds * slowdown(answer))
        found[
            Cell(
                Stratum(Phase.FIRST, 'chat', answer.level, share),
                TimingSource(domain, f'e{endpoint}'),
                duration_histograms.bin_of(duration),
            )
        ] += 1
    return found


def compare(candidate: Timings, control: Timings) -> Slowness:
    """Return the comparison of the times to the response head."""
    results = slowness.compare(SETTINGS, candidate, control, ENDPOINTS)
    return next(result for result in results if result.phase is Phase.FIRST)


def statistics(
    candidate: Slowdown,
    control: Slowdown = usual,
    count: int = CANDIDATE_ANSWERS,
) -> list[float]:
    """Return the statistic for each seed."""
    found: list[float] = []
    for seed in SEEDS:
        rng = random.Random(seed)
        found.append(
            compare(
                timed(rng, count, candidate),
                timed(rng, CONTROL_ANSWERS, control),
            ).statistic
        )
    return found


def test_slow_version_is_found_by_its_first_answers() -> None:
    """A version eight times slower must not be completed."""
    assert min(statistics(lambda _answer: 8)) >= THRESHOLD


def test_version_that_is_slow_half_of_the_time_is_found() -> None:
    """A mean over all answers would hide that every second one is slow."""
    half = statistics(lambda answer: 8 if answer.serial % 2 else 1, count=60)
    assert min(half) >= THRESHOLD


def test_healthy_version_is_not_suspected() -> None:
    """A false positive would halt a good version or keep it from advancing."""
    assert max(statistics(usual)) < SUSPICION
    assert max(statistics(lambda _answer: 1.5)) < THRESHOLD


def test_slow_endpoint_is_not_attributed_to_the_version() -> None:
    """One slow machine must not be attributed to the version."""
    slow = statistics(
        lambda answer: 8 if answer.endpoint == 1 else 1, count=120
    )
    assert max(slow) < SUSPICION


def test_third_of_the_endpoints_may_be_slow_by_themselves() -> None:
    """In a small fleet, all slow machines may run the candidate."""
    for seed in SEEDS:
        rng = random.Random(seed)
        candidate = timed(
            rng,
            160,
            lambda answer: 8 if answer.endpoint in {1, 4} else 1,
            endpoints=6,
        )
        control = timed(rng, CONTROL_ANSWERS, usual)
        results = slowness.compare(SETTINGS, candidate, control, 6)
        assert max(result.statistic for result in results) < SUSPICION


def test_slow_failure_domain_affects_both_versions() -> None:
    """A candidate only in a slow failure domain is not itself slow."""

    def in_slow_domain(answer: Answer) -> float:
        return 8 if answer.domain == 'c' else 1

    for seed in SEEDS:
        rng = random.Random(seed)
        candidate = timed(rng, 60, in_slow_domain, domains=('c',))
        control = timed(rng, CONTROL_ANSWERS, in_slow_domain)
        assert compare(candidate, control).statistic < SUSPICION


def test_load_on_both_versions_is_no_harm() -> None:
    """A burst of load slows the endpoints of both versions alike."""

    def burst(answer: Answer) -> float:
        return 6 if answer.serial % 3 else 1

    assert max(statistics(burst, burst, count=60)) < SUSPICION


def test_cold_start_reads_more_and_is_compared_with_such_work() -> None:
    """With empty caches, the first prompts are read in full and take longer."""
    for seed in SEEDS:
        rng = random.Random(seed)
        candidate = timed(rng, CANDIDATE_ANSWERS, usual, levels=(2,))
        control = timed(rng, CONTROL_ANSWERS, usual, levels=(0, 0, 0, 1, 2))
        assert compare(candidate, control).statistic < SUSPICION


def test_work_that_the_control_never_did_may_take_longer() -> None:
    """The control has all prompts in its caches, the candidate none."""
    for seed in SEEDS:
        rng = random.Random(seed)
        candidate = timed(rng, CANDIDATE_ANSWERS, usual, levels=(2,))
        control = timed(rng, CONTROL_ANSWERS, usual, levels=(0, 1))
        assert compare(candidate, control).statistic < SUSPICION


def test_earlier_load_does_not_hide_slowness() -> None:
    """A load burst before a step makes most control answers slow.

    Control answers from the time of the same share must take precedence.
    """
    rng = random.Random(1)
    burst = timed(rng, CONTROL_ANSWERS * 4, lambda _answer: 8, share=0.05)
    control = burst + timed(rng, CONTROL_ANSWERS, usual)
    candidate = timed(rng, CANDIDATE_ANSWERS, lambda _answer: 8)
    assert compare(candidate, control).statistic >= THRESHOLD


def test_mix_of_requests_does_not_hide_slowness() -> None:
    """A slow candidate that gets only short requests must be found."""
    for seed in SEEDS:
        rng = random.Random(seed)
        candidate = timed(
            rng, CANDIDATE_ANSWERS, lambda _answer: 8, levels=(0,)
        )
        control = timed(rng, CONTROL_ANSWERS * 2, usual, levels=(0, 1, 2))
        assert compare(candidate, control).statistic >= THRESHOLD


@pytest.mark.parametrize(('waited_s', 'found'), [(4, True), (0.01, False)])
def test_unfinished_attempts_count_once_slow(
    waited_s: float, found: bool
) -> None:
    """A version that hangs returns no answers that could reveal it."""
    rng = random.Random(1)
    sources = [
        TimingSource(domain, f'e{domain}', open=True) for domain in DOMAINS
    ]
    index = duration_histograms.bin_of(dt.timedelta(seconds=waited_s))
    stratum = Stratum(Phase.FIRST, 'chat', 0, 0.1)
    candidate: Timings = collections.Counter(
        {Cell(stratum, source, index): 4 for source in sources}
    )
    outcome = compare(candidate, timed(rng, CONTROL_ANSWERS, usual))
    assert (outcome.statistic >= THRESHOLD) is found


def test_control_attempts_in_progress_set_no_limit() -> None:
    """Control attempts in progress must not lower the limit.

    Their short times so far would make all other answers look slow.
    """
    control = timed(random.Random(1), CONTROL_ANSWERS, usual)
    for level, domain in itertools.product((0, 1), DOMAINS):
        stratum = Stratum(Phase.FIRST, 'chat', level, 0.1)
        control[Cell(stratum, TimingSource(domain, '', open=True), 0)] += (
            5 * CONTROL_ANSWERS
        )
    healthy = timed(random.Random(2), CANDIDATE_ANSWERS, usual)
    assert compare(healthy, control).statistic < SUSPICION
    slow = timed(random.Random(2), CANDIDATE_ANSWERS, lambda _answer: 8)
    assert compare(slow, control).statistic >= THRESHOLD


def test_too_few_control_answers_give_no_comparison() -> None:
    """Without comparable control answers, no candidate answer is slow."""
    rng = random.Random(1)
    control = timed(rng, 12, usual, levels=(0, 1, 2, 3))
    candidate = timed(rng, 200, lambda _answer: 8, levels=(0, 1, 2, 3))
    assert compare(candidate, control).candidate.count == 0
