"""Format of datagrams: a head, then as many updates as fit."""

import dataclasses
import datetime as dt
import enum
import re
from collections.abc import Sequence
from typing import Any

import msgpack
from result import Err, Ok, Result

from bronzeglade.coordination.seal import HEADER_BYTES

# With IP and UDP headers a datagram fits the smallest usual MTU between regions
# (1,280 bytes, of IPv6 tunnels), so it is not fragmented.
MAX_DATAGRAM_BYTES = 1200
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES
MAX_NAME_LENGTH = 64  # characters of a name or address
INCARNATION_LIMIT = 2**62  # exclusive bound of all numbers in a datagram
ADDRESS = re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}')
DIGEST_BYTES = 8  # prefix of the configuration's digest in a heartbeat

# Exceptions raised on malformed input; some of msgpack's are not ValueErrors.
UNPACK_ERRORS = (
    TypeError,
    ValueError,
    LookupError,
    OverflowError,
    msgpack.UnpackException,
)
ARRAY_MARKER = b'\xdc'  # MessagePack array 16; two bytes of length follow
ARRAY_HEADER_BYTES = 3
_MILLISECOND = dt.timedelta(milliseconds=1)


class MessageKind(enum.IntEnum):
    """Type of a datagram."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    FACTS = 4  # only member records and documents; expects no reply


class MemberState(enum.IntEnum):
    """Known state of a node; within an incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Record of a node.

    `address` is the control address, `caller_address` the address for
    callers. `origin` identifies the process and changes with a restart.
    """

    address: str
    origin: str
    vm: str
    failure_domain: str
    caller_address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    leaving: bool = False

    def precedence(self) -> tuple[int, MemberState]:
        """Return the sort key of records of the same address."""
        return self.incarnation, self.state


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender's configuration.

    `age` is the time since the table service confirmed it.
    """

    generation: int = 0
    digest: bytes = b''
    age: dt.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A gossip document; without a `body` it announces a new version."""

    origin: str
    topic: str
    version: int
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Content of a datagram; a PING_REQUEST asks for a ping of `target`."""

    kind: MessageKind
    sequence: int
    sender: Member
    heartbeat: Heartbeat
    target: str = ''
    members: tuple[Member, ...] = ()
    documents: tuple[Document, ...] = ()


def join(items: Sequence[bytes]) -> bytes:
    """Return a payload made of a packed head and packed items.

    The payload contains their number, so a truncated one is malformed.
    """
    count = len(items).to_bytes(2, 'big')
    return b''.join((ARRAY_MARKER, count, *items))


def pack_head(message: Message) -> bytes:
    """Return the head of a message without members and documents."""
    heartbeat = message.heartbeat
    age_ms = -1 if heartbeat.age is None else heartbeat.age // _MILLISECOND
    return _pack(
        [
            int(message.kind),
            message.sequence,
            message.target,
            [heartbeat.generation, heartbeat.digest, age_ms],
            member_fields(message.sender),
        ]
    )


def pack_member(member: Member) -> bytes:
    """Return a member as a packed item of a datagram."""
    return _pack(member_fields(member))


def pack_document(document: Document) -> bytes:
    """Return a document as a packed item of a datagram."""
    return _pack(document_fields(document))


def member_fields(member: Member) -> list[Any]:
    """Return a member as a list that `read_member` accepts."""
    return [
        [
            member.address,
            member.origin,
            member.vm,
            member.failure_domain,
            member.caller_address,
        ],
        member.incarnation,
        int(member.state),
        member.leaving,
    ]


def document_fields(document: Document) -> list[Any]:
    """Return a document as a list that `read_document` accepts."""
    return [
        document.origin,
        document.topic,
        document.version,
        document.body,
    ]


def unpack(payload: bytes) -> Result[Message, str]:
    """Decode a payload made by `join`.

    Args:
      payload: content of a datagram whose tag has been verified.

    Returns:
      The message, or why it is malformed.
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        return Err('datagram exceeds the maximum size')
    try:
        return Ok(_read_message(msgpack.unpackb(payload)))
    except UNPACK_ERRORS as error:
        return Err(f'malformed datagram: {error!r}')


def read_member(fields: Any) -> Member:
    """Decode and validate a member.

    Args:
      fields: what `member_fields` returned on another node.

    Returns:
      The member.

    Raises:
      ValueError: a field is out of bounds.
      TypeError: a field has another type.
    """
    names, incarnation, state, leaving = fields
    address, origin, vm, domain, caller_address = names
    return Member(
        address=_check_address(address),
        origin=_check_name(origin),
        vm=_check_name(vm),
        failure_domain=_check_name(domain),
        caller_address=_check_address(caller_address),
        incarnation=_check_number(incarnation),
        state=MemberState(state),
        leaving=bool(leaving),
    )


def read_document(fields: Any) -> Document:
    """Decode and validate a document.

    Args:
      fields: what `document_fields` returned on another node.

    Returns:
      The document.

    Raises:
      ValueError: a field is out of bounds.
      TypeError: a field has another type.
    """
    origin, topic, version, body = fields
    if not isinstance(body, bytes | None):
        raise TypeError('document body must be bytes or nil')
    return Document(
        _check_name(origin), _check_name(topic), _check_number(version), body
    )


def _pack(fields: list[Any]) -> bytes:
    packed: bytes = msgpack.packb(fields)
    return packed


def _read_message(items: list[Any]) -> Message:
    kind, sequence, target, heartbeat, sender = items[0]
    generation, digest, age_ms = heartbeat
    members: list[Member] = []
    documents: list[Document] = []
    for fields in items[1:]:
        if isinstance(fields[0], list):
            members.append(read_member(fields))
        else:
            documents.append(read_document(fields))
    if not isinstance(digest, bytes):
        raise TypeError('digest must be bytes')
    age = None if age_ms < 0 else _check_number(age_ms) * _MILLISECOND
    return Message(
        kind=MessageKind(kind),
        sequence=_check_number(sequence),
        sender=read_member(sender),
        heartbeat=Heartbeat(_check_number(generation), digest, age),
        target=target if target == '' else _check_address(target),
        members=tuple(members),
        documents=tuple(documents),
    )


def _check_name(field: Any) -> str:
    if not isinstance(field, str):
        raise TypeError('name must be a string')
    if not 0 < len(field) <= MAX_NAME_LENGTH:
        raise ValueError('name is empty or too long')
    return field


def _check_address(field: Any) -> str:
    # A host name would need a DNS look-up, which blocks the sender.
    if ADDRESS.fullmatch(_check_name(field)) is None:
        raise ValueError('address must be an IPv4 address with a port')
    return str(field)


def _check_number(field: Any) -> int:
    if not isinstance(field, int) or isinstance(field, bool):
        raise TypeError('number must be an integer')
    if not 0 <= field < INCARNATION_LIMIT:
        raise ValueError('number is out of range')
    return field
