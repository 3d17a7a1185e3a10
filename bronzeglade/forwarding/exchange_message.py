"""Datagrams that nodes exchange: msgpack lists of kind, sender and content."""

import collections
import dataclasses
import datetime as dt
import enum
from collections.abc import Mapping, Sequence
from typing import Annotated, Any

import msgpack
import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade.decisions.crashing_segments import SegmentEvidence, SegmentKey
from bronzeglade.decisions.outstanding import Outstanding, WorkByEndpoint
from bronzeglade.forwarding.departures import Incarnation


class MessageKind(enum.IntEnum):
    """Content of a datagram."""

    NODE = 0  # the load of the sending node
    DOMAIN = 1  # the sum of the sender's failure domain
    OTHERS = 2  # the sum of all nodes except the receiver
    DEPARTURE = 3  # an endpoint that is leaving
    PRESENCE = 4  # the sender runs; the nodes that it lists are silent
    CRASHES = 5  # evidence that endpoints end on prompt segments
    COLD = 6  # an endpoint that is cold, or will be when it is back


@dataclasses.dataclass(frozen=True, slots=True)
class LoadMessage:
    """A datagram with the load on endpoints from a node or failure domain."""

    kind: MessageKind
    sender: str
    work: WorkByEndpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A datagram that announces the departure of an endpoint."""

    sender: str
    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStart:
    """A datagram that says how long an endpoint stays cold."""

    sender: str
    incarnation: Incarnation
    remaining: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class PresenceMessage:
    """A datagram that says that its sender runs.

    `silent` lists how long it has heard nothing of silent nodes. It is None if
    the sender is no aggregator, and so vouches for no other node.
    """

    sender: str
    silent: Mapping[str, dt.timedelta] | None


@dataclasses.dataclass(frozen=True, slots=True)
class CrashMessage:
    """A datagram with evidence against prompt segments."""

    sender: str
    segments: Sequence[SegmentEvidence]


Message = LoadMessage | Departure | ColdStart | PresenceMessage | CrashMessage

_DATAGRAM = pd.TypeAdapter(tuple[MessageKind, str, dict[str, Any] | None])
# Sums of the counts of thousands of nodes stay within 64 bits.
_MAX_COUNT = 2**48
_MAX_REASON_CHARS = 200
_Count = Annotated[int, Field(ge=0, le=_MAX_COUNT)]
_WORK = pd.TypeAdapter(dict[str, tuple[_Count, _Count]])
_INCARNATION = pd.TypeAdapter(Incarnation)
# In milliseconds, within the range of timedelta arithmetic.
_Duration = Annotated[int, Field(ge=0, le=_MAX_COUNT)]


@dataclasses.dataclass(frozen=True, slots=True)
class _ColdStartPayload:
    incarnation: Incarnation
    remaining: _Duration


_COLD_START = pd.TypeAdapter(_ColdStartPayload)
_SILENT = pd.TypeAdapter(dict[str, _Duration])
# For each service and segment: the age of the newest beginning of an answer,
# and the ages of the crashes by process.
_CRASHES = pd.TypeAdapter(
    dict[str, dict[str, tuple[_Duration | None, dict[str, _Duration]]]]
)
_MILLISECOND = dt.timedelta(milliseconds=1)


def encode(message: Message) -> bytes:
    """Return a message as a datagram."""
    if isinstance(message, PresenceMessage):
        return _encode_presence(message)
    if isinstance(message, CrashMessage):
        return _encode_crashes(message)
    if isinstance(message, ColdStart):
        return _encode_cold_start(message)
    if isinstance(message, Departure):
        incarnation = dataclasses.asdict(message.incarnation)
        departure: bytes = msgpack.packb(
            [MessageKind.DEPARTURE.value, message.sender, incarnation]
        )
        return departure
    work = {
        endpoint: (outstanding.requests, outstanding.unread_tokens)
        for endpoint, outstanding in message.work.items()
    }
    packed: bytes = msgpack.packb([message.kind.value, message.sender, work])
    return packed


def _encode_cold_start(message: ColdStart) -> bytes:
    payload = {
        'incarnation': dataclasses.asdict(message.incarnation),
        'remaining': message.remaining // _MILLISECOND,
    }
    packed: bytes = msgpack.packb(
        [MessageKind.COLD.value, message.sender, payload]
    )
    return packed


def _encode_presence(message: PresenceMessage) -> bytes:
    silent = message.silent
    payload = None
    if silent is not None:
        payload = {
            name: silence // _MILLISECOND for name, silence in silent.items()
        }
    packed: bytes = msgpack.packb(
        [MessageKind.PRESENCE.value, message.sender, payload]
    )
    return packed


def _encode_crashes(message: CrashMessage) -> bytes:
    payload: dict[str, dict[str, Any]] = collections.defaultdict(dict)
    for segment in message.segments:
        sound_age = segment.sound_age
        payload[segment.key.service][segment.key.name] = (
            None if sound_age is None else sound_age // _MILLISECOND,
            {
                process: age // _MILLISECOND
                for process, age in segment.crash_ages.items()
            },
        )
    packed: bytes = msgpack.packb(
        [MessageKind.CRASHES.value, message.sender, dict(payload)]
    )
    return packed


def _decode_crashes(payload: Any) -> list[SegmentEvidence]:
    return [
        SegmentEvidence(
            SegmentKey(service, name),
            {process: age * _MILLISECOND for process, age in ages.items()},
            None if sound_age is None else sound_age * _MILLISECOND,
        )
        for service, segments in _CRASHES.validate_python(payload).items()
        for name, (sound_age, ages) in segments.items()
    ]


def _decode_silent(payload: Any) -> dict[str, dt.timedelta] | None:
    if payload is None:
        return None
    return {
        name: silence * _MILLISECOND
        for name, silence in _SILENT.validate_python(payload).items()
    }


def decode(content: bytes) -> Result[Message, str]:
    """Return the message in a datagram, or why it is malformed."""
    try:
        kind, sender, payload = _DATAGRAM.validate_python(
            msgpack.unpackb(content)
        )
        if kind is MessageKind.DEPARTURE:
            return Ok(Departure(sender, _INCARNATION.validate_python(payload)))
        if kind is MessageKind.COLD:
            cold = _COLD_START.validate_python(payload)
            remaining = cold.remaining * _MILLISECOND
            return Ok(ColdStart(sender, cold.incarnation, remaining))
        if kind is MessageKind.PRESENCE:
            return Ok(PresenceMessage(sender, _decode_silent(payload)))
        if kind is MessageKind.CRASHES:
            return Ok(CrashMessage(sender, _decode_crashes(payload)))
        work = _WORK.validate_python(payload)
    except (ValueError, msgpack.UnpackException) as error:
        return Err(repr(error)[:_MAX_REASON_CHARS])
    return Ok(
        LoadMessage(
            kind,
            sender,
            {name: Outstanding(*counts) for name, counts in work.items()},
        )
    )
