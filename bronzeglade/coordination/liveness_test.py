"""Tests that silent nodes are suspects, unless this node is disconnected."""

import datetime as dt

from bronzeglade.builders import ManualClock
from bronzeglade.coordination.liveness import (
    ExpectedNode,
    FailureDetector,
    FailureDetectorSettings,
)

SECOND = dt.timedelta(seconds=1)
OTHERS = {'a': ExpectedNode(0), 'b': ExpectedNode(0)}


def run_checks(
    detector: FailureDetector,
    clock: ManualClock,
    seconds: int,
    sender: str = '',
) -> list[str]:
    """Run a check each second and return the suspects of the last one.

    Args:
      detector: under test.
      clock: advanced by one second before each check.
      seconds: number of checks.
      sender: node that sends a message before each check; none if empty.
    """
    suspects: list[str] = []
    for _ in range(seconds):
        clock.advance(SECOND)
        if sender:
            detector.record_message(sender)
        suspects = detector.suspects(OTHERS)
    return suspects


def test_silent_node_becomes_a_suspect() -> None:
    """Callers are sent to a stopped node until it is a suspect."""
    clock = ManualClock()
    detector = FailureDetector(FailureDetectorSettings(), clock)
    assert run_checks(detector, clock, 8, sender='a') == []
    assert run_checks(detector, clock, 1, sender='a') == ['b']


def test_no_suspects_right_after_a_pause() -> None:
    """After a pause, a node has unread messages from other nodes."""
    clock = ManualClock()
    detector = FailureDetector(FailureDetectorSettings(), clock)
    run_checks(detector, clock, 5, sender='a')
    clock.advance(20 * SECOND)
    detector.record_message('a')
    assert detector.suspects(OTHERS) == []
    assert run_checks(detector, clock, 7, sender='a') == []
    assert run_checks(detector, clock, 1, sender='a') == ['b']


def test_no_suspects_while_no_messages_arrive() -> None:
    """A node that receives no messages may itself be disconnected."""
    clock = ManualClock()
    detector = FailureDetector(FailureDetectorSettings(), clock)
    assert run_checks(detector, clock, 100) == []


def test_rejoined_node_becomes_a_suspect_later() -> None:
    """The silence limit doubles with each rejoin.

    Otherwise a node that reaches only the store would be removed and rejoin
    again and again.
    """
    clock = ManualClock()
    detector = FailureDetector(FailureDetectorSettings(), clock)
    expected = {'a': ExpectedNode(0), 'b': ExpectedNode(0, rejoins=2)}
    for _ in range(32):
        clock.advance(SECOND)
        detector.record_message('a')
        assert detector.suspects(expected) == []
    clock.advance(SECOND)
    detector.record_message('a')
    assert detector.suspects(expected) == ['b']
