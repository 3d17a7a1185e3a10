"""Admission: floods of one rank, and small teams beside large ones."""

import collections
import dataclasses
import datetime as dt
import functools
import random
from collections.abc import Mapping

from bronzeglade.decisions.admission import (
    Admission,
    AdmissionSettings,
    Admitted,
    Decision,
    Ticket,
    Work,
)
from bronzeglade.decisions.shares import Demand, capacities
from fleet.bench import Figure, scenario
from fleet.simulation import Job, SimulatedClock, SimulatedWorker, percentile

NODES = 4
WORKERS = 12
SLOTS = 8
FLEET = WORKERS * SLOTS
SERVICE_S = 0.8  # mean of a request: 50 tokens and a first token
CAPACITY = FLEET / SERVICE_S  # requests a second
SECONDS = 35.0
WARM_UP_S = 15.0
GOSSIP_S = 0.5
GOSSIP_LAG_S = 1.0
SETTLE = 4
FLOORS = {0: 0.2, 1: 0.1, 2: 0.05}
PATIENCE_S = {0: 0.8, 1: 1.3, 2: 10.0}
SMALL_TEAMS = 8
WEIGHTS = {'large-0': 4.0, 'large-1': 4.0}

# Offered load by rank as a part of the capacity.
QUIET = {0: 0.2, 1: 0.3, 2: 0.1}
PATIENT_FLOOD = {**QUIET, 2: 3.0}
URGENT_FLOOD = {**QUIET, 0: 3.0}


