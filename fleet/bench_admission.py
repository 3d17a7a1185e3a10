"""Simulation of admission control under overload.

In each overload, the requests of one rank alone are three times the capacity,
nearly all of them from two large teams beside small ones. The baseline sends
each request to a worker at once.
"""

import collections
import dataclasses
import datetime as dt
import functools
import random
from collections.abc import Mapping

from bronzeglade.decisions.admission import (
    AdmissionQueue,
    AdmissionRequest,
    AdmissionSettings,
    Admitted,
    Decision,
    Ticket,
)
from bronzeglade.decisions.shares import Demand, capacities
from fleet.bench import Figure, scenario
from fleet.simulation import Job, SimulatedClock, SimulatedWorker, percentile

NODES = 4
WORKERS = 12
SLOTS = 8
FLEET_SLOTS = WORKERS * SLOTS
MEAN_SERVICE_S = 0.8  # mean time of a request: its first token and 50 tokens
CAPACITY = FLEET_SLOTS / MEAN_SERVICE_S  # requests/s
DURATION_S = 35.0
WARM_UP_S = 15.0
GOSSIP_INTERVAL_S = 0.5
GOSSIP_LAG_S = 1.0
# A node uses the minimum of its latest shares: 4 rounds of 0.5 s are the delay
# after which entry/admission.py uses a higher share.
SHARE_DELAY_ROUNDS = 4
# Guaranteed fraction of the slots and maximum time in the queue, by rank; rank
# 0 is the most urgent.
RANK_FLOORS = {0: 0.2, 1: 0.1, 2: 0.05}
MAX_WAIT_S = {0: 0.8, 1: 1.3, 2: 10.0}
SMALL_TEAMS = 8
TEAM_WEIGHTS = {'large-0': 4.0, 'large-1': 4.0}

# Offered load by rank, as a fraction of the capacity.
BASE_LOAD = {0: 0.2, 1: 0.3, 2: 0.1}
PATIENT_FLOOD = {**BASE_LOAD, 2: 3.0}
URGENT_FLOOD = {**BASE_LOAD, 0: 3.0}


