"""Measures the memory that a platform counts for a process.

That is the resident memory, and the bytes that the kernel has received on the
connections of the process and that the process has not read yet.
"""

import threading
from collections.abc import Collection
from pathlib import Path
from types import TracebackType
from typing import Self

INTERVAL_S = 0.02
MEGABYTE = 1024 * 1024
TCP_TABLE = Path('/proc/net/tcp')
# Of a listening socket, the table shows the length of the accept queue.
LISTENING = '0A'


class MemoryMeter:
    """The peak of a process's memory while the meter is in use."""

    def __init__(self, pid: int, ports: Collection[int]) -> None:
        """Create a meter that does not measure yet.

        Args:
          pid: id of the process.
          ports: TCP ports on which it listens.
        """
        self.status = Path(f'/proc/{pid}/status')
        self.ports = frozenset(ports)
        self.peak_mb: float = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Self:
        """Begin to measure."""
        self.thread.start()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the measurement."""
        self.stopped.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stopped.wait(INTERVAL_S):
            used = resident_bytes(self.status) + unread_bytes(self.ports)
            self.peak_mb = max(self.peak_mb, used / MEGABYTE)


def resident_bytes(status: Path) -> int:
    """Return the resident memory; 0 once the process has ended.

    Args:
      status: the status file of the process.
    """
    try:
        lines = status.read_text().splitlines()
    except OSError:
        return 0
    resident_kb = (
        int(line.split()[1]) for line in lines if line.startswith('VmRSS')
    )
    return next(resident_kb, 0) * 1024


def unread_bytes(ports: Collection[int]) -> int:
    """Return the unread bytes of all connections that were accepted on ports.

    Connections that wait to be accepted are included.
    """
    total = 0
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        local_port = int(fields[1].rpartition(':')[2], 16)
        if local_port in ports and fields[3] != LISTENING:
            total += int(fields[4].rpartition(':')[2], 16)
    return total
