"""Roll-outs, simulated: exposure to bad versions and false halts.

The loops of `bronzeglade.entry.rollouts` run on several nodes with a table in
memory that has outages and loses replies, and gossip that arrives late. The
baseline takes the same steps at fixed times and is halted by an operator 60 s
after the version turned bad.
"""

import dataclasses
import datetime as dt
import functools
import heapq
import random
import statistics
import sys

from bronzeglade import builders
from bronzeglade.builders import ManualClock
from bronzeglade.coordination import rollout as rows
from bronzeglade.coordination.rollout import RolloutState
from bronzeglade.decisions.evidence import Observation
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.rollouts import RolloutContext, Rollouts
from bronzeglade.entry.versions import Versions
from bronzeglade.manifest import Rollout
from fleet.bench import Figure, medians, scenario
from fleet.rollout_parts import DelayedGossip, RecordingTable, Network

EXPOSURE = 'requests given to the bad version'
ROLLOUTS = 200  # good ones, and as many bad ones
NODES = 3
RATE = 100  # requests a second of the whole fleet
TICK_S = 0.5
STEP_S = 30
SHARES = (0.05, 0.25, 0.5, 1)
LONGEST_S = 240  # a roll-out that is not done by then counts as it stands
OPERATOR_S = 60
KILL_PART = 0.3  # of the roll-outs lose the lease holder
RATINGS_PER_TICK = 1  # for each node and version: 2 a second
COORDINATE_TICKS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Quality:
    """How a version answers."""

    errors: float = 0.01
    slowness: float = 1
    rating: float = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One roll-out; a good one never turns bad."""

    bad_at: float | None  # seconds after the start
    bad: Quality
    outage: tuple[float, float]
    kill_holder_at: float | None
    trouble: tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a roll-out led to."""

    exposure: int
    baseline_exposure: float
    halted: bool
    done: bool
    steps_in_order: bool


def scenario_of(source: random.Random, bad: bool) -> Scenario:
    """Return a random roll-out with random faults of the platform."""
    kind = source.choice(('errors', 'latency', 'rating'))
    quality = Quality(
        errors=source.uniform(0.1, 0.5) if kind == 'errors' else 0.01,
        slowness=source.uniform(2, 4) if kind == 'latency' else 1,
        rating=source.uniform(0.45, 0.7) if kind == 'rating' else 0.85,
    )
    outage_start = source.uniform(0, 300)
    trouble_start = source.uniform(0, 300)
    kills = source.random() < KILL_PART
    return Scenario(
        bad_at=source.uniform(0, STEP_S * len(SHARES)) if bad else None,
        bad=quality,
        outage=(outage_start, outage_start + 20),
        kill_holder_at=source.uniform(5, 120) if kills else None,
        trouble=(trouble_start, trouble_start + 10),
    )


def published() -> Rollout:
    """Return the roll-out that every scenario runs."""
    return builders.rollout(
        steps=[
            {'share': share, 'min_requests': 100, 'min_seconds': STEP_S}
            for share in SHARES
        ]
    )


