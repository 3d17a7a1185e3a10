"""Worker selection by load, cached prefix, network delay and health."""

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
    """A worker that holds the requested model version."""

    @property
    def vm(self) -> str:
        """Name of its VM, which identifies the worker."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of the VM."""

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """The properties of a request that the choice depends on.

    `blocks` are the hashes of the prompt's leading blocks; priority 0 is the
    most urgent.
    """

    blocks: Sequence[str]
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerChoice:
    """The VM of the chosen worker, and its expected time to first token."""

    worker: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoWorker:
    """The reason why no worker can be chosen."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Costs in seconds to the first token, and settings of the estimates.

    With more than `sample_size` workers, only that many random ones and those
    with the longest cached prefix are compared. This bounds the cost of a
    choice in a large fleet and keeps nodes with the same reports from all
    choosing the same worker.
    """

    load: LoadSettings = LoadSettings()
    prefix: PrefixSettings = PrefixSettings()
    sample_size: int = 24
    block_s: float = 0.003  # prefill time of an uncached block
    capacity_factor: float = 4  # multiplies block_s except at priority 0
    slot_s: float = 0.02  # added to the first token by a full batch
    service_s: float = 2  # assumed service time until requests have ended
    ejection: EjectionSettings = EjectionSettings()


class Routing:
    """Worker state known to one node, and its choice of workers."""

    def __init__(
        self, settings: RoutingSettings, clock: Clock, rng: random.Random
    ) -> None:
        """Start without worker state.

        Args:
          settings: costs and limits.
          clock: monotonic time.
          rng: random generator for samples and ejection times.
        """
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.loads = LoadEstimates(settings.load, clock)
        self.prefixes = PrefixIndex(settings.prefix, clock)
        self.ejections = Ejections(settings.ejection, clock, rng)
        # One-way network delay in seconds, by failure domain.
        self.delays: Mapping[str, float] = {}
        self.service_s = settings.service_s

    def choose(
        self,
        workers: Sequence[Candidate],
        request: RoutedRequest,
        exclude: Collection[str] = (),
    ) -> WorkerChoice | NoWorker:
        """Choose a worker; `started` must follow when the request is sent.

        Args:
          workers: those that hold the requested version.
          request: prompt and priority.
          exclude: VMs with an earlier attempt.
        """
        usable = [
            worker
            for worker in workers
            if worker.vm not in exclude and self.is_usable(worker.vm)
        ]
        if not usable:
            reason = (
                'all workers fail' if workers else 'no worker has the version'
            )
            return NoWorker(reason)
        matches = self.prefixes.matches(request.blocks)
        costs = [
            (self._cost(worker, request, matches), worker.vm)
            for worker in self._sample(usable, matches)
        ]
        cost, chosen = min(costs)
        return WorkerChoice(chosen, f'expected {cost:.3f} s')

    def is_usable(self, worker: str) -> bool:
        """Return whether a worker is healthy or may receive a probe."""
        return self.ejections.is_usable(worker)

    def started(self, worker: str, blocks: Sequence[str] = ()) -> None:
        """Record the start of an attempt."""
        self.loads.started(worker)
        self.prefixes.record(worker, blocks)
        self.ejections.started(worker)

    def finished(self, worker: str) -> None:
        """Record the end of an attempt."""
        self.loads.finished(worker)
        self.ejections.finished(worker)

    def succeeded(self, worker: str) -> None:
        """Record an attempt that was answered."""
        self.ejections.succeeded(worker)

    def record_service_time(self, duration: dt.timedelta) -> None:
        """Update the moving average of the service time of a request."""
        step = duration.total_seconds() - self.service_s
        self.service_s += step / 20

    def failed(self, worker: str, failure: Failure) -> None:
        """Record a failed attempt; a rejected request does not count."""
        self.ejections.failed(worker, failure)

    def forget(self, worker: str) -> None:
        """Discard the state of a worker that left the VM list."""
        self.loads.forget(worker)
        self.prefixes.forget(worker)
        self.ejections.forget(worker)

    def _sample(
        self, usable: list[Candidate], matches: Mapping[str, int]
    ) -> list[Candidate]:
        size = self.settings.sample_size
        if len(usable) <= size:
            self.rng.shuffle(usable)
            return usable
        longest_match = max(matches.values(), default=0)
        holder_vms = {
            vm for vm, count in matches.items() if count == longest_match
        }
        holders = [worker for worker in usable if worker.vm in holder_vms]
        return holders + self.rng.sample(usable, size)

    def _cost(
        self,
        worker: Candidate,
        request: RoutedRequest,
        matches: Mapping[str, int],
    ) -> float:
        settings = self.settings
        load = self.loads.estimate(worker.vm)
        uncached = len(request.blocks) - matches.get(worker.vm, 0)
        queued = load.excess(worker.slots - 1)
        block_s = settings.block_s
        if request.priority == 0:
            queued = min(1, queued)  # overtakes the other queued requests
        else:
            block_s *= settings.capacity_factor
        return (
            2 * self.delays.get(worker.failure_domain, 0)
            + uncached * block_s
            + min(1, load.mean / worker.slots) * settings.slot_s
            + queued / worker.slots * self.service_s
        )
