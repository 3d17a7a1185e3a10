"""Guards what halts a version for its times, and what must not."""

import collections
import dataclasses
import datetime as dt
import itertools
import random
from collections.abc import Callable

import pytest

from bronzeglade.decisions import slowness, timings
from bronzeglade.decisions.slowness import Slowness, SlownessSettings
from bronzeglade.decisions.timings import Cell, Part, Place, Stratum, Timings

SETTINGS = SlownessSettings()
THRESHOLD = 6.0  # of a halt, as `forwarding.watch.JUDGE` has it
SUSPICION = 2.0
ENDPOINTS = 5
DOMAINS = ('a', 'b', 'c')
CONTROL = 160
CANDIDATE = 24
SEEDS = range(20)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer of a test; `level` is the work that it takes."""

    level: int
    endpoint: int
    domain: str
    serial: int


# How many times as long as usual an answer takes.
Slowdown = Callable[[Answer], float]


def usual(_answer: Answer) -> float:
    return 1


def timed(
    source: random.Random,
    count: int,
    slowdown: Slowdown,
    levels: tuple[int, ...] = (0, 1),
    domains: tuple[str, ...] = DOMAINS,
    share: float = 0.1,
    endpoints: int = ENDPOINTS,
) -> Timings:
    """Return the times until the head of answers, by endpoint."""
    found: Timings = collections.Counter()
    for serial in range(count):
        endpoint = source.randrange(endpoints)
        domain = domains[endpoint % len(domains)]
        answer = Answer(source.choice(levels), endpoint, domain, serial)
        milliseconds = 40 * 4**answer.level * source.lognormvariate(0, 0.6)
        duration = dt.timedelta(milliseconds=milliseconds * slowdown(answer))
        found[
            Cell(
                Stratum(Part.FIRST, 'chat', answer.level, share),
                Place(domain, f'e{endpoint}'),
                timings.bin_of(duration),
            )
        ] += 1
    return found


def compare(candidate: Timings, control: Timings) -> Slowness:
    """Return what the times until the head of an answer tell."""
    found = slowness.compare(SETTINGS, candidate, control, ENDPOINTS)
    return next(one for one in found if one.part is Part.FIRST)


def statistics(
    candidate: Slowdown, control: Slowdown = usual, count: int = CANDIDATE
) -> list[float]:
    """Return the statistic of many seeds."""
    found: list[float] = []
    for seed in SEEDS:
        source = random.Random(seed)
        found.append(
            compare(
                timed(source, count, candidate),
                timed(source, CONTROL, control),
            ).statistic
        )
    return found


def test_slow_version_is_found_by_its_first_answers() -> None:
    """A version that answers eight times slower was completed and kept."""
    assert min(statistics(lambda _answer: 8)) >= THRESHOLD


def test_version_that_is_slow_half_of_the_time_is_found() -> None:
    """A mean over all answers hides that every other one is slow."""
    half = statistics(lambda one: 8 if one.serial % 2 else 1, count=60)
    assert min(half) >= THRESHOLD


def test_sound_version_is_not_suspected() -> None:
    """A false halt stops a good version; suspicion keeps it from advancing."""
    assert max(statistics(usual)) < SUSPICION
    assert max(statistics(lambda _answer: 1.5)) < THRESHOLD


def test_slow_endpoint_is_not_the_version() -> None:
    """A machine that is slow makes all answers slow, but only its own."""
    slow = statistics(lambda one: 8 if one.endpoint == 1 else 1, count=120)
    assert max(slow) < SUSPICION


def test_third_of_the_endpoints_may_be_slow_by_themselves() -> None:
    """Of few endpoints, several slow ones may all have the new version."""
    for seed in SEEDS:
        source = random.Random(seed)
        candidate = timed(
            source,
            160,
            lambda one: 8 if one.endpoint in {1, 4} else 1,
            endpoints=6,
        )
        control = timed(source, CONTROL, usual)
        found = slowness.compare(SETTINGS, candidate, control, 6)
        assert max(one.statistic for one in found) < SUSPICION


def test_slow_failure_domain_hits_both_versions() -> None:
    """The new version runs only where everything is slow."""

    def in_slow_domain(one: Answer) -> float:
        return 8 if one.domain == 'c' else 1

    for seed in SEEDS:
        source = random.Random(seed)
        candidate = timed(source, 60, in_slow_domain, domains=('c',))
        control = timed(source, CONTROL, in_slow_domain)
        assert compare(candidate, control).statistic < SUSPICION


def test_load_that_hits_both_versions_is_no_harm() -> None:
    """A burst makes the endpoints of both versions slow."""

    def burst(one: Answer) -> float:
        return 6 if one.serial % 3 else 1

    assert max(statistics(burst, burst, count=60)) < SUSPICION


def test_cold_start_reads_more_and_is_compared_with_such_work() -> None:
    """Empty caches: the first prompts are read whole, which takes longer."""
    for seed in SEEDS:
        source = random.Random(seed)
        candidate = timed(source, CANDIDATE, usual, levels=(2,))
        control = timed(source, CONTROL, usual, levels=(0, 0, 0, 1, 2))
        assert compare(candidate, control).statistic < SUSPICION


def test_work_that_the_old_version_never_did_may_take_longer() -> None:
    """All prompts are cached at the old version, none at the new one."""
    for seed in SEEDS:
        source = random.Random(seed)
        candidate = timed(source, CANDIDATE, usual, levels=(2,))
        control = timed(source, CONTROL, usual, levels=(0, 1))
        assert compare(candidate, control).statistic < SUSPICION


def test_earlier_load_does_not_hide_slowness() -> None:
    """A burst before a step makes the old version's answers slow on the whole.

    Answers of the same time tell more.
    """
    source = random.Random(1)
    burst = timed(source, CONTROL * 4, lambda _one: 8, share=0.05)
    control = burst + timed(source, CONTROL, usual)
    candidate = timed(source, CANDIDATE, lambda _one: 8)
    assert compare(candidate, control).statistic >= THRESHOLD


def test_mix_of_requests_does_not_hide_slowness() -> None:
    """The new version gets short requests only and is still slow at them."""
    for seed in SEEDS:
        source = random.Random(seed)
        candidate = timed(source, CANDIDATE, lambda _one: 8, levels=(0,))
        control = timed(source, CONTROL * 2, usual, levels=(0, 1, 2))
        assert compare(candidate, control).statistic >= THRESHOLD


@pytest.mark.parametrize(('waited_s', 'found'), [(4, True), (0.01, False)])
def test_answers_that_are_not_there_yet_count(
    waited_s: float, found: bool
) -> None:
    """A hanging version gives no answers that could tell that it hangs."""
    source = random.Random(1)
    place = [Place(domain, f'e{domain}', open=True) for domain in DOMAINS]
    index = timings.bin_of(dt.timedelta(seconds=waited_s))
    stratum = Stratum(Part.FIRST, 'chat', 0, 0.1)
    candidate: Timings = collections.Counter(
        {Cell(stratum, one, index): 4 for one in place}
    )
    outcome = compare(candidate, timed(source, CONTROL, usual))
    assert (outcome.statistic >= THRESHOLD) is found


def test_waiting_requests_of_the_old_version_set_no_limit() -> None:
    """Requests that have just begun would make all others look alike: slow."""
    control = timed(random.Random(1), CONTROL, usual)
    for level, domain in itertools.product((0, 1), DOMAINS):
        stratum = Stratum(Part.FIRST, 'chat', level, 0.1)
        control[Cell(stratum, Place(domain, '', open=True), 0)] += 5 * CONTROL
    sound = timed(random.Random(2), CANDIDATE, usual)
    assert compare(sound, control).statistic < SUSPICION
    slow = timed(random.Random(2), CANDIDATE, lambda _one: 8)
    assert compare(slow, control).statistic >= THRESHOLD


def test_few_answers_of_the_old_version_tell_nothing() -> None:
    """Without a comparison of the same work no version can be called slow."""
    source = random.Random(1)
    control = timed(source, 12, usual, levels=(0, 1, 2, 3))
    candidate = timed(source, 200, lambda _one: 8, levels=(0, 1, 2, 3))
    assert compare(candidate, control).candidate.count == 0
