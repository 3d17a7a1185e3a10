"""Guards what a try tells of its version, and when."""

import collections
import datetime as dt

import pytest
from hypothesis import given, strategies

from bronzeglade.decisions import timings
from bronzeglade.decisions.stopwatch import (
    MOST_TIMES,
    Stopwatch,
    Task,
    TimedTry,
    times_for,
)
from bronzeglade.decisions.timings import Cell, Part, Place, Stratum, Timings

TASK = Task('chat', 'small', 1, 0, 'a', 'e1', 3)
START = dt.timedelta(seconds=100)


def ms(milliseconds: float) -> dt.timedelta:
    return dt.timedelta(milliseconds=milliseconds)


def seen(
    counted: Timings, part: Part = Part.EVENTS
) -> list[tuple[int, bool, int]]:
    """Return bin, whether open, and number of what was counted of a part."""
    return [
        (cell.bin, cell.place.open, number)
        for cell, number in counted.items()
        if cell.stratum.part is part
    ]


def answered(stopwatch: Stopwatch, *event_ms: int) -> TimedTry:
    """Return a try whose events came at times after its start."""
    timed = stopwatch.start(TASK, is_candidate=True, share=0.1, now=START)
    timed.progress.record_head(START + ms(40))
    for one in event_ms:
        timed.progress.record_event(START + ms(one))
    return timed


def test_try_without_an_answer_counts_while_it_waits() -> None:
    """A version that hangs must not be found at the end of its tries only."""
    stopwatch = Stopwatch()
    stopwatch.start(TASK, is_candidate=True, share=0.1, now=START)
    candidate, control = stopwatch.read(START + ms(3000))
    assert seen(candidate, Part.FIRST) == [(timings.bin_of(ms(3000)), True, 1)]
    assert not control


def test_stream_tells_its_pace_before_its_end() -> None:
    """A slow stream lasts longer than a roll-out."""
    stopwatch = Stopwatch()
    answered(stopwatch, 40, 60, 80)
    candidate, _ = stopwatch.read(START + ms(1640))
    assert seen(candidate) == [(timings.bin_of(ms(1600)), True, 1)]


def test_pace_is_that_of_the_first_events() -> None:
    """Long streams last longer; what is compared must be equally much."""
    stopwatch = Stopwatch()
    answered(stopwatch, *range(40, 200, 20), 9000)
    candidate, _ = stopwatch.read(START + ms(9001))
    assert seen(candidate) == [(timings.bin_of(ms(140)), False, 1)]


def test_whole_answer_has_no_pace() -> None:
    """An answer without events must not look like a very fast stream."""
    stopwatch = Stopwatch()
    timed = answered(stopwatch)
    stopwatch.end(timed, START + ms(43), complete=True)
    candidate, _ = stopwatch.read(START + ms(9000))
    assert not seen(candidate)
    assert seen(candidate, Part.FIRST) == [(timings.bin_of(ms(40)), False, 1)]


def test_try_counts_once() -> None:
    """What ran and has ended must not count twice."""
    stopwatch = Stopwatch()
    timed = answered(stopwatch, *range(40, 240, 20))
    for _ in range(2):
        stopwatch.end(timed, START + ms(300), complete=True)
    candidate, _ = stopwatch.read(START + ms(400))
    assert sum(candidate.values()) == len(Part)


def test_endpoints_of_the_old_version_are_not_told_apart() -> None:
    """A row in the store must not grow with the number of endpoints."""
    stopwatch = Stopwatch()
    stopwatch.start(TASK, is_candidate=False, share=0.1, now=START)
    _, control = stopwatch.read(START + ms(40))
    assert [cell.place.endpoint for cell in control] == ['']


def test_times_are_bounded_and_the_newest_count() -> None:
    """A node's row must not grow for ever, nor tell of the start only."""
    stopwatch = Stopwatch()
    for number in range(MOST_TIMES + 5):
        task = Task(f'kind {number}', 'small', 0, 0, 'a', 'e1', 1)
        timed = stopwatch.start(task, is_candidate=True, share=0, now=START)
        stopwatch.end(timed, START + ms(5), complete=False)
    for most in (MOST_TIMES, times_for(195)):
        candidate, _ = stopwatch.read(START, most)
        kinds = {cell.stratum.kind for cell in candidate}
        assert len(kinds) == most
        assert f'kind {MOST_TIMES + 4} small' in kinds


CELLS = strategies.builds(
    Cell,
    strategies.builds(
        Stratum,
        strategies.sampled_from(Part),
        strategies.text(max_size=3),
        strategies.integers(0, timings.HIGHEST_LEVEL),
        strategies.sampled_from((0.1, 0.5, 1.0)),
    ),
    strategies.builds(
        Place,
        strategies.text(max_size=2),
        strategies.text(max_size=2),
        strategies.booleans(),
    ),
    strategies.integers(0, timings.HIGHEST_BIN),
)


@given(strategies.dictionaries(CELLS, strategies.integers(1, 1000)))
def test_counters_survive_the_exchange(counters: dict[Cell, int]) -> None:
    """Counters that change on the way would change the verdict."""
    sent: Timings = collections.Counter(counters)
    assert timings.decode(timings.encode(sent)) == sent


@pytest.mark.parametrize(
    'document',
    [5, [5], [['first', 'k', 0, 0.1]], [['x', 'k', 0, 0.1, []]],
     [['first', 'k', 0, 0.1, [['a', 'e', 0, 1]]]],
     [['first', 'k', 'z', 0.1, []]]],
)  # fmt: skip
def test_malformed_counters_are_refused(document: object) -> None:
    """A row of another writer must not stop the judgement of all others."""
    with pytest.raises((ValueError, TypeError)):
        timings.decode(document)  # type: ignore[arg-type]


@given(strategies.integers(1, 200_000))
def test_bins_keep_the_order_of_times(milliseconds: int) -> None:
    """Twice the time is at least two bins higher, or the highest bin."""
    low = timings.bin_of(ms(milliseconds))
    high = timings.bin_of(ms(2 * milliseconds))
    assert high >= min(low + 2, timings.HIGHEST_BIN)
