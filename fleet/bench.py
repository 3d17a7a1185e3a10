"""Registry of benchmark scenarios and the form of their figures."""

import dataclasses
from collections.abc import Callable

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


def scenario(name: str) -> Callable[[Bench], Bench]:
    """Register a benchmark under a name.

    The benchmark takes the seeds of its runs and returns medians over them.
    """

    def register(bench: Bench) -> Bench:
        SCENARIOS[name] = bench
        return bench

    return register
