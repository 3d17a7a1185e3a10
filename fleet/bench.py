"""Registry of benchmark scenarios, and the figures that they return."""

import dataclasses
import statistics
from collections.abc import Callable, Sequence

Benchmark = Callable[[tuple[int, ...]], list['Figure']]

SCENARIOS: dict[str, Benchmark] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure and its baseline from the same run.

    `ours` is the value measured for the router. `met` is whether it satisfies
    `target`; whether that is an upper or a lower bound depends on the metric.
    """

    scenario: str
    metric: str
    unit: str
    baseline: float | None
    ours: float
    target: float
    met: bool


def medians(runs: Sequence[Sequence[Figure]]) -> list[Figure]:
    """Return the median of each figure over several runs.

    The target of a figure is met when more than half of the runs met it.

    Args:
      runs: figures of each run, with the same metrics in the same order.
    """
    merged: list[Figure] = []
    for figures in zip(*runs, strict=True):
        baselines = [
            figure.baseline for figure in figures if figure.baseline is not None
        ]
        merged.append(
            dataclasses.replace(
                figures[0],
                baseline=statistics.median(baselines) if baselines else None,
                ours=statistics.median(figure.ours for figure in figures),
                target=statistics.median(figure.target for figure in figures),
                met=sum(figure.met for figure in figures) * 2 > len(figures),
            )
        )
    return merged


def scenario(name: str) -> Callable[[Benchmark], Benchmark]:
    """Return a decorator that registers a benchmark in `SCENARIOS`.

    The benchmark receives one seed per run and returns medians over the runs.
    """

    def register(benchmark: Benchmark) -> Benchmark:
        SCENARIOS[name] = benchmark
        return benchmark

    return register
