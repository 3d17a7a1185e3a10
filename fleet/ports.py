"""Ports for the processes of a fleet."""

import random
import socket

HOST = '127.0.0.1'
# Below the range from which the kernel takes the ports of outgoing
# connections, so that none of them takes a port before its process listens.
LISTENING_PORTS = range(10_000, 32_000)


class Ports:
    """Ports for the processes of one fleet."""

    def __init__(self) -> None:
        """Have given out none."""
        self.random = random.SystemRandom()
        self.given: set[int] = set()

    def take(self, count: int) -> list[int]:
        """Return ports that were free a moment ago, for TCP and UDP."""
        ports: list[int] = []
        while len(ports) < count:
            port = self.random.choice(LISTENING_PORTS)
            if port not in self.given and _is_free(port):
                self.given.add(port)
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
