"""Stand-in for the object store: PUT, GET, DELETE and list."""

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

OBJECT_PATH = '/objects/'


class ObjectStore:
    """Objects by key, with rate limits and injected faults."""

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        """Create an empty store.

        Args:
          writes_per_s: maximum rate of PUT and DELETE; 0 means no limit.
          reads_per_s: maximum rate of GET; 0 means no limit.
        """
        self.objects_by_key: dict[str, bytes] = {}
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
        eventlet.sleep(self.faults.value_of('slow_s'))
        if self.faults.value_of('outage'):
            return send_json(start, 503, {'error': 'outage'})
        limit = self.reads if method == 'GET' else self.writes
        if not limit.try_acquire():
            return send_json(start, 429, {'error': 'rate limit'})
        if path.startswith(OBJECT_PATH):
            return self._handle_object(
                start, method, path[len(OBJECT_PATH) :], body
            )
        return self._list_keys(environ, start)

    def _handle_object(
        self, start: Any, method: str, key: str, body: bytes
    ) -> Iterable[bytes]:
        if method == 'PUT':
            self.objects_by_key[key] = body
            return send_json(start, 200, {})
        if key not in self.objects_by_key:
            return send_json(start, 404, {})
        if method == 'DELETE':
            self.objects_by_key.pop(key)
            return send_json(start, 200, {})
        start('200 OK', [('Content-Type', 'application/octet-stream')])
        return (self.objects_by_key[key],)

    def _list_keys(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        query = parse_qs(environ.get('QUERY_STRING', ''))
        key_prefix = query.get('prefix', [''])[0]
        keys = sorted(
            key for key in self.objects_by_key if key.startswith(key_prefix)
        )
        return send_json(start, 200, {'keys': keys})


def main() -> None:
    """Run the object store process."""
    values = address_flags()
    flags.DEFINE_float(
        'writes', 400, 'Maximum writes per second.', flag_values=values
    )
    flags.DEFINE_float(
        'reads', 2000, 'Maximum reads per second.', flag_values=values
    )
    parse_flags(values)
    store = ObjectStore(values.writes, values.reads)
    serve(values.host, values.port, store.application)


if __name__ == '__main__':
    main()
