"""Stand-in for the transactional table service."""

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

MAX_TRANSACTION_ROWS = 128  # puts and deletes


@dataclasses.dataclass(slots=True)
class StoredRow:
    """A row; `version` is the number of its writes."""

    version: int
    body: bytes


class TableState:
    """Rows of the table and their transactions."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.rows: dict[str, StoredRow] = {}

    def read(self, document: Mapping[str, Any]) -> Reply:
        """Return the existing rows among the requested keys."""
        keys = [key for key in document['keys'] if key in self.rows]
        return 200, {'rows': [self._encode_row(key) for key in keys]}

    def scan(self, document: Mapping[str, Any]) -> Reply:
        """Return rows with a key prefix in key order, beyond `after`."""
        prefix = document['prefix']
        after = document.get('after', '')
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        page = keys[: document['limit']]
        return 200, {'rows': [self._encode_row(key) for key in page]}

    def commit(self, document: Mapping[str, Any]) -> Reply:
        """Apply a transaction atomically when all of its checks hold.

        Returns:
          Status 409 with key and version of the first failed check, 413 for a
          transaction of too many rows.
        """
        if len(document['puts']) + len(document['deletes']) > (
            MAX_TRANSACTION_ROWS
        ):
            return 413, {'largest': MAX_TRANSACTION_ROWS}
        for check in document['checks']:
            version = self._current_version(check['key'])
            if version != check['version']:
                return 409, {'key': check['key'], 'version': version}
        for put in document['puts']:
            self.rows[put['key']] = StoredRow(
                self._current_version(put['key']) + 1,
                base64.b64decode(put['body']),
            )
        for key in document['deletes']:
            self.rows.pop(key, None)
        return 200, {}

    def _current_version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0

    def _encode_row(self, key: str) -> dict[str, Any]:
        row = self.rows[key]
        return {
            'key': key,
            'version': row.version,
            'body': base64.b64encode(row.body).decode(),
        }


class RequestGuard:
    """Applies rate limits and injected faults to the actions of the table."""

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        """Create the guard of a table without faults.

        Args:
          writes_per_s: maximum rate of transactions; 0 means no limit.
          reads_per_s: maximum rate of read and scan; 0 means no limit.
        """
        self.writes = RateLimit(writes_per_s)
        self.reads = RateLimit(reads_per_s)
        self.counts = {'writes': 0, 'reads': 0, 'rows': 0, 'refused': 0}
        self.faults = Faults(
            outage=0,  # 1: status 503, not executed
            slow_s=0,  # delay before each call, in seconds
            lost_requests=0,  # connection dropped, not executed
            lost_replies=0,  # connection dropped after the call was executed
        )

    def guard_read(self, action: Action) -> Action:
        """Return a read action with rate limit and faults applied."""
        return self._guarded(action, self.reads, 'reads')

    def guard_write(self, action: Action) -> Action:
        """Return a write action with rate limit and faults applied."""
        return self._guarded(action, self.writes, 'writes')

    def stats(self, _document: Mapping[str, Any]) -> Reply:
        """Return the numbers of calls, written rows and refusals."""
        return 200, dict(self.counts)

    def _guarded(self, action: Action, limit: RateLimit, kind: str) -> Action:
        def guarded(document: Mapping[str, Any]) -> Reply:
            eventlet.sleep(self.faults.value_of('slow_s'))
            if self.faults.value_of('outage'):
                return 503, {'error': 'outage'}
            if not limit.try_acquire():
                self.counts['refused'] += 1
                return 429, {'error': 'rate limit'}
            if self.faults.should_inject('lost_requests'):
                return DROP
            self.counts[kind] += 1
            self.counts['rows'] += len(document.get('puts', ()))
            reply = action(document)
            return DROP if self.faults.should_inject('lost_replies') else reply

        return guarded


def application(state: TableState, guard: RequestGuard) -> Application:
    """Return the WSGI application of the table."""
    routes: dict[tuple[str, str], Callable[[Mapping[str, Any]], Reply]] = {
        ('POST', '/read'): guard.guard_read(state.read),
        ('POST', '/scan'): guard.guard_read(state.scan),
        ('POST', '/commit'): guard.guard_write(state.commit),
        ('GET', '/stats'): guard.stats,
    }
    return json_application(routes, guard.faults)


def main() -> None:
    """Run the table service process."""
    values = address_flags()
    flags.DEFINE_float(
        'writes', 400, 'Maximum transactions per second.', flag_values=values
    )
    flags.DEFINE_float(
        'reads', 2000, 'Maximum reads per second.', flag_values=values
    )
    parse_flags(values)
    guard = RequestGuard(values.writes, values.reads)
    serve(values.host, values.port, application(TableState(), guard))


if __name__ == '__main__':
    main()
