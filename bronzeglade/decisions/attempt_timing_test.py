"""Tests which timings of an attempt are counted, and when."""

import collections
import datetime as dt

import pytest
from hypothesis import given, strategies

from bronzeglade.decisions import duration_histograms
from bronzeglade.decisions.attempt_timing import (
    MAX_SAMPLES,
    AttemptTimer,
    Task,
    TimedAttempt,
    max_samples_per_node,
)
from bronzeglade.decisions.duration_histograms import (
    Cell,
    Phase,
    Stratum,
    Timings,
    TimingSource,
)

TASK = Task('chat', 'small', 1, 0, 'a', 'e1', 3)
START = dt.timedelta(seconds=100)


def ms(milliseconds: float) -> dt.timedelta:
    return dt.timedelta(milliseconds=milliseconds)


def counters_of(
    counted: Timings, phase: Phase = Phase.EVENTS
) -> list[tuple[int, bool, int]]:
    """Return bin, whether open, and number for each counter of a phase."""
    return [
        (cell.bin, cell.source.open, number)
        for cell, number in counted.items()
        if cell.stratum.phase is phase
    ]


def answered(timer: AttemptTimer, *event_ms: int) -> TimedAttempt:
    """Return an attempt with events at these times after its start."""
    timed = timer.start(TASK, is_candidate=True, share=0.1, now=START)
    timed.progress.record_head(START + ms(40))
    for elapsed_ms in event_ms:
        timed.progress.record_event(START + ms(elapsed_ms))
    return timed


def test_attempt_without_an_answer_counts_while_it_waits() -> None:
    """A hanging version must be detected before its attempts end."""
    timer = AttemptTimer()
    timer.start(TASK, is_candidate=True, share=0.1, now=START)
    candidate, control = timer.read(START + ms(3000))
    assert counters_of(candidate, Phase.FIRST) == [
        (duration_histograms.bin_of(ms(3000)), True, 1)
    ]
    assert not control


def test_stream_reports_its_pace_before_its_end() -> None:
    """A slow stream can last longer than the roll-out."""
    timer = AttemptTimer()
    answered(timer, 40, 60, 80)
    candidate, _ = timer.read(START + ms(1640))
    assert counters_of(candidate) == [
        (duration_histograms.bin_of(ms(1600)), True, 1)
    ]


def test_pace_is_that_of_the_first_events() -> None:
    """Streams differ in length, so an equal number of events is compared."""
    timer = AttemptTimer()
    answered(timer, *range(40, 200, 20), 9000)
    candidate, _ = timer.read(START + ms(9001))
    assert counters_of(candidate) == [
        (duration_histograms.bin_of(ms(140)), False, 1)
    ]


def test_whole_answer_has_no_pace() -> None:
    """An answer without events must not look like a very fast stream."""
    timer = AttemptTimer()
    timed = answered(timer)
    timer.end(timed, START + ms(43), complete=True)
    candidate, _ = timer.read(START + ms(9000))
    assert not counters_of(candidate)
    assert counters_of(candidate, Phase.FIRST) == [
        (duration_histograms.bin_of(ms(40)), False, 1)
    ]


def test_attempt_counts_once() -> None:
    """An ended attempt must not also count as in progress, nor twice."""
    timer = AttemptTimer()
    timed = answered(timer, *range(40, 240, 20))
    for _ in range(2):
        timer.end(timed, START + ms(300), complete=True)
    candidate, _ = timer.read(START + ms(400))
    assert sum(candidate.values()) == len(Phase)


def test_control_timings_omit_the_endpoint() -> None:
    """A row in the store must not grow with the number of endpoints."""
    timer = AttemptTimer()
    timer.start(TASK, is_candidate=False, share=0.1, now=START)
    _, control = timer.read(START + ms(40))
    assert [cell.source.endpoint for cell in control] == ['']


def test_timings_are_bounded_and_the_newest_count() -> None:
    """A node's row must not grow without bound, nor cover only the start."""
    timer = AttemptTimer()
    for number in range(MAX_SAMPLES + 5):
        task = Task(f'kind {number}', 'small', 0, 0, 'a', 'e1', 1)
        timed = timer.start(task, is_candidate=True, share=0, now=START)
        timer.end(timed, START + ms(5), complete=False)
    for limit in (MAX_SAMPLES, max_samples_per_node(195)):
        candidate, _ = timer.read(START, limit)
        kinds = {cell.stratum.kind for cell in candidate}
        assert len(kinds) == limit
        assert f'kind {MAX_SAMPLES + 4} small' in kinds


CELLS = strategies.builds(
    Cell,
    strategies.builds(
        Stratum,
        strategies.sampled_from(Phase),
        strategies.text(max_size=3),
        strategies.integers(0, duration_histograms.MAX_LEVEL),
        strategies.sampled_from((0.1, 0.5, 1.0)),
    ),
    strategies.builds(
        TimingSource,
        strategies.text(max_size=2),
        strategies.text(max_size=2),
        strategies.booleans(),
    ),
    strategies.integers(0, duration_histograms.MAX_BIN),
)


@given(strategies.dictionaries(CELLS, strategies.integers(1, 1000)))
def test_counters_survive_the_exchange(counters: dict[Cell, int]) -> None:
    """Counters that change in transit would change the verdict."""
    sent: Timings = collections.Counter(counters)
    assert duration_histograms.decode(duration_histograms.encode(sent)) == sent


@pytest.mark.parametrize(
    'document',
    [5, [5], [['first', 'k', 0, 0.1]], [['x', 'k', 0, 0.1, []]],
     [['first', 'k', 0, 0.1, [['a', 'e', 0, 1]]]],
     [['first', 'k', 'z', 0.1, []]]],
)  # fmt: skip
def test_malformed_counters_are_refused(document: object) -> None:
    """One malformed row must not block the evaluation of all others."""
    with pytest.raises((ValueError, TypeError)):
        duration_histograms.decode(document)  # type: ignore[arg-type]


@given(strategies.integers(1, 200_000))
def test_bins_keep_the_order_of_times(milliseconds: int) -> None:
    """Twice the time is at least two bins higher, or in the highest bin."""
    low = duration_histograms.bin_of(ms(milliseconds))
    high = duration_histograms.bin_of(ms(2 * milliseconds))
    assert high >= min(low + 2, duration_histograms.MAX_BIN)
