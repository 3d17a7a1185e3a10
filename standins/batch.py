"""Continuous batching: a fixed number of slots and a priority queue."""

import dataclasses
import heapq
from collections.abc import Callable

import eventlet
from eventlet.event import Event

DISCONNECT_POLL_S = 0.05


@dataclasses.dataclass(order=True, slots=True)
class _QueuedRequest:
    priority: int
    sequence: int
    admitted: Event = dataclasses.field(compare=False)
    on_admission: Callable[[], None] = dataclasses.field(compare=False)
    is_disconnected: bool = dataclasses.field(default=False, compare=False)


class Batch:
    """Requests that run in the batch and requests queued for a slot."""

    def __init__(self, slots: int) -> None:
        """Create an empty batch.

        Args:
          slots: maximum number of concurrent requests.
        """
        self.slots = slots
        self.running = 0
        self.queue: list[_QueuedRequest] = []
        self.sequence = 0

    @property
    def waiting(self) -> int:
        """Number of queued requests whose client is still connected."""
        return sum(1 for queued in self.queue if not queued.is_disconnected)

    @property
    def load(self) -> float:
        """Fraction of the slots in use, not counting one running request.

        A running request calls this to get the load from the other requests.
        """
        return max(0, self.running - 1) / self.slots

    def acquire_slot(
        self,
        priority: int,
        is_disconnected: Callable[[], bool],
        on_admission: Callable[[], None],
    ) -> bool:
        """Wait for a slot.

        Args:
          priority: 0 is the most urgent; equal priorities are served in order
            of arrival.
          is_disconnected: returns whether the client has disconnected.
          on_admission: called together with the change of `running`, before
            the thread of the request continues; must not block.

        Returns:
          Whether the request has a slot; False when its client disconnected.
        """
        self.sequence += 1
        queued = _QueuedRequest(priority, self.sequence, Event(), on_admission)
        heapq.heappush(self.queue, queued)
        self._admit_queued()
        while not queued.admitted.ready():
            if is_disconnected():
                queued.is_disconnected = True
                return False
            with eventlet.Timeout(DISCONNECT_POLL_S, False):
                queued.admitted.wait()
        return True

    def release_slot(self) -> None:
        """Free a slot and admit queued requests."""
        self.running -= 1
        self._admit_queued()

    def _admit_queued(self) -> None:
        while self.queue and self.running < self.slots:
            queued = heapq.heappop(self.queue)
            if not queued.is_disconnected:
                self.running += 1
                queued.on_admission()
                queued.admitted.send()