class Node:
    """Admission of one node; without it, work goes straight to a worker."""

    def __init__(
        self,
        clock: SimulatedClock,
        workers: list[SimulatedWorker],
        source: random.Random,
        managed: bool,
    ) -> None:
        """Create a node with an equal part of the slots."""
        self.clock = clock
        self.workers = workers
        self.source = source
        self.managed = managed
        self.queue = Admission(AdmissionSettings(), clock, source)
        self.queue.set_floors(dict(FLOORS))
        self.queue.set_capacity('m', FLEET // NODES)
        self.jobs: dict[int, Job] = {}
        self.told: collections.deque[Demand] = collections.deque(
            [{}], maxlen=int(GOSSIP_LAG_S / GOSSIP_S) + 1
        )
        self.recent: collections.deque[int] = collections.deque(maxlen=SETTLE)

    def submit(self, job: Job) -> None:
        """Take a request."""
        if not self.managed:
            self._run(job)
            return
        ticket, decided = self.queue.submit(
            Work(
                team=job.team,
                weight=WEIGHTS.get(job.team, 1),
                rank=f'r{job.priority}',
                priority=job.priority,
                model='m',
                deadline=self.clock.monotonic() + dt.timedelta(seconds=60),
                max_wait=dt.timedelta(seconds=PATIENCE_S[job.priority]),
            )
        )
        self.jobs[ticket.number] = job
        self.decide(decided)

    def decide(self, decided: list[Decision]) -> None:
        """Start what was admitted and drop what was refused."""
        for decision in decided:
            job = self.jobs.pop(decision.ticket.number)
            if isinstance(decision, Admitted):
                job.done = functools.partial(self._end, decision.ticket)
                self._run(job)

    def divide(self, demands: Mapping[str, Demand], name: str) -> None:
        """Take a new part of the slots, as entry/admission.py does."""
        share = capacities(FLEET, demands, FLOORS, WEIGHTS)[name]
        self.recent.append(share)
        self.decide(self.queue.set_capacity('m', min(self.recent)))

    def _end(self, ticket: Ticket, _job: Job) -> None:
        self.decide(self.queue.release(ticket))

    def _run(self, job: Job) -> None:
        # The choice of the worker is not the subject here.
        self.source.shuffle(self.workers)
        worker = min(self.workers, key=lambda one: one.running + len(one.queue))
        worker.submit(job)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Completed requests by rank and by team, and urgent first tokens."""

    first_token_ms: float
    by_rank: Mapping[int, float]  # part of the capacity
    by_team: Mapping[str, int]
    urgent_small: int
    throughput: float  # part of the capacity, late answers included
    excess: float  # mean part of the fleet's slots that is used beyond them

    @property
    def goodput(self) -> float:
        """Return the part of the capacity that useful work took."""
        return sum(self.by_rank.values())


def run(load: Mapping[int, float], managed: bool, seed: int) -> Outcome:
    """Simulate one policy under a load.

    Args:
      load: offered by rank, as a part of the capacity.
      managed: whether the product's admission decides.
      seed: of arrivals.
    """
    clock = SimulatedClock()
    workers = [
        SimulatedWorker(f'w{n}', 'a', SLOTS, clock) for n in range(WORKERS)
    ]
    nodes = {
        f'n{n}': Node(clock, list(workers), random.Random(seed + n), managed)
        for n in range(NODES)
    }
    jobs: list[Job] = []
    excess: list[int] = []
    for priority, part in load.items():
        _arrivals(clock, seed, nodes, jobs, (priority, part))
    if managed:
        clock.every(GOSSIP_S, functools.partial(_gossip, nodes))
        for node in nodes.values():
            clock.every(0.1, functools.partial(_tick, node))

    def watch() -> None:
        active = sum(one.running + len(one.queue) for one in workers)
        if clock.seconds >= WARM_UP_S:
            excess.append(max(0, active - FLEET))

    clock.every(0.05, watch)
    clock.run(SECONDS)
    return _outcome(jobs, sum(excess) / len(excess) / FLEET)


def _tick(node: Node) -> None:
    node.decide(node.queue.expire_and_admit())


def _gossip(nodes: Mapping[str, Node]) -> None:
    for node in nodes.values():
        node.told.append(node.queue.demand('m'))
    old = {name: node.told[0] for name, node in nodes.items()}
    for name, node in nodes.items():
        node.divide(old, name)


def _arrivals(
    clock: SimulatedClock,
    seed: int,
    nodes: Mapping[str, Node],
    jobs: list[Job],
    kind: tuple[int, float],
) -> None:
    priority, part = kind
    quiet = QUIET[priority] * CAPACITY
    small = 0.4 * quiet / SMALL_TEAMS
    rates = {f'small-{n}': small for n in range(SMALL_TEAMS)}
    large = (part * CAPACITY - 0.4 * quiet) / 2
    rates.update({'large-0': large, 'large-1': large})
    names = list(nodes)

    def start(team: str, rate: float) -> None:
        # A team's arrivals are the same under every load of the others.
        source = random.Random(f'{seed}/{priority}/{team}')

        def arrive() -> None:
            tokens = 20 + int(source.expovariate(1 / 30))
            job = Job(team, priority, tokens, arrived=clock.seconds)
            jobs.append(job)
            home = names[sum(map(ord, team)) % NODES]
            away = source.randrange(4) == 0
            nodes[source.choice(names) if away else home].submit(job)
            clock.after(source.expovariate(rate), arrive)

        clock.after(source.expovariate(rate), arrive)

    for team, rate in rates.items():
        start(team, rate)


def _outcome(jobs: list[Job], excess: float) -> Outcome:
    counted = [job for job in jobs if job.arrived >= WARM_UP_S]
    urgent = [
        (job.first_token - job.arrived) * 1000
        for job in counted
        if job.priority == 0 and job.first_token is not None
    ]
    done = [
        job
        for job in jobs
        if job.finished is not None
        and job.finished >= WARM_UP_S
        and job.first_token is not None
        and job.first_token - job.arrived <= 1.25 * PATIENCE_S[job.priority]
    ]
    ranks = collections.Counter(job.priority for job in done)
    scale = (SECONDS - WARM_UP_S) * CAPACITY
    return Outcome(
        percentile(urgent, 0.95),
        {priority: count / scale for priority, count in ranks.items()},
        collections.Counter(job.team for job in done),
        sum(job.priority == 0 and job.team.startswith('small') for job in done),
        sum(
            job.finished is not None and job.finished >= WARM_UP_S
            for job in jobs
        )
        / scale,
        excess,
    )


def _small(outcome: Outcome) -> int:
    return sum(
        count
        for team, count in outcome.by_team.items()
        if team.startswith('small')
    )


@scenario('admission')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Compare admission with first come, first served."""
    results = {
        (name, managed): [run(load, managed, seed) for seed in seeds]
        for name, load in (
            ('quiet', QUIET),
            ('patient', PATIENT_FLOOD),
            ('urgent', URGENT_FLOOD),
        )
        for managed in (True, False)
    }

    def median(name: str, managed: bool, pick: str) -> float:
        values = [_pick(one, pick) for one in results[name, managed]]
        return percentile(values, 0.5)

    def figure(name: str, pick: str, target: float, unit: str) -> Figure:
        ours = median(name, True, pick)
        lower = pick in {'first token p95', 'requests beyond the slots'}
        met = ours <= target if lower else ours >= target
        label = f'flood of {name} work: {pick}'
        baseline = median(name, False, pick)
        return Figure('admission', label, unit, baseline, ours, target, met)

    quiet_ms = median('quiet', True, 'first token p95')
    quiet_small = median('quiet', True, 'small teams')
    quiet_urgent = 0.95 * median('quiet', True, 'urgent work of small teams')
    best = max(
        median('patient', managed, 'throughput') for managed in (True, False)
    )
    return [
        figure('patient', 'first token p95', 1.2 * quiet_ms, 'ms'),
        figure('patient', 'goodput', 0.9 * best, 'share'),
        figure('patient', 'small teams', 0.95 * quiet_small, 'requests'),
        figure(
            'urgent', 'urgent work of small teams', quiet_urgent, 'requests'
        ),
        figure('urgent', 'rank 1', FLOORS[1], 'share'),
        figure('urgent', 'rank 2', FLOORS[2], 'share'),
        figure('urgent', 'goodput', 0.9 * best, 'share'),
        figure('patient', 'requests beyond the slots', 0.01, 'share'),
        figure('urgent', 'requests beyond the slots', 0.01, 'share'),
    ]


def _pick(outcome: Outcome, name: str) -> float:
    if name == 'first token p95':
        return outcome.first_token_ms
    if name == 'small teams':
        return _small(outcome)
    if name == 'urgent work of small teams':
        return outcome.urgent_small
    if name == 'throughput':
        return outcome.throughput
    if name == 'requests beyond the slots':
        return outcome.excess
    if name == 'goodput':
        return outcome.goodput
    return outcome.by_rank.get(int(name[-1]), 0)
