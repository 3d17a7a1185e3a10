"""How much of its machine a router process grants to callers."""

import resource

from bronzeglade.decisions.memory_account import MemorySettings
from bronzeglade.forwarding.settings import MachineLimits

# Fractions of the memory that is left after the start: for bodies and answers
# that are held, and for connections. The rest is for tables, streams, messages
# between nodes and what the allocator does not return.
HELD_FRACTION = 0.4
CONNECTIONS_FRACTION = 0.25
# Memory of a connection whose caller sends as much as is not counted.
CONNECTION_BYTES = 32 * 1024
# Fraction of the sockets for callers. Each request may need another one to an
# endpoint.
CALLER_SOCKETS_FRACTION = 0.5
MIN_CONNECTIONS = 8


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


def max_connections(machine: MachineLimits, resident: int) -> int:
    """Return how many connections callers may have open.

    Args:
      machine: limits of the process.
      resident: memory that the process uses without callers, in bytes.
    """
    sockets = machine.sockets
    if sockets is None:
        sockets, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = int(sockets * CALLER_SOCKETS_FRACTION)
    if machine.memory is not None:
        left = max(0, machine.memory - resident)
        limit = min(limit, int(left * CONNECTIONS_FRACTION / CONNECTION_BYTES))
    return max(MIN_CONNECTIONS, limit)


def resident_bytes() -> int:
    """Return the peak of the process's resident memory so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
