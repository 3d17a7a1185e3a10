"""Stand-in for the platform's VM list; changes become visible with a lag."""

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


class VmList:
    """VMs by name and the changes that are not visible yet."""

    def __init__(self, lag_s: float) -> None:
        """Create an empty list.

        Args:
          lag_s: delay until a change is visible, in seconds.
        """
        self.faults = Faults(lag_s=lag_s, outage=0)
        self.changes: list[tuple[float, dict[str, Any]]] = []
        self.visible: dict[str, dict[str, Any]] = {}

    def put(self, document: Mapping[str, Any]) -> Reply:
        """Add or change the VMs of `{"vms": [...]}`; state `gone` removes."""
        visible_at = time.monotonic() + self.faults.value_of('lag_s')
        self.changes.extend((visible_at, dict(vm)) for vm in document['vms'])
        return 200, {}

    def read(self, _document: Mapping[str, Any]) -> Reply:
        """Apply the changes that are due and return the visible VMs."""
        if self.faults.value_of('outage'):
            return 503, {'error': 'outage'}
        now = time.monotonic()
        due = [vm for visible_at, vm in self.changes if visible_at <= now]
        self.changes = [change for change in self.changes if change[0] > now]
        for vm in due:
            self.visible[vm['name']] = vm
        vms = [vm for vm in self.visible.values() if vm['state'] != 'gone']
        return 200, {'vms': vms}


def main() -> None:
    """Run the VM list process."""
    values = address_flags()
    flags.DEFINE_float(
        'lag', 0, 'Delay of changes in seconds.', flag_values=values
    )
    parse_flags(values)
    state = VmList(values.lag)
    routes = {('GET', '/vms'): state.read, ('POST', '/vms'): state.put}
    application = json_application(routes, state.faults)
    serve(values.host, values.port, application)


if __name__ == '__main__':
    main()
