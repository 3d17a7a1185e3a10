"""A discrete-event simulation of workers, for quick comparison of policies."""

import collections
import dataclasses
import datetime as dt
import heapq
import itertools
from collections.abc import Callable, Sequence

EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class SimulatedClock:
    """A simulated clock with a queue of scheduled actions; times in seconds."""

    def __init__(self) -> None:
        """Create a clock at time zero without scheduled actions."""
        self.seconds: float = 0
        self.sequence_numbers = itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> dt.datetime:
        """Return the simulated wall time."""
        return EPOCH + self.monotonic()

    def monotonic(self) -> dt.timedelta:
        """Return the simulated time since the start."""
        return dt.timedelta(seconds=self.seconds)

    def sleep(self, duration: dt.timedelta) -> None:
        """Fail: a blocking wait in an action would stall the simulation.

        Raises:
          AssertionError: always.
        """
        raise AssertionError(f'a simulated action sleeps for {duration}')

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        entry = (self.seconds + seconds, next(self.sequence_numbers), action)
        heapq.heappush(self.heap, entry)

    def every(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action periodically, first after one period."""

        def repeat() -> None:
            action()
            self.after(seconds, repeat)

        self.after(seconds, repeat)

    def run(self, until: float) -> None:
        """Run the scheduled actions up to and including a time."""
        while self.heap and self.heap[0][0] <= until:
            at, _number, action = heapq.heappop(self.heap)
            self.seconds = at
            action()
        self.seconds = until


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSpeed:
    """Speed and cache size of a simulated worker, as in the engine stand-in.

    A batch that fills all slots takes about `1 + batch_growth` times the token
    time. `block_s` is the time to process one prompt block that is not cached.
    """

    first_token_s: float = 0.05
    token_s: float = 0.01
    batch_growth: float = 0.5
    block_s: float = 0.002
    cache_blocks: int = 1000


@dataclasses.dataclass(slots=True)
class Job:
    """A request; times are simulated seconds.

    `blocks` are its prompt blocks, of which the first `hits` were cached.
    """

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
    """A block that was added to a cache or evicted from it."""

    sequence: int
    block: str
    added: bool
    at: float


@dataclasses.dataclass(slots=True)
class SimulatedWorker:
    """An engine with slots, a priority queue and an LRU prefix cache.

    `changes` holds the latest cache changes; `discarded_changes` counts the
    older ones.
    """

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
    discarded_changes: int = 0
    load_history: collections.deque[tuple[float, int, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=400)
    )

    def events_since(self, sequence: int, lag_s: float) -> list[CacheChange]:
        """Return the cache changes after a sequence number.

        Args:
          sequence: number of the last change that the reader has.
          lag_s: delay after which a change becomes visible.
        """
        latest = self.clock.seconds - lag_s
        first = max(0, sequence - self.discarded_changes)
        return [
            change
            for change in itertools.islice(self.changes, first, None)
            if change.at <= latest
        ]

    def submit(self, job: Job) -> None:
        """Queue a request and start it when a slot is free."""
        entry = (job.priority, next(self.clock.sequence_numbers), job)
        heapq.heappush(self.queue, entry)
        self._admit()

    def count_cached_blocks(self, blocks: Sequence[str]) -> int:
        """Return the length in blocks of the cached prefix."""
        count = 0
        while count < len(blocks) and blocks[count] in self.cache:
            count += 1
        return count

    def snapshot(self) -> None:
        """Record the current load for delayed reports."""
        entry = (self.clock.seconds, self.running, len(self.queue))
        self.load_history.append(entry)

    def reported_load(self, lag_s: float) -> tuple[int, int]:
        """Return running and waiting requests as of `lag_s` seconds ago.

        Uses the last snapshot before that time; (0, 0) without a snapshot.
        """
        latest = self.clock.seconds - lag_s
        for at, running, waiting in reversed(self.load_history):
            if at <= latest:
                return running, waiting
        return 0, 0

    def _admit(self) -> None:
        while self.queue and self.running < self.slots:
            _priority, _number, job = heapq.heappop(self.queue)
            self.running += 1
            self._start(job)

    def _start(self, job: Job) -> None:
        job.hits = self.count_cached_blocks(job.blocks)
        for block in job.blocks:
            if block not in self.cache:
                self._record_change(block, added=True)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.speed.cache_blocks:
            oldest, _none = self.cache.popitem(last=False)
            self._record_change(oldest, added=False)
        uncached_count = len(job.blocks) - job.hits
        prefill_s = (
            self.speed.first_token_s + uncached_count * self.speed.block_s
        )
        slowdown = 1 + self.speed.batch_growth * (self.running - 1) / self.slots
        job.first_token = self.clock.seconds + prefill_s
        duration_s = prefill_s + job.tokens * self.speed.token_s * slowdown
        self.clock.after(duration_s, lambda: self._finish(job))

    def _record_change(self, block: str, added: bool) -> None:
        if len(self.changes) == self.changes.maxlen:
            self.discarded_changes += 1
        sequence = self.discarded_changes + len(self.changes) + 1
        change = CacheChange(sequence, block, added, self.clock.seconds)
        self.changes.append(change)

    def _finish(self, job: Job) -> None:
        self.running -= 1
        job.finished = self.clock.seconds
        self._admit()
        if job.done is not None:
            job.done(job)


def percentile(samples: Sequence[float], fraction: float) -> float:
    """Return the value that a fraction of the samples does not exceed.

    Returns:
      NaN without samples.
    """
    ordered = sorted(samples)
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
