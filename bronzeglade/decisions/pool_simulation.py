"""Simulation of a pool of engines: waiting times and cross-domain traffic.

Engines read prompts one after the other and cache the shared segments that
they have read. Nodes place requests and exchange their outstanding work at
intervals. The simulation uses a manual clock, without network or threads.
"""

import collections
import dataclasses
import datetime as dt
import random
import statistics
from collections.abc import Sequence

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.outstanding import sum_work
from bronzeglade.decisions.placement import (
    PlacedRequest,
    Placement,
    PlacementSettings,
    SharedSegment,
)

TICK = dt.timedelta(milliseconds=10)
EXCHANGE_TICKS = 20  # interval of the exchange of outstanding work
TOKENS_PER_TICK = 370  # prompt tokens; 37 per millisecond
GENERATION_TICKS = 100  # from the first to the last event of an answer


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine that is a candidate of a placement."""

    name: str
    failure_domain: str
    slots: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Requests of one kind.

    `rate` is in requests per second; `domains` has one letter for each failure
    domain that sends them.
    """

    rate: float
    documents: int  # distinct shared prompt segments
    shared_tokens: int
    own_tokens: int
    size_bytes: int
    domains: str = 'abc'


@dataclasses.dataclass(slots=True)
class Job:
    """A request at an engine; `placed_at` and `read_at` are ticks."""

    node: Placement
    engine: str
    request: PlacedRequest
    unread: float
    placed_at: int
    read_at: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Times to the first event in milliseconds, and bytes sent.

    `cross_domain_bytes` counts the bytes sent to another failure domain.
    """

    waits_ms: Sequence[float]
    cross_domain_bytes: int
    sent_bytes: int

    @property
    def mean_wait_ms(self) -> float:
        """Mean time to the first event in milliseconds."""
        return statistics.fmean(self.waits_ms)


class Pool:
    """Engines, and one node in each failure domain."""

    def __init__(
        self, engines: Sequence[Engine], settings: PlacementSettings, seed: int
    ) -> None:
        """Create idle engines with empty caches."""
        self.engines = engines
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        domains = sorted({engine.failure_domain for engine in engines})
        self.nodes = {
            domain: Placement(settings, domain, self.clock, self.rng)
            for domain in domains
        }
        self.cached: dict[str, set[str]] = collections.defaultdict(set)
        self.jobs: list[Job] = []
        self.waits_ms: list[float] = []
        self.cross_domain_bytes = 0
        self.sent_bytes = 0
        self.tick = 0

    def run(self, seconds: float, *workloads: Workload) -> Outcome:
        """Run workloads for some seconds, then finish all requests."""
        ticks = int(seconds / TICK.total_seconds())
        for _ in range(ticks):
            for workload in workloads:
                expected = workload.rate * TICK.total_seconds()
                if self.rng.random() < expected:
                    self._place(workload)
            self._advance()
        while self.jobs:
            self._advance()
        return Outcome(self.waits_ms, self.cross_domain_bytes, self.sent_bytes)

    def _place(self, workload: Workload) -> None:
        domain = self.rng.choice(workload.domains)
        node = self.nodes[domain]
        segment = (
            f'{workload.shared_tokens} {self.rng.randrange(workload.documents)}'
        )
        request = PlacedRequest(
            (SharedSegment(segment, workload.shared_tokens),),
            workload.shared_tokens + workload.own_tokens,
            workload.size_bytes,
        )
        choice = node.choose(self.engines, request)
        assert choice is not None  # noqa: S101
        engine = next(
            engine for engine in self.engines if engine.name == choice.name
        )
        self.sent_bytes += workload.size_bytes
        self.cross_domain_bytes += workload.size_bytes * (
            engine.failure_domain != domain
        )
        node.started(
            engine.name, request, request.tokens - choice.cached_tokens
        )
        unread = workload.own_tokens
        if segment not in self.cached[engine.name]:
            unread += workload.shared_tokens
        self.jobs.append(
            Job(node, engine.name, request, float(unread), self.tick)
        )

    def _advance(self) -> None:
        self.tick += 1
        self.clock.advance(TICK)
        busy: set[str] = set()
        for job in self.jobs:
            if job.read_at is None and job.engine not in busy:
                busy.add(job.engine)
                self._read_prompt(job)
        for job in self.jobs:
            if job.read_at is not None:
                if self.tick - job.read_at >= GENERATION_TICKS:
                    job.node.finished(job.engine)
        self.jobs = [
            job
            for job in self.jobs
            if job.read_at is None or self.tick - job.read_at < GENERATION_TICKS
        ]
        if self.tick % EXCHANGE_TICKS == 0:
            self._exchange_work()

    def _read_prompt(self, job: Job) -> None:
        job.unread -= TOKENS_PER_TICK
        if job.unread > 0:
            return
        job.read_at = self.tick
        self.cached[job.engine].update(
            segment.name for segment in job.request.segments
        )
        wait = (self.tick - job.placed_at) * TICK
        self.waits_ms.append(wait / dt.timedelta(milliseconds=1))
        unread = job.node.unread.get(job.engine, 0)
        job.node.record_prompt_read(job.engine, min(unread, job.request.tokens))

    def _exchange_work(self) -> None:
        work = {name: node.outstanding() for name, node in self.nodes.items()}
        for name, node in self.nodes.items():
            peer_load = [
                report for peer, report in work.items() if peer != name
            ]
            node.peer_load.report('others', sum_work(peer_load))
