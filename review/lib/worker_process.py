"""A worker that streams events, in a process of its own.

It writes a line to its standard output when it listens, and one for each
request that it begins to run.
"""

import argparse
import json
import os
import socket
import sys
import threading
import time

import rig as rigs

OUTPUT = threading.Lock()


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--events', type=int, default=40)
    parser.add_argument('--interval_s', type=float, default=0.05)
    parser.add_argument('--first_s', type=float, default=0.05)
    parser.add_argument('--crash_part', default='')
    # The first answer of all workers that share this path, among those that
    # crash if there is a part that crashes workers, has neither a length nor
    # chunks. The file is made then.
    parser.add_argument('--unframed_once', default='')
    flags = parser.parse_args()

    def answer(
        worker: rigs.Worker, sock: socket.socket, request: rigs.Request
    ) -> bool:
        fields = request.headers
        write(
            id=request.request_id,
            parts=fields.get('prompt-prefix', ''),
            last_event=fields.get('last-event-id', ''),
        )
        parts = fields.get('prompt-prefix', '').split(',')[:-1]
        crashes = flags.crash_part in {part.partition(':')[0] for part in parts}
        time.sleep(flags.first_s)
        head = {
            'Request-Id': request.request_id,
            'Server-Signature': f'{worker.name}.{request.request_id}',
            'Content-Type': 'text/event-stream',
        }
        chunked = not (
            (crashes or not flags.crash_part) and claims(flags.unframed_once)
        )
        head['Transfer-Encoding' if chunked else 'Connection'] = (
            'chunked' if chunked else 'close'
        )
        if not chunked:
            write(id=request.request_id, framing='none')
        sock.sendall(rigs.head_of(200, head))
        first = int(fields.get('last-event-id') or 0) + 1
        for number in range(first, flags.events + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            if chunked:
                event = b'%x\r\n%s\r\n' % (len(event), event)
            sock.sendall(event)
            if crashes:
                os._exit(1)
            time.sleep(flags.interval_s)
        if chunked:
            sock.sendall(b'0\r\n\r\n')
            return True
        return False

    worker = rigs.Worker(
        flags.name, flags.service, answer, slots=64, port=flags.port
    )
    write(listens=worker.port)
    threading.Event().wait()


def claims(path: str) -> bool:
    """Make a file and return whether it was not there before."""
    if not path:
        return False
    try:
        os.close(os.open(path, os.O_CREAT | os.O_EXCL))
    except FileExistsError:
        return False
    return True


def write(**fields: object) -> None:
    """Write a line to the standard output."""
    with OUTPUT:
        sys.stdout.write(json.dumps(fields) + '\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
