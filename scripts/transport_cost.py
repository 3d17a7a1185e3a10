"""Measures ways to send a message between two nodes on loopback.

Runs gRPC, MessagePack over HTTP (eventlet's WSGI server and urllib3) and
MessagePack in UDP datagrams in alternation, each with one server and one
client process under eventlet, and prints medians as JSON.
"""

import json
import os
import select
import socket
import statistics
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable
from typing import Any

import msgpack
from absl import app, flags

from bronzeglade import green

KIND = flags.DEFINE_enum('kind', '', ['', 'grpc', 'http', 'udp'], 'Transport.')
ROLE = flags.DEFINE_enum('role', '', ['', 'server', 'client'], 'Side.')
PORT = flags.DEFINE_integer('port', 0, 'Port of the server.')
CALLS = flags.DEFINE_integer('calls', 2000, 'Calls of one run.')
RUNS = flags.DEFINE_integer('runs', 3, 'Alternating runs.')

HOST = '127.0.0.1'
PAYLOAD = msgpack.packb({'records': ['x' * 150]})
METHOD = '/bronzeglade.Peer/Call'
TICKS = os.sysconf('SC_CLK_TCK')


def main(_words: list[str]) -> None:
    """Run one side, or all runs."""
    if ROLE.value == 'server':
        SERVERS[KIND.value](PORT.value)
    elif ROLE.value == 'client':
        _measure(CLIENTS[KIND.value](PORT.value))
    else:
        _compare()


def _serve_http(port: int) -> None:
    green.patch()
    from standins.web import serve  # noqa: PLC0415

    def application(environ: dict[str, Any], start: Any) -> tuple[bytes]:
        body = environ['wsgi.input'].read(int(environ['CONTENT_LENGTH']))
        reply = msgpack.packb(len(msgpack.unpackb(body)))
        start('200 OK', [('Content-Length', str(len(reply)))])
        return (reply,)

    serve(HOST, port, application)


def _serve_udp(port: int) -> None:
    green.patch()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
        listener.bind((HOST, port))
        while True:
            message, sender = listener.recvfrom(2048)
            reply = msgpack.packb(len(msgpack.unpackb(message)))
            listener.sendto(reply, sender)


def _serve_grpc(port: int) -> None:
    from concurrent import futures  # noqa: PLC0415

    import grpc  # noqa: PLC0415

    def answer(request: Any, _context: Any) -> int:
        return len(request)

    handler = grpc.unary_unary_rpc_method_handler(
        answer,
        request_deserializer=msgpack.unpackb,
        response_serializer=msgpack.packb,
    )
    server = grpc.server(futures.ThreadPoolExecutor(1))
    server.add_generic_rpc_handlers(
        (
            grpc.method_handlers_generic_handler(
                'bronzeglade.Peer', {'Call': handler}
            ),
        )
    )
    server.add_insecure_port(f'{HOST}:{port}')
    server.start()
    server.wait_for_termination()


def _call_http(port: int) -> Callable[[], None]:
    green.patch()
    import urllib3  # noqa: PLC0415

    pool = urllib3.PoolManager(retries=False)

    def call() -> None:
        url = f'http://{HOST}:{port}/peer'
        reply = pool.request('POST', url, body=PAYLOAD)
        msgpack.unpackb(reply.data)

    return call


def _call_udp(port: int) -> Callable[[], None]:
    green.patch()
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect((HOST, port))

    def call() -> None:
        sender.send(PAYLOAD)
        msgpack.unpackb(sender.recv(2048))

    return call


def _call_grpc(port: int) -> Callable[[], None]:
    # With threads patched, the first gRPC call never returns.
    import eventlet  # noqa: PLC0415

    eventlet.monkey_patch(thread=False)
    import grpc  # noqa: PLC0415

    channel = grpc.insecure_channel(f'{HOST}:{port}')
    method = channel.unary_unary(
        METHOD,
        request_serializer=msgpack.packb,
        response_deserializer=msgpack.unpackb,
    )
    document = msgpack.unpackb(PAYLOAD)
    reader, writer = os.pipe()

    def call() -> None:
        # A pipe wakes the loop when gRPC's own thread has the reply.
        future = method.future(document)
        future.add_done_callback(lambda _done: os.write(writer, b'.'))
        select.select([reader], [], [])
        os.read(reader, 1)
        future.result()

    return call


SERVERS: dict[str, Callable[[int], None]] = {
    'http': _serve_http,
    'udp': _serve_udp,
    'grpc': _serve_grpc,
}
CLIENTS: dict[str, Callable[[int], Callable[[], None]]] = {
    'http': _call_http,
    'udp': _call_udp,
    'grpc': _call_grpc,
}


def _measure(call: Callable[[], None]) -> None:
    for _warm in range(100):
        call()
    cpu = time.process_time()
    begin = time.monotonic()
    for _count in range(CALLS.value):
        call()
    taken = time.monotonic() - begin
    used = time.process_time() - cpu
    json.dump(
        {
            'calls_per_second': CALLS.value / taken,
            'client_cpu_us': used / CALLS.value * 1e6,
            **_size('self'),
        },
        sys.stdout,
    )


def _size(process: str) -> dict[str, float]:
    found: dict[str, float] = {}
    with open(f'/proc/{process}/status', encoding='ascii') as status:
        for line in status:
            name, _, rest = line.partition(':')
            if name == 'VmRSS':
                found['resident_mb'] = int(rest.split()[0]) / 1024
            if name == 'Threads':
                found['threads'] = int(rest)
    return found


def _server_cpu_us(process: int) -> float:
    with open(f'/proc/{process}/stat', encoding='ascii') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS * 1e6


def _run_pair(kind: str) -> dict[str, float]:
    with socket.socket() as holder:
        holder.bind((HOST, 0))
        port = holder.getsockname()[1]
    words = [sys.executable, '-m', 'scripts.transport_cost', f'--kind={kind}']
    words += [f'--port={port}', f'--calls={CALLS.value}']
    server = subprocess.Popen([*words, '--role=server'])  # noqa: S603
    try:
        time.sleep(2)
        before = _server_cpu_us(server.pid)
        client = subprocess.run(  # noqa: S603
            [*words, '--role=client'],
            stdout=subprocess.PIPE,
            timeout=120,
            check=True,
        )
        used = _server_cpu_us(server.pid) - before
        seen: dict[str, float] = json.loads(client.stdout)
        seen['server_cpu_us'] = used / (CALLS.value + 100)
        server_size = _size(str(server.pid))
    finally:
        server.kill()
        server.wait()
    return {**seen, 'server_threads': server_size['threads']}


def _compare() -> None:
    seen: dict[str, list[dict[str, float]]] = {kind: [] for kind in SERVERS}
    for _run in range(RUNS.value):
        for kind, runs in seen.items():
            runs.append(_run_pair(kind))
    report = {
        kind: {
            name: [
                round(pick(run[name] for run in runs), 1)
                for pick in (statistics.median, min, max)
            ]
            for name in runs[0]
        }
        for kind, runs in seen.items()
    }
    sys.stdout.write(json.dumps(report, indent=2) + '\n')


if __name__ == '__main__':
    app.run(main)
