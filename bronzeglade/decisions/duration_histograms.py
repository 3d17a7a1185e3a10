"""Histograms of attempt durations, grouped by kind and amount of work.

All nodes use the same bins, whose bounds grow by a factor of sqrt(2), so their
histograms can be summed and quantiles taken from the sum. One node sums the
histograms of all others several times a second. The keys are therefore named
tuples, whose hash is computed without running Python code.
"""

import collections
import datetime as dt
import enum
import math
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

BINS_PER_DOUBLING = 2
MAX_BIN = 34  # from 2 ** 17 ms, about two minutes
# Prompts are grouped into levels by the number of tokens that an endpoint reads
# before it answers. Level 0 has fewer than LEVEL_FACTOR * FIRST_LEVEL_TOKENS
# tokens, and each further bound is LEVEL_FACTOR times as high.
FIRST_LEVEL_TOKENS = 256
LEVEL_FACTOR = 4
MAX_LEVEL = 6
MAX_NUMBER = 10**12  # of attempts in one bin that is read
LEVELS_PER_LOAD = 2  # each load level spans half of the slots
_MILLISECOND = dt.timedelta(milliseconds=1)


class Phase(enum.StrEnum):
    """Timed phase of an attempt."""

    FIRST = 'first'  # until the response head
    EVENTS = 'events'  # from the head until a few events of a stream arrived


class Stratum(NamedTuple):
    """Attempts that are expected to take the same time.

    `kind` identifies the type of work and `level` the amount until the end of
    the phase. `share` is the fraction of new work that the candidate version
    got at that time.
    """

    phase: Phase
    kind: str
    level: int
    share: float


class TimingSource(NamedTuple):
    """Where an attempt ran, and whether its timed phase has ended.

    The duration of an `open` phase is a lower bound.
    """

    failure_domain: str
    endpoint: str
    open: bool = False


class Cell(NamedTuple):
    """Key of a counter: comparable work, source and histogram bin."""

    stratum: Stratum
    source: TimingSource
    bin: int


# Number of attempts by cell.
Timings = collections.Counter[Cell]


def bin_of(duration: dt.timedelta) -> int:
    """Return the bin of a duration."""
    milliseconds = max(float(1), duration / _MILLISECOND)
    index = int(math.log2(milliseconds) * BINS_PER_DOUBLING)
    return min(index, MAX_BIN)


def token_level(tokens: float) -> int:
    """Return the level of the work that precedes the start of an answer.

    Args:
      tokens: prompt tokens that the endpoint has yet to read.
    """
    factor = max(float(1), tokens / FIRST_LEVEL_TOKENS)
    return min(MAX_LEVEL, int(math.log(factor, LEVEL_FACTOR)))


def load_level(load: float) -> int:
    """Return the level of an endpoint's load.

    Args:
      load: ratio of its requests to its slots.
    """
    return min(MAX_LEVEL, int(max(0, load) * LEVELS_PER_LOAD))


def total(nodes: Iterable[Timings]) -> Timings:
    """Return the sum of the counters of several nodes."""
    summed: Timings = collections.Counter()
    for timings in nodes:
        for cell, number in timings.items():
            summed[cell] = summed.get(cell, 0) + number
    return summed


def encode(timings: Timings) -> list[list[Any]]:
    """Return the counters as lists for JSON.

    Returns:
      For each stratum its phase, kind, level, share and a list of sources. For
      each source its failure domain, endpoint, whether it is open (0 or 1),
      then alternating bins and numbers of attempts.
    """
    strata: dict[Stratum, dict[TimingSource, list[int]]] = {}
    for cell, number in timings.items():
        sources = strata.setdefault(cell.stratum, {})
        sources.setdefault(cell.source, []).extend((cell.bin, number))
    return [
        [
            stratum.phase.value,
            stratum.kind,
            stratum.level,
            stratum.share,
            [
                [
                    source.failure_domain,
                    source.endpoint,
                    int(source.open),
                    *counts,
                ]
                for source, counts in sources.items()
            ],
        ]
        for stratum, sources in strata.items()
    ]


def decode(document: Iterable[Any]) -> Timings:
    """Return the counters from lists made by `encode`.

    Raises:
      ValueError or TypeError: the document is malformed.
    """
    timings: Timings = collections.Counter()
    for phase, kind, level, share, sources in document:
        stratum = Stratum(
            Phase(phase),
            _name(kind),
            int(_bounded(level, MAX_LEVEL)),
            float(_bounded(share, 1)),
        )
        for source in sources:
            timings.update(_decode_source(stratum, source))
    return timings


def _decode_source(stratum: Stratum, document: Sequence[Any]) -> Timings:
    failure_domain, endpoint, is_open, *counts = document
    source = TimingSource(_name(failure_domain), _name(endpoint), bool(is_open))
    pairs = zip(counts[::2], counts[1::2], strict=True)
    return collections.Counter(
        {
            Cell(stratum, source, int(_bounded(index, MAX_BIN))): int(
                _bounded(max(0, number), MAX_NUMBER)
            )
            for index, number in pairs
        }
    )


def _name(text: object) -> str:
    if not isinstance(text, str):
        raise TypeError('not a name')
    return text


def _bounded(number: float, highest: float) -> float:
    # Comparisons with NaN are false, and ones with a text raise TypeError.
    if not 0 <= number <= highest:
        raise ValueError('number out of range')
    return number
