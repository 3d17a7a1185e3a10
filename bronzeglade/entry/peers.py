"""Other nodes: who they are, calls to them and what they tell."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

import msgpack
import urllib3
from result import Err, Ok, Result

from bronzeglade.adapters import transport
from bronzeglade.adapters.transport import CallFailure
from bronzeglade.adapters.vms import ENTRY_GROUP, Vm, VmState
from bronzeglade.coordination import seal
from bronzeglade.settings import EntrySettings

PEER_PREFIX = '/peer/'

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

    def update(self, vms: tuple[Vm, ...]) -> None:
        """Take the VM list as the candidates."""
        self.listed = tuple(
            vm
            for vm in vms
            if vm.group == ENTRY_GROUP and vm.name != self.settings.vm
        )

    def live(self) -> tuple[Peer, ...]:
        """Return the peers that are taken for live and are not leaving."""
        return tuple(
            Peer(vm.name, vm.control_address, vm.failure_domain)
            for vm in self.listed
            if vm.state is VmState.LIVE
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
        answer = transport.call(
            self.pool,
            'POST',
            f'http://{peer.control_address}{PEER_PREFIX}{name}',
            self.settings.table_timeout,
            seal.seal(self.keys, msgpack.packb(document)),
        )
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status != _HTTP_OK:
            status = answer.ok_value.status
            return Err(CallFailure(sent=True, detail=f'status {status}'))
        payload = seal.unseal(self.keys, answer.ok_value.body)
        if isinstance(payload, Err):
            return Err(CallFailure(sent=True, detail=payload.err_value))
        return Ok(msgpack.unpackb(payload.ok_value))

    def receive(self, name: str, message: bytes) -> Result[bytes, str]:
        """Run a handler for a peer.

        Args:
          name: name of the handler.
          message: sealed argument.

        Returns:
          The sealed reply, or why the message is refused.
        """
        payload = seal.unseal(self.keys, message)
        if isinstance(payload, Err):
            return payload
        handler = self.handlers.get(name)
        if handler is None:
            return Err(f'there is no handler {name!r}')
        reply = handler(msgpack.unpackb(payload.ok_value))
        return Ok(seal.seal(self.keys, msgpack.packb(reply)))


class Gossip:
    """Small documents that every node tells all others, by topic.

    Each node owns one document for each topic; the newest one wins. The
    document of a dead node disappears.
    """

    def __init__(self, origin: str) -> None:
        """Know only this node.

        Args:
          origin: unique name of this process.
        """
        self.origin = origin
        self.documents: dict[str, dict[str, Any]] = {}

    def publish(self, topic: str, document: Any) -> None:
        """Replace this node's document of a topic."""
        self.documents.setdefault(topic, {})[self.origin] = document

    def read(self, topic: str) -> Mapping[str, Any]:
        """Return the documents of a topic by the origin that owns them."""
        return self.documents.get(topic, {})
