"""Guards against a report that hides misses, nodes or causes."""

import datetime as dt
import json

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from bronzeglade import manifest as manifests
from bronzeglade.entry.telemetry import Labels, Telemetry
from bronzeglade.outcome import Refusal
from bronzeglade.report import burn, page, samples, text
from fleet.deployments import BROLGA, manifest


class StillClock:
    """A clock that stands unless it is moved."""

    def __init__(self) -> None:
        """Start an hour after the origin."""
        self.time = dt.timedelta(hours=1)

    def now(self) -> dt.datetime:
        """Return a fixed date."""
        return dt.datetime(2026, 1, 1, tzinfo=dt.UTC) + self.time

    def monotonic(self) -> dt.timedelta:
        """Return the time that was set."""
        return self.time

    def sleep(self, duration: dt.timedelta) -> None:
        """Move on."""
        self.time += duration


@pytest.fixture
def parsed() -> manifests.Manifest:
    """Return Brolga's manifest."""
    found, errors = manifests.parse(json.dumps(manifest(BROLGA)))
    assert found is not None, errors
    return found


def node_page(
    name: str, parsed: manifests.Manifest, missed: int
) -> samples.NodePage:
    """Return the page of a node with 20 urgent requests."""
    registry = CollectorRegistry()
    telemetry = Telemetry(StillClock(), registry)
    labels = Labels('urgent', 'atlas', 'guide-large', 'v1')
    quick = dt.timedelta(milliseconds=100)
    for _whole in range(20 - missed):
        telemetry.answered(labels, parsed.ranks[0], quick, slow=False)
    for _refused in range(missed):
        telemetry.refused(labels, Refusal(503, 'overloaded', 'too much work'))
    return samples.parse(name, generate_latest(registry).decode())


def test_burn_adds_up_over_nodes(parsed: manifests.Manifest) -> None:
    """A rate of one node in place of the fleet's would mislead."""
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
    """A node that could not be read must not count as a quiet one."""
    unread = samples.NodePage('c', error='connection refused')
    report = burn.build([node_page('b', parsed, 20), unread], parsed)
    plain = text.to_text(report)
    assert 'NOT READ: c: connection refused' in plain
    assert 'BURNING FAST: rank urgent (refusals: overloaded)' in plain
    assert 'c could not be read' in page.to_html(report)


def test_caller_mistakes_cost_no_budget(parsed: manifests.Manifest) -> None:
    """A caller with a wrong key must not burn a rank's budget."""
    registry = CollectorRegistry()
    telemetry = Telemetry(StillClock(), registry)
    telemetry.refused(Labels('urgent', 'x'), Refusal(401, 'key', 'wrong'))
    built = burn.build(
        [samples.parse('a', generate_latest(registry).decode())], parsed
    )
    urgent = next(group for group in built.groups if group.name == 'urgent')
    assert urgent.windows[0].requests == 0
    assert urgent.windows[0].burn_rate is None


def test_windows_forget() -> None:
    """A miss of an hour ago must not stand in the last minute."""
    clock = StillClock()
    telemetry = Telemetry(clock, CollectorRegistry())
    labels = Labels('urgent', 'atlas')
    telemetry.refused(labels, Refusal(503, 'overloaded', 'too much work'))
    clock.sleep(dt.timedelta(minutes=2))
    assert not telemetry.windows.over(dt.timedelta(minutes=1))
    kept = telemetry.windows.over(dt.timedelta(minutes=5))
    assert kept[labels].missed == 1