class Simulation:
    """Nodes, callers and versions of one roll-out."""

    def __init__(self, plan: Scenario, source: random.Random) -> None:
        """Create the nodes.

        Args:
          plan: what happens.
          source: of randomness.
        """
        self.plan = plan
        self.source = source
        self.clock = ManualClock()
        self.start = self.clock.monotonic()
        self.rollout = published()
        self.catalog = builders.catalog(self.rollout)
        self.table = RecordingTable(source, lost_replies=0.05)
        self.network = Network(source, longest_s=2)
        self.nodes = [self._node(index) for index in range(NODES)]
        self.live = list(self.nodes)
        self.pending: list[tuple[float, int, Rollouts, str, Observation]] = []
        self.serial = 0
        self.exposure = 0

    def run(self) -> Outcome:
        """Run until the roll-out is done or halted everywhere."""
        tick = 0
        while self.elapsed() < LONGEST_S and not self._settled():
            self._fail()
            self._serve()
            for node in self.live:
                node.judge()
                if tick % COORDINATE_TICKS == 0:
                    node.coordinate()
            self.clock.advance(dt.timedelta(seconds=TICK_S))
            tick += 1
        reasons = [
            node.view.halt_reason(self.rollout) is not None
            for node in self.live
        ]
        return Outcome(
            self.exposure,
            baseline_exposure(self.plan),
            all(reasons),
            self._is_done(),
            self._steps_in_order(),
        )

    def elapsed(self) -> float:
        """Return the seconds since the start."""
        return (self.clock.monotonic() - self.start).total_seconds()

    def _node(self, index: int) -> Rollouts:
        name = f'node-{index}'
        gossip = DelayedGossip(name, self.clock, self.network)
        peers = [
            (f'node-{other}', f'domain-{other}')
            for other in range(NODES)
            if other != index
        ]
        context = RolloutContext(
            catalog=lambda: self.catalog,
            peers=functools.partial(self._peers, peers),
            load=lambda _rollout: True,
        )
        return Rollouts(
            NodeIdentity(name, name, f'domain-{index}'),
            self.clock,
            self.table,
            Versions(gossip),
            context,
        )

    def _peers(self, peers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        alive = {node.identity.vm for node in self.live}
        return [peer for peer in peers if peer[0] in alive]

    def _fail(self) -> None:
        now = self.elapsed()
        start, end = self.plan.outage
        self.table.available = not start <= now < end
        kill_at = self.plan.kill_holder_at
        if kill_at is None or now < kill_at or len(self.live) < NODES:
            return
        holders = [node for node in self.live if node.lease.held()]
        for node in holders:
            self.live.remove(node)

    def _serve(self) -> None:
        now = self.elapsed()
        rated: dict[tuple[str, str], int] = {}
        for _ in range(int(RATE * TICK_S)):
            node = self.source.choice(self.live)
            self.serial += 1
            version = node.versions.preferred(
                self.catalog, 'm', ('v1', 'v2'), f'unit-{self.serial}'
            )
            bad_at = self.plan.bad_at
            turned = bad_at is not None and now >= bad_at
            is_bad = turned and version == self.rollout.to_version
            self.exposure += is_bad
            quality = self.plan.bad if is_bad else Quality()
            key = (node.identity.vm, version)
            rated[key] = rated.get(key, 0) + 1
            self._answer(node, version, quality, rated[key] <= RATINGS_PER_TICK)
        while self.pending and self.pending[0][0] <= now:
            _at, _serial, node, version, seen = heapq.heappop(self.pending)
            node.versions.observe('m', version, seen)

    def _answer(
        self, node: Rollouts, version: str, quality: Quality, is_rated: bool
    ) -> None:
        now = self.elapsed()
        start, end = self.plan.trouble
        trouble = start <= now < end
        failed = self.source.random() < quality.errors + 0.15 * trouble
        ratio = self.source.lognormvariate(-0.7, 0.4) * quality.slowness
        if trouble:
            ratio *= 2
        # The first token arrives after the ratio times a target of 0.8 s.
        at = now + 0.8 * ratio
        seen = Observation(error=failed, latency_ratio=ratio)
        self._later(at, node, version, seen)
        if is_rated and not failed:
            rating = min(1, max(0, self.source.gauss(quality.rating, 0.15)))
            late = at + self.source.uniform(1, 4)
            seen = Observation(rating=rating, counts=False)
            self._later(late, node, version, seen)

    def _later(
        self, at: float, node: Rollouts, version: str, seen: Observation
    ) -> None:
        self.serial += 1
        entry = (at, self.serial, node, version, seen)
        heapq.heappush(self.pending, entry)

    def _settled(self) -> bool:
        halted = all(
            node.view.halt_reason(self.rollout) is not None
            for node in self.live
        )
        return halted or (self.plan.bad_at is None and self._is_done())

    def _is_done(self) -> bool:
        row = self.table.rows.get(rows.row_key(self.rollout.name))
        progress = rows.decode_row(row).progress
        return progress is not None and progress.state is RolloutState.DONE

    def _steps_in_order(self) -> bool:
        key = rows.row_key(self.rollout.name)
        progress = [
            rows.decode_row(row).progress
            for row in self.table.history
            if row.key == key
        ]
        steps = [
            one.step
            for one in progress
            if one is not None and one.state is RolloutState.RUNNING
        ]
        return steps == list(range(len(steps)))


def baseline_exposure(plan: Scenario) -> float:
    """Return the requests of a bad version under fixed steps."""
    if plan.bad_at is None:
        return 0
    exposure = float(0)
    ticks = int(OPERATOR_S / TICK_S)
    for number in range(ticks):
        at = plan.bad_at + number * TICK_S
        step = min(int(at / STEP_S), len(SHARES) - 1)
        exposure += RATE * TICK_S * SHARES[step]
    return exposure


def _figure(
    metric: str, baseline: float | None, ours: float, target: float
) -> Figure:
    unit = 'requests' if metric == EXPOSURE else 'rollouts'
    met = ours <= target
    return Figure('rollouts', metric, unit, baseline, ours, target, met)


def run(seed: int) -> list[Figure]:
    """Run good and bad roll-outs.

    Args:
      seed: of every random choice.

    Returns:
      Measured figures with their targets.
    """
    source = random.Random(seed)
    bad = [
        Simulation(scenario_of(source, bad=True), source).run()
        for _ in range(ROLLOUTS)
    ]
    good = [
        Simulation(scenario_of(source, bad=False), source).run()
        for _ in range(ROLLOUTS)
    ]
    every = bad + good
    baseline = statistics.fmean(one.baseline_exposure for one in bad)
    ours = statistics.fmean(one.exposure for one in bad)
    missed = sum(not one.halted for one in bad)
    false_halts = sum(one.halted for one in good)
    disordered = sum(not one.steps_in_order for one in every)
    unfinished = sum(not one.done and not one.halted for one in good)
    return [
        _figure(EXPOSURE, baseline, ours, baseline / 10),
        _figure('bad rollouts not halted', None, missed, 0),
        _figure('false halts in 200 good rollouts', None, false_halts, 2),
        _figure('steps taken twice or skipped', None, disordered, 0),
        _figure('good rollouts not done', None, unfinished, 0),
    ]


@scenario('rollouts')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Return the medians of the runs with the given seeds."""
    return medians([run(seed) for seed in seeds])


if __name__ == '__main__':
    figures = run(int(sys.argv[1]))
    for figure in figures:
        sys.stdout.write(f'{figure}\n')
