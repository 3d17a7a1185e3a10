"""Choice of the worker: several nodes with the same delayed reports."""

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
DOMAINS = ('a', 'b', 'c')
ONE_WAY_S = 0.004
REPORT_LAG_S = 1.0
REPORT_INTERVAL_S = 1.0
SECONDS = 30.0
WARM_UP_S = 10.0
LOADED = 190  # requests a second: about 85% of the slots
IDLE = 10
EVENT_LOSS = 0.05
SESSIONS = 400
SHARED_BLOCKS = 16
TEAMS = 10


class Policy(Protocol):
    """How a node chooses."""

    def choose(self, job: Job) -> SimulatedWorker:
        """Return the worker for a request."""

    def finished(self, worker: SimulatedWorker) -> None:
        """Take note of the end of a request."""

    def report(self, worker: SimulatedWorker) -> None:
        """Take a delayed report."""


@dataclasses.dataclass(slots=True)
class RandomChoice:
    """Any worker."""

    clock: SimulatedClock
    workers: list[SimulatedWorker]
    rng: random.Random

    def choose(self, job: Job) -> SimulatedWorker:
        """Return any worker."""
        return self.rng.choice(self.workers)

    def finished(self, worker: SimulatedWorker) -> None:
        """Ignore it."""

    def report(self, worker: SimulatedWorker) -> None:
        """Ignore it."""


@dataclasses.dataclass(slots=True)
class LeastReported(RandomChoice):
    """The worker with the least load in the last report."""

    reports: dict[str, int] = dataclasses.field(default_factory=dict)

    def choose(self, job: Job) -> SimulatedWorker:
        """Return the worker with the least reported load."""
        self.rng.shuffle(self.workers)
        return min(self.workers, key=lambda one: self.reports.get(one.vm, 0))

    def report(self, worker: SimulatedWorker) -> None:
        """Keep the report."""
        self.reports[worker.vm] = sum(worker.reported_load(REPORT_LAG_S))


@dataclasses.dataclass(slots=True)
class PerfectKnowledge(RandomChoice):
    """The cost of the product's choice with true loads and caches."""

    settings: RoutingSettings = RoutingSettings()

    def choose(self, job: Job) -> SimulatedWorker:
        """Return the worker with the least true cost."""
        self.rng.shuffle(self.workers)
        return min(self.workers, key=lambda one: self._cost(one, job))

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


class Product:
    """The product's decision objects."""

    def __init__(
        self,
        clock: SimulatedClock,
        workers: list[SimulatedWorker],
        rng: random.Random,
    ) -> None:
        """Create the objects of one node."""
        self.by_name = {worker.vm: worker for worker in workers}
        self.workers = workers
        self.routing = Routing(RoutingSettings(), clock, rng)
        home = rng.choice(DOMAINS)
        self.routing.delays = {
            name: 0 if name == home else ONE_WAY_S for name in DOMAINS
        }

    def choose(self, job: Job) -> SimulatedWorker:
        """Choose as the product does."""
        request = RoutedRequest(job.blocks, job.priority)
        choice = self.routing.choose(self.workers, request)
        if isinstance(choice, NoWorker):
            raise RuntimeError(choice.reason)
        self.routing.started(choice.worker, job.blocks)
        return self.by_name[choice.worker]

    def finished(self, worker: SimulatedWorker) -> None:
        """Tell the decision objects."""
        self.routing.finished(worker.vm)

    def report(self, worker: SimulatedWorker) -> None:
        """Tell the decision objects."""
        running, waiting = worker.reported_load(REPORT_LAG_S)
        self.routing.loads.report(worker.vm, Load('all', running, waiting))
        known = self.routing.prefixes.sequences.get(worker.vm, 0)
        for change in worker.events_since(known, REPORT_LAG_S):
            if self.routing.rng.random() >= EVENT_LOSS:
                self.routing.prefixes.apply(
                    CacheEvent(
                        worker.vm, change.sequence, change.block, change.added
                    )
                )


