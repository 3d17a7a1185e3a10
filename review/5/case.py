"""The store loses one answer, and a router sends work to a leaving worker.

The lost answer is the one by which one of two routers would learn that a worker
is draining. All other calls of all processes are answered. What the worker gets
late is cut when it exits.
"""

import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

import rig as rigs
from rig import TROUBLE, Client, Request, Rig, Router, Worker

DRAIN_S = 2.0  # drain-ms
CONTACT_S = 3.0  # contact-ms
SERVES_ON_S = 5.0  # how long the worker serves after its report
EVENTS = 40
INTERVAL_S = 0.1


def main(rig: Rig) -> bool:
    """Play the case."""
    record = rig.record
    arrivals: list[tuple[float, str, str]] = []

    def work(worker: Worker, sock: socket.socket, request: Request) -> bool:
        record('worker', worker.name, 'runs', request.request_id)
        arrivals.append((record.now(), worker.name, request.request_id))
        headers = {'Server-Leaving': '1'} if worker.leaving else {}
        rigs.send_stream(worker, sock, request, EVENTS, INTERVAL_S, headers)
        return True

    workers = [
        rig.worker(f'engine-{number}', 'engines', work) for number in (1, 2)
    ]
    routes = [
        rigs.route(
            'chat',
            'streaming',
            'engines',
            timeout_ms=25000,
            target_latency_ms=2000,
            gap_aim_ms=2000,
        )
    ]
    rig.store.put('op/config', rigs.configuration(1, routes))
    routers = [rig.router('node-1'), rig.router('node-2')]
    for router in routers:
        rig.wait_until(router.is_ready, 'the routers are ready')
    time.sleep(3.5)

    sent_at: dict[str, float] = {}

    def stream(router: Router, name: str) -> None:
        sent_at[name] = record.now()
        client = Client(router)
        client.send(
            'POST',
            '/chat/x',
            name,
            b'prompt',
            deadline_ms=25000,
            Model='m1',
            Token_Count='660,240',
            Prompt_Prefix=f'a0000001:172,e{len(sent_at):07x}:543',
        )
        answer = client.read(25)
        client.close()
        events = answer.body.count(b'\n\n')
        record(
            f'client {name} via {router.name}: status {answer.status},',
            f'{events} of {EVENTS} events, complete {answer.complete}',
            answer.ended,
        )

    def play(names: list[str]) -> list[threading.Thread]:
        threads = [
            threading.Thread(target=stream, args=(routers[number % 2], name))
            for number, name in enumerate(names)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.05)
        return threads

    for thread in play([f'before-{number}' for number in range(4)]):
        thread.join()

    lost = threading.Event()

    def lose(table: str, caller: str, rows: list[dict[str, object]]) -> bool:
        keys = [row['key'] for row in rows]
        if lost.is_set() or table != 'servers' or 'engine-1' not in keys:
            return False
        if caller != 'node-1':
            return False
        lost.set()
        record('store: loses the answer to node-1 with the row of engine-1')
        return True

    if TROUBLE:
        rig.store.lose_feed = lose
    leaving = workers[0]
    leaving.leaving = True
    rig.store.put('servers/engine-1', leaving.entry('draining'))
    acknowledged_at = record.now()
    record('store: acknowledged that engine-1 is draining')
    time.sleep(CONTACT_S + 0.3)
    if TROUBLE and not lost.is_set():
        raise rigs.CannotRunError('no answer was lost')

    threads = play([f'after-{number}' for number in range(8)])
    time.sleep(max(0, acknowledged_at + SERVES_ON_S - record.now()))
    leaving.end()
    record('worker engine-1 exits')
    for thread in threads:
        thread.join()

    late = [
        (at, name)
        for at, worker, name in arrivals
        if worker == 'engine-1' and at > acknowledged_at + DRAIN_S
    ]
    for at, name in late:
        record(
            f'{name} was sent {sent_at[name] - acknowledged_at:.3f} s and',
            f'reached engine-1 {at - acknowledged_at:.3f} s after the',
            f'acknowledgement; drain-ms is {DRAIN_S:.3f} s',
        )
    record('DRAIN', 'broken' if late else 'held')
    return not late


rigs.run(__file__, main)
