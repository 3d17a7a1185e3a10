"""Measures the latency, throughput and memory of billing records."""

import datetime as dt
import functools
import json
import random
import statistics
import sys
import time
import tracemalloc
import uuid
from collections.abc import Callable

import eventlet

from bronzeglade import serving
from bronzeglade.adapters import transport
from bronzeglade.adapters.vms import ENTRY_GROUP, Vm, VmState
from bronzeglade.builders import MemoryTable
from bronzeglade.clock import SystemClock
from bronzeglade.coordination import bill as bills
from bronzeglade.coordination.bill import Bill, Usage
from bronzeglade.coordination.billing_journal import DEFAULTS, Journal
from bronzeglade.entry import http
from bronzeglade.entry.billing import Billing
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.peers import PEER_PREFIX, Peers
from bronzeglade.settings import EntrySettings

HOST = '127.0.0.1'
SEQUENTIAL_RECORDS = 2000
CONCURRENT_RECORDS = 20_000
CONCURRENT_CALLERS = 64
DURABILITY_TIMEOUT = dt.timedelta(seconds=30)
MS_PER_S = 1000


def new_bill() -> Bill:
    """Return a billing record of typical size."""
    return Bill(
        uuid.uuid4().hex,
        'shorebird-count',
        'standard',
        'guide-large',
        'v1',
        Usage(812, 390),
        2_372_000,
        whole=True,
        finished_at=dt.datetime.now(dt.UTC),
    )


def start_node(index: int, listener: eventlet.greenio.GreenSocket) -> Billing:
    """Create the billing of a node and serve its control port.

    Both nodes run in this process, so the figures include the work of the
    node that records the bills and of the node that stores their replicas.

    Args:
      index: number in the names of the node and its failure domain.
      listener: listening socket of its control port.
    """
    settings = EntrySettings.model_validate(
        {
            'vm': f'entry-{index}',
            'host': HOST,
            'port': 1,
            'control_port': listener.getsockname()[1],
            'failure_domain': f'domain-{index}',
            'vm_list_url': f'http://{HOST}:1',
            'table_url': f'http://{HOST}:1',
            'peer_keys': '1:0123456789abcdef0123456789abcdef',
        }
    )
    peers = Peers(settings, transport.new_pool())

    def handle(request: Request) -> Response:
        body = http.read_body(request, settings).unwrap()
        name = request.path.removeprefix(PEER_PREFIX)
        reply = peers.receive(name, body).unwrap()
        return Response(200, (reply,), {'Content-Length': str(len(reply))})

    eventlet.spawn(serving.serve, listener, http.wsgi(handle))
    identity = NodeIdentity(
        settings.vm, f'entry-{index}-1', settings.failure_domain
    )
    return Billing(
        identity, MemoryTable(), peers, SystemClock(), random.Random(index)
    )


def start_nodes() -> Billing:
    """Start two nodes and return the billing of the first.

    The second node stores replicas of the first node's records.
    """
    listeners = [eventlet.listen((HOST, 0)) for _ in range(2)]
    nodes = [
        start_node(index, listener) for index, listener in enumerate(listeners)
    ]
    vms = tuple(
        Vm(
            f'entry-{index}',
            ENTRY_GROUP,
            f'{HOST}:1',
            f'domain-{index}',
            VmState.LIVE,
            f'{HOST}:{listener.getsockname()[1]}',
        )
        for index, listener in enumerate(listeners)
    )
    for node in nodes:
        node.peers.update(vms)
    nodes[0].start()
    return nodes[0]


def duration_ms(action: Callable[[], object]) -> float:
    """Run an action and return its duration."""
    started = time.perf_counter()
    action()
    return (time.perf_counter() - started) * MS_PER_S


def record(billing: Billing) -> None:
    """Record a bill and wait until it is durable."""
    billing.record(new_bill(), DURABILITY_TIMEOUT).unwrap()


def measure_latency(billing: Billing) -> dict[str, float]:
    """Return percentiles of the latency of sequential records."""
    record_once = functools.partial(record, billing)
    times = [duration_ms(record_once) for _ in range(SEQUENTIAL_RECORDS)]
    percentiles = statistics.quantiles(times, n=100)
    return {
        'record_p50_ms': round(percentiles[49], 3),
        'record_p95_ms': round(percentiles[94], 3),
        'record_p99_ms': round(percentiles[98], 3),
    }


def measure_throughput(billing: Billing) -> dict[str, float]:
    """Return the records/s with many concurrent callers."""
    pool = eventlet.GreenPool(CONCURRENT_CALLERS)

    def record_all() -> None:
        for _ in range(CONCURRENT_RECORDS):
            pool.spawn(record, billing)
        pool.waitall()

    seconds = duration_ms(record_all) / MS_PER_S
    return {'records_per_s': round(CONCURRENT_RECORDS / seconds)}


def measure_memory() -> dict[str, float]:
    """Return the memory that the records of a full journal use."""
    packed_size = len(bills.pack(new_bill()))
    tracemalloc.start()
    journal = Journal('entry-0-1', 'entry-0')
    for _ in range(DEFAULTS.limit):
        journal.append(bills.pack(new_bill()))
    used_bytes, _peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'packed_bytes': packed_size,
        'held_bytes_per_record': round(used_bytes / DEFAULTS.limit, 1),
        'held_records': DEFAULTS.limit,
        'held_mb': round(used_bytes / 1e6, 2),
    }


def main() -> None:
    """Print the figures as JSON."""
    billing = start_nodes()
    figures = {
        **measure_latency(billing),
        **measure_throughput(billing),
        **measure_memory(),
    }
    sys.stdout.write(json.dumps(figures, indent=2) + '\n')
