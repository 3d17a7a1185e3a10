"""Allowances over several nodes that hear of each other late."""

import collections
import dataclasses
import functools
import random

from bronzeglade.decisions.allowance import (
    Allowances,
    AllowanceSettings,
    Limits,
)
from fleet.bench import Figure, scenario
from fleet.simulation import SimulatedClock, percentile

NODES = 7
LIMIT = 600
TOKENS = 100
SECONDS = 240.0
GOSSIP_S = 0.5
GOSSIP_LAG_S = 0.6
MINUTE_S = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Where requests arrive; `moves` is the time between changes of it."""

    name: str
    nodes: int
    rate: float
    moves: float = 0
    deaths: float = 0


CASES = (
    Case('all nodes', NODES, 3 * LIMIT / MINUTE_S),
    Case('one node', 1, 1.2 * LIMIT / MINUTE_S),
    Case('one node at a time', 1, 3 * LIMIT / MINUTE_S, moves=15),
    Case('nodes dying', 3, 3 * LIMIT / MINUTE_S, moves=20, deaths=25),
)


class Nodes:
    """Nodes whose documents arrive late and that may be replaced."""

    def __init__(self, split: bool, source: random.Random) -> None:
        """Start the nodes.

        Args:
          split: whether each node has a fixed equal part instead.
          source: arrivals, moves and deaths.
        """
        self.split = split
        self.source = source
        self.clock = SimulatedClock()
        self.names = [f'n{number}' for number in range(NODES)]
        self.births: collections.Counter[str] = collections.Counter()
        self.nodes: dict[str, Allowances] = {}
        self.active: list[str] = []
        self.taken: list[float] = []
        for name in self.names:
            self.create(name)

    def create(self, name: str) -> None:
        """Start a node that knows nothing."""
        part = NODES if self.split else 1
        limits = Limits(LIMIT // part, LIMIT * TOKENS * 10 // part)
        node = Allowances(AllowanceSettings(), self.clock)
        node.configure({'t': limits}, 1 if self.split else NODES)
        self.nodes[name] = node
        self.births[name] += 1

    def arrive(self, rate: float) -> None:
        """Send a request to an active node, and the next one later."""
        node = self.nodes[self.source.choice(self.active)]
        if node.try_take('t', TOKENS) is None:
            self.taken.append(self.clock.seconds)
        self.clock.after(
            self.source.expovariate(rate), functools.partial(self.arrive, rate)
        )

    def move(self, count: int) -> None:
        """Change the nodes at which requests arrive."""
        self.active = self.source.sample(self.names, count)

    def die(self) -> None:
        """Replace an active node; what it did not tell is lost."""
        self.create(self.source.choice(self.active))

    def gossip(self) -> None:
        """Send each node's document to the others."""
        for name, node in self.nodes.items():
            origin = f'{name}-{self.births[name]}'
            hear = functools.partial(self.hear, name, origin, node.usage())
            self.clock.after(GOSSIP_LAG_S, hear)

    def hear(
        self, name: str, origin: str, told: dict[str, list[float]]
    ) -> None:
        """Deliver a document."""
        for other, node in self.nodes.items():
            if other != name:
                node.merge(origin, told)


def run(case: Case, split: bool, seed: int) -> tuple[float, float]:
    """Return the overshoot and the unusable part of the allowance.

    Args:
      case: arrivals and deaths.
      split: whether each node has a fixed equal part instead.
      seed: of arrivals.
    """
    nodes = Nodes(split, random.Random(seed))
    nodes.move(case.nodes)
    nodes.arrive(case.rate)
    if not split:
        nodes.clock.every(GOSSIP_S, nodes.gossip)
    if case.moves:
        move = functools.partial(nodes.move, case.nodes)
        nodes.clock.every(case.moves, move)
    if case.deaths:
        nodes.clock.every(case.deaths, nodes.die)
    nodes.clock.run(SECONDS)
    return _judge(nodes.taken)


def _judge(taken: list[float]) -> tuple[float, float]:
    window: collections.deque[float] = collections.deque()
    most = 0
    for at in taken:
        window.append(at)
        while window[0] <= at - MINUTE_S:
            window.popleft()
        most = max(most, len(window))
    # The first minute starts without any use and is left out.
    steady = sum(at >= MINUTE_S for at in taken)
    used = steady / (SECONDS - MINUTE_S) * MINUTE_S / LIMIT
    return max(0, most / LIMIT - 1), max(0, 1 - used)


@scenario('allowance')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Compare with an equal split; medians over the seeds."""
    figures: list[Figure] = []
    for case in CASES:
        ours = [run(case, False, seed) for seed in seeds]
        equal = [run(case, True, seed) for seed in seeds]
        for index, (metric, target) in enumerate(
            (('overshoot', 0.05), ('unusable', 0.1))
        ):
            value = percentile([one[index] for one in ours], 0.5)
            baseline = percentile([one[index] for one in equal], 0.5)
            figures.append(
                Figure(
                    'allowance',
                    f'{case.name}: {metric}',
                    'share',
                    baseline,
                    value,
                    target,
                    value <= target,
                )
            )
    return figures
