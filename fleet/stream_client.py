"""Measures streamed completions from one process; prints JSON.

Requests start at a fixed rate. The time of each event is taken when its bytes
are read.
"""

import dataclasses
import itertools
import json
import selectors
import socket
import sys
import time

from absl import app, flags

ADDRESSES = flags.DEFINE_list('addresses', [], 'HOST:PORT to call in turn.')
KEY = flags.DEFINE_string('key', '', 'Bearer key.')
MODEL = flags.DEFINE_string('model', '', 'Model.')
RATE = flags.DEFINE_float('rate', 8, 'Requests a second.')
TOKENS = flags.DEFINE_integer('tokens', 356, 'Tokens of an answer.')
SECONDS = flags.DEFINE_float('seconds', 8, 'Time in which requests start.')
DRAIN_S = 20.0
STEADY_S = 2.0
READ_SIZE = 262144


@dataclasses.dataclass(slots=True)
class Call:
    """A request under way."""

    sock: socket.socket
    started: float
    times: list[float]
    tail: bytes = b''
    status: int = 0
    ended: bool = False


def request(address: str, number: int) -> bytes:
    """Return the bytes of a request."""
    body = json.dumps(
        {
            'model': MODEL.value,
            'messages': [{'role': 'user', 'content': f'question {number}'}],
            'max_tokens': TOKENS.value,
            'stream': True,
        }
    )
    head = (
        f'POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n'
        f'Authorization: Bearer {KEY.value}\r\nX-Request-Id: r{number}\r\n'
        f'Content-Type: application/json\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return f'{head}{body}'.encode()


def start(number: int, selector: selectors.BaseSelector) -> Call:
    """Send a request."""
    address = ADDRESSES.value[number % len(ADDRESSES.value)]
    host, _, port = address.partition(':')
    started = time.monotonic()
    sock = socket.create_connection((host, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.sendall(request(address, number))
    call = Call(sock, started, [])
    selector.register(sock, selectors.EVENT_READ, call)
    return call


def read(call: Call, selector: selectors.BaseSelector) -> None:
    """Take what has arrived."""
    try:
        block = call.sock.recv(READ_SIZE)
    except OSError:
        block = b''
    now = time.monotonic()
    if not call.status and block:
        call.status = int(block[9:12])
    text = call.tail + block
    count = text.count(b'"content": "')
    call.times.extend(itertools.repeat(now, count))
    cut = text.rfind(b'\n')
    call.tail = text[cut + 1 :]
    if b'[DONE]' in text or not block:
        call.ended = b'[DONE]' in text
        selector.unregister(call.sock)
        call.sock.close()


def run() -> list[Call]:
    """Make all calls."""
    selector = selectors.DefaultSelector()
    calls: list[Call] = []
    begin = time.monotonic()
    total = int(RATE.value * SECONDS.value)
    limit = begin + SECONDS.value + DRAIN_S
    while time.monotonic() < limit:
        due = begin + len(calls) / RATE.value
        now = time.monotonic()
        if len(calls) < total and now >= due:
            calls.append(start(len(calls), selector))
            continue
        wait = max(0, due - now) if len(calls) < total else 0.1
        for key, _mask in selector.select(wait):
            read(key.data, selector)
        if len(calls) == total and not selector.get_map():
            break
    return calls


def percentile(samples: list[float], share: float) -> float:
    """Return the value that a share of the samples does not exceed."""
    ordered = sorted(samples)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0


def main(_words: list[str]) -> None:
    """Print the figures."""
    calls = run()
    whole = [call for call in calls if call.ended and call.times]
    firsts = [(call.times[0] - call.started) * 1000 for call in whole]
    gaps = [
        (later - earlier) * 1000
        for call in whole
        for earlier, later in zip(call.times, call.times[1:], strict=False)
    ]
    # The rate is that of the last two seconds in which requests start, when
    # the number of open streams is steady.
    end = calls[0].started + SECONDS.value
    steady = sum(
        end - STEADY_S <= at < end for call in calls for at in call.times
    )
    figures = {
        'calls': len(calls),
        'whole': len(whole),
        'first_token_p95_ms': percentile(firsts, 0.95),
        'inter_token_p95_ms': percentile(gaps, 0.95),
        'tokens_per_second': steady / STEADY_S,
        'refused': sum(call.status == 503 for call in calls),
    }
    sys.stdout.write(json.dumps(figures) + '\n')


if __name__ == '__main__':
    app.run(main)
