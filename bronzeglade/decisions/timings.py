"""Counters of how long tries of a version take, by what they have to do.

Times count in bins whose edges grow by half a power of two, so the counters of
several nodes can be added up, and quantiles of the sum can be taken. One node
adds up those of all others several times a second, so the keys are tuples,
whose hash is computed without a call of Python code.
"""

import collections
import datetime as dt
import enum
import math
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

BINS_PER_DOUBLING = 2
HIGHEST_BIN = 34  # from 2 ** 17 ms, about two minutes
# Tokens that an endpoint reads before an answer begins: the first level ends
# at a quarter of a thousand, each further one is four times as wide.
FIRST_LEVEL_TOKENS = 256
LEVEL_FACTOR = 4
HIGHEST_LEVEL = 6
LEVELS_PER_LOAD = 2  # an endpoint is up to half loaded, up to fully, or beyond
_MILLISECOND = dt.timedelta(milliseconds=1)


class Part(enum.StrEnum):
    """The part of a try that is timed."""

    FIRST = 'first'  # until the head of its answer
    EVENTS = 'events'  # from there until a few events of a stream have come


class Stratum(NamedTuple):
    """Tries that should take equally long.

    `kind` is what is asked, `level` how much an endpoint has to do until then,
    `share` the part of new work that the new version got at that time.
    """

    part: Part
    kind: str
    level: int
    share: float


class Place(NamedTuple):
    """Where a try ran; `open` when it took at least as long as counted."""

    failure_domain: str
    endpoint: str
    open: bool = False


class Cell(NamedTuple):
    """What is counted together."""

    stratum: Stratum
    place: Place
    bin: int


# Number of tries by cell.
Timings = collections.Counter[Cell]


def bin_of(duration: dt.timedelta) -> int:
    """Return the bin of a duration."""
    milliseconds = max(float(1), duration / _MILLISECOND)
    found = int(math.log2(milliseconds) * BINS_PER_DOUBLING)
    return min(found, HIGHEST_BIN)


def token_level(tokens: float) -> int:
    """Return the level of work to do before an answer.

    Args:
      tokens: of prompts that an endpoint has yet to read.
    """
    factor = max(float(1), tokens / FIRST_LEVEL_TOKENS)
    return min(HIGHEST_LEVEL, int(math.log(factor, LEVEL_FACTOR)))


def load_level(load: float) -> int:
    """Return the level of the load of an endpoint.

    Args:
      load: requests there, as a part of its slots.
    """
    return min(HIGHEST_LEVEL, int(max(0, load) * LEVELS_PER_LOAD))


def total(parts: Iterable[Timings]) -> Timings:
    """Return the sum of the counters of several nodes."""
    summed: Timings = collections.Counter()
    for part in parts:
        for cell, number in part.items():
            summed[cell] = summed.get(cell, 0) + number
    return summed


def encode(timings: Timings) -> list[list[Any]]:
    """Return the counters as lists for JSON.

    Returns:
      For each stratum its part, kind, level, share and a list of places; for
      each place its failure domain, endpoint, whether it is open (0 or 1), and
      then bins and numbers of tries by turns.
    """
    strata: dict[Stratum, dict[Place, list[int]]] = {}
    for cell, number in timings.items():
        places = strata.setdefault(cell.stratum, {})
        places.setdefault(cell.place, []).extend((cell.bin, number))
    return [
        [
            stratum.part.value,
            stratum.kind,
            stratum.level,
            stratum.share,
            [
                [place.failure_domain, place.endpoint, int(place.open), *counts]
                for place, counts in places.items()
            ],
        ]
        for stratum, places in strata.items()
    ]


def decode(document: Iterable[Any]) -> Timings:
    """Return the counters of lists made by `encode`.

    Raises:
      ValueError or TypeError: for anything else.
    """
    timings: Timings = collections.Counter()
    for part, kind, level, share, places in document:
        stratum = Stratum(Part(part), str(kind), int(level), float(share))
        for place in places:
            timings.update(_decode_place(stratum, place))
    return timings


def _decode_place(stratum: Stratum, document: Sequence[Any]) -> Timings:
    failure_domain, endpoint, is_open, *counts = document
    place = Place(str(failure_domain), str(endpoint), bool(is_open))
    pairs = zip(counts[::2], counts[1::2], strict=True)
    return collections.Counter(
        {
            Cell(stratum, place, int(index)): max(0, int(number))
            for index, number in pairs
        }
    )
