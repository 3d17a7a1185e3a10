"""How much of its machine a router process grants to callers.

The memory that is left after the start is divided among bodies and answers that
are held, and the connections of each port. What remains is for tables, streams,
messages between nodes and what the allocator does not return.
"""

import dataclasses
import resource
from pathlib import Path

from bronzeglade import serving
from bronzeglade.decisions.memory_account import MemorySettings
from bronzeglade.forwarding.settings import MachineLimits

HELD_FRACTION = 1 / 3
# What may wait unread on a connection is up to twice its receive buffer.
CALLER_RECEIVE_BUFFER = 16 * 1024
PAGE_RECEIVE_BUFFER = 4 * 1024
PAGE_HEAD_BYTES = serving.MAX_HEADER_BYTES
# Objects of a connection: green thread, socket, parser, buffered file.
_OBJECT_BYTES = 10 * 1024
_PAGE_OBJECT_BYTES = 24 * 1024
# Bytes that are received at a time before they are counted.
CALLER_READ_BYTES = 8 * 1024
# Memory of a parsed head that is not counted.
SMALL_HEAD_BYTES = 4 * 1024
MIN_CONNECTIONS = 8
# Sizes in pages: virtual, resident, shared; see `proc(5)`.
_MEMORY_SIZES = Path('/proc/self/statm')


@dataclasses.dataclass(frozen=True, slots=True)
class PortShare:
    """What the connections of a port may use.

    Attributes:
      memory: fraction of the memory that is left after the start.
      sockets: fraction of the sockets of the process.
      connection_bytes: memory of a connection whose caller sends as much as is
        not counted by the memory account.
    """

    memory: float
    sockets: float
    connection_bytes: int


# A head and a body that are not counted, and the block that is being parsed.
CALLERS = PortShare(
    memory=0.3,
    # Each request may need another socket to an endpoint.
    sockets=0.5,
    connection_bytes=(
        2 * CALLER_RECEIVE_BUFFER
        + SMALL_HEAD_BYTES
        + MemorySettings().small
        + CALLER_READ_BYTES
        + _OBJECT_BYTES
    ),
)
_PAGE_BYTES = 2 * PAGE_RECEIVE_BUFFER + PAGE_HEAD_BYTES + _PAGE_OBJECT_BYTES
DIRECTORY = PortShare(0.05, 0.1, _PAGE_BYTES)
CONTROL = PortShare(0.07, 0.1, _PAGE_BYTES)
READINESS = PortShare(0.01, 0.025, _PAGE_BYTES)
METRICS = PortShare(0.01, 0.025, _PAGE_BYTES)
PORTS = (CALLERS, DIRECTORY, CONTROL, READINESS, METRICS)


def memory_settings(machine: MachineLimits, resident: int) -> MemorySettings:
    """Return the limits of the memory that callers can make a node hold.

    Args:
      machine: limits of the process.
      resident: memory that the process uses without callers, in bytes.
    """
    if machine.memory is None:
        return MemorySettings()
    left = max(0, machine.memory - resident)
    return MemorySettings(capacity=int(left * HELD_FRACTION))


def max_connections(
    machine: MachineLimits, resident: int, share: PortShare
) -> int:
    """Return how many connections a port may have open.

    Args:
      machine: limits of the process.
      resident: memory that the process uses without callers, in bytes.
      share: what the connections of the port may use.
    """
    sockets = machine.sockets
    if sockets is None:
        sockets, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = int(sockets * share.sockets)
    if machine.memory is not None:
        left = max(0, machine.memory - resident)
        limit = min(limit, int(left * share.memory / share.connection_bytes))
    return max(MIN_CONNECTIONS, limit)


def resident_bytes() -> int:
    """Return the resident memory of the process."""
    try:
        pages = int(_MEMORY_SIZES.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        # A process inherits this peak from the one that has started it.
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return pages * resource.getpagesize()
