"""What crowds of callers do to a process: its life, memory and answers."""

from typing import Protocol

from fleet.crowds import Crowd
from fleet.memory_meter import MemoryMeter

# Addresses from which the callers of a crowd connect.
CLIENTS = tuple(f'127.0.0.{number}' for number in range(2, 32))


class CrowdTarget(Protocol):
    """A process to which crowds connect."""

    def meter(self) -> MemoryMeter:
        """Return a meter of its memory."""

    def is_alive(self) -> bool:
        """Return whether it runs."""

    def serves(self) -> bool:
        """Return whether ordinary requests are answered."""


def crowd_problems(
    target: CrowdTarget, crowds: tuple[Crowd, ...], memory_mb: int
) -> list[str]:
    """Let crowds send one after the other; return what was not as it should be.

    The process has to live and to stay within its memory, and ordinary requests
    have to be answered beside the crowds and afterwards.

    Args:
      target: where the crowds are connected.
      crowds: the crowds; they are closed at the end.
      memory_mb: memory of the machine of the process.
    """
    try:
        with target.meter() as meter:
            for crowd in crowds:
                crowd.send()
            beside = target.serves()
    finally:
        for crowd in crowds:
            crowd.close()
    if not target.is_alive():
        return ['the process has ended']
    checks = {
        f'{meter.peak_mb:.1f} MB of {memory_mb}': meter.peak_mb <= memory_mb,
        'not served beside the crowds': beside,
        'not served after the crowds': target.serves(),
    }
    return [problem for problem, holds in checks.items() if not holds]
