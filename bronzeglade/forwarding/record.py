"""What nodes have seen of both versions of a roll-out, as they exchange it."""

import collections
import dataclasses
import json
from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from bronzeglade.decisions import evidence, timings
from bronzeglade.decisions.evidence import Evidence
from bronzeglade.decisions.timings import Timings

# What the decoding of bytes that are no record raises.
_MALFORMED = (ValueError, TypeError, LookupError, OverflowError)


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """What was seen of one version."""

    evidence: Evidence = Evidence()
    timings: Timings = dataclasses.field(default_factory=collections.Counter)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What was seen of the new version and of the one that it replaces."""

    candidate: VersionRecord = VersionRecord()
    control: VersionRecord = VersionRecord()


def total(records: Sequence[Record]) -> Record:
    """Return what several nodes have seen together."""
    return Record(
        _total([one.candidate for one in records]),
        _total([one.control for one in records]),
    )


def encode(record: Record) -> bytes:
    """Return the content of the row of a node."""
    return json.dumps(
        [_listed(record.candidate), _listed(record.control)],
        separators=(',', ':'),
    ).encode()


def decode(body: bytes) -> Result[Record, str]:
    """Return the record of a row, or why it holds none."""
    try:
        candidate, control = json.loads(body)
        return Ok(Record(_version(candidate), _version(control)))
    except _MALFORMED as error:
        return Err(repr(error))


def _total(records: Sequence[VersionRecord]) -> VersionRecord:
    return VersionRecord(
        evidence.total(one.evidence for one in records),
        timings.total(one.timings for one in records),
    )


def _listed(record: VersionRecord) -> list[object]:
    return [evidence.encode(record.evidence), timings.encode(record.timings)]


def _version(document: Sequence[Any]) -> VersionRecord:
    counted, timed = document
    return VersionRecord(evidence.decode(counted), timings.decode(timed))
