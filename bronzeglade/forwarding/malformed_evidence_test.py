"""Guards that every evidence row that decodes can be evaluated."""

import datetime as dt
import json
from typing import Any

from hypothesis import given
from result import Ok

from bronzeglade import malformed
from bronzeglade.builders import ManualClock
from bronzeglade.coordination.rollout_plan import Order
from bronzeglade.forwarding import builders, evidence_record, running_rollout
from bronzeglade.forwarding.evidence_record import EvidenceRecord
from bronzeglade.forwarding.running_rollout import RunningRollout
from bronzeglade.forwarding.settings import RolloutBounds

COUNTS = [20, 2, 2, 18, 4, 6.5, 3, 2.5, 2.25]
TIMINGS = [['first', 'k', 1, 0.1, [['a', 'e1', 0, 4, 25, 9, 3]]]]
DOCUMENT = [[COUNTS, TIMINGS, COUNTS, 22], [COUNTS, TIMINGS, COUNTS, 30]]
GOOD = evidence_record.decode(json.dumps(DOCUMENT).encode()).unwrap()


def use(record: EvidenceRecord) -> None:
    """Evaluate a record together with that of another node."""
    rollouts = builders.rollouts(ManualClock())
    rollout = RunningRollout(Order('s', 'v2', builders.SECOND, 1))
    rollout.timer.endpoints = 3
    for records in ([GOOD], [GOOD, record], [GOOD, GOOD, record]):
        combined = evidence_record.total(records)
        rollouts._evaluate(rollout, combined)
        running_rollout.exposure(
            RolloutBounds(0.1, 3), rollout, dt.timedelta(milliseconds=300)
        )
    encoded = evidence_record.encode(evidence_record.total([GOOD, record]))
    json.loads(encoded, parse_constant=_reject)


def _reject(constant: str) -> Any:
    raise AssertionError(f'{constant} is not JSON')


def test_evidence_with_one_malformed_value() -> None:
    """A text among the counts stopped the evaluation of all nodes."""
    used = 0
    for body in malformed.json_variants(DOCUMENT):
        outcome = evidence_record.decode(body)
        if isinstance(outcome, Ok):
            use(outcome.ok_value)
            used += 1
        else:
            assert len(outcome.err_value) < 400
    assert used


@given(malformed.json_like(DOCUMENT))
def test_evidence_with_generated_values(body: bytes) -> None:
    """No combination of values may decode to unusable evidence."""
    outcome = evidence_record.decode(body)
    if isinstance(outcome, Ok):
        use(outcome.ok_value)
