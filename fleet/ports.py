"""Allocates free loopback ports for the processes of a fleet."""

import random
import socket

HOST = '127.0.0.1'
# Below the kernel's ephemeral range; otherwise an outgoing connection could
# occupy an allocated port before its process listens.
LISTENING_PORTS = range(10_000, 32_000)


class PortAllocator:
    """Allocates each port at most once per fleet."""

    def __init__(self) -> None:
        """Start without allocated ports."""
        self.rng = random.SystemRandom()
        self.allocated: set[int] = set()

    def allocate(self, count: int) -> list[int]:
        """Return ports that are free for both TCP and UDP.

        They are not kept bound: the caller has to listen on them soon.
        """
        ports: list[int] = []
        while len(ports) < count:
            port = self.rng.choice(LISTENING_PORTS)
            if port not in self.allocated and _is_free(port):
                self.allocated.add(port)
                ports.append(port)
        return ports


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
        except OSError:
            return False
    return True
