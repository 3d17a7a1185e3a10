"""Stand-in of a plain service: counts executions by key."""

import collections
from collections.abc import Iterable
from typing import Any

import eventlet
from absl import flags

from standins.web import parse_flags, read_json, send_json, serve


class PlainService:
    """Orders that were executed, by idempotency key."""

    def __init__(self, delay_s: float) -> None:
        """Create a service.

        Args:
          delay_s: seconds that an order takes.
        """
        self.delay_s = delay_s
        self.executions: collections.Counter[str] = collections.Counter()

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        """Execute an order or list the executions."""
        if environ['PATH_INFO'] == '/executions':
            return send_json(start, 200, dict(self.executions))
        document = read_json(environ)
        key = environ.get('HTTP_X_IDEMPOTENCY_KEY') or environ.get(
            'HTTP_X_REQUEST_ID', 'none'
        )
        if environ['REQUEST_METHOD'] != 'GET':
            self.executions[key] += 1
        eventlet.sleep(self.delay_s)
        reply = {
            'executed': environ['REQUEST_METHOD'],
            'path': environ['PATH_INFO'],
            'order': document,
            'count': self.executions[key],
        }
        return send_json(start, 200, reply)


def main() -> None:
    """Serve one endpoint."""
    values = flags.FlagValues()
    flags.DEFINE_integer('port', 0, 'TCP port.', flag_values=values)
    flags.DEFINE_string('host', '127.0.0.1', 'Address.', flag_values=values)
    flags.DEFINE_float(
        'delay', 0.02, 'Seconds an order takes.', flag_values=values
    )
    parse_flags(values)
    serve(values.host, values.port, PlainService(values.delay).application)


if __name__ == '__main__':
    main()
