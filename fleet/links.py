"""A loopback proxy with faults: each link forwards one port to another.

`POST /links` takes `{name: [port, target port]}`; `POST /modes` takes
`{name: {"mode": MODE, "delay_s": SECONDS}}`. Modes: `open`; `silent` holds the
bytes of both directions, `hold_up` and `hold_down` those of one; `reset` resets
every connection and each new one. Held bytes go on when the link opens.
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
POLL_S = 0.02
BLOCK = 65536
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
UP, DOWN = 'hold_up', 'hold_down'


@dataclasses.dataclass(slots=True)
class Link:
    """One forwarded port, its fault and its connections."""

    port: int
    target: int
    mode: str = 'open'
    delay_s: float = 0
    pumps: set[Any] = dataclasses.field(default_factory=set)

    def listen(self) -> None:
        """Accept connections for ever."""
        listener = eventlet.listen((HOST, self.port))
        eventlet.spawn(self._accept, listener)

    def change(self, mode: str, delay_s: float) -> None:
        """Set the fault."""
        self.mode = mode
        self.delay_s = delay_s
        if mode == 'reset':
            for pump in list(self.pumps):
                pump.kill()

    def _accept(self, listener: Any) -> None:
        while True:
            near, _peer = listener.accept()
            if self.mode == 'reset':
                _reset(near)
                continue
            eventlet.spawn(self._join, near)

    def _join(self, near: Any) -> None:
        try:
            far = socket.create_connection((HOST, self.target), 5)
        except OSError:
            _reset(near)
            return
        pumps = [
            eventlet.spawn(self._pump, near, far, UP),
            eventlet.spawn(self._pump, far, near, DOWN),
        ]
        pumps[0].link(_end_other, pumps[1])
        pumps[1].link(_end_other, pumps[0])
        self.pumps.update(pumps)
        whole = [_ended_well(pump) for pump in pumps]
        self.pumps.difference_update(pumps)
        for end in (near, far):
            if all(whole):
                end.close()
            else:
                _reset(end)

    def _pump(self, source: Any, target: Any, direction: str) -> bool:
        """Forward bytes and the end of one direction."""
        while True:
            block = source.recv(BLOCK)
            eventlet.sleep(self.delay_s)
            while self.mode in {'silent', direction}:
                eventlet.sleep(POLL_S)
            if not block:
                target.shutdown(sockets.SHUT_WR)
                return True
            target.sendall(block)


class Proxy:
    """Links by name."""

    def __init__(self) -> None:
        """Forward nothing."""
        self.links: dict[str, Link] = {}

    def add(self, document: Mapping[str, Any]) -> Reply:
        """Open links."""
        for name, (port, target) in document.items():
            self.links[name] = Link(port, target)
            self.links[name].listen()
        return 200, {}

    def change(self, document: Mapping[str, Any]) -> Reply:
        """Set faults of links."""
        for name, fault in document.items():
            self.links[name].change(fault['mode'], fault.get('delay_s', 0))
        return 200, {}


def _ended_well(pump: Any) -> bool:
    """Return whether a direction ended whole; a reset ends the other, too."""
    try:
        return bool(pump.wait())
    except (OSError, GreenletExit):
        return False


def _end_other(pump: Any, other: Any) -> None:
    if not _ended_well(pump):
        other.kill()


def _reset(end: Any) -> None:
    end.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, RESET_ON_CLOSE)
    end.close()


def main() -> None:
    """Serve the proxy."""
    values = address_flags()
    parse_flags(values)
    proxy = Proxy()
    routes = {
        ('POST', '/links'): proxy.add,
        ('POST', '/modes'): proxy.change,
    }
    serve(values.host, values.port, json_application(routes, Faults()))


if __name__ == '__main__':
    main()
