"""Reads request bodies while there is room for them."""

import socket
from typing import Any

from result import Err, Ok, Result

from bronzeglade.clock import SystemClock
from bronzeglade.decisions.memory_account import (
    NO_ROOM,
    Holding,
    MemoryAccount,
    MemorySettings,
)
from bronzeglade.outcome import Refusal

# Key of the account of all bodies in the WSGI environment.
MEMORY_KEY = 'bronzeglade.memory'
# Functions that the server calls after the response.
_HOOKS_KEY = 'eventlet.posthooks'
_READ_BYTES = 16 * 1024


class BodyReader:
    """Reads a body of known length while the account has room for it."""

    def __init__(self, environ: dict[str, Any]) -> None:
        """Create a reader of the body of a request.

        Args:
          environ: WSGI environment of the request, with the account.
        """
        self.input = environ['wsgi.input']
        self.received = bytearray()
        self.memory: MemoryAccount = environ.get(MEMORY_KEY) or MemoryAccount(
            MemorySettings(), SystemClock()
        )
        self.holding: Holding = self.memory.open(
            environ.get('REMOTE_ADDR', ''), self._give_way
        )
        environ.setdefault(_HOOKS_KEY, []).append((self._release, (), {}))

    def read(self, length: int) -> Result[bytes, Refusal]:
        """Read a body of this length, in bytes."""
        while len(self.received) < length:
            block = self._read_block(length - len(self.received))
            if not block:
                message = 'the request body is shorter than its Content-Length'
                return Err(Refusal(400, 'truncated_body', message))
            if not self.memory.grow(self.holding, len(block)):
                self.received = bytearray()
                return Err(NO_ROOM)
            self.received += block
        self.memory.keep(self.holding)
        body = bytes(self.received)
        self.received = bytearray()
        return Ok(body)

    def _read_block(self, remaining: int) -> bytes:
        try:
            block: bytes = self.input.read(min(remaining, _READ_BYTES))
        except (OSError, ValueError):
            return b''
        return block

    def _give_way(self) -> None:
        """Free an incomplete body, and end its connection."""
        self.received = bytearray()
        try:
            self.input.get_socket().shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _release(self, _environ: dict[str, Any]) -> None:
        self.memory.close(self.holding)