Maker = Callable[[SimulatedClock, list[SimulatedWorker], random.Random], Policy]
POLICIES: Mapping[str, Maker] = {
    'random': RandomChoice,
    'least_reported': LeastReported,
    'ours': Product,
    'perfect': PerfectKnowledge,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a run gave: first token of urgent work, and prefix hits."""

    first_token_ms: float
    hit_share: float


def run(make: Maker, rate: float, seed: int) -> Outcome:
    """Simulate one policy.

    Args:
      make: creates the policy of a node.
      rate: requests a second over all nodes.
      seed: of arrivals and choices.
    """
    rng = random.Random(seed)
    clock = SimulatedClock()
    workers = [
        SimulatedWorker(f'w{n}', DOMAINS[n % len(DOMAINS)], SLOTS, clock)
        for n in range(WORKERS)
    ]
    nodes = [
        make(clock, list(workers), random.Random(seed * 100 + n))
        for n in range(NODES)
    ]
    jobs: list[Job] = []
    for worker in workers:
        clock.every(0.05, worker.snapshot)
    for node in nodes:
        clock.after(
            rng.random(), functools.partial(_poll, clock, node, workers)
        )
    turns = [0 for _session in range(SESSIONS)]

    def arrive() -> None:
        job = _job(rng, turns)
        job.arrived = clock.seconds
        jobs.append(job)
        node = nodes[job.node]
        worker = node.choose(job)
        job.done = lambda _job: node.finished(worker)
        worker.submit(job)
        clock.after(rng.expovariate(rate), arrive)

    clock.after(0, arrive)
    clock.run(SECONDS)
    return _outcome(jobs)


def _poll(
    clock: SimulatedClock, node: Policy, workers: list[SimulatedWorker]
) -> None:
    for worker in workers:
        node.report(worker)
    clock.after(
        REPORT_INTERVAL_S, functools.partial(_poll, clock, node, workers)
    )


def _job(rng: random.Random, turns: list[int]) -> Job:
    session = min(int(rng.expovariate(1 / 80)), SESSIONS - 1)
    turns[session] += 1
    team = session % TEAMS
    length = 4 + turns[session] % 8 * 2
    story = turns[session] // 8
    blocks = [f't{team}-{n}' for n in range(SHARED_BLOCKS)]
    blocks.extend(f's{session}-{story}-{n}' for n in range(length))
    priority = 0 if rng.randrange(5) == 0 else 1
    tokens = 20 + int(rng.expovariate(1 / 30))
    # Callers keep an entry address for a while, so most requests of a session
    # arrive at the same node.
    moved = rng.randrange(10) == 0
    node = rng.randrange(NODES) if moved else session % NODES
    return Job(f't{team}', priority, tokens, tuple(blocks), node)


def _outcome(jobs: list[Job]) -> Outcome:
    counted = [
        job
        for job in jobs
        if job.arrived >= WARM_UP_S and job.first_token is not None
    ]
    urgent = [
        ((job.first_token or 0) - job.arrived) * 1000
        for job in counted
        if job.priority == 0
    ]
    hits = sum(job.hits for job in counted)
    blocks = sum(len(job.blocks) for job in counted)
    return Outcome(percentile(urgent, 0.95), hits / blocks)


@scenario('routing')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Compare the policies at the same load, in alternating runs."""
    figures: list[Figure] = []
    results = {
        name: [run(make, LOADED, seed) for seed in seeds]
        for name, make in POLICIES.items()
    }
    idle = [run(Product, IDLE, seed) for seed in seeds]
    idle_ms = percentile([one.first_token_ms for one in idle], 0.5)
    median = {
        name: percentile([one.first_token_ms for one in runs], 0.5)
        for name, runs in results.items()
    }
    for name in ('random', 'least_reported'):
        target = idle_ms + (median[name] - idle_ms) / 2
        figures.append(
            Figure(
                'routing',
                f'urgent first token p95, baseline {name}',
                'ms',
                median[name],
                median['ours'],
                target,
                median['ours'] <= target,
            )
        )
    hits = {
        name: percentile([one.hit_share for one in runs], 0.5)
        for name, runs in results.items()
    }
    wanted = 0.9 * hits['perfect']
    figures.append(
        Figure(
            'routing',
            'prefix hits, baseline perfect knowledge',
            'share',
            hits['perfect'],
            hits['ours'],
            wanted,
            hits['ours'] >= wanted,
        )
    )
    return figures
