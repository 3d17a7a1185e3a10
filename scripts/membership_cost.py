"""Prints what membership and gossip cost a node, by number of nodes.

Nodes run in one process over a simulated network without sockets. Each
publishes a few documents that change every second.
"""

import datetime as dt
import json
import sys
import time
from typing import Any

from bronzeglade import green

green.patch()

from absl import app, flags  # noqa: E402

from bronzeglade.coordination.simulation import Simulation  # noqa: E402

SIZES = flags.DEFINE_list('sizes', ['8', '40', '120', '330'], 'Node counts.')
SECONDS = flags.DEFINE_integer('seconds', 20, 'Simulated time of a size.')
WARM_UP = flags.DEFINE_integer('warm_up', 60, 'Simulated time before that.')
TOPICS = flags.DEFINE_integer('topics', 3, 'Documents of each node.')
DOCUMENT_BYTES = flags.DEFINE_integer('document_bytes', 100, 'Size of each.')

UDP_HEADER_BYTES = 28  # IPv4 and UDP
HTTP_HEADER_BYTES = 400  # request and reply of a call, about
SECOND = dt.timedelta(seconds=1)


def main(_words: list[str]) -> None:
    """Measure each size and print JSON."""
    results = [measure(int(size)) for size in SIZES.value]
    first, last = results[0], results[-1]
    added = max(1, last['nodes'] - first['nodes'])
    slopes = {
        f'{name}_per_added_node': (last[name] - first[name]) / added
        for name in ('sent_bytes_s', 'cpu_percent')
    }
    json.dump({'sizes': results, 'slopes': slopes}, sys.stdout, indent=2)
    sys.stdout.write('\n')


def measure(count: int) -> dict[str, Any]:
    """Return the cost of one node among `count`, sent and received equal."""
    simulation = Simulation(count)
    _run(simulation, WARM_UP.value)
    datagrams = simulation.sent_datagrams
    sent = simulation.sent_bytes
    calls = simulation.called
    called = simulation.called_bytes
    started = time.process_time()
    _run(simulation, SECONDS.value)
    spent = time.process_time() - started
    per_node = count * SECONDS.value
    udp = simulation.sent_bytes - sent
    udp += (simulation.sent_datagrams - datagrams) * UDP_HEADER_BYTES
    http = simulation.called_bytes - called
    http += (simulation.called - calls) * HTTP_HEADER_BYTES
    return {
        'nodes': count,
        'sent_bytes_s': round((udp + http) / per_node),
        'sent_datagrams_s': round(
            (simulation.sent_datagrams - datagrams) / per_node, 2
        ),
        'http_bytes_s': round(http / per_node),
        'largest_datagram': simulation.largest_datagram_bytes,
        'cpu_percent': round(100 * spent / per_node, 3),
        **ages(simulation),
    }


def ages(simulation: Simulation) -> dict[str, Any]:
    """Return how old the documents are that nodes have of each other."""
    now = int(simulation.clock.monotonic() / SECOND)
    origins = {node.gossip.origin for node in simulation.nodes.values()}
    found: list[int] = []
    missing = 0
    for node in simulation.nodes.values():
        documents = node.gossip.read('topic-0')
        found.extend(now - document[0] for document in documents.values())
        missing += len(origins) - len(documents)
    found.sort()
    return {
        'document_age_median_s': found[len(found) // 2],
        'document_age_p99_s': found[len(found) * 99 // 100],
        'documents_missing': missing,
    }


def _run(simulation: Simulation, seconds: int) -> None:
    filler = b'x' * DOCUMENT_BYTES.value
    for _second in range(seconds):
        now = int(simulation.clock.monotonic() / SECOND)
        for node in simulation.nodes.values():
            for topic in range(TOPICS.value):
                node.gossip.publish(f'topic-{topic}', [now, filler])
        simulation.run(SECOND)


if __name__ == '__main__':
    app.run(main)
