"""One worker answers a stream with bytes without end, and the router hangs.

Requests of another route, to another service with a sound worker, go through
the same router meanwhile. The rule looks at those that are still unanswered at
their route's time-out.
"""

import os
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

import rig as rigs
from rig import TROUBLE, Client, Request, Rig, Worker

ROUTE_TIMEOUT_S = 1.0
CLIENT_DEADLINE_S = 4.0
LATE_S = 0.5  # after the route's time-out, as CONFIG says
PLAY_S = 14.0
INTERVAL_S = 0.1
BYTES = (
    os.environ.get('BYTES', '\\n').encode().decode('unicode_escape').encode()
)
BLOCK = BYTES * (65536 // len(BYTES))


def main(rig: Rig) -> bool:
    """Play the case."""
    record = rig.record
    troubled = threading.Event()

    def read(worker: Worker, sock: socket.socket, request: Request) -> bool:
        time.sleep(0.015)
        signature = f'{worker.name}.{request.request_id}'
        rigs.send_answer(sock, request, 200, b'done', signature)
        return True

    def stream(worker: Worker, sock: socket.socket, request: Request) -> bool:
        record('worker', worker.name, 'runs', request.request_id)
        if not TROUBLE or troubled.is_set():
            rigs.send_stream(worker, sock, request, 13, 0.02)
            return True
        troubled.set()
        fields = {
            'Request-Id': request.request_id,
            'Server-Signature': f'{worker.name}.{request.request_id}',
            'Content-Type': 'text/event-stream',
        }
        sock.sendall(rigs.head_of(200, fields))
        sent = 0
        try:
            while True:
                sock.sendall(BLOCK)
                sent += len(BLOCK)
        except OSError as error:
            record('worker', worker.name, 'sent', sent, 'bytes, until', error)
        return False

    rig.worker('plain-1', 'plain', read)
    rig.worker('engine-1', 'engines', stream)
    rig.worker('engine-2', 'engines', stream)
    rig.store.put(
        'op/config',
        rigs.configuration(
            1,
            [
                # Clients wait for such requests until their deadline; those of
                # idempotent ones leave a node that does not read in time.
                rigs.route(
                    'order',
                    'non_idempotent',
                    'plain',
                    timeout_ms=int(ROUTE_TIMEOUT_S * 1000),
                    target_latency_ms=120,
                    max_attempts=1,
                ),
                rigs.route(
                    'chat',
                    'streaming',
                    'engines',
                    timeout_ms=12000,
                    target_latency_ms=2000,
                    resumable=True,
                    sticky=True,
                    gap_aim_ms=2000,
                ),
            ],
        ),
    )
    router = rig.router('node-1')
    rig.wait_until(router.is_ready, 'the router is ready')
    time.sleep(3.5)  # longer than contact-ms

    results: list[float] = []  # seconds until an answer, or the deadline
    threads: list[threading.Thread] = []
    stop_probes = threading.Event()

    def plain(number: int) -> None:
        sent_at = record.now()
        try:
            client = Client(router)
            client.send(
                'POST',
                '/order/x',
                f'r{number}',
                b'order',
                deadline_ms=int(CLIENT_DEADLINE_S * 1000),
            )
        except OSError as error:
            record('client r', number, 'could not send:', error)
            return
        answer = client.read(CLIENT_DEADLINE_S)
        client.close()
        results.append(answer.took_s)
        record(
            f'client r{number} sent at {sent_at:.3f}, status {answer.status}',
            f'after {answer.took_s:.3f} s {answer.ended}',
        )

    def probe() -> None:
        while not stop_probes.is_set():
            began = record.now()
            ready = router.is_ready()
            record(f'readiness {ready} after {record.now() - began:.3f} s')
            stop_probes.wait(1)

    def chat() -> None:
        received = 0

        def count(block: bytes) -> None:
            nonlocal received
            received += len(block)

        client = Client(router)
        client.send(
            'POST',
            '/chat/x',
            's1',
            b'prompt',
            deadline_ms=12000,
            Model='m1',
            Token_Count='1460,80',
            Prompt_Prefix='5c1e07a2:800,e4402b7d:660',
        )
        answer = client.read(12, count)
        client.close()
        record(
            f'client s1 status {answer.status}, {received} bytes,',
            f'complete {answer.complete} after {answer.took_s:.3f} s',
            answer.ended,
        )

    threads.append(threading.Thread(target=probe, daemon=True))
    began = time.monotonic()
    for number in range(int(PLAY_S / INTERVAL_S)):
        time.sleep(max(0, began + number * INTERVAL_S - time.monotonic()))
        threads.append(threading.Thread(target=plain, args=(number,)))
        threads[-1].start()
        if number == 10:
            threads.append(threading.Thread(target=chat))
            threads[-1].start()
        if number == 0:
            threads[0].start()
    stop_probes.set()
    for thread in threads:
        thread.join(CLIENT_DEADLINE_S + 12)

    unanswered = [took_s for took_s in results if took_s > ROUTE_TIMEOUT_S]
    late = [took_s for took_s in results if took_s > ROUTE_TIMEOUT_S + LATE_S]
    record(
        len(results),
        'orders;',
        len(unanswered),
        'without an answer',
        f'at the time-out of {ROUTE_TIMEOUT_S} s;',
        len(late),
        f'without one {LATE_S} s later',
    )
    broken = len(late) >= 8 and len(late) * 2 > len(unanswered)
    record('CONFIG', 'broken' if broken else 'held')
    return not broken


rigs.run(__file__, main)
