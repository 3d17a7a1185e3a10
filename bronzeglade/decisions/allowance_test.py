"""Tests that allowances are neither exceeded nor left unusable."""

import datetime as dt

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.allowance import (
    Allowances,
    AllowanceSettings,
    Limits,
)

LIMIT = 200
NODES = 4
TOKENS = 10
STEP = dt.timedelta(milliseconds=500)
MINUTE_S = 60


class AllowanceMachine(RuleBasedStateMachine):
    """Bursts, idle times and node failures, with two reports per second."""

    def __init__(self) -> None:
        """Start all nodes."""
        super().__init__()
        self.clock = ManualClock()
        self.started = 0
        self.nodes: dict[str, Allowances] = {}
        for _number in range(NODES):
            self.start()
        self.admitted_at: list[float] = []
        self.failures = 0

    def start(self) -> None:
        """Start a node without any reports."""
        node = Allowances(AllowanceSettings(), self.clock)
        node.configure({'t': Limits(LIMIT, LIMIT * TOKENS * 2)}, NODES)
        self.started += 1
        self.nodes[f'n{self.started}'] = node

    @rule(index=st.integers(0, NODES - 1), count=st.integers(1, 60))
    def burst(self, index: int, count: int) -> None:
        """Send requests to one node at once."""
        node = self.nodes[sorted(self.nodes)[index]]
        for _request in range(count):
            if node.try_take('t', TOKENS) is None:
                self.admitted_at.append(self.clock.monotonic().total_seconds())

    @rule(steps=st.integers(1, 40), rate=st.integers(0, 4))
    def stream(self, steps: int, rate: int) -> None:
        """Send requests to the first node at a steady rate."""
        for _step in range(steps):
            if rate:
                self.burst(0, rate)
            self.clock.advance(STEP)
            self.exchange()

    @rule(index=st.integers(0, NODES - 1))
    def replace_node(self, index: int) -> None:
        """Replace a node; its unreported usage is lost."""
        self.nodes.pop(sorted(self.nodes)[index])
        self.start()
        self.failures += 1

    def exchange(self) -> None:
        """Deliver the report of each node to all others."""
        reports = {name: node.usage() for name, node in self.nodes.items()}
        for name, node in self.nodes.items():
            for origin, document in reports.items():
                if origin != name:
                    node.merge(origin, document)

    @invariant()
    def stays_within_allowance(self) -> None:
        """No minute exceeds the allowance plus unreported use of lost nodes."""
        now = self.clock.monotonic().total_seconds()
        recent = [at for at in self.admitted_at if at > now - MINUTE_S]
        max_unreported = 0.04 * LIMIT * (self.failures + 1)
        assert len(recent) <= LIMIT + max_unreported


TestAllowances = AllowanceMachine.TestCase
# Each example simulates several minutes; more are not worth their time.
TestAllowances.settings = settings(max_examples=40)


def count_admitted(
    seconds: int, rate: int, limits: Limits, nodes: int = 7
) -> int:
    """Return how many requests one of several nodes admits.

    Args:
      seconds: duration.
      rate: requests per half second.
      limits: the allowance.
      nodes: number of live nodes; only one receives requests.
    """
    clock = ManualClock()
    node = Allowances(AllowanceSettings(), clock)
    node.configure({'t': limits}, nodes)
    count = 0
    for _step in range(2 * seconds):
        count += sum(
            node.try_take('t', TOKENS) is None for _request in range(rate)
        )
        clock.advance(STEP)
        node.usage()
    return count


def test_caller_of_one_node_uses_nearly_everything() -> None:
    """With an equal split over 7 nodes, 6/7 would be unusable."""
    assert count_admitted(240, 10, Limits(600, 10**6)) >= 0.9 * 4 * 600


def test_tokens_are_limited_as_well() -> None:
    """A few long requests must not exceed the limit of tokens."""
    used = count_admitted(240, 10, Limits(10**6, 600 * TOKENS))
    assert used * TOKENS <= 4.05 * 600 * TOKENS
    assert used * TOKENS >= 0.9 * 4 * 600 * TOKENS


def test_first_request_of_a_team_is_admitted_by_any_node() -> None:
    """A small allowance over many nodes must permit the first request."""
    assert count_admitted(1, 1, Limits(60, 10**6)) >= 1


def test_request_that_did_not_run_is_not_charged() -> None:
    """A request refused for overload must not count as usage."""
    clock = ManualClock()
    node = Allowances(AllowanceSettings(), clock)
    node.configure({'t': Limits(10, 10**6)}, 1)
    for _request in range(50):
        assert node.try_take('t', TOKENS) is None
        node.settle('t', -1, -TOKENS)


def test_new_node_counts_the_usage_of_stopped_nodes() -> None:
    """A new node would otherwise admit the allowance a second time."""
    clock = ManualClock()
    limits = {'t': Limits(100, 10**6)}
    old, new = (Allowances(AllowanceSettings(), clock) for _node in range(2))
    old.configure(limits, 2)
    old.merge('dead', {'t': [0, 0, 0, 0, 1, 0, 0]})
    old.merge('dead', {'t': [100, 0, 100, 0, 1, 100, 0]})
    new.configure(limits, 2)
    new.merge('old', old.usage())
    assert new.try_take('t', TOKENS) is not None
