"""Guards against a report that omits misses, nodes or causes."""

import datetime as dt
import json

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from bronzeglade import manifest as manifests
from bronzeglade.entry.telemetry import Labels, Telemetry
from bronzeglade.outcome import Refusal
from bronzeglade.report import burn, page, samples, text
from fleet.deployments import BROLGA, manifest


class ManualClock:
    """A clock that advances only when `sleep` is called."""

    def __init__(self) -> None:
        """Start one hour after the origin of monotonic time."""
        self.time = dt.timedelta(hours=1)

    def now(self) -> dt.datetime:
        """Return the wall-clock time, counted from a fixed date."""
        return dt.datetime(2026, 1, 1, tzinfo=dt.UTC) + self.time

    def monotonic(self) -> dt.timedelta:
        """Return the current time of the clock."""
        return self.time

    def sleep(self, duration: dt.timedelta) -> None:
        """Advance the clock without waiting."""
        self.time += duration


@pytest.fixture
def parsed() -> manifests.Manifest:
    """Return the manifest of the Brolga deployment."""
    valid, errors = manifests.parse(json.dumps(manifest(BROLGA)))
    assert valid is not None, errors
    return valid


def node_page(
    name: str, parsed: manifests.Manifest, missed: int
) -> samples.NodePage:
    """Return the metrics of a node with 20 urgent requests.

    Args:
      name: name of the node.
      parsed: the active manifest.
      missed: how many of the requests are refused.
    """
    registry = CollectorRegistry()
    telemetry = Telemetry(ManualClock(), registry)
    labels = Labels('urgent', 'atlas', 'guide-large', 'v1')
    quick = dt.timedelta(milliseconds=100)
    for _answered in range(20 - missed):
        telemetry.record_answer(labels, parsed.ranks[0], quick, slow=False)
    for _refused in range(missed):
        telemetry.record_refusal(
            labels, Refusal(503, 'overloaded', 'too much work')
        )
    return samples.parse(name, generate_latest(registry).decode())


def test_burn_adds_up_over_nodes(parsed: manifests.Manifest) -> None:
    """A burn rate must cover the fleet, not a single node."""
    report = burn.build(
        [node_page('a', parsed, 0), node_page('b', parsed, 4)], parsed
    )
    urgent = next(group for group in report.groups if group.name == 'urgent')
    assert urgent.windows[0].requests == 40
    assert urgent.windows[0].missed == 4
    assert urgent.windows[0].burn_rate == pytest.approx(2)
    assert urgent.refusals == {'overloaded': 4}
    assert urgent.first_token.p95 == pytest.approx(0.1)


def test_unread_nodes_and_causes_are_named(
    parsed: manifests.Manifest,
) -> None:
    """A node that could not be read must not pass for one without misses."""
    unread = samples.NodePage('c', error='connection refused')
    report = burn.build([node_page('b', parsed, 20), unread], parsed)
    plain = text.to_text(report)
    assert 'NOT READ: c: connection refused' in plain
    assert 'BURNING FAST: rank urgent (refusals: overloaded)' in plain
    assert 'c could not be read' in page.to_html(report)


def test_caller_errors_use_no_budget(parsed: manifests.Manifest) -> None:
    """A request with an invalid key must not use a rank's error budget."""
    registry = CollectorRegistry()
    telemetry = Telemetry(ManualClock(), registry)
    telemetry.record_refusal(
        Labels('urgent', 'x'), Refusal(401, 'key', 'wrong')
    )
    report = burn.build(
        [samples.parse('a', generate_latest(registry).decode())], parsed
    )
    urgent = next(group for group in report.groups if group.name == 'urgent')
    assert urgent.windows[0].requests == 0
    assert urgent.windows[0].burn_rate is None


def test_windows_drop_old_misses() -> None:
    """A miss must not be counted in windows shorter than its age."""
    clock = ManualClock()
    telemetry = Telemetry(clock, CollectorRegistry())
    labels = Labels('urgent', 'atlas')
    telemetry.record_refusal(
        labels, Refusal(503, 'overloaded', 'too much work')
    )
    clock.sleep(dt.timedelta(minutes=2))
    assert not telemetry.windows.counts_over(dt.timedelta(minutes=1))
    counts = telemetry.windows.counts_over(dt.timedelta(minutes=5))
    assert counts[labels].missed == 1
