"""The peers of a node, and authenticated calls between peers."""

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

# Other modules import Gossip from here.
from bronzeglade.coordination.gossip import Gossip as Gossip  # noqa: F401
from bronzeglade.coordination.membership import Membership
from bronzeglade.settings import EntrySettings

PEER_PREFIX = '/peer/'

# Appended to the name of the handler, the purpose that a reply is sealed for.
REPLY_SUFFIX = b'/reply'
_HTTP_OK = 200

PeerHandler = Callable[[Any], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A peer: another router node."""

    vm: str
    control_address: str
    failure_domain: str


class Peers:
    """The set of peers, and sealed calls to and from them."""

    def __init__(
        self, settings: EntrySettings, pool: urllib3.PoolManager
    ) -> None:
        """Create an empty set of peers.

        Args:
          settings: settings of this node.
          pool: connection pool for the calls.
        """
        self.settings = settings
        self.pool = pool
        self.keys = seal.parse_keys(settings.peer_keys)
        self.listed_vms: tuple[Vm, ...] = ()
        self.handlers: dict[str, PeerHandler] = {}
        self.membership: Membership | None = None

    def update(self, vms: tuple[Vm, ...]) -> None:
        """Update the entry VMs, and the candidates of membership."""
        self.listed_vms = tuple(
            vm
            for vm in vms
            if vm.group == ENTRY_GROUP and vm.name != self.settings.vm
        )
        self.update_candidates()

    def update_candidates(self) -> None:
        """Set the listed VMs and the seeds as candidates of membership."""
        if self.membership is not None:
            listed = [vm.control_address for vm in self.listed_vms]
            self.membership.update_candidates(
                [*filter(None, listed), *self.settings.seeds]
            )

    def leaving_addresses(self) -> frozenset[str]:
        """Return the control addresses of VMs listed as leaving."""
        return frozenset(
            vm.control_address
            for vm in self.listed_vms
            if vm.state is VmState.LEAVING
        )

    def live(self) -> tuple[Peer, ...]:
        """Return the peers that are considered live and are not leaving.

        Without membership these are the VMs that the list shows as live.
        """
        if self.membership is None:
            return tuple(
                Peer(vm.name, vm.control_address, vm.failure_domain)
                for vm in self.listed_vms
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
          peer: the node to call.
          name: name of the handler on that node.
          document: argument of any type that MessagePack can encode.

        Returns:
          The value that the handler returned, or why there is no reply.
        """
        purpose = name.encode()
        message = seal.seal(self.keys, msgpack.packb(document), purpose)
        answer = self.send(peer, name, message)
        if isinstance(answer, Err):
            return answer
        reply = self._unseal(answer.ok_value, purpose + REPLY_SUFFIX)
        if isinstance(reply, Err):
            return Err(CallFailure(sent=True, detail=reply.err_value))
        return reply

    def send(
        self, peer: Peer, name: str, message: bytes
    ) -> Result[bytes, CallFailure]:
        """Send a sealed message to a peer's handler.

        Args:
          peer: the receiving node.
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
        """Run the handler that a peer calls.

        Args:
          name: name of the handler.
          message: sealed argument.

        Returns:
          The sealed reply, or why the message is refused. A malformed
          message is refused in the same way as one that is not authentic.
        """
        purpose = name.encode()
        document = self._unseal(message, purpose)
        if isinstance(document, Err):
            return document
        handler = self.handlers.get(name)
        if handler is None:
            return Err(f'unknown handler {name!r}')
        try:
            reply = handler(document.ok_value)
        except UNPACK_ERRORS as error:
            log_message('peer:malformed', name=name, error=repr(error))
            return Err(f'malformed argument: {error!r}')
        packed = msgpack.packb(reply)
        return Ok(seal.seal(self.keys, packed, purpose + REPLY_SUFFIX))

    def _unseal(self, message: bytes, purpose: bytes) -> Result[Any, str]:
        payload = seal.unseal(self.keys, message, purpose)
        if isinstance(payload, Err):
            return payload
        try:
            return Ok(msgpack.unpackb(payload.ok_value))
        except UNPACK_ERRORS as error:
            return Err(f'malformed message: {error!r}')
