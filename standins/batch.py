"""Continuous batching: finite slots and a queue ordered by priority."""

import dataclasses
import heapq
from collections.abc import Callable

import eventlet
from eventlet.event import Event

POLL_S = 0.05  # time between looks whether a waiting client has left


@dataclasses.dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    sequence: int
    admitted: Event = dataclasses.field(compare=False)
    has_left: bool = dataclasses.field(default=False, compare=False)


class Batch:
    """Requests that run together, and those that wait for a slot."""

    def __init__(self, slots: int) -> None:
        """Create an empty batch.

        Args:
          slots: requests that run at the same time.
        """
        self.slots = slots
        self.running = 0
        self.queue: list[_Waiter] = []
        self.sequence = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(1 for waiter in self.queue if not waiter.has_left)

    @property
    def load(self) -> float:
        """Share of the slots that other requests of the batch use."""
        return max(0, self.running - 1) / self.slots

    def enter(self, priority: int, has_left: Callable[[], bool]) -> bool:
        """Wait for a slot.

        Args:
          priority: 0 is the most urgent; first come, first served inside one.
          has_left: whether the client has gone.

        Returns:
          Whether the request has a slot; False when its client left.
        """
        self.sequence += 1
        waiter = _Waiter(priority, self.sequence, Event())
        heapq.heappush(self.queue, waiter)
        self._admit()
        while not waiter.admitted.ready():
            if has_left():
                waiter.has_left = True
                return False
            with eventlet.Timeout(POLL_S, False):
                waiter.admitted.wait()
        return True

    def leave(self) -> None:
        """Free a slot."""
        self.running -= 1
        self._admit()

    def _admit(self) -> None:
        while self.queue and self.running < self.slots:
            waiter = heapq.heappop(self.queue)
            if not waiter.has_left:
                self.running += 1
                waiter.admitted.send()