class Node:
    """A node with admission control, or without it for the baseline."""

    def __init__(
        self,
        clock: SimulatedClock,
        workers: list[SimulatedWorker],
        rng: random.Random,
        with_admission: bool,
    ) -> None:
        """Create a node with an equal share of the slots.

        Args:
          clock: time of the simulation.
          workers: all workers of the fleet.
          rng: randomness of admission and of the choice of a worker.
          with_admission: whether admission control is used.
        """
        self.clock = clock
        self.workers = workers
        self.rng = rng
        self.with_admission = with_admission
        self.queue = AdmissionQueue(AdmissionSettings(), clock, rng)
        self.queue.set_floors(dict(RANK_FLOORS))
        self.queue.set_capacity('m', FLEET_SLOTS // NODES)
        self.jobs: dict[int, Job] = {}
        self.published_demands: collections.deque[Demand] = collections.deque(
            [{}], maxlen=int(GOSSIP_LAG_S / GOSSIP_INTERVAL_S) + 1
        )
        self.recent_shares: collections.deque[int] = collections.deque(
            maxlen=SHARE_DELAY_ROUNDS
        )

    def submit(self, job: Job) -> None:
        """Queue a request, or dispatch it at once without admission."""
        if not self.with_admission:
            self._dispatch(job)
            return
        ticket, decisions = self.queue.submit(
            AdmissionRequest(
                team=job.team,
                weight=TEAM_WEIGHTS.get(job.team, 1),
                rank=f'r{job.priority}',
                priority=job.priority,
                model='m',
                deadline=self.clock.monotonic() + dt.timedelta(seconds=60),
                max_wait=dt.timedelta(seconds=MAX_WAIT_S[job.priority]),
            )
        )
        self.jobs[ticket.number] = job
        self.apply_decisions(decisions)

    def apply_decisions(self, decisions: list[Decision]) -> None:
        """Dispatch admitted requests and discard refused ones."""
        for decision in decisions:
            job = self.jobs.pop(decision.ticket.number)
            if isinstance(decision, Admitted):
                job.done = functools.partial(self._release, decision.ticket)
                self._dispatch(job)

    def update_share(self, demands: Mapping[str, Demand], name: str) -> None:
        """Update this node's share of the slots as entry/admission.py does."""
        share = capacities(FLEET_SLOTS, demands, RANK_FLOORS, TEAM_WEIGHTS)[
            name
        ]
        self.recent_shares.append(share)
        self.apply_decisions(
            self.queue.set_capacity('m', min(self.recent_shares))
        )

    def _release(self, ticket: Ticket, _job: Job) -> None:
        self.apply_decisions(self.queue.release(ticket))

    def _dispatch(self, job: Job) -> None:
        # Routing is out of scope here: the least loaded worker receives the
        # request, and shuffling breaks ties at random.
        self.rng.shuffle(self.workers)
        chosen = min(
            self.workers, key=lambda worker: worker.running + len(worker.queue)
        )
        chosen.submit(job)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Results of a run after the warm-up.

    `by_rank`, `by_team` and `urgent_small` count useful answers only: those
    whose first token arrived within 1.25 times the maximum wait of their rank.
    """

    first_token_ms: float  # 95th percentile of urgent requests
    by_rank: Mapping[int, float]  # fraction of the capacity, by rank
    by_team: Mapping[str, int]  # requests
    urgent_small: int  # urgent requests of small teams
    throughput: float  # fraction of the capacity, including late answers
    excess: float  # mean requests beyond the slots, as a fraction of the slots

    @property
    def goodput(self) -> float:
        """Return useful answers as a fraction of the capacity."""
        return sum(self.by_rank.values())


def run(load: Mapping[int, float], with_admission: bool, seed: int) -> Outcome:
    """Simulate the fleet under a load, with or without admission control.

    Args:
      load: offered load by rank, as a fraction of the capacity.
      with_admission: whether the nodes use admission control.
      seed: seed of arrivals, admission and the choice of workers.
    """
    clock = SimulatedClock()
    workers = [
        SimulatedWorker(f'w{n}', 'a', SLOTS, clock) for n in range(WORKERS)
    ]
    nodes = {
        f'n{n}': Node(
            clock, list(workers), random.Random(seed + n), with_admission
        )
        for n in range(NODES)
    }
    jobs: list[Job] = []
    excess: list[int] = []
    for priority, fraction in load.items():
        _start_arrivals(clock, seed, nodes, jobs, (priority, fraction))
    if with_admission:
        clock.every(
            GOSSIP_INTERVAL_S, functools.partial(_exchange_demands, nodes)
        )
        for node in nodes.values():
            clock.every(0.1, functools.partial(_expire_and_admit, node))

    def record_excess() -> None:
        active = sum(worker.running + len(worker.queue) for worker in workers)
        if clock.seconds >= WARM_UP_S:
            excess.append(max(0, active - FLEET_SLOTS))

    clock.every(0.05, record_excess)
    clock.run(DURATION_S)
    return _outcome(jobs, sum(excess) / len(excess) / FLEET_SLOTS)


def _expire_and_admit(node: Node) -> None:
    node.apply_decisions(node.queue.expire_and_admit())


def _exchange_demands(nodes: Mapping[str, Node]) -> None:
    for node in nodes.values():
        node.published_demands.append(node.queue.demand('m'))
    received = {name: node.published_demands[0] for name, node in nodes.items()}
    for name, node in nodes.items():
        node.update_share(received, name)


def _start_arrivals(
    clock: SimulatedClock,
    seed: int,
    nodes: Mapping[str, Node],
    jobs: list[Job],
    rank_load: tuple[int, float],
) -> None:
    priority, fraction = rank_load
    # The small teams together offer 40% of the base load under every load; the
    # large teams offer the rest.
    base_rate = BASE_LOAD[priority] * CAPACITY
    small_rate = 0.4 * base_rate / SMALL_TEAMS
    rates = {f'small-{n}': small_rate for n in range(SMALL_TEAMS)}
    large_rate = (fraction * CAPACITY - 0.4 * base_rate) / 2
    rates.update({'large-0': large_rate, 'large-1': large_rate})
    node_names = list(nodes)

    def start_team_arrivals(team: str, rate: float) -> None:
        # With its own generator, a team's arrivals do not depend on the load
        # of the other teams.
        rng = random.Random(f'{seed}/{priority}/{team}')

        def arrive() -> None:
            tokens = 20 + int(rng.expovariate(1 / 30))
            job = Job(team, priority, tokens, arrived=clock.seconds)
            jobs.append(job)
            usual_node = node_names[sum(map(ord, team)) % NODES]
            is_rerouted = rng.randrange(4) == 0
            nodes[rng.choice(node_names) if is_rerouted else usual_node].submit(
                job
            )
            clock.after(rng.expovariate(rate), arrive)

        clock.after(rng.expovariate(rate), arrive)

    for team, rate in rates.items():
        start_team_arrivals(team, rate)


def _outcome(jobs: list[Job], excess: float) -> Outcome:
    measured = [job for job in jobs if job.arrived >= WARM_UP_S]
    urgent_ms = [
        (job.first_token - job.arrived) * 1000
        for job in measured
        if job.priority == 0 and job.first_token is not None
    ]
    done = [
        job
        for job in jobs
        if job.finished is not None
        and job.finished >= WARM_UP_S
        and job.first_token is not None
        and job.first_token - job.arrived <= 1.25 * MAX_WAIT_S[job.priority]
    ]
    by_priority = collections.Counter(job.priority for job in done)
    scale = (DURATION_S - WARM_UP_S) * CAPACITY
    return Outcome(
        percentile(urgent_ms, 0.95),
        {priority: count / scale for priority, count in by_priority.items()},
        collections.Counter(job.team for job in done),
        sum(job.priority == 0 and job.team.startswith('small') for job in done),
        sum(
            job.finished is not None and job.finished >= WARM_UP_S
            for job in jobs
        )
        / scale,
        excess,
    )


def _small_team_requests(outcome: Outcome) -> int:
    return sum(
        count
        for team, count in outcome.by_team.items()
        if team.startswith('small')
    )


@scenario('admission')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Compare admission control with immediate dispatch to workers."""
    results = {
        (name, with_admission): [
            run(load, with_admission, seed) for seed in seeds
        ]
        for name, load in (
            ('quiet', BASE_LOAD),
            ('patient', PATIENT_FLOOD),
            ('urgent', URGENT_FLOOD),
        )
        for with_admission in (True, False)
    }

    def median(name: str, with_admission: bool, metric: str) -> float:
        values = [
            _metric_value(outcome, metric)
            for outcome in results[name, with_admission]
        ]
        return percentile(values, 0.5)

    def figure(name: str, metric: str, target: float, unit: str) -> Figure:
        ours = median(name, True, metric)
        is_upper_bound = metric in {
            'first token p95',
            'requests beyond the slots',
        }
        met = ours <= target if is_upper_bound else ours >= target
        label = f'flood of {name} work: {metric}'
        baseline = median(name, False, metric)
        return Figure('admission', label, unit, baseline, ours, target, met)

    base_first_token_ms = median('quiet', True, 'first token p95')
    base_small_requests = median('quiet', True, 'small teams')
    urgent_target = 0.95 * median('quiet', True, 'urgent work of small teams')
    max_throughput = max(
        median('patient', with_admission, 'throughput')
        for with_admission in (True, False)
    )
    return [
        figure('patient', 'first token p95', 1.2 * base_first_token_ms, 'ms'),
        figure('patient', 'goodput', 0.9 * max_throughput, 'share'),
        figure(
            'patient', 'small teams', 0.95 * base_small_requests, 'requests'
        ),
        figure(
            'urgent', 'urgent work of small teams', urgent_target, 'requests'
        ),
        figure('urgent', 'rank 1', RANK_FLOORS[1], 'share'),
        figure('urgent', 'rank 2', RANK_FLOORS[2], 'share'),
        figure('urgent', 'goodput', 0.9 * max_throughput, 'share'),
        figure('patient', 'requests beyond the slots', 0.01, 'share'),
        figure('urgent', 'requests beyond the slots', 0.01, 'share'),
    ]


def _metric_value(outcome: Outcome, metric: str) -> float:
    if metric == 'first token p95':
        return outcome.first_token_ms
    if metric == 'small teams':
        return _small_team_requests(outcome)
    if metric == 'urgent work of small teams':
        return outcome.urgent_small
    if metric == 'throughput':
        return outcome.throughput
    if metric == 'requests beyond the slots':
        return outcome.excess
    if metric == 'goodput':
        return outcome.goodput
    return outcome.by_rank.get(int(metric[-1]), 0)
