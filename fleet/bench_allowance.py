"""Simulation of rate allowances that nodes enforce on delayed usage reports.

The baseline gives each node a fixed equal fraction of the limit.
"""

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
REQUEST_LIMIT = 600  # requests/min of the team
REQUEST_TOKENS = 100  # of each request
DURATION_S = 240.0
GOSSIP_INTERVAL_S = 0.5
GOSSIP_LAG_S = 0.6
WINDOW_S = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Pattern of arrivals and node failures."""

    name: str
    nodes: int  # number of nodes at which requests arrive
    rate: float  # requests/s
    # Periods after which requests move to other nodes, and after which one of
    # the receiving nodes fails; 0 for never.
    move_interval_s: float = 0
    failure_interval_s: float = 0


CASES = (
    Case('all nodes', NODES, 3 * REQUEST_LIMIT / WINDOW_S),
    Case('one node', 1, 1.2 * REQUEST_LIMIT / WINDOW_S),
    Case(
        'one node at a time',
        1,
        3 * REQUEST_LIMIT / WINDOW_S,
        move_interval_s=15,
    ),
    Case(
        'nodes dying',
        3,
        3 * REQUEST_LIMIT / WINDOW_S,
        move_interval_s=20,
        failure_interval_s=25,
    ),
)


class SimulatedNodes:
    """Nodes that exchange delayed usage reports and may be replaced."""

    def __init__(self, equal_split: bool, rng: random.Random) -> None:
        """Start the nodes.

        Args:
          equal_split: whether each node has a fixed equal fraction of the
            limit.
          rng: randomness of arrivals, moves and failures.
        """
        self.equal_split = equal_split
        self.rng = rng
        self.clock = SimulatedClock()
        self.names = [f'n{number}' for number in range(NODES)]
        self.incarnations: collections.Counter[str] = collections.Counter()
        self.nodes: dict[str, Allowances] = {}
        self.active: list[str] = []
        self.accepted_at: list[float] = []
        for name in self.names:
            self.create(name)

    def create(self, name: str) -> None:
        """Start a node, or replace it by a new node without recorded usage."""
        divisor = NODES if self.equal_split else 1
        # The token limit is ten times the tokens of all allowed requests, so
        # that only the request limit applies.
        limits = Limits(
            REQUEST_LIMIT // divisor,
            REQUEST_LIMIT * REQUEST_TOKENS * 10 // divisor,
        )
        node = Allowances(AllowanceSettings(), self.clock)
        node.configure({'t': limits}, 1 if self.equal_split else NODES)
        self.nodes[name] = node
        self.incarnations[name] += 1

    def arrive(self, rate: float) -> None:
        """Send a request to an active node and schedule the next request."""
        node = self.nodes[self.rng.choice(self.active)]
        if node.try_take('t', REQUEST_TOKENS) is None:
            self.accepted_at.append(self.clock.seconds)
        self.clock.after(
            self.rng.expovariate(rate), functools.partial(self.arrive, rate)
        )

    def move_arrivals(self, count: int) -> None:
        """Choose new nodes at which requests arrive."""
        self.active = self.rng.sample(self.names, count)

    def replace_active_node(self) -> None:
        """Replace an active node; its unreported usage is lost."""
        self.create(self.rng.choice(self.active))

    def gossip(self) -> None:
        """Send each node's usage report to the other nodes."""
        for name, node in self.nodes.items():
            origin = f'{name}-{self.incarnations[name]}'
            deliver = functools.partial(
                self.deliver, name, origin, node.usage()
            )
            self.clock.after(GOSSIP_LAG_S, deliver)

    def deliver(
        self, name: str, origin: str, usage_report: dict[str, list[float]]
    ) -> None:
        """Deliver a usage report to all nodes but its sender."""
        for receiver, node in self.nodes.items():
            if receiver != name:
                node.merge(origin, usage_report)


def run(case: Case, equal_split: bool, seed: int) -> tuple[float, float]:
    """Return the overshoot and the unusable fraction of the allowance.

    Args:
      case: arrivals and node failures.
      equal_split: whether each node has a fixed equal fraction of the limit.
      seed: seed of arrivals, moves and failures.
    """
    nodes = SimulatedNodes(equal_split, random.Random(seed))
    nodes.move_arrivals(case.nodes)
    nodes.arrive(case.rate)
    if not equal_split:
        nodes.clock.every(GOSSIP_INTERVAL_S, nodes.gossip)
    if case.move_interval_s:
        move_arrivals = functools.partial(nodes.move_arrivals, case.nodes)
        nodes.clock.every(case.move_interval_s, move_arrivals)
    if case.failure_interval_s:
        nodes.clock.every(case.failure_interval_s, nodes.replace_active_node)
    nodes.clock.run(DURATION_S)
    return _overshoot_and_unusable(nodes.accepted_at)


def _overshoot_and_unusable(accepted_at: list[float]) -> tuple[float, float]:
    window: collections.deque[float] = collections.deque()
    peak = 0
    for at in accepted_at:
        window.append(at)
        while window[0] <= at - WINDOW_S:
            window.popleft()
        peak = max(peak, len(window))
    # The first minute is excluded: at the start, the whole allowance is
    # unused.
    accepted = sum(at >= WINDOW_S for at in accepted_at)
    used = accepted / (DURATION_S - WINDOW_S) * WINDOW_S / REQUEST_LIMIT
    return max(0, peak / REQUEST_LIMIT - 1), max(0, 1 - used)


@scenario('allowance')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Compare with a fixed equal split; medians over the seeds."""
    figures: list[Figure] = []
    for case in CASES:
        ours = [run(case, False, seed) for seed in seeds]
        baselines = [run(case, True, seed) for seed in seeds]
        for index, (metric, target) in enumerate(
            (('overshoot', 0.05), ('unusable', 0.1))
        ):
            value = percentile([fractions[index] for fractions in ours], 0.5)
            baseline = percentile(
                [fractions[index] for fractions in baselines], 0.5
            )
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
