"""Simulation of routing policies on nodes that receive delayed load reports.

The router's policy is compared with random choice, with the least reported
load, and with a policy that knows the true state of all workers.
"""

import dataclasses
import functools
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from bronzeglade.decisions.load import Load
from bronzeglade.decisions.prefix import CacheEvent
from bronzeglade.decisions.routing import (
    NoWorker,
    RoutedRequest,
    Routing,
    RoutingSettings,
)
from fleet.bench import Figure, scenario
from fleet.simulation import Job, SimulatedClock, SimulatedWorker, percentile

NODES = 7
WORKERS = 24
SLOTS = 8
FAILURE_DOMAINS = ('a', 'b', 'c')
ONE_WAY_S = 0.004
REPORT_LAG_S = 1.0
REPORT_INTERVAL_S = 1.0
DURATION_S = 30.0
WARM_UP_S = 10.0
LOADED_RATE = 190  # requests/s; uses about 85% of the slots
IDLE_RATE = 10  # requests/s
EVENT_LOSS_FRACTION = 0.05  # of the cache events of each node
SESSIONS = 400
SHARED_BLOCKS = 16  # common prefix of all prompts of a team
TEAMS = 10


class Policy(Protocol):
    """Routing policy of a node."""

    def choose(self, job: Job) -> SimulatedWorker:
        """Return the worker that receives a request."""

    def record_finished(self, worker: SimulatedWorker) -> None:
        """Record that a request on a worker has finished."""

    def receive_report(self, worker: SimulatedWorker) -> None:
        """Receive a delayed report of a worker."""


@dataclasses.dataclass(slots=True)
class RandomChoice:
    """Policy that chooses a worker at random."""

    clock: SimulatedClock
    workers: list[SimulatedWorker]
    rng: random.Random

    def choose(self, job: Job) -> SimulatedWorker:
        """Return a random worker."""
        return self.rng.choice(self.workers)

    def record_finished(self, worker: SimulatedWorker) -> None:
        """Ignore finished requests."""

    def receive_report(self, worker: SimulatedWorker) -> None:
        """Ignore reports."""


@dataclasses.dataclass(slots=True)
class LeastReportedLoad(RandomChoice):
    """Policy that chooses the worker with the least load in its last report."""

    reports: dict[str, int] = dataclasses.field(default_factory=dict)

    def choose(self, job: Job) -> SimulatedWorker:
        """Return the worker with the least reported load, ties at random."""
        self.rng.shuffle(self.workers)
        return min(
            self.workers, key=lambda worker: self.reports.get(worker.vm, 0)
        )

    def receive_report(self, worker: SimulatedWorker) -> None:
        """Store the number of running and waiting requests."""
        self.reports[worker.vm] = sum(worker.reported_load(REPORT_LAG_S))


@dataclasses.dataclass(slots=True)
class PerfectKnowledge(RandomChoice):
    """Policy with the router's cost function on true loads and caches."""

    settings: RoutingSettings = RoutingSettings()

    def choose(self, job: Job) -> SimulatedWorker:
        """Return the worker with the lowest true cost, ties at random."""
        self.rng.shuffle(self.workers)
        return min(self.workers, key=lambda worker: self._cost(worker, job))

    def _cost(self, worker: SimulatedWorker, job: Job) -> float:
        load = worker.running + len(worker.queue)
        missing = len(job.blocks) - worker.count_cached_blocks(job.blocks)
        queued = max(0, load + 1 - worker.slots)
        block_s = self.settings.block_s
        if job.priority == 0:
            queued = min(1, queued)
        else:
            block_s *= self.settings.capacity_factor
        return (
            missing * block_s
            + min(1, load / worker.slots) * self.settings.slot_s
            + queued / worker.slots * self.settings.service_s
        )


class RouterPolicy:
    """Policy of the router, made of its decision objects."""

    def __init__(
        self,
        clock: SimulatedClock,
        workers: list[SimulatedWorker],
        rng: random.Random,
    ) -> None:
        """Create the decision objects of a node in a random failure domain."""
        self.workers_by_vm = {worker.vm: worker for worker in workers}
        self.workers = workers
        self.routing = Routing(RoutingSettings(), clock, rng)
        own_failure_domain = rng.choice(FAILURE_DOMAINS)
        self.routing.delays = {
            name: 0 if name == own_failure_domain else ONE_WAY_S
            for name in FAILURE_DOMAINS
        }

    def choose(self, job: Job) -> SimulatedWorker:
        """Return the router's choice and record the request as started."""
        request = RoutedRequest(job.blocks, job.priority)
        choice = self.routing.choose(self.workers, request)
        if isinstance(choice, NoWorker):
            raise RuntimeError(choice.reason)
        self.routing.started(choice.worker, job.blocks)
        return self.workers_by_vm[choice.worker]

    def record_finished(self, worker: SimulatedWorker) -> None:
        """Record that a request on a worker has finished."""
        self.routing.finished(worker.vm)

    def receive_report(self, worker: SimulatedWorker) -> None:
        """Apply the load and, except for lost ones, the cache events."""
        running, waiting = worker.reported_load(REPORT_LAG_S)
        self.routing.loads.report(worker.vm, Load('all', running, waiting))
        last_sequence = self.routing.prefixes.sequences.get(worker.vm, 0)
        for change in worker.events_since(last_sequence, REPORT_LAG_S):
            if self.routing.rng.random() >= EVENT_LOSS_FRACTION:
                self.routing.prefixes.apply(
                    CacheEvent(
                        worker.vm, change.sequence, change.block, change.added
                    )
                )


