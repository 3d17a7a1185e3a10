"""Tests of herding, failing workers and the bounds of the prefix index."""

import collections
import dataclasses
import datetime as dt
import random

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.load import Load, LoadEstimates, LoadSettings
from bronzeglade.decisions.prefix import (
    CacheEvent,
    PrefixIndex,
    PrefixSettings,
    prompt_blocks,
)
from bronzeglade.decisions.retry import Failure
from bronzeglade.decisions.routing import (
    NoWorker,
    RoutedRequest,
    Routing,
    RoutingSettings,
    WorkerChoice,
)

SECOND = dt.timedelta(seconds=1)
PLAIN = RoutedRequest((), 1)


@dataclasses.dataclass(frozen=True, slots=True)
class StubWorker:
    """A worker for tests."""

    vm: str
    failure_domain: str = 'a'
    slots: int = 8


WORKERS = tuple(StubWorker(f'w{number}') for number in range(10))


def routing(clock: ManualClock, seed: int = 1) -> Routing:
    """Return the routing of one node."""
    return Routing(RoutingSettings(), clock, random.Random(seed))


def chosen(node: Routing, request: RoutedRequest = PLAIN) -> str:
    """Return the VM of the worker that a node chooses."""
    choice = node.choose(WORKERS, request)
    assert isinstance(choice, WorkerChoice)
    return choice.worker


def test_nodes_with_the_same_report_do_not_choose_the_same_worker() -> None:
    """A worker that was idle in the last report must not get all work."""
    clock = ManualClock()
    counts: collections.Counter[str] = collections.Counter()
    nodes = [routing(clock, seed) for seed in range(50)]
    for node in nodes:
        for number, worker in enumerate(WORKERS):
            load = Load('p', 6 if number else 0, 0)
            node.loads.report(worker.vm, load)
        clock.advance(SECOND / 100)
    for node in nodes:
        for _request in range(4):
            name = chosen(node)
            node.started(name)
            counts[name] += 1
    assert counts['w0'] < 0.5 * counts.total()


def test_estimate_from_an_old_report_approaches_the_mean() -> None:
    """A report that is never updated must not bias choices indefinitely."""
    clock = ManualClock()
    loads = LoadEstimates(LoadSettings(), clock)
    loads.report('w0', Load('p', 0, 0))
    loads.report('w1', Load('p', 6, 2))
    clock.advance(10 * SECOND)
    assert round(loads.estimate('w0').mean) == 4
    assert round(loads.estimate('w1').mean) == 4


def test_own_requests_are_counted_once() -> None:
    """A report includes the node's own requests, which it also counts."""
    clock = ManualClock()
    loads = LoadEstimates(LoadSettings(), clock)
    for _request in range(3):
        loads.started('w0')
    clock.advance(2 * SECOND)
    loads.report('w0', Load('p', 3, 0))
    assert loads.estimate('w0').mean == 3
    loads.finished('w0')
    assert loads.estimate('w0').mean == 2


def test_cached_prefix_attracts_until_the_worker_is_full() -> None:
    """A cached prefix saves prefill, but less than a queue costs."""
    clock = ManualClock()
    node = routing(clock)
    blocks = tuple(f'b{number}' for number in range(20))
    request = RoutedRequest(blocks, 1)
    node.started('w3', blocks)
    assert chosen(node, request) == 'w3'
    for _request in range(12):
        node.started('w3')
    assert chosen(node, request) != 'w3'


def test_failing_worker_gets_one_probe_at_a_time() -> None:
    """A failing worker gets no work, and a recovered one gets it again."""
    clock = ManualClock()
    node = routing(clock)
    for _attempt in range(3):
        node.failed('w0', Failure.LOST)
    assert not node.is_usable('w0')
    clock.advance(2 * SECOND)
    assert node.is_usable('w0')
    node.started('w0')
    assert not node.is_usable('w0')
    node.succeeded('w0')
    assert node.is_usable('w0')


def test_failed_probe_ejects_for_longer() -> None:
    """The interval between probes of an unreachable worker must grow."""
    clock = ManualClock()
    node = routing(clock)
    probes = 0
    node.failed('w0', Failure.NOT_CONNECTED)
    for _tick in range(600):
        clock.advance(SECOND / 10)
        if node.is_usable('w0'):
            node.started('w0')
            node.failed('w0', Failure.NOT_CONNECTED)
            node.finished('w0')
            probes += 1
    assert 3 <= probes <= 10


def test_no_worker_when_all_fail() -> None:
    """A request for a pool of failing workers is refused at once."""
    node = routing(ManualClock())
    for worker in WORKERS:
        node.failed(worker.vm, Failure.NOT_CONNECTED)
    assert isinstance(node.choose(WORKERS, PLAIN), NoWorker)


def test_index_is_bounded_and_keeps_the_recent() -> None:
    """An index that grows with traffic exhausts the memory of the node."""
    settings = PrefixSettings(max_entries=100)
    index = PrefixIndex(settings, ManualClock())
    for number in range(1000):
        index.record('w0', [f'b{number}'])
        index.record('w1', [f'b{number % 7}'])
    pairs = sum(len(holders) for holders in index.holders.values())
    assert pairs == index.size
    assert pairs <= 100
    assert index.matched_blocks('w0', ['b999']) == 1


def test_lost_event_drops_old_entries() -> None:
    """An entry whose removal event was lost must not persist indefinitely."""
    clock = ManualClock()
    index = PrefixIndex(PrefixSettings(), clock)
    index.apply(CacheEvent('w0', 1, 'old', added=True))
    clock.advance(60 * SECOND)
    index.record('w0', ['new'])
    index.apply(CacheEvent('w0', 2, 'next', added=True))
    assert index.matched_blocks('w0', ['old']) == 1
    index.apply(CacheEvent('w0', 4, 'later', added=True))
    assert index.matched_blocks('w0', ['old']) == 0
    assert index.matched_blocks('w0', ['new']) == 1
    index.apply(CacheEvent('w0', 5, 'new', added=False))
    assert index.matched_blocks('w0', ['new']) == 0


def test_blocks_are_chained() -> None:
    """Equal words after different prefixes are different blocks."""
    settings = PrefixSettings(block_tokens=2)
    first = prompt_blocks([{'role': 'user', 'content': 'a b c'}], settings)
    second = prompt_blocks([{'role': 'user', 'content': 'x b c'}], settings)
    assert len(first) == len(second) == 2
    assert first[1] != second[1]
