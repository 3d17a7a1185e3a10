"""Simulation of roll-outs: exposure to bad versions, and false halts.

Several nodes run the loops of `bronzeglade.entry.model_rollouts` with an
in-memory table that has an outage and loses replies, and with delayed gossip.
The baseline takes the same steps at fixed times, and an operator halts it 60 s
after the candidate became bad.
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
from bronzeglade.coordination import rollout_progress
from bronzeglade.coordination.rollout_progress import RolloutState
from bronzeglade.decisions.evidence import Observation
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.model_rollouts import ModelRollouts, RolloutContext
from bronzeglade.entry.versions import VersionAssignment
from bronzeglade.manifest import Rollout
from fleet.bench import Figure, medians, scenario
from fleet.rollout_parts import DelayedGossip, GossipNetwork, RecordingTable

EXPOSURE_METRIC = 'requests given to the bad version'
ROLLOUTS_PER_KIND = 200  # for good and for bad candidates each
NODES = 3
REQUEST_RATE = 100  # requests/s over all nodes
TICK_S = 0.5
STEP_S = 30
STEP_SHARES = (0.05, 0.25, 0.5, 1)
# The outcome of a roll-out that is unfinished by then is read from its state.
MAX_DURATION_S = 240
OPERATOR_REACTION_S = 60
HOLDER_KILL_FRACTION = 0.3  # of the roll-outs; kills the lease holder
MAX_RATINGS_PER_TICK = 1  # for each node and version: 2 ratings/s
COORDINATION_TICKS = 4  # nodes coordinate every 2 s


@dataclasses.dataclass(frozen=True, slots=True)
class Quality:
    """Quality of the answers of a version."""

    error_rate: float = 0.01  # fraction of requests
    latency_factor: float = 1  # factor on the time to the first token
    rating: float = 0.85  # mean of the ratings


@dataclasses.dataclass(frozen=True, slots=True)
class FaultPlan:
    """Faults during a roll-out; times in seconds after its start."""

    bad_at: float | None  # None if the candidate does not turn bad
    bad_quality: Quality
    outage: tuple[float, float]  # start and end of the table's outage
    kill_holder_at: float | None  # None if the lease holder keeps running
    # Start and end of higher error rates and latency of both versions.
    degradation: tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a roll-out."""

    exposure: int  # requests that the bad version received
    baseline_exposure: float
    halted: bool  # by all live nodes
    done: bool
    steps_in_order: bool  # no step was repeated or skipped


def random_fault_plan(rng: random.Random, bad: bool) -> FaultPlan:
    """Return random faults of the candidate, the table and the fleet."""
    defect = rng.choice(('errors', 'latency', 'rating'))
    quality = Quality(
        error_rate=rng.uniform(0.1, 0.5) if defect == 'errors' else 0.01,
        latency_factor=rng.uniform(2, 4) if defect == 'latency' else 1,
        rating=rng.uniform(0.45, 0.7) if defect == 'rating' else 0.85,
    )
    outage_start = rng.uniform(0, 300)
    degradation_start = rng.uniform(0, 300)
    is_holder_killed = rng.random() < HOLDER_KILL_FRACTION
    return FaultPlan(
        bad_at=rng.uniform(0, STEP_S * len(STEP_SHARES)) if bad else None,
        bad_quality=quality,
        outage=(outage_start, outage_start + 20),
        kill_holder_at=rng.uniform(5, 120) if is_holder_killed else None,
        degradation=(degradation_start, degradation_start + 10),
    )


def build_rollout() -> Rollout:
    """Return the roll-out that all simulations run."""
    return builders.rollout(
        steps=[
            {'share': share, 'min_requests': 100, 'min_seconds': STEP_S}
            for share in STEP_SHARES
        ]
    )