PolicyFactory = Callable[
    [SimulatedClock, list[SimulatedWorker], random.Random], Policy
]
POLICIES: Mapping[str, PolicyFactory] = {
    'random': RandomChoice,
    'least_reported': LeastReportedLoad,
    'ours': RouterPolicy,
    'perfect': PerfectKnowledge,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Results of a run after the warm-up."""

    first_token_ms: float  # 95th percentile of urgent requests
    hit_ratio: float  # cached prompt blocks to all prompt blocks


def run(create_policy: PolicyFactory, rate: float, seed: int) -> Outcome:
    """Simulate the fleet with one policy.

    Args:
      create_policy: creates the policy of a node.
      rate: requests/s over all nodes.
      seed: seed of arrivals and of the policies.
    """
    rng = random.Random(seed)
    clock = SimulatedClock()
    workers = [
        SimulatedWorker(
            f'w{n}', FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)], SLOTS, clock
        )
        for n in range(WORKERS)
    ]
    nodes = [
        create_policy(clock, list(workers), random.Random(seed * 100 + n))
        for n in range(NODES)
    ]
    jobs: list[Job] = []
    for worker in workers:
        clock.every(0.05, worker.snapshot)
    for node in nodes:
        clock.after(
            rng.random(), functools.partial(_poll_reports, clock, node, workers)
        )
    turn_counts = [0 for _session in range(SESSIONS)]

    def arrive() -> None:
        job = _job(rng, turn_counts)
        job.arrived = clock.seconds
        jobs.append(job)
        node = nodes[job.node]
        worker = node.choose(job)
        job.done = lambda _job: node.record_finished(worker)
        worker.submit(job)
        clock.after(rng.expovariate(rate), arrive)

    clock.after(0, arrive)
    clock.run(DURATION_S)
    return _outcome(jobs)


def _poll_reports(
    clock: SimulatedClock, node: Policy, workers: list[SimulatedWorker]
) -> None:
    for worker in workers:
        node.receive_report(worker)
    clock.after(
        REPORT_INTERVAL_S,
        functools.partial(_poll_reports, clock, node, workers),
    )


def _job(rng: random.Random, turn_counts: list[int]) -> Job:
    session = min(int(rng.expovariate(1 / 80)), SESSIONS - 1)
    turn_counts[session] += 1
    team = session % TEAMS
    length = 4 + turn_counts[session] % 8 * 2
    conversation = turn_counts[session] // 8
    blocks = [f't{team}-{n}' for n in range(SHARED_BLOCKS)]
    blocks.extend(f's{session}-{conversation}-{n}' for n in range(length))
    priority = 0 if rng.randrange(5) == 0 else 1
    tokens = 20 + int(rng.expovariate(1 / 30))
    # Callers keep using one entry address for a while, so most requests of a
    # session arrive at the same node.
    is_rerouted = rng.randrange(10) == 0
    node = rng.randrange(NODES) if is_rerouted else session % NODES
    return Job(f't{team}', priority, tokens, tuple(blocks), node)


def _outcome(jobs: list[Job]) -> Outcome:
    measured = [
        job
        for job in jobs
        if job.arrived >= WARM_UP_S and job.first_token is not None
    ]
    urgent_ms = [
        ((job.first_token or 0) - job.arrived) * 1000
        for job in measured
        if job.priority == 0
    ]
    hits = sum(job.hits for job in measured)
    blocks = sum(len(job.blocks) for job in measured)
    return Outcome(percentile(urgent_ms, 0.95), hits / blocks)


@scenario('routing')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Compare the policies under the same load."""
    figures: list[Figure] = []
    results = {
        name: [run(create_policy, LOADED_RATE, seed) for seed in seeds]
        for name, create_policy in POLICIES.items()
    }
    idle = [run(RouterPolicy, IDLE_RATE, seed) for seed in seeds]
    idle_ms = percentile([outcome.first_token_ms for outcome in idle], 0.5)
    first_token_ms_by_policy = {
        name: percentile([outcome.first_token_ms for outcome in runs], 0.5)
        for name, runs in results.items()
    }
    for name in ('random', 'least_reported'):
        target = idle_ms + (first_token_ms_by_policy[name] - idle_ms) / 2
        figures.append(
            Figure(
                'routing',
                f'urgent first token p95, baseline {name}',
                'ms',
                first_token_ms_by_policy[name],
                first_token_ms_by_policy['ours'],
                target,
                first_token_ms_by_policy['ours'] <= target,
            )
        )
    hits = {
        name: percentile([outcome.hit_ratio for outcome in runs], 0.5)
        for name, runs in results.items()
    }
    hit_target = 0.9 * hits['perfect']
    figures.append(
        Figure(
            'routing',
            'prefix hits, baseline perfect knowledge',
            'share',
            hits['perfect'],
            hits['ours'],
            hit_target,
            hits['ours'] >= hit_target,
        )
    )
    return figures
