"""Stand-in of the object store: PUT, GET, DELETE and list."""

from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs

import eventlet
from absl import flags

from standins.faults import Faults
from standins.limits import RateLimit
from standins.web import (
    address_flags,
    fault_routes,
    parse_flags,
    read_body,
    read_json,
    send_json,
    serve,
)

PREFIX = '/objects/'


class ObjectStore:
    """Objects by key, behind rate limits and faults."""

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        """Create an empty store.

        Args:
          writes_per_s: PUT and DELETE calls a second; 0 means no limit.
          reads_per_s: GET calls a second; 0 means no limit.
        """
        self.stored: dict[str, bytes] = {}
        self.writes = RateLimit(writes_per_s)
        self.reads = RateLimit(reads_per_s)
        self.faults = Faults(outage=0, slow_s=0)

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        """Handle `/objects/KEY`, `/objects?prefix=` or `/faults`."""
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        action = fault_routes(self.faults).get((method, path))
        if action is not None:
            return send_json(start, *action(read_json(environ)))
        body = read_body(environ)
        eventlet.sleep(self.faults.level('slow_s'))
        if self.faults.level('outage'):
            return send_json(start, 503, {'error': 'outage'})
        limit = self.reads if method == 'GET' else self.writes
        if not limit.try_take():
            return send_json(start, 429, {'error': 'rate limit'})
        if path.startswith(PREFIX):
            return self._object(start, method, path[len(PREFIX) :], body)
        return self._list(environ, start)

    def _object(
        self, start: Any, method: str, key: str, body: bytes
    ) -> Iterable[bytes]:
        if method == 'PUT':
            self.stored[key] = body
            return send_json(start, 200, {})
        if key not in self.stored:
            return send_json(start, 404, {})
        if method == 'DELETE':
            self.stored.pop(key)
            return send_json(start, 200, {})
        start('200 OK', [('Content-Type', 'application/octet-stream')])
        return (self.stored[key],)

    def _list(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        query = parse_qs(environ.get('QUERY_STRING', ''))
        wanted = query.get('prefix', [''])[0]
        keys = sorted(key for key in self.stored if key.startswith(wanted))
        return send_json(start, 200, {'keys': keys})


def main() -> None:
    """Serve the store."""
    values = address_flags()
    flags.DEFINE_float('writes', 400, 'Writes a second.', flag_values=values)
    flags.DEFINE_float('reads', 2000, 'Reads a second.', flag_values=values)
    parse_flags(values)
    store = ObjectStore(values.writes, values.reads)
    serve(values.host, values.port, store.application)


if __name__ == '__main__':
    main()
