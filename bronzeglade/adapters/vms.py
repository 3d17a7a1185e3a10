"""Client of the platform's list of VMs."""

import dataclasses
import datetime as dt
import enum
from typing import Literal, Protocol

import pydantic as pd
import urllib3
from result import Err, Ok, Result

from bronzeglade.adapters import transport

ENTRY_GROUP = 'entry'

_HTTP_OK = 200


class VmState(enum.StrEnum):
    """Whether a VM is in service or about to be removed."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM of the list.

    `group` is `entry` for VMs that run router nodes, otherwise the name of an
    endpoint group of the manifest.
    `control_address` is set for entry VMs only.
    """

    name: str
    group: str
    address: str
    failure_domain: str
    state: VmState
    control_address: str = ''


class VmEntry(pd.BaseModel):
    """A VM on the wire."""

    model_config = pd.ConfigDict(frozen=True)

    name: str
    group: str
    address: str
    failure_domain: str
    state: Literal['live', 'leaving']
    control_address: str = ''


class VmListDocument(pd.BaseModel):
    """The reply of the VM list."""

    vms: list[VmEntry]


class VmList(Protocol):
    """Source of the list of VMs, which may be stale."""

    def read(self) -> Result[tuple[Vm, ...], str]:
        """Return every VM of the list, or why it could not be read."""


class HttpVmList:
    """Client of the VM list's HTTP interface: GET /vms."""

    def __init__(
        self, url: str, pool: urllib3.PoolManager, timeout: dt.timedelta
    ) -> None:
        """Create a client.

        Args:
          url: base URL of the service.
          pool: connections to use.
          timeout: time limit of each call.
        """
        self.url = url
        self.pool = pool
        self.timeout = timeout

    def read(self) -> Result[tuple[Vm, ...], str]:
        """Return every VM of the list, or why it could not be read."""
        reply = transport.call(
            self.pool, 'GET', f'{self.url}/vms', self.timeout
        )
        if isinstance(reply, Err):
            return Err(reply.err_value.detail)
        if reply.ok_value.status != _HTTP_OK:
            return Err(f'status {reply.ok_value.status}')
        return decode(reply.ok_value.body)


def decode(body: bytes) -> Result[tuple[Vm, ...], str]:
    """Decode the reply of the VM list.

    Args:
      body: a VmListDocument as JSON.

    Returns:
      The VMs, or the first validation error.
    """
    try:
        document = VmListDocument.model_validate_json(body)
    except pd.ValidationError as error:
        return Err(str(error.errors()[0]['msg']))
    return Ok(
        tuple(
            Vm(
                name=entry.name,
                group=entry.group,
                address=entry.address,
                failure_domain=entry.failure_domain,
                state=VmState(entry.state),
                control_address=entry.control_address,
            )
            for entry in document.vms
        )
    )
