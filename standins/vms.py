"""Stand-in of the platform's VM list; changes show after a lag."""

import time
from collections.abc import Mapping
from typing import Any

from absl import flags

from standins.faults import Faults
from standins.web import (
    Reply,
    address_flags,
    json_application,
    parse_flags,
    serve,
)


class VmListState:
    """VMs by name, each with the time from which it is visible."""

    def __init__(self, lag_s: float) -> None:
        """Create an empty list.

        Args:
          lag_s: seconds until a change is visible.
        """
        self.faults = Faults(lag_s=lag_s, outage=0)
        self.changes: list[tuple[float, dict[str, Any]]] = []
        self.visible: dict[str, dict[str, Any]] = {}

    def put(self, document: Mapping[str, Any]) -> Reply:
        """Add or change VMs: `{"vms": [...]}`; state `gone` removes one."""
        due = time.monotonic() + self.faults.level('lag_s')
        self.changes.extend((due, dict(vm)) for vm in document['vms'])
        return 200, {}

    def read(self, _document: Mapping[str, Any]) -> Reply:
        """Return the visible list."""
        if self.faults.level('outage'):
            return 503, {'error': 'outage'}
        now = time.monotonic()
        due = [vm for at, vm in self.changes if at <= now]
        self.changes = [change for change in self.changes if change[0] > now]
        for vm in due:
            self.visible[vm['name']] = vm
        vms = [vm for vm in self.visible.values() if vm['state'] != 'gone']
        return 200, {'vms': vms}


def main() -> None:
    """Serve the list."""
    values = address_flags()
    flags.DEFINE_float('lag', 0, 'Lag in seconds.', flag_values=values)
    parse_flags(values)
    state = VmListState(values.lag)
    routes = {('GET', '/vms'): state.read, ('POST', '/vms'): state.put}
    application = json_application(routes, state.faults)
    serve(values.host, values.port, application)


if __name__ == '__main__':
    main()
