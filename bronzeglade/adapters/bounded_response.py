"""Bounds what is read of an answer whose server sends without end.

The client of the standard library skips interim answers and trailers for as
long as they arrive, keeps a list of the chunks of a body, and never yields
while bytes are there. All calls of one process share a thread, so that such an
answer would keep it from all other work.
"""

from http import client
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from bronzeglade.adapters import transport
from bronzeglade.time_slice import TimeSlice

# Interim answers (1xx) before the answer; servers send one at most in reply to
# requests without `Expect`.
MAX_INTERIM_ANSWERS = 16


class BoundedResponse(client.HTTPResponse):
    """An answer that yields while it is read, and has bounded parts."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create an answer of which nothing was read; see the base class."""
        super().__init__(*arguments, **options)
        self.time_slice = TimeSlice()
        self.status_lines = 0

    # The base class reads the parts of an answer in methods of their own, whose
    # types are not declared.
    def _read_status(self: Any) -> Any:
        self.status_lines += 1
        if self.status_lines > MAX_INTERIM_ANSWERS + 1:
            raise client.HTTPException('too many interim answers')
        return super()._read_status()  # type: ignore[misc]

    def _read_and_discard_trailer(self: Any) -> None:
        client.parse_headers(self.fp)  # limits their number and length

    def _read_chunked(self: Any, amt: int | None = None) -> bytes:
        content = bytearray()
        while amt is None or len(content) < amt:
            chunk_left = self._get_chunk_left()
            if chunk_left is None:
                break
            size = chunk_left
            if amt is not None:
                size = min(size, amt - len(content))
            content += self._safe_read(size)
            self.chunk_left = chunk_left - size
            self.time_slice.spend()
            self.time_slice.spend_bytes(size)
        return bytes(content)


class BoundedConnection(HTTPConnection):
    """A connection whose answers are bounded."""

    response_class = BoundedResponse


class BoundedConnectionPool(urllib3.HTTPConnectionPool):
    """The connections to one host."""

    ConnectionCls = BoundedConnection  # noqa: WPS115, the name in urllib3


def new_pool() -> urllib3.PoolManager:
    """Return a connection pool for servers that may be faulty."""
    pool = transport.new_pool()
    pool.pool_classes_by_scheme = {'http': BoundedConnectionPool}
    return pool
