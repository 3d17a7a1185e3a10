"""A simulated pool of model engines: who waits, and what crosses domains.

Engines read prompts one after the other and keep the shared parts that they
have read. Nodes place requests and are told of each other's work a little
late. No network and no threads: time is that of a manual clock.
"""

import collections
import dataclasses
import datetime as dt
import random
import statistics
from collections.abc import Sequence

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.outstanding import summed
from bronzeglade.decisions.placement import (
    PlacedRequest,
    Placement,
    PlacementSettings,
    PromptShare,
)

TICK = dt.timedelta(milliseconds=10)
TOLD_EVERY = 20  # ticks between two exchanges of load
READ_PER_TICK = 370  # prompt tokens; an engine reads 37 in a millisecond
GENERATE_TICKS = 100  # from the first event to the end of an answer


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """One engine."""

    name: str
    failure_domain: str
    slots: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests of one kind: how many a second, from which domains."""

    rate: float
    subjects: int
    shared: int  # tokens
    own: int  # tokens
    size: int  # bytes
    domains: str = 'abc'


@dataclasses.dataclass(slots=True)
class Job:
    """One request on an engine."""

    node: Placement
    engine: str
    request: PlacedRequest
    unread: float
    began: int
    read_at: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Waits for the first event in milliseconds, and bytes by distance."""

    waits: Sequence[float]
    crossed: int
    sent: int

    @property
    def mean_wait(self) -> float:
        """The mean wait in milliseconds."""
        return statistics.fmean(self.waits)


class Pool:
    """Engines, and one node in each failure domain."""

    def __init__(
        self, engines: Sequence[Engine], settings: PlacementSettings, seed: int
    ) -> None:
        """Start idle engines without any part of a prompt."""
        self.engines = engines
        self.clock = ManualClock()
        self.random = random.Random(seed)
        domains = sorted({one.failure_domain for one in engines})
        self.nodes = {
            domain: Placement(settings, domain, self.clock, self.random)
            for domain in domains
        }
        self.held: dict[str, set[str]] = collections.defaultdict(set)
        self.jobs: list[Job] = []
        self.waits: list[float] = []
        self.crossed = 0
        self.sent = 0
        self.tick = 0

    def run(self, seconds: float, *loads: Load) -> Outcome:
        """Let requests come for a time, then let all end."""
        ticks = int(seconds / TICK.total_seconds())
        for _ in range(ticks):
            for load in loads:
                expected = load.rate * TICK.total_seconds()
                if self.random.random() < expected:
                    self._place(load)
            self._advance()
        while self.jobs:
            self._advance()
        return Outcome(self.waits, self.crossed, self.sent)

    def _place(self, load: Load) -> None:
        domain = self.random.choice(load.domains)
        node = self.nodes[domain]
        subject = f'{load.shared} {self.random.randrange(load.subjects)}'
        request = PlacedRequest(
            (PromptShare(subject, load.shared),),
            load.shared + load.own,
            load.size,
        )
        place = node.choose(self.engines, request)
        assert place is not None  # noqa: S101
        engine = next(one for one in self.engines if one.name == place.name)
        self.sent += load.size
        self.crossed += load.size * (engine.failure_domain != domain)
        node.started(engine.name, request, request.tokens - place.cached_tokens)
        unread = load.own
        if subject not in self.held[engine.name]:
            unread += load.shared
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
                self._read(job)
        for job in self.jobs:
            if job.read_at is not None:
                if self.tick - job.read_at >= GENERATE_TICKS:
                    job.node.finished(job.engine)
        self.jobs = [
            job
            for job in self.jobs
            if job.read_at is None or self.tick - job.read_at < GENERATE_TICKS
        ]
        if self.tick % TOLD_EVERY == 0:
            self._tell()

    def _read(self, job: Job) -> None:
        job.unread -= READ_PER_TICK
        if job.unread > 0:
            return
        job.read_at = self.tick
        self.held[job.engine].update(part.name for part in job.request.parts)
        waited = (self.tick - job.began) * TICK
        self.waits.append(waited / dt.timedelta(milliseconds=1))
        told = job.node.unread.get(job.engine, 0)
        job.node.read(job.engine, min(told, job.request.tokens))

    def _tell(self) -> None:
        work = {name: node.outstanding() for name, node in self.nodes.items()}
        for name, node in self.nodes.items():
            others = [one for other, one in work.items() if other != name]
            node.others.report('others', summed(others))