class Simulation:
    """Nodes that run one roll-out and serve simulated requests."""

    def __init__(self, plan: FaultPlan, rng: random.Random) -> None:
        """Create the nodes, the table and the gossip network.

        Args:
          plan: faults to inject.
          rng: randomness of requests, delays and lost replies.
        """
        self.plan = plan
        self.rng = rng
        self.clock = ManualClock()
        self.start = self.clock.monotonic()
        self.rollout = build_rollout()
        self.catalog = builders.catalog(self.rollout)
        self.table = RecordingTable(rng, lost_reply_fraction=0.05)
        self.network = GossipNetwork(rng, max_delay_s=2)
        self.nodes = [self._node(index) for index in range(NODES)]
        self.live_nodes = list(self.nodes)
        self.pending_observations: list[
            tuple[float, int, ModelRollouts, str, Observation]
        ] = []
        self.sequence = 0
        self.exposure = 0

    def run(self) -> Outcome:
        """Run until the roll-out is done, halted by all nodes or timed out."""
        tick = 0
        while self.elapsed() < MAX_DURATION_S and not self._is_decided():
            self._inject_faults()
            self._serve_requests()
            for node in self.live_nodes:
                node.judge()
                if tick % COORDINATION_TICKS == 0:
                    node.coordinate()
            self.clock.advance(dt.timedelta(seconds=TICK_S))
            tick += 1
        halted = [
            node.view.halt_reason(self.rollout) is not None
            for node in self.live_nodes
        ]
        return Outcome(
            self.exposure,
            baseline_exposure(self.plan),
            all(halted),
            self._is_done(),
            self._steps_in_order(),
        )

    def elapsed(self) -> float:
        """Return the simulated seconds since the start."""
        return (self.clock.monotonic() - self.start).total_seconds()

    def _node(self, index: int) -> ModelRollouts:
        name = f'node-{index}'
        gossip = DelayedGossip(name, self.clock, self.network)
        peers = [
            (f'node-{other}', f'domain-{other}')
            for other in range(NODES)
            if other != index
        ]
        context = RolloutContext(
            catalog=lambda: self.catalog,
            peers=functools.partial(self._live_peers, peers),
            load=lambda _rollout: True,
        )
        return ModelRollouts(
            NodeIdentity(name, name, f'domain-{index}'),
            self.clock,
            self.table,
            VersionAssignment(gossip),
            context,
        )

    def _live_peers(
        self, peers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        live_vms = {node.identity.vm for node in self.live_nodes}
        return [peer for peer in peers if peer[0] in live_vms]

    def _inject_faults(self) -> None:
        now = self.elapsed()
        start, end = self.plan.outage
        self.table.available = not start <= now < end
        kill_at = self.plan.kill_holder_at
        if kill_at is None or now < kill_at or len(self.live_nodes) < NODES:
            return
        holders = [node for node in self.live_nodes if node.lease.held()]
        for node in holders:
            self.live_nodes.remove(node)

    def _serve_requests(self) -> None:
        now = self.elapsed()
        request_counts: dict[tuple[str, str], int] = {}
        for _ in range(int(REQUEST_RATE * TICK_S)):
            node = self.rng.choice(self.live_nodes)
            self.sequence += 1
            version = node.versions.preferred(
                self.catalog, 'm', ('v1', 'v2'), f'unit-{self.sequence}'
            )
            bad_at = self.plan.bad_at
            candidate_is_bad = bad_at is not None and now >= bad_at
            is_bad = candidate_is_bad and version == self.rollout.to_version
            self.exposure += is_bad
            quality = self.plan.bad_quality if is_bad else Quality()
            key = (node.identity.vm, version)
            request_counts[key] = request_counts.get(key, 0) + 1
            self._schedule_observations(
                node,
                version,
                quality,
                request_counts[key] <= MAX_RATINGS_PER_TICK,
            )
        while (
            self.pending_observations and self.pending_observations[0][0] <= now
        ):
            _at, _sequence, node, version, observation = heapq.heappop(
                self.pending_observations
            )
            node.versions.observe('m', version, observation)

    def _schedule_observations(
        self,
        node: ModelRollouts,
        version: str,
        quality: Quality,
        is_rated: bool,
    ) -> None:
        now = self.elapsed()
        start, end = self.plan.degradation
        is_degraded = start <= now < end
        failed = self.rng.random() < quality.error_rate + 0.15 * is_degraded
        ratio = self.rng.lognormvariate(-0.7, 0.4) * quality.latency_factor
        if is_degraded:
            ratio *= 2
        # The latency ratio divides the first-token time by its target, 0.8 s.
        at = now + 0.8 * ratio
        observation = Observation(error=failed, latency_ratio=ratio)
        self._schedule(at, node, version, observation)
        if is_rated and not failed:
            rating = min(1, max(0, self.rng.gauss(quality.rating, 0.15)))
            rated_at = at + self.rng.uniform(1, 4)
            observation = Observation(rating=rating, counts=False)
            self._schedule(rated_at, node, version, observation)

    def _schedule(
        self,
        at: float,
        node: ModelRollouts,
        version: str,
        observation: Observation,
    ) -> None:
        self.sequence += 1
        entry = (at, self.sequence, node, version, observation)
        heapq.heappush(self.pending_observations, entry)

    def _is_decided(self) -> bool:
        halted = all(
            node.view.halt_reason(self.rollout) is not None
            for node in self.live_nodes
        )
        return halted or (self.plan.bad_at is None and self._is_done())

    def _is_done(self) -> bool:
        row = self.table.rows.get(rollout_progress.row_key(self.rollout.name))
        progress = rollout_progress.decode_row(row).progress
        return progress is not None and progress.state is RolloutState.DONE

    def _steps_in_order(self) -> bool:
        key = rollout_progress.row_key(self.rollout.name)
        progress = [
            rollout_progress.decode_row(row).progress
            for row in self.table.history
            if row.key == key
        ]
        steps = [
            record.step
            for record in progress
            if record is not None and record.state is RolloutState.RUNNING
        ]
        return steps == list(range(len(steps)))


def baseline_exposure(plan: FaultPlan) -> float:
    """Return the requests that a bad version receives under fixed steps.

    The steps continue until the operator halts the roll-out.
    """
    if plan.bad_at is None:
        return 0
    exposure = float(0)
    ticks = int(OPERATOR_REACTION_S / TICK_S)
    for tick in range(ticks):
        at = plan.bad_at + tick * TICK_S
        step = min(int(at / STEP_S), len(STEP_SHARES) - 1)
        exposure += REQUEST_RATE * TICK_S * STEP_SHARES[step]
    return exposure


def _figure(
    metric: str, baseline: float | None, ours: float, target: float
) -> Figure:
    unit = 'requests' if metric == EXPOSURE_METRIC else 'rollouts'
    met = ours <= target
    return Figure('rollouts', metric, unit, baseline, ours, target, met)


def run(seed: int) -> list[Figure]:
    """Run the roll-outs with bad and with good candidates.

    Args:
      seed: seed of all random choices.
    """
    rng = random.Random(seed)
    bad = [
        Simulation(random_fault_plan(rng, bad=True), rng).run()
        for _ in range(ROLLOUTS_PER_KIND)
    ]
    good = [
        Simulation(random_fault_plan(rng, bad=False), rng).run()
        for _ in range(ROLLOUTS_PER_KIND)
    ]
    outcomes = bad + good
    baseline = statistics.fmean(outcome.baseline_exposure for outcome in bad)
    ours = statistics.fmean(outcome.exposure for outcome in bad)
    not_halted = sum(not outcome.halted for outcome in bad)
    false_halts = sum(outcome.halted for outcome in good)
    misordered = sum(not outcome.steps_in_order for outcome in outcomes)
    unfinished = sum(
        not outcome.done and not outcome.halted for outcome in good
    )
    return [
        _figure(EXPOSURE_METRIC, baseline, ours, baseline / 10),
        _figure('bad rollouts not halted', None, not_halted, 0),
        _figure('false halts in 200 good rollouts', None, false_halts, 2),
        _figure('steps taken twice or skipped', None, misordered, 0),
        _figure('good rollouts not done', None, unfinished, 0),
    ]


@scenario('rollouts')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Return the medians of exposure and wrong decisions over the seeds."""
    return medians([run(seed) for seed in seeds])


if __name__ == '__main__':
    figures = run(int(sys.argv[1]))
    for figure in figures:
        sys.stdout.write(f'{figure}\n')
