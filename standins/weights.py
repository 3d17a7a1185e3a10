"""Stand-in of the weight store: downloads at a limited rate."""

import time
from collections.abc import Iterable, Iterator
from typing import Any

import eventlet
from absl import flags

from standins.faults import Faults
from standins.web import (
    address_flags,
    fault_routes,
    parse_flags,
    read_json,
    send_json,
    serve,
)

PREFIX = '/weights/'
BLOCK = 65536  # bytes


class WeightStore:
    """Weights of any model and version; all downloads share one rate."""

    def __init__(self, bytes_per_s: float, size: int) -> None:
        """Create the store.

        Args:
          bytes_per_s: rate of all downloads together.
          size: bytes of the weights of one version.
        """
        self.size = size
        self.free_at = time.monotonic()
        self.faults = Faults(outage=0, bytes_per_s=bytes_per_s)

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        """Handle `GET /weights/MODEL/VERSION` or `/faults`."""
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        action = fault_routes(self.faults).get((method, path))
        if action is not None:
            return send_json(start, *action(read_json(environ)))
        if self.faults.level('outage'):
            return send_json(start, 503, {'error': 'outage'})
        if not path.startswith(PREFIX):
            return send_json(start, 404, {})
        start('200 OK', [('Content-Length', str(self.size))])
        return self._download()

    def _download(self) -> Iterator[bytes]:
        left = self.size
        while left:
            block = min(left, BLOCK)
            now = time.monotonic()
            duration = block / self.faults.level('bytes_per_s')
            self.free_at = max(now, self.free_at) + duration
            eventlet.sleep(self.free_at - now)
            yield bytes(block)
            left -= block


def main() -> None:
    """Serve the store."""
    values = address_flags()
    flags.DEFINE_float(
        'rate', 50_000_000, 'Bytes a second.', flag_values=values
    )
    flags.DEFINE_integer(
        'size', 1_000_000, 'Bytes of one version.', flag_values=values
    )
    parse_flags(values)
    store = WeightStore(values.rate, values.size)
    serve(values.host, values.port, store.application)


if __name__ == '__main__':
    main()
