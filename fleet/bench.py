"""Registry of benchmark scenarios and the form of their figures."""

import dataclasses
import statistics
from collections.abc import Callable, Sequence

Bench = Callable[[tuple[int, ...]], list['Figure']]

SCENARIOS: dict[str, Bench] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure beside its baseline from the same run.

    `target` is what `ours` is compared with; `met` says the result.
    """

    scenario: str
    metric: str
    unit: str
    baseline: float | None
    ours: float
    target: float
    met: bool


def medians(runs: Sequence[Sequence[Figure]]) -> list[Figure]:
    """Return the median of each figure over runs that list the same ones.

    A figure is met when most of the runs met it.
    """
    merged: list[Figure] = []
    for figures in zip(*runs, strict=True):
        baselines = [
            one.baseline for one in figures if one.baseline is not None
        ]
        merged.append(
            dataclasses.replace(
                figures[0],
                baseline=statistics.median(baselines) if baselines else None,
                ours=statistics.median(one.ours for one in figures),
                target=statistics.median(one.target for one in figures),
                met=sum(one.met for one in figures) * 2 > len(figures),
            )
        )
    return merged


def scenario(name: str) -> Callable[[Bench], Bench]:
    """Register a benchmark under a name.

    The benchmark takes the seeds of its runs and returns medians over them.
    """

    def register(bench: Bench) -> Bench:
        SCENARIOS[name] = bench
        return bench

    return register
