"""Allocates free loopback ports for the processes of a fleet."""

import random
import socket

HOST = '127.0.0.1'
# Below the kernel's ephemeral range; otherwise an outgoing connection could
# occupy an allocated port before its process listens.
LISTENING_PORTS = range(10_000, 32_000)
BLOCK_SIZE = 50


class PortAllocator:
    """Allocates ports from blocks that no other allocator uses.

    The first port of a block is kept bound while its other ports are in use.
    Ports themselves cannot be: processes listen on them later, and fleets that
    start at the same time would find the same ports free.
    """

    def __init__(self) -> None:
        """Start without a block."""
        self.rng = random.SystemRandom()
        self.claims: list[socket.socket] = []
        self.unused: list[int] = []

    def allocate(self, count: int) -> list[int]:
        """Return ports that are free for both TCP and UDP.

        Raises:
          RuntimeError: all blocks are in use.
        """
        ports: list[int] = []
        while len(ports) < count:
            if not self.unused:
                self._claim_block()
            port = self.unused.pop()
            if _is_free(port):
                ports.append(port)
        return ports

    def close(self) -> None:
        """Let other allocators use the blocks."""
        self.unused = []
        while self.claims:
            self.claims.pop().close()

    def _claim_block(self) -> None:
        starts = list(LISTENING_PORTS[::BLOCK_SIZE])
        self.rng.shuffle(starts)
        for start in starts:
            claim = socket.socket()
            try:
                claim.bind((HOST, start))
            except OSError:
                claim.close()
                continue
            self.claims.append(claim)
            self.unused = list(range(start + 1, start + BLOCK_SIZE))
            self.rng.shuffle(self.unused)
            return
        raise RuntimeError('all blocks of ports are in use')


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
        except OSError:
            return False
    return True
