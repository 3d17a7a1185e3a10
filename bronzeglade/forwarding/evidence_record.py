"""Evidence about both versions of a roll-out, as nodes exchange it."""

import collections
import dataclasses
import json
from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from bronzeglade.decisions import duration_histograms, evidence
from bronzeglade.decisions.duration_histograms import Timings
from bronzeglade.decisions.evidence import Evidence

# Raised when decoding bytes that are not a valid record.
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    RecursionError,
)
_MAX_SENT = 10**12
_MAX_REASON_CHARS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """Evidence about one version, and the timings of its attempts.

    `busy` is the part of the evidence from endpoints under high load, `sent`
    the number of attempts, including those in progress.
    """

    evidence: Evidence = Evidence()
    timings: Timings = dataclasses.field(default_factory=collections.Counter)
    busy: Evidence = Evidence()
    sent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceRecord:
    """Evidence about the candidate and the control version."""

    candidate: VersionRecord = VersionRecord()
    control: VersionRecord = VersionRecord()

    def sent(self) -> int:
        """Return the number of attempts at both versions."""
        return self.candidate.sent + self.control.sent


def total(records: Sequence[EvidenceRecord]) -> EvidenceRecord:
    """Return the sum of the records of several nodes."""
    return EvidenceRecord(
        _total([record.candidate for record in records]),
        _total([record.control for record in records]),
    )


def encode(record: EvidenceRecord) -> bytes:
    """Encode a record as the body of a node's evidence row."""
    return json.dumps(
        [_encode_version(record.candidate), _encode_version(record.control)],
        separators=(',', ':'),
    ).encode()


def decode(body: bytes) -> Result[EvidenceRecord, str]:
    """Decode the body of an evidence row, or return why it is malformed."""
    try:
        candidate, control = json.loads(body)
        return Ok(
            EvidenceRecord(_decode_version(candidate), _decode_version(control))
        )
    except _DECODE_ERRORS as error:
        return Err(repr(error)[:_MAX_REASON_CHARS])


def _total(records: Sequence[VersionRecord]) -> VersionRecord:
    return VersionRecord(
        evidence.total(record.evidence for record in records),
        duration_histograms.total(record.timings for record in records),
        evidence.total(record.busy for record in records),
        sum(record.sent for record in records),
    )


def _encode_version(record: VersionRecord) -> list[object]:
    return [
        evidence.encode(record.evidence),
        duration_histograms.encode(record.timings),
        evidence.encode(record.busy),
        record.sent,
    ]


def _decode_version(document: Sequence[Any]) -> VersionRecord:
    encoded_evidence, encoded_timings, encoded_busy, sent = document
    if not 0 <= sent <= _MAX_SENT:
        raise ValueError('number of attempts out of range')
    return VersionRecord(
        evidence.decode(encoded_evidence),
        duration_histograms.decode(encoded_timings),
        evidence.decode(encoded_busy),
        int(sent),
    )
