"""Measures what a billing record costs."""

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
from bronzeglade.coordination.journal import DEFAULTS, Journal
from bronzeglade.entry import http
from bronzeglade.entry.billing import Billing
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.peers import PEER_PREFIX, Peers
from bronzeglade.settings import EntrySettings

HOST = '127.0.0.1'
SEQUENTIAL = 2000
CONCURRENT = 20_000
CALLERS = 64
LIMIT = dt.timedelta(seconds=30)
MILLISECOND = 1000


def new_bill() -> Bill:
    """Return a record of the usual size."""
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


def new_node(index: int, listener: eventlet.greenio.GreenSocket) -> Billing:
    """Start the billing of a node with its control port.

    Both nodes run in this process, so that the figures hold the work of the
    origin and of its replica holder.

    Args:
      index: number of the node and of its failure domain.
      listener: socket of its control port.
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


def start() -> Billing:
    """Return the billing of a node whose holder is another node."""
    listeners = [eventlet.listen((HOST, 0)) for _ in range(2)]
    nodes = [new_node(index, one) for index, one in enumerate(listeners)]
    vms = tuple(
        Vm(
            f'entry-{index}',
            ENTRY_GROUP,
            f'{HOST}:1',
            f'domain-{index}',
            VmState.LIVE,
            f'{HOST}:{one.getsockname()[1]}',
        )
        for index, one in enumerate(listeners)
    )
    for node in nodes:
        node.peers.update(vms)
    nodes[0].start()
    return nodes[0]


def timed(action: Callable[[], object]) -> float:
    """Return the milliseconds that an action takes."""
    begun = time.perf_counter()
    action()
    return (time.perf_counter() - begun) * MILLISECOND


def record(billing: Billing) -> None:
    """Keep one record."""
    billing.record(new_bill(), LIMIT).unwrap()


def latency(billing: Billing) -> dict[str, float]:
    """Return percentiles of one record after the other, ms."""
    one = functools.partial(record, billing)
    times = [timed(one) for _ in range(SEQUENTIAL)]
    cuts = statistics.quantiles(times, n=100)
    return {
        'record_p50_ms': round(cuts[49], 3),
        'record_p95_ms': round(cuts[94], 3),
        'record_p99_ms': round(cuts[98], 3),
    }


def throughput(billing: Billing) -> dict[str, float]:
    """Return the records a second of many callers."""
    pool = eventlet.GreenPool(CALLERS)

    def run() -> None:
        for _ in range(CONCURRENT):
            pool.spawn(record, billing)
        pool.waitall()

    seconds = timed(run) / MILLISECOND
    return {'records_per_s': round(CONCURRENT / seconds)}


def memory() -> dict[str, float]:
    """Return the memory of a full journal."""
    packed = len(bills.pack(new_bill()))
    tracemalloc.start()
    journal = Journal('entry-0-1', 'entry-0')
    for _ in range(DEFAULTS.limit):
        journal.append(bills.pack(new_bill()))
    used, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'packed_bytes': packed,
        'held_bytes_per_record': round(used / DEFAULTS.limit, 1),
        'held_records': DEFAULTS.limit,
        'held_mb': round(used / 1e6, 2),
    }


def main() -> None:
    """Measure and print."""
    billing = start()
    figures = {**latency(billing), **throughput(billing), **memory()}
    sys.stdout.write(json.dumps(figures, indent=2) + '\n')
