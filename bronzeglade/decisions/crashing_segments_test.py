"""Tests that segments on which endpoints crash are refused, and no others."""

import datetime as dt

import pytest

from bronzeglade.builders import ManualClock
from bronzeglade.decisions import crashing_segments
from bronzeglade.decisions.crash_simulation import (
    BAD,
    SERVICE,
    STEP,
    CrashSimulation,
    Traffic,
)
from bronzeglade.decisions.crashing_segments import (
    CrashingSegments,
    CrashSettings,
)

SECOND = dt.timedelta(seconds=1)
CONTACT = 3 * SECOND // STEP
KNOWN_CRASHES = 5
LATE_REQUESTS = 3
SETTINGS = CrashSettings()


def evidence(clock: ManualClock | None = None) -> CrashingSegments:
    """Return the evidence of a node that starts."""
    return crashing_segments.new(clock or ManualClock())


def crash(
    node: CrashingSegments, count: int, *names: str, first: int = 0
) -> None:
    """Record that processes ended while they began a prompt."""
    for number in range(first, first + count):
        node.clock.sleep(SECOND / 2)
        node.record_crash(SERVICE, names, f'e/{number}')


def is_refused(node: CrashingSegments, *names: str) -> bool:
    """Return whether a prompt is refused."""
    return node.find_verdict(SERVICE, names) is not None


@pytest.mark.parametrize('nodes', [1, 3, 8])
@pytest.mark.parametrize('seed', range(6))
def test_segment_that_crashes_endpoints_is_refused_in_time(
    nodes: int, seed: int
) -> None:
    """Sound prompts that share its other segments are answered again."""
    simulation = CrashSimulation(Traffic(), nodes, seed)
    simulation.run(15 * SECOND)
    simulation.traffic = Traffic(bad=0.2)
    simulation.run(45 * SECOND)
    crashes = simulation.crashes
    known_at = crashes[min(len(crashes), KNOWN_CRASHES) - 1] + CONTACT
    late = sum(step > known_at for step in simulation.arrivals)
    assert late <= LATE_REQUESTS
    assert simulation.verdicts() == {frozenset((BAD,))}
    served = [
        begun
        for step, begun in simulation.first_attempts
        if step > known_at + CONTACT
    ]
    assert served.count(True) >= len(served) / 2


@pytest.mark.parametrize('nodes', [1, 8])
@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize(
    'traffic',
    [
        Traffic(crash=0.02),
        Traffic(crash=0.1),
        Traffic(outage=0.005),
        Traffic(crash=0.05, outage=0.01, loss=0.4),
    ],
)
def test_crashes_for_other_reasons_condemn_nothing(
    nodes: int, seed: int, traffic: Traffic
) -> None:
    """Prompts that happened to be at the endpoints are not the reason."""
    simulation = CrashSimulation(traffic, nodes, seed)
    for _ in range(6):
        simulation.run(10 * SECOND)
        assert simulation.verdicts() == set()


def test_shared_segment_that_answers_begin_with_is_not_accused() -> None:
    """It is in each prompt that crashes, and in many that do not."""
    node = evidence()
    node.record_sound(SERVICE, ['shared'])
    crash(node, 9, 'shared', BAD)
    assert is_refused(node, BAD)
    assert not is_refused(node, 'shared')


def test_segments_with_the_same_crashes_are_refused_together_only() -> None:
    """Nothing tells which of them it is, and each alone may be sound."""
    node = evidence()
    crash(node, SETTINGS.verdict, 'a', 'b')
    assert is_refused(node, 'b', 'x', 'a')
    assert not is_refused(node, 'a', 'x')
    crash(node, 1, 'a', 'c', first=SETTINGS.verdict)
    assert is_refused(node, 'a', 'x')
    assert not is_refused(node, 'b', 'c')


def test_verdict_ends_and_one_request_at_a_time_tests_it() -> None:
    """Endpoints are replaced, and a cause may be gone."""
    clock = ManualClock()
    node = evidence(clock)
    crash(node, SETTINGS.verdict, BAD)
    verdict = node.find_verdict(SERVICE, [BAD])
    assert verdict is not None
    assert not node.begin_probe(SERVICE, verdict)
    clock.advance(SETTINGS.refusal)
    verdict = node.find_verdict(SERVICE, [BAD])
    assert verdict is not None
    assert node.begin_probe(SERVICE, verdict)
    assert not node.begin_probe(SERVICE, verdict)
    # A further crash doubles the time.
    crash(node, 1, BAD, first=SETTINGS.verdict)
    clock.advance(SETTINGS.refusal)
    verdict = node.find_verdict(SERVICE, [BAD])
    assert verdict is not None
    assert not node.begin_probe(SERVICE, verdict)
    # An answer that begins ends it.
    node.record_sound(SERVICE, [BAD])
    assert not is_refused(node, BAD)


def test_node_that_starts_learns_the_verdict() -> None:
    """Otherwise each restart costs endpoints."""
    clock = ManualClock()
    node = evidence(clock)
    crash(node, SETTINGS.verdict, BAD)
    clock.advance(20 * SECOND)
    joiner = evidence(clock)
    joiner.merge(node.take_news())
    assert is_refused(joiner, BAD)


def test_answer_seen_by_another_node_clears_a_segment() -> None:
    """A node that sees few answers would accuse what others know as sound."""
    clock = ManualClock()
    node, other = evidence(clock), evidence(clock)
    other.record_sound(SERVICE, ['shared'])
    clock.advance(10 * SECOND)
    crash(node, SETTINGS.verdict, 'shared')
    assert is_refused(node, 'shared')
    other.merge(node.take_news())
    node.merge(other.take_news())
    assert not is_refused(node, 'shared')
    assert not is_refused(other, 'shared')


def test_evidence_is_bounded() -> None:
    """Callers choose the names of segments."""
    clock = ManualClock()
    node = evidence(clock)
    crash(node, SETTINGS.verdict, BAD)
    for number in range(2000):
        clock.advance(SECOND / 100)
        node.record_crash(SERVICE, [f'n-{number}', 'x' * 1000], f'e/{number}')
        node.record_sound(SERVICE, [f'sound-{number}-{n}' for n in range(9)])
    assert len(node.records) <= SETTINGS.max_segments
    assert len(node.take_news()) <= SETTINGS.max_news
    assert len(node.sound_at) <= SETTINGS.max_sound
    assert is_refused(node, BAD)
    clock.advance(SETTINGS.refusal * 200)
    node.take_news()
    assert not node.records
