"""Compares transports for messages between two nodes on loopback.

Measures gRPC, MessagePack over HTTP (eventlet's WSGI server and urllib3) and
MessagePack in UDP datagrams in alternating runs. Each run has one server and
one client process under eventlet. Prints median, minimum and maximum of each
figure as JSON.
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
ROLE = flags.DEFINE_enum(
    'role', '', ['', 'server', 'client'], 'Side to run; empty runs all.'
)
PORT = flags.DEFINE_integer('port', 0, 'Port of the server.')
CALLS = flags.DEFINE_integer('calls', 2000, 'Calls per run.')
RUNS = flags.DEFINE_integer('runs', 3, 'Runs of each transport.')

HOST = '127.0.0.1'
PAYLOAD = msgpack.packb({'records': ['x' * 150]})
METHOD = '/bronzeglade.Peer/Call'
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def main(_arguments: list[str]) -> None:
    """Run one side of a transport, or compare all transports."""
    if ROLE.value == 'server':
        SERVERS[KIND.value](PORT.value)
    elif ROLE.value == 'client':
        _measure(CLIENTS[KIND.value](PORT.value))
    else:
        _compare_transports()


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
    # The first gRPC call never returns when eventlet patches `thread`.
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
        # The callback runs in a gRPC thread and wakes the event loop by a pipe.
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
    for _warm_up in range(100):
        call()
    cpu_before_s = time.process_time()
    started = time.monotonic()
    for _count in range(CALLS.value):
        call()
    elapsed_s = time.monotonic() - started
    cpu_used_s = time.process_time() - cpu_before_s
    json.dump(
        {
            'calls_per_second': CALLS.value / elapsed_s,
            'client_cpu_us': cpu_used_s / CALLS.value * 1e6,
            **_process_size('self'),
        },
        sys.stdout,
    )


def _process_size(process: str) -> dict[str, float]:
    figures: dict[str, float] = {}
    with open(f'/proc/{process}/status', encoding='ascii') as status:
        for line in status:
            name, _, rest = line.partition(':')
            if name == 'VmRSS':
                figures['resident_mb'] = int(rest.split()[0]) / 1024
            if name == 'Threads':
                figures['threads'] = int(rest)
    return figures


def _server_cpu_us(process: int) -> float:
    with open(f'/proc/{process}/stat', encoding='ascii') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S * 1e6


def _measure_pair(kind: str) -> dict[str, float]:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port = probe.getsockname()[1]
    command = [sys.executable, '-m', 'scripts.transport_cost', f'--kind={kind}']
    command += [f'--port={port}', f'--calls={CALLS.value}']
    server = subprocess.Popen([*command, '--role=server'])  # noqa: S603
    try:
        time.sleep(2)
        cpu_before_us = _server_cpu_us(server.pid)
        client = subprocess.run(  # noqa: S603
            [*command, '--role=client'],
            stdout=subprocess.PIPE,
            timeout=120,
            check=True,
        )
        cpu_used_us = _server_cpu_us(server.pid) - cpu_before_us
        figures: dict[str, float] = json.loads(client.stdout)
        figures['server_cpu_us'] = cpu_used_us / (CALLS.value + 100)
        server_size = _process_size(str(server.pid))
    finally:
        server.kill()
        server.wait()
    return {**figures, 'server_threads': server_size['threads']}


def _compare_transports() -> None:
    figures: dict[str, list[dict[str, float]]] = {kind: [] for kind in SERVERS}
    for _run in range(RUNS.value):
        for kind, runs in figures.items():
            runs.append(_measure_pair(kind))
    report = {
        kind: {
            name: [
                round(pick(run[name] for run in runs), 1)
                for pick in (statistics.median, min, max)
            ]
            for name in runs[0]
        }
        for kind, runs in figures.items()
    }
    sys.stdout.write(json.dumps(report, indent=2) + '\n')


if __name__ == '__main__':
    app.run(main)
