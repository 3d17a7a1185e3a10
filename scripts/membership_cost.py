"""Prints the cost of membership and gossip per node, by number of nodes.

The nodes run in one process on a simulated network without sockets. Each
node publishes a few documents that change every second.
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
SECONDS = flags.DEFINE_integer('seconds', 20, 'Simulated seconds per size.')
WARM_UP = flags.DEFINE_integer(
    'warm_up', 60, 'Simulated seconds before the measurement.'
)
TOPICS = flags.DEFINE_integer('topics', 3, 'Documents per node.')
DOCUMENT_BYTES = flags.DEFINE_integer('document_bytes', 100, 'Document size.')

UDP_HEADER_BYTES = 28  # IPv4 and UDP
HTTP_HEADER_BYTES = 400  # request and response of a call, approximately
SECOND = dt.timedelta(seconds=1)


def main(_arguments: list[str]) -> None:
    """Measure each size; print the results and their slopes as JSON."""
    results = [measure(int(size)) for size in SIZES.value]
    first, last = results[0], results[-1]
    added_nodes = max(1, last['nodes'] - first['nodes'])
    slopes = {
        f'{name}_per_added_node': (last[name] - first[name]) / added_nodes
        for name in ('sent_bytes_s', 'cpu_percent')
    }
    json.dump({'sizes': results, 'slopes': slopes}, sys.stdout, indent=2)
    sys.stdout.write('\n')


def measure(count: int) -> dict[str, Any]:
    """Return the cost per node in a cluster of `count` nodes.

    Bytes are those sent; a node receives as many on average.
    """
    simulation = Simulation(count)
    _run(simulation, WARM_UP.value)
    datagrams_before = simulation.sent_datagrams
    sent_bytes_before = simulation.sent_bytes
    calls_before = simulation.called
    called_bytes_before = simulation.called_bytes
    started = time.process_time()
    _run(simulation, SECONDS.value)
    cpu_s = time.process_time() - started
    per_node = count * SECONDS.value
    udp_bytes = simulation.sent_bytes - sent_bytes_before
    udp_bytes += (
        simulation.sent_datagrams - datagrams_before
    ) * UDP_HEADER_BYTES
    http_bytes = simulation.called_bytes - called_bytes_before
    http_bytes += (simulation.called - calls_before) * HTTP_HEADER_BYTES
    return {
        'nodes': count,
        'sent_bytes_s': round((udp_bytes + http_bytes) / per_node),
        'sent_datagrams_s': round(
            (simulation.sent_datagrams - datagrams_before) / per_node, 2
        ),
        'http_bytes_s': round(http_bytes / per_node),
        'largest_datagram': simulation.largest_datagram_bytes,
        'cpu_percent': round(100 * cpu_s / per_node, 3),
        **document_ages(simulation),
    }


def document_ages(simulation: Simulation) -> dict[str, Any]:
    """Return the ages of the documents that nodes hold of each other."""
    now_s = int(simulation.clock.monotonic() / SECOND)
    origins = {node.gossip.origin for node in simulation.nodes.values()}
    ages: list[int] = []
    missing_documents = 0
    for node in simulation.nodes.values():
        documents = node.gossip.read('topic-0')
        ages.extend(now_s - document[0] for document in documents.values())
        missing_documents += len(origins) - len(documents)
    ages.sort()
    return {
        'document_age_median_s': ages[len(ages) // 2],
        'document_age_p99_s': ages[len(ages) * 99 // 100],
        'documents_missing': missing_documents,
    }


def _run(simulation: Simulation, seconds: int) -> None:
    payload = b'x' * DOCUMENT_BYTES.value
    for _second in range(seconds):
        now_s = int(simulation.clock.monotonic() / SECOND)
        for node in simulation.nodes.values():
            for topic in range(TOPICS.value):
                node.gossip.publish(f'topic-{topic}', [now_s, payload])
        simulation.run(SECOND)


if __name__ == '__main__':
    app.run(main)
