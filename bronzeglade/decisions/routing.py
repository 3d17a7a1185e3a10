"""Choice of the worker: load, cached prefix, distance and health."""

import dataclasses
import datetime as dt
import random
from collections.abc import Collection, Mapping, Sequence
from typing import Protocol

from bronzeglade.clock import Clock
from bronzeglade.decisions.ejection import Ejections, EjectionSettings
from bronzeglade.decisions.load import LoadEstimates, LoadSettings
from bronzeglade.decisions.prefix import PrefixIndex, PrefixSettings
from bronzeglade.decisions.retry import Failure


class Candidate(Protocol):
    """A worker that holds the wanted version."""

    @property
    def vm(self) -> str:
        """Its VM."""

    @property
    def failure_domain(self) -> str:
        """Where the VM stands."""

    @property
    def slots(self) -> int:
        """Requests that it runs at the same time."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """What the choice depends on; `blocks` are hashes of the prompt."""

    blocks: Sequence[str]
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerChoice:
    """The VM of the chosen worker and the estimates behind the choice."""

    worker: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoWorker:
    """Why there is none."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Costs in seconds to the first token, and limits of the detection.

    With many workers the choice is among `sample` random ones and those with
    the longest cached prefix, so that its cost does not grow with the fleet
    and nodes with the same reports do not choose the same worker.
    """

    load: LoadSettings = LoadSettings()
    prefix: PrefixSettings = PrefixSettings()
    sample: int = 24
    block_s: float = 0.003  # prefill of a block that is not cached
    capacity_factor: float = 4  # of block_s for all but the most urgent work
    slot_s: float = 0.02  # slowdown of a request in a full batch
    service_s: float = 2  # of a request, until some have finished
    ejection: EjectionSettings = EjectionSettings()


class Routing:
    """What one node knows of the workers, and its choice among them."""

    def __init__(
        self, settings: RoutingSettings, clock: Clock, source: random.Random
    ) -> None:
        """Know no worker.

        Args:
          settings: costs and limits.
          clock: monotonic time.
          source: random numbers for samples and ejection times.
        """
        self.settings = settings
        self.clock = clock
        self.source = source
        self.loads = LoadEstimates(settings.load, clock)
        self.prefixes = PrefixIndex(settings.prefix, clock)
        self.ejections = Ejections(settings.ejection, clock, source)
        self.delays: Mapping[str, float] = {}
        self.service_s = settings.service_s

    def choose(
        self,
        workers: Sequence[Candidate],
        request: RoutedRequest,
        exclude: Collection[str] = (),
    ) -> WorkerChoice | NoWorker:
        """Choose a worker; `started` has to follow when it is used.

        Args:
          workers: those that hold the version.
          request: prompt and priority.
          exclude: VMs that were tried before.
        """
        usable = [
            worker
            for worker in workers
            if worker.vm not in exclude and self.is_usable(worker.vm)
        ]
        if not usable:
            reason = 'all are failing' if workers else 'none holds the version'
            return NoWorker(reason)
        matches = self.prefixes.matches(request.blocks)
        costs = [
            (self._cost(worker, request, matches), worker.vm)
            for worker in self._sample(usable, matches)
        ]
        cost, chosen = min(costs)
        return WorkerChoice(chosen, f'expected {cost:.3f} s')

    def is_usable(self, worker: str) -> bool:
        """Return whether a worker is healthy or due for one probe."""
        return self.ejections.is_usable(worker)

    def started(self, worker: str, blocks: Sequence[str] = ()) -> None:
        """Count a request that is sent to a worker."""
        self.loads.started(worker)
        self.prefixes.record(worker, blocks)
        self.ejections.started(worker)

    def finished(self, worker: str) -> None:
        """Count the end of a request on a worker."""
        self.loads.finished(worker)
        self.ejections.finished(worker)

    def succeeded(self, worker: str) -> None:
        """Take note that a worker answered."""
        self.ejections.succeeded(worker)

    def served(self, duration: dt.timedelta) -> None:
        """Take note of how long a whole answer took."""
        step = duration.total_seconds() - self.service_s
        self.service_s += step / 20

    def failed(self, worker: str, failure: Failure) -> None:
        """Take note of a failed try; a rejected request is none."""
        self.ejections.failed(worker, failure)

    def forget(self, worker: str) -> None:
        """Drop what is known of a worker that left the VM list."""
        self.loads.forget(worker)
        self.prefixes.forget(worker)
        self.ejections.forget(worker)

    def _sample(
        self, usable: list[Candidate], matches: Mapping[str, int]
    ) -> list[Candidate]:
        size = self.settings.sample
        if len(usable) <= size:
            self.source.shuffle(usable)
            return usable
        longest = max(matches.values(), default=0)
        best = {vm for vm, count in matches.items() if count == longest}
        holders = [worker for worker in usable if worker.vm in best]
        return holders + self.source.sample(usable, size)

    def _cost(
        self,
        worker: Candidate,
        request: RoutedRequest,
        matches: Mapping[str, int],
    ) -> float:
        settings = self.settings
        load = self.loads.estimate(worker.vm)
        missing = len(request.blocks) - matches.get(worker.vm, 0)
        queued = load.excess(worker.slots - 1)
        block_s = settings.block_s
        if request.priority == 0:
            queued = min(1, queued)  # it overtakes what waits at the worker
        else:
            block_s *= settings.capacity_factor
        return (
            2 * self.delays.get(worker.failure_domain, 0)
            + missing * block_s
            + min(1, load.mean / worker.slots) * settings.slot_s
            + queued / worker.slots * self.service_s
        )
