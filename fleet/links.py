"""Loopback TCP proxy with faults: each link forwards one port to another.

`POST /links` takes `{name: [port, target port]}`; `POST /modes` takes
`{name: {"mode": MODE, "delay_s": SECONDS}}`. The modes are:

- `open`: forward both directions.
- `silent`: hold the bytes of both directions.
- `hold_up`, `hold_down`: hold the bytes to or from the target.
- `reset`: reset open connections and each new one.

Held bytes are forwarded when the link opens again.
"""

import dataclasses
import socket as sockets
import struct
from collections.abc import Mapping
from typing import Any

import eventlet
from eventlet.green import socket
from greenlet import GreenletExit

from standins.faults import Faults
from standins.web import (
    Reply,
    address_flags,
    json_application,
    parse_flags,
    serve,
)

HOST = '127.0.0.1'
POLL_INTERVAL_S = 0.02
BLOCK_BYTES = 65536
# `SO_LINGER` on with a time of 0: closing the socket sends RST.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
HOLD_UP, HOLD_DOWN = 'hold_up', 'hold_down'


@dataclasses.dataclass(slots=True)
class Link:
    """A forwarded port, its fault and its connections.

    `pumps` holds the green threads that forward bytes: two for each
    connection, one per direction.
    """

    port: int
    target: int
    mode: str = 'open'
    delay_s: float = 0
    pumps: set[Any] = dataclasses.field(default_factory=set)

    def listen(self) -> None:
        """Accept connections in the background until the process ends."""
        listener = eventlet.listen((HOST, self.port), reuse_port=False)
        eventlet.spawn(self._accept, listener)

    def set_fault(self, mode: str, delay_s: float) -> None:
        """Set the mode and the delay of each block in seconds.

        The mode `reset` also resets the open connections.
        """
        self.mode = mode
        self.delay_s = delay_s
        if mode == 'reset':
            for pump in list(self.pumps):
                pump.kill()

    def _accept(self, listener: Any) -> None:
        while True:
            client, _address = listener.accept()
            if self.mode == 'reset':
                _reset(client)
                continue
            eventlet.spawn(self._connect, client)

    def _connect(self, client: Any) -> None:
        try:
            server = socket.create_connection((HOST, self.target), 5)
        except OSError:
            _reset(client)
            return
        pumps = [
            eventlet.spawn(self._pump, client, server, HOLD_UP),
            eventlet.spawn(self._pump, server, client, HOLD_DOWN),
        ]
        pumps[0].link(_kill_if_failed, pumps[1])
        pumps[1].link(_kill_if_failed, pumps[0])
        self.pumps.update(pumps)
        ended_cleanly = [_ended_cleanly(pump) for pump in pumps]
        self.pumps.difference_update(pumps)
        for sock in (client, server):
            if all(ended_cleanly):
                sock.close()
            else:
                _reset(sock)

    def _pump(self, source: Any, target: Any, direction: str) -> bool:
        """Forward bytes until end of file, then half-close the target."""
        while True:
            block = source.recv(BLOCK_BYTES)
            eventlet.sleep(self.delay_s)
            while self.mode in {'silent', direction}:
                eventlet.sleep(POLL_INTERVAL_S)
            if not block:
                target.shutdown(sockets.SHUT_WR)
                return True
            target.sendall(block)


class Proxy:
    """Administrative interface to the links, by name."""

    def __init__(self) -> None:
        """Start without links."""
        self.links: dict[str, Link] = {}

    def add(self, document: Mapping[str, Any]) -> Reply:
        """Open links: port and target port by name."""
        for name, (port, target) in document.items():
            self.links[name] = Link(port, target)
            self.links[name].listen()
        return 200, {}

    def set_faults(self, document: Mapping[str, Any]) -> Reply:
        """Set the mode and delay of links by name."""
        for name, fault in document.items():
            self.links[name].set_fault(fault['mode'], fault.get('delay_s', 0))
        return 200, {}


def _ended_cleanly(pump: Any) -> bool:
    """Wait for a pump; return whether it reached the end of file."""
    try:
        return bool(pump.wait())
    except (OSError, GreenletExit):
        return False


def _kill_if_failed(pump: Any, other: Any) -> None:
    if not _ended_cleanly(pump):
        other.kill()


def _reset(sock: Any) -> None:
    sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def main() -> None:
    """Serve the administrative interface of the proxy."""
    values = address_flags()
    parse_flags(values)
    proxy = Proxy()
    routes = {
        ('POST', '/links'): proxy.add,
        ('POST', '/modes'): proxy.set_faults,
    }
    serve(values.host, values.port, json_application(routes, Faults()))


if __name__ == '__main__':
    main()
