"""Other nodes: who they are, calls to them and what they tell."""

import dataclasses
from collections.abc import Callable
from typing import Any

import msgpack
import urllib3
from eliot import log_message
from result import Err, Ok, Result

from bronzeglade.adapters import transport
from bronzeglade.adapters.transport import CallFailure
from bronzeglade.adapters.vms import ENTRY_GROUP, Vm, VmState
from bronzeglade.coordination import seal
from bronzeglade.coordination.datagram import UNPACK_ERRORS

# Gossip is part of this module's interface.
from bronzeglade.coordination.gossip import Gossip as Gossip  # noqa: F401
from bronzeglade.coordination.membership import Membership
from bronzeglade.settings import EntrySettings

PEER_PREFIX = '/peer/'

REPLY = b'/reply'  # purpose of a reply, after the handler's name
_HTTP_OK = 200

PeerHandler = Callable[[Any], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another node."""

    vm: str
    control_address: str
    failure_domain: str


class Peers:
    """The other nodes that are live, and signed calls to them."""

    def __init__(
        self, settings: EntrySettings, pool: urllib3.PoolManager
    ) -> None:
        """Know no peers yet.

        Args:
          settings: this node's.
          pool: connections to use.
        """
        self.settings = settings
        self.pool = pool
        self.keys = seal.parse_keys(settings.peer_keys)
        self.listed: tuple[Vm, ...] = ()
        self.handlers: dict[str, PeerHandler] = {}
        self.membership: Membership | None = None

    def update(self, vms: tuple[Vm, ...]) -> None:
        """Take the VM list, with the seeds, as the candidates."""
        self.listed = tuple(
            vm
            for vm in vms
            if vm.group == ENTRY_GROUP and vm.name != self.settings.vm
        )
        self.update_candidates()

    def update_candidates(self) -> None:
        """Let membership probe the VMs of the list and the seeds."""
        if self.membership is not None:
            listed = [vm.control_address for vm in self.listed]
            self.membership.update_candidates(
                [*filter(None, listed), *self.settings.seeds]
            )

    def leaving_addresses(self) -> frozenset[str]:
        """Return the control addresses that the VM list shows as leaving."""
        return frozenset(
            vm.control_address
            for vm in self.listed
            if vm.state is VmState.LEAVING
        )

    def live(self) -> tuple[Peer, ...]:
        """Return the peers that are taken for live and are not leaving.

        Without membership these are the VMs of the list.
        """
        if self.membership is None:
            return tuple(
                Peer(vm.name, vm.control_address, vm.failure_domain)
                for vm in self.listed
                if vm.state is VmState.LIVE
            )
        leaving = self.leaving_addresses()
        return tuple(
            Peer(member.vm, member.address, member.failure_domain)
            for member in self.membership.usable()
            if member.address not in leaving
        )

    def call(
        self, peer: Peer, name: str, document: Any
    ) -> Result[Any, CallFailure]:
        """Call a peer's handler.

        Args:
          peer: whom to call.
          name: name under which the handler is registered there.
          document: argument; anything that MessagePack carries.

        Returns:
          What the handler returned, or why there is no reply.
        """
        purpose = name.encode()
        message = seal.seal(self.keys, msgpack.packb(document), purpose)
        answer = self.send(peer, name, message)
        if isinstance(answer, Err):
            return answer
        reply = self._open(answer.ok_value, purpose + REPLY)
        if isinstance(reply, Err):
            return Err(CallFailure(sent=True, detail=reply.err_value))
        return reply

    def send(
        self, peer: Peer, name: str, message: bytes
    ) -> Result[bytes, CallFailure]:
        """Send a sealed message to a peer's handler.

        Args:
          peer: whom to send it to.
          name: name of the handler.
          message: sealed argument.

        Returns:
          The sealed reply, or why there is none.
        """
        answer = transport.call(
            self.pool,
            'POST',
            f'http://{peer.control_address}{PEER_PREFIX}{name}',
            self.settings.table_timeout,
            message,
        )
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status != _HTTP_OK:
            status = answer.ok_value.status
            return Err(CallFailure(sent=True, detail=f'status {status}'))
        return Ok(answer.ok_value.body)

    def receive(self, name: str, message: bytes) -> Result[bytes, str]:
        """Run a handler for a peer.

        Args:
          name: name of the handler.
          message: sealed argument.

        Returns:
          The sealed reply, or why the message is refused. A message that
          is malformed is refused like one that is not authentic.
        """
        purpose = name.encode()
        document = self._open(message, purpose)
        if isinstance(document, Err):
            return document
        handler = self.handlers.get(name)
        if handler is None:
            return Err(f'there is no handler {name!r}')
        try:
            reply = handler(document.ok_value)
        except UNPACK_ERRORS as error:
            log_message('peer:malformed', name=name, error=repr(error))
            return Err(f'malformed argument: {error!r}')
        packed = msgpack.packb(reply)
        return Ok(seal.seal(self.keys, packed, purpose + REPLY))

    def _open(self, message: bytes, purpose: bytes) -> Result[Any, str]:
        payload = seal.unseal(self.keys, message, purpose)
        if isinstance(payload, Err):
            return payload
        try:
            return Ok(msgpack.unpackb(payload.ok_value))
        except UNPACK_ERRORS as error:
            return Err(f'malformed message: {error!r}')
