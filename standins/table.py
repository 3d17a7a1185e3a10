"""Stand-in of the transactional table service."""

import base64
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

import eventlet
from absl import flags

from standins.faults import Faults
from standins.limits import RateLimit
from standins.web import (
    DROP,
    Action,
    Application,
    Reply,
    address_flags,
    json_application,
    parse_flags,
    serve,
)

LARGEST_TRANSACTION = 128  # rows that one transaction writes


@dataclasses.dataclass(slots=True)
class StoredRow:
    """A row with its version."""

    version: int
    body: bytes


class TableState:
    """Rows and the rules of transactions."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.rows: dict[str, StoredRow] = {}

    def read(self, document: Mapping[str, Any]) -> Reply:
        """Return rows by key."""
        keys = [key for key in document['keys'] if key in self.rows]
        return 200, {'rows': [self._encode(key) for key in keys]}

    def scan(self, document: Mapping[str, Any]) -> Reply:
        """Return rows by prefix, in order of key, from beyond a key."""
        prefix = document['prefix']
        after = document.get('after', '')
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        limited = keys[: document['limit']]
        return 200, {'rows': [self._encode(key) for key in limited]}

    def commit(self, document: Mapping[str, Any]) -> Reply:
        """Apply a transaction when all of its checks hold."""
        if len(document['puts']) + len(document['deletes']) > (
            LARGEST_TRANSACTION
        ):
            return 413, {'largest': LARGEST_TRANSACTION}
        for check in document['checks']:
            version = self._version(check['key'])
            if version != check['version']:
                return 409, {'key': check['key'], 'version': version}
        for put in document['puts']:
            self.rows[put['key']] = StoredRow(
                self._version(put['key']) + 1, base64.b64decode(put['body'])
            )
        for key in document['deletes']:
            self.rows.pop(key, None)
        return 200, {}

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0

    def _encode(self, key: str) -> dict[str, Any]:
        row = self.rows[key]
        return {
            'key': key,
            'version': row.version,
            'body': base64.b64encode(row.body).decode(),
        }


class Front:
    """Rate limits and faults in front of the rows."""

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        """Create the front of a table.

        Args:
          writes_per_s: transactions a second; 0 means no limit.
          reads_per_s: calls of read and scan a second; 0 means no limit.
        """
        self.writes = RateLimit(writes_per_s)
        self.reads = RateLimit(reads_per_s)
        self.counts = {'writes': 0, 'reads': 0, 'rows': 0, 'refused': 0}
        self.faults = Faults(
            outage=0,  # 1: 503, nothing is applied
            slow_s=0,  # delay before the call is handled
            lost_requests=0,  # connection dropped, nothing is applied
            lost_replies=0,  # connection dropped after the write took effect
        )

    def reading(self, action: Action) -> Action:
        """Return a read behind its limit and faults."""
        return self._guarded(action, self.reads, 'reads')

    def writing(self, action: Action) -> Action:
        """Return a write behind its limit and faults."""
        return self._guarded(action, self.writes, 'writes')

    def stats(self, _document: Mapping[str, Any]) -> Reply:
        """Return how many calls were handled and refused."""
        return 200, dict(self.counts)

    def _guarded(self, action: Action, limit: RateLimit, kind: str) -> Action:
        def guarded(document: Mapping[str, Any]) -> Reply:
            eventlet.sleep(self.faults.level('slow_s'))
            if self.faults.level('outage'):
                return 503, {'error': 'outage'}
            if not limit.try_take():
                self.counts['refused'] += 1
                return 429, {'error': 'rate limit'}
            if self.faults.strikes('lost_requests'):
                return DROP
            self.counts[kind] += 1
            self.counts['rows'] += len(document.get('puts', ()))
            reply = action(document)
            return DROP if self.faults.strikes('lost_replies') else reply

        return guarded


def application(state: TableState, front: Front) -> Application:
    """Return the table's application."""
    routes: dict[tuple[str, str], Callable[[Mapping[str, Any]], Reply]] = {
        ('POST', '/read'): front.reading(state.read),
        ('POST', '/scan'): front.reading(state.scan),
        ('POST', '/commit'): front.writing(state.commit),
        ('GET', '/stats'): front.stats,
    }
    return json_application(routes, front.faults)


def main() -> None:
    """Serve the table."""
    values = address_flags()
    flags.DEFINE_float(
        'writes', 400, 'Transactions a second.', flag_values=values
    )
    flags.DEFINE_float('reads', 2000, 'Reads a second.', flag_values=values)
    parse_flags(values)
    front = Front(values.writes, values.reads)
    serve(values.host, values.port, application(TableState(), front))


if __name__ == '__main__':
    main()
