"""Datagrams between nodes: one head and as many facts as fit."""

import dataclasses
import datetime as dt
import enum
import re
from collections.abc import Iterator
from typing import Any

import msgpack
from result import Err, Ok, Result

from bronzeglade.coordination.seal import HEADER_BYTES

# Fits the smallest MTU that is usual on links between regions (1,280 bytes
# for IPv6 tunnels) with IP and UDP headers, so no datagram is fragmented.
DATAGRAM_LIMIT = 1200
PAYLOAD_LIMIT = DATAGRAM_LIMIT - HEADER_BYTES
NAME_LIMIT = 64  # characters of a name or address
INCARNATION_LIMIT = 2**62
ADDRESS = re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}')
DIGEST_BYTES = 8  # of the configuration's digest; tells generations apart

# What unpacking raises: msgpack's errors that are not ValueErrors included.
MALFORMED = (
    TypeError,
    ValueError,
    LookupError,
    OverflowError,
    StopIteration,
    msgpack.UnpackException,
)
_MILLISECOND = dt.timedelta(milliseconds=1)


class Kind(enum.IntEnum):
    """What a datagram asks for."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    FACTS = 4


class MemberState(enum.IntEnum):
    """What is known of a node; at one incarnation a higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node as it describes itself, with its state.

    `address` is the control address, `caller_address` the one towards
    callers. `origin` names the process; a restart changes it.
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
        """Return what orders two facts about the same address."""
        return self.incarnation, self.state


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The configuration of the sender; `age` since the table confirmed it."""

    generation: int = 0
    digest: bytes = b''
    age: dt.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A document of gossip; `body` is None when it must be fetched."""

    origin: str
    topic: str
    version: int
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A datagram; `target` is the address that a ping request is about."""

    kind: Kind
    sequence: int
    sender: Member
    heartbeat: Heartbeat
    target: str = ''
    members: tuple[Member, ...] = ()
    documents: tuple[Document, ...] = ()


def pack_head(message: Message) -> bytes:
    """Return the head of a message without members and documents."""
    beat = message.heartbeat
    age = -1 if beat.age is None else beat.age // _MILLISECOND
    return _pack(
        [
            int(message.kind),
            message.sequence,
            message.target,
            [beat.generation, beat.digest, age],
            member_fields(message.sender),
        ]
    )


def pack_member(member: Member) -> bytes:
    """Return a member as an item of a datagram."""
    return _pack(member_fields(member))


def pack_document(document: Document) -> bytes:
    """Return a document as an item of a datagram."""
    return _pack(document_fields(document))


def member_fields(member: Member) -> list[Any]:
    """Return a member as a list for MessagePack."""
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
    """Return a document as a list for MessagePack."""
    return [
        document.origin,
        document.topic,
        document.version,
        document.body,
    ]


def unpack(payload: bytes) -> Result[Message, str]:
    """Read a payload that was composed of the packed parts.

    Args:
      payload: of an authentic datagram.

    Returns:
      The message, or why it is malformed.
    """
    if len(payload) > PAYLOAD_LIMIT:
        return Err('the datagram is too large')
    try:
        return Ok(_read_message(_objects(payload)))
    except MALFORMED as error:
        return Err(f'malformed datagram: {error!r}')


def read_member(fields: Any) -> Member:
    """Read a member.

    Args:
      fields: what `member_fields` returned on another node.

    Returns:
      The member.

    Raises:
      ValueError: a field is out of bounds.
      TypeError: a field has another type.
    """
    names, incarnation, state, leaving = fields
    address, origin, vm, domain, callers = names
    return Member(
        address=_address(address),
        origin=_name(origin),
        vm=_name(vm),
        failure_domain=_name(domain),
        caller_address=_address(callers),
        incarnation=_number(incarnation),
        state=MemberState(state),
        leaving=bool(leaving),
    )


def read_document(fields: Any) -> Document:
    """Read a document.

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
        raise TypeError('a body is bytes or nil')
    return Document(_name(origin), _name(topic), _number(version), body)


def _pack(fields: list[Any]) -> bytes:
    packed: bytes = msgpack.packb(fields)
    return packed


def _objects(payload: bytes) -> Iterator[Any]:
    unpacker = msgpack.Unpacker(max_buffer_size=PAYLOAD_LIMIT)
    unpacker.feed(payload)
    yield from unpacker
    if unpacker.tell() != len(payload):
        raise ValueError('a part is cut off')


def _read_message(objects: Iterator[Any]) -> Message:
    kind, sequence, target, beat, sender = next(objects)
    generation, digest, age = beat
    members: list[Member] = []
    documents: list[Document] = []
    for fields in objects:
        if isinstance(fields[0], list):
            members.append(read_member(fields))
        else:
            documents.append(read_document(fields))
    if not isinstance(digest, bytes):
        raise TypeError('a digest is bytes')
    since = None if age < 0 else _number(age) * _MILLISECOND
    return Message(
        kind=Kind(kind),
        sequence=_number(sequence),
        sender=read_member(sender),
        heartbeat=Heartbeat(_number(generation), digest, since),
        target=target if target == '' else _address(target),
        members=tuple(members),
        documents=tuple(documents),
    )


def _name(field: Any) -> str:
    if not isinstance(field, str):
        raise TypeError('a name is text')
    if not 0 < len(field) <= NAME_LIMIT:
        raise ValueError('a name is empty or too long')
    return field


def _address(field: Any) -> str:
    # A name in its place would be looked up, which blocks the sender.
    if ADDRESS.fullmatch(_name(field)) is None:
        raise ValueError('an address is an IP address with a port')
    return str(field)


def _number(field: Any) -> int:
    if not isinstance(field, int) or isinstance(field, bool):
        raise TypeError('a number is an integer')
    if not 0 <= field < INCARNATION_LIMIT:
        raise ValueError('a number is out of bounds')
    return field
