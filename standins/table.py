"""Stand-in of the transactional table service."""

import base64
import dataclasses
from collections.abc import Mapping
from typing import Any

from absl import flags

from standins.web import Reply, json_application, parse_flags, serve


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
        """Return rows by prefix, in order of key."""
        prefix = document['prefix']
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        limited = keys[: document['limit']]
        return 200, {'rows': [self._encode(key) for key in limited]}

    def commit(self, document: Mapping[str, Any]) -> Reply:
        """Apply a transaction when all of its checks hold."""
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


def main() -> None:
    """Serve the table."""
    values = flags.FlagValues()
    flags.DEFINE_integer('port', 0, 'TCP port.', flag_values=values)
    flags.DEFINE_string('host', '127.0.0.1', 'Address.', flag_values=values)
    parse_flags(values)
    state = TableState()
    routes = {
        ('POST', '/read'): state.read,
        ('POST', '/scan'): state.scan,
        ('POST', '/commit'): state.commit,
    }
    serve(values.host, values.port, json_application(routes))


if __name__ == '__main__':
    main()
