"""Stand-in of a plain service: counts executions by key."""

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
    """Orders that were executed, by idempotency key."""

    def __init__(self, delay_s: float, one_way_s: float = 0) -> None:
        """Create a service.

        Args:
          delay_s: seconds that an order takes.
          one_way_s: seconds on the network each way.
        """
        self.delay_s = delay_s
        self.one_way_s = one_way_s
        self.executions: collections.Counter[str] = collections.Counter()
        self.log: list[dict[str, Any]] = []
        self.faults = Faults(
            drop_before=0,  # connection dropped, not executed
            drop_after=0,  # connection dropped after executing
            errors=0,  # 503, not executed
            hang_s=0,  # delay before executing
        )
        self.routes = {
            **fault_routes(self.faults),
            ('GET', '/executions'): self._list,
            ('GET', '/executed'): self._list_log,
        }

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        """Execute an order, list the executions or set faults."""
        document = read_json(environ)
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        action = self.routes.get(route)
        if action is None:
            reply = self._order(environ, document)
        else:
            reply = action(document)
        return send_reply(environ, start, reply)

    def _order(
        self, environ: Mapping[str, Any], document: dict[str, Any]
    ) -> Reply:
        eventlet.sleep(self.one_way_s + self.faults.level('hang_s'))
        if self.faults.strikes('drop_before'):
            return DROP
        if self.faults.strikes('errors'):
            return 503, {'error': 'unavailable'}
        request_id = environ.get('HTTP_X_REQUEST_ID', 'none')
        key = environ.get('HTTP_X_IDEMPOTENCY_KEY') or request_id
        if environ['REQUEST_METHOD'] != 'GET':
            self._execute(key, request_id, document)
        drops = self.faults.strikes('drop_after')
        eventlet.sleep(self.delay_s + self.one_way_s)
        if drops:
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

    def _list(self, _document: Mapping[str, Any]) -> Reply:
        return 200, dict(self.executions)

    def _list_log(self, _document: Mapping[str, Any]) -> Reply:
        return 200, {'executions': self.log}


def main() -> None:
    """Serve one endpoint."""
    values = address_flags()
    flags.DEFINE_float(
        'delay', 0.02, 'Seconds an order takes.', flag_values=values
    )
    flags.DEFINE_float(
        'one_way', 0, 'Seconds on the network each way.', flag_values=values
    )
    parse_flags(values)
    service = PlainService(values.delay, values.one_way)
    serve(values.host, values.port, service.application)


if __name__ == '__main__':
    main()
