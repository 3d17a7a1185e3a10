"""Stand-in for the weight store: downloads at a limited total rate."""

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

WEIGHTS_PATH = '/weights/'
BLOCK_BYTES = 65536


class WeightStore:
    """Serves weights of any version; all downloads share the bandwidth."""

    def __init__(self, bytes_per_s: float, size: int) -> None:
        """Create the store.

        Args:
          bytes_per_s: total bandwidth of all downloads.
          size: size of the weights of one version, in bytes.
        """
        self.size = size
        self.next_free_at = time.monotonic()
        self.faults = Faults(outage=0, bytes_per_s=bytes_per_s)

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        """Handle `GET /weights/MODEL/VERSION` or `/faults`."""
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        action = fault_routes(self.faults).get((method, path))
        if action is not None:
            return send_json(start, *action(read_json(environ)))
        if self.faults.value_of('outage'):
            return send_json(start, 503, {'error': 'outage'})
        if not path.startswith(WEIGHTS_PATH):
            return send_json(start, 404, {})
        start('200 OK', [('Content-Length', str(self.size))])
        return self._download()

    def _download(self) -> Iterator[bytes]:
        remaining = self.size
        while remaining:
            block_bytes = min(remaining, BLOCK_BYTES)
            now = time.monotonic()
            duration = block_bytes / self.faults.value_of('bytes_per_s')
            self.next_free_at = max(now, self.next_free_at) + duration
            eventlet.sleep(self.next_free_at - now)
            yield bytes(block_bytes)
            remaining -= block_bytes


def main() -> None:
    """Run the weight store process."""
    values = address_flags()
    flags.DEFINE_float(
        'rate', 50_000_000, 'Total bytes per second.', flag_values=values
    )
    flags.DEFINE_integer(
        'size', 1_000_000, 'Size of one version in bytes.', flag_values=values
    )
    parse_flags(values)
    store = WeightStore(values.rate, values.size)
    serve(values.host, values.port, store.application)


if __name__ == '__main__':
    main()
