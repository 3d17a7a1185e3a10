"""Stand-in for a plain service that counts executions by idempotency key."""

import collections
import time
from collections.abc import Iterable, Mapping
from typing import Any

import eventlet
from absl import flags

from standins.faults import Faults
from standins.web import (
    DROP,
    Reply,
    address_flags,
    fault_routes,
    parse_flags,
    read_json,
    send_reply,
    serve,
)


class PlainService:
    """Executes orders and records each execution."""

    def __init__(self, delay_s: float, one_way_s: float = 0) -> None:
        """Create a service.

        Args:
          delay_s: duration of an order, in seconds.
          one_way_s: simulated network latency in each direction, in seconds.
        """
        self.delay_s = delay_s
        self.one_way_s = one_way_s
        self.executions: collections.Counter[str] = collections.Counter()
        self.log: list[dict[str, Any]] = []
        self.faults = Faults(
            drop_before=0,  # connection dropped, not executed
            drop_after=0,  # connection dropped after the execution
            errors=0,  # status 503, not executed
            hang_s=0,  # delay before the execution, in seconds
        )
        self.routes = {
            **fault_routes(self.faults),
            ('GET', '/executions'): self._list_counts,
            ('GET', '/executed'): self._list_executions,
        }

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        """Serve faults and execution lists; any other path is an order."""
        document = read_json(environ)
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        action = self.routes.get(route)
        if action is None:
            reply = self._execute_request(environ, document)
        else:
            reply = action(document)
        return send_reply(environ, start, reply)

    def _execute_request(
        self, environ: Mapping[str, Any], document: dict[str, Any]
    ) -> Reply:
        eventlet.sleep(self.one_way_s + self.faults.value_of('hang_s'))
        if self.faults.should_inject('drop_before'):
            return DROP
        if self.faults.should_inject('errors'):
            return 503, {'error': 'unavailable'}
        request_id = environ.get('HTTP_X_REQUEST_ID', 'none')
        key = environ.get('HTTP_X_IDEMPOTENCY_KEY') or request_id
        if environ['REQUEST_METHOD'] != 'GET':
            self._execute(key, request_id, document)
        drops_reply = self.faults.should_inject('drop_after')
        eventlet.sleep(self.delay_s + self.one_way_s)
        if drops_reply:
            return DROP
        return 200, {
            'executed': environ['REQUEST_METHOD'],
            'path': environ['PATH_INFO'],
            'order': document,
            'count': self.executions[key],
        }

    def _execute(
        self, key: str, request_id: str, document: dict[str, Any]
    ) -> None:
        self.executions[key] += 1
        self.log.append(
            {
                'key': key,
                'request_id': request_id,
                'order_id': document.get('order_id'),
                'at': time.time(),
            }
        )

    def _list_counts(self, _document: Mapping[str, Any]) -> Reply:
        return 200, dict(self.executions)

    def _list_executions(self, _document: Mapping[str, Any]) -> Reply:
        return 200, {'executions': self.log}


def main() -> None:
    """Run the service process."""
    values = address_flags()
    flags.DEFINE_float(
        'delay', 0.02, 'Duration of an order in seconds.', flag_values=values
    )
    flags.DEFINE_float(
        'one_way', 0, 'One-way latency in seconds.', flag_values=values
    )
    parse_flags(values)
    service = PlainService(values.delay, values.one_way)
    serve(values.host, values.port, service.application)


if __name__ == '__main__':
    main()
