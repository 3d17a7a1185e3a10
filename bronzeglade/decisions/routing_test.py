"""Guards against herding, dead workers and an index without bounds."""

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
class Endpoint:
    """A worker of the tests."""

    vm: str
    failure_domain: str = 'a'
    slots: int = 8


WORKERS = tuple(Endpoint(f'w{number}') for number in range(10))


def routing(clock: ManualClock, seed: int = 1) -> Routing:
    """Return the routing of one node."""
    return Routing(RoutingSettings(), clock, random.Random(seed))


def chosen(node: Routing, request: RoutedRequest = PLAIN) -> str:
    """Return the VM that a node chooses."""
    choice = node.choose(WORKERS, request)
    assert isinstance(choice, WorkerChoice)
    return choice.worker


def test_nodes_with_the_same_report_do_not_choose_the_same_worker() -> None:
    """A worker that was idle a second ago must not get all new work."""
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


def test_old_report_fades_into_the_mean() -> None:
    """What was true seconds ago must not steer the choice for ever."""
    clock = ManualClock()
    loads = LoadEstimates(LoadSettings(), clock)
    loads.report('w0', Load('p', 0, 0))
    loads.report('w1', Load('p', 6, 2))
    clock.advance(10 * SECOND)
    assert round(loads.estimate('w0').mean) == 4
    assert round(loads.estimate('w1').mean) == 4


def test_own_requests_are_counted_once() -> None:
    """A report that holds the node's own requests must not add them."""
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
    """Prefix hits save prefill, but not at the price of a queue."""
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
    """A dead worker must get no work, and a repaired one must get some."""
    clock = ManualClock()
    node = routing(clock)
    for _try in range(3):
        node.failed('w0', Failure.LOST)
    assert not node.is_usable('w0')
    clock.advance(2 * SECOND)
    assert node.is_usable('w0')
    node.started('w0')
    assert not node.is_usable('w0')
    node.succeeded('w0')
    assert node.is_usable('w0')


def test_failed_probe_ejects_for_longer() -> None:
    """Probes of a dead worker must become rare."""
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
    """A request for a dead pool must be refused at once."""
    node = routing(ManualClock())
    for worker in WORKERS:
        node.failed(worker.vm, Failure.NOT_CONNECTED)
    assert isinstance(node.choose(WORKERS, PLAIN), NoWorker)


def test_index_is_bounded_and_keeps_the_recent() -> None:
    """An index that grows with traffic takes the memory of the node."""
    settings = PrefixSettings(entries=100)
    index = PrefixIndex(settings, ManualClock())
    for number in range(1000):
        index.record('w0', [f'b{number}'])
        index.record('w1', [f'b{number % 7}'])
    pairs = sum(len(holders) for holders in index.holders.values())
    assert pairs == index.size
    assert pairs <= 100
    assert index.matched_blocks('w0', ['b999']) == 1


def test_lost_event_ends_the_trust_in_old_entries() -> None:
    """A removal that was lost must not attract requests for ever."""
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
    """Equal words after different starts are different blocks."""
    settings = PrefixSettings(block_tokens=2)
    first = prompt_blocks([{'role': 'user', 'content': 'a b c'}], settings)
    second = prompt_blocks([{'role': 'user', 'content': 'x b c'}], settings)
    assert len(first) == len(second) == 2
    assert first[1] != second[1]
