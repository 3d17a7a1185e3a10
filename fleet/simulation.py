"""A small discrete-event model of workers, to compare policies quickly."""

import collections
import dataclasses
import datetime as dt
import heapq
import itertools
from collections.abc import Callable, Sequence

EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class SimulatedClock:
    """Time and the actions that are due; times in seconds."""

    def __init__(self) -> None:
        """Start at zero with nothing to do."""
        self.seconds: float = 0
        self.numbers = itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> dt.datetime:
        """Return the simulated wall time."""
        return EPOCH + self.monotonic()

    def monotonic(self) -> dt.timedelta:
        """Return the simulated time."""
        return dt.timedelta(seconds=self.seconds)

    def sleep(self, duration: dt.timedelta) -> None:
        """Stop the simulation: actions of one heap must never wait."""
        raise AssertionError(f'an action waits for {duration}')

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        entry = (self.seconds + seconds, next(self.numbers), action)
        heapq.heappush(self.heap, entry)

    def every(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action again and again."""

        def repeat() -> None:
            action()
            self.after(seconds, repeat)

        self.after(seconds, repeat)

    def run(self, until: float) -> None:
        """Run the actions that are due until a time."""
        while self.heap and self.heap[0][0] <= until:
            at, _number, action = heapq.heappop(self.heap)
            self.seconds = at
            action()
        self.seconds = until


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSpeed:
    """Times of a simulated worker in seconds, as the engine stand-in's."""

    first_token_s: float = 0.05
    token_s: float = 0.01
    growth: float = 0.5
    block_s: float = 0.002
    cache_blocks: int = 1000


@dataclasses.dataclass(slots=True)
class Job:
    """A request on its way; times are those of the simulation."""

    team: str
    priority: int
    tokens: int
    blocks: tuple[str, ...] = ()
    node: int = 0
    arrived: float = 0
    first_token: float | None = None
    finished: float | None = None
    hits: int = 0
    done: Callable[['Job'], None] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChange:
    """A block that entered or left a cache."""

    sequence: int
    block: str
    added: bool
    at: float


@dataclasses.dataclass(slots=True)
class SimulatedWorker:
    """An engine: slots, a queue by priority and a prefix cache."""

    vm: str
    failure_domain: str
    slots: int
    clock: SimulatedClock
    speed: WorkerSpeed = WorkerSpeed()
    running: int = 0
    queue: list[tuple[int, int, Job]] = dataclasses.field(default_factory=list)
    cache: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    changes: collections.deque[CacheChange] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=4096)
    )
    forgotten: int = 0
    history: collections.deque[tuple[float, int, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=400)
    )

    def events_since(self, sequence: int, lag: float) -> list[CacheChange]:
        """Return the cache events after a number that are due."""
        latest = self.clock.seconds - lag
        first = max(0, sequence - self.forgotten)
        return [
            one
            for one in itertools.islice(self.changes, first, None)
            if one.at <= latest
        ]

    def submit(self, job: Job) -> None:
        """Queue a request."""
        entry = (job.priority, next(self.clock.numbers), job)
        heapq.heappush(self.queue, entry)
        self._admit()

    def matched(self, blocks: Sequence[str]) -> int:
        """Return how many leading blocks are cached."""
        count = 0
        while count < len(blocks) and blocks[count] in self.cache:
            count += 1
        return count

    def snapshot(self) -> None:
        """Keep the load for delayed reports."""
        entry = (self.clock.seconds, self.running, len(self.queue))
        self.history.append(entry)

    def reported(self, lag: float) -> tuple[int, int]:
        """Return running and waiting requests as of `lag` seconds ago."""
        latest = self.clock.seconds - lag
        for at, running, waiting in reversed(self.history):
            if at <= latest:
                return running, waiting
        return 0, 0

    def _admit(self) -> None:
        while self.queue and self.running < self.slots:
            _priority, _number, job = heapq.heappop(self.queue)
            self.running += 1
            self._start(job)

    def _start(self, job: Job) -> None:
        job.hits = self.matched(job.blocks)
        for block in job.blocks:
            if block not in self.cache:
                self._tell(block, added=True)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.speed.cache_blocks:
            oldest, _nothing = self.cache.popitem(last=False)
            self._tell(oldest, added=False)
        missing = len(job.blocks) - job.hits
        first = self.speed.first_token_s + missing * self.speed.block_s
        batch = 1 + self.speed.growth * (self.running - 1) / self.slots
        job.first_token = self.clock.seconds + first
        length = first + job.tokens * self.speed.token_s * batch
        self.clock.after(length, lambda: self._finish(job))

    def _tell(self, block: str, added: bool) -> None:
        if len(self.changes) == self.changes.maxlen:
            self.forgotten += 1
        sequence = self.forgotten + len(self.changes) + 1
        change = CacheChange(sequence, block, added, self.clock.seconds)
        self.changes.append(change)

    def _finish(self, job: Job) -> None:
        self.running -= 1
        job.finished = self.clock.seconds
        self._admit()
        if job.done is not None:
            job.done(job)


def percentile(samples: Sequence[float], share: float) -> float:
    """Return the value that a share of the samples does not exceed."""
    ordered = sorted(samples)
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
