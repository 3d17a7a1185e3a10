"""Load generator for streamed completions; prints latency figures as JSON.

Requests start at a fixed rate, whether or not earlier ones have ended. The
arrival time of an event is when its bytes are read.
"""

import dataclasses
import itertools
import json
import selectors
import socket
import sys
import time

from absl import app, flags

ADDRESSES = flags.DEFINE_list(
    'addresses', [], 'Each HOST:PORT, called in rotation.'
)
KEY = flags.DEFINE_string('key', '', 'API key.')
MODEL = flags.DEFINE_string('model', '', 'Model name.')
RATE = flags.DEFINE_float('rate', 8, 'Requests per second.')
TOKENS = flags.DEFINE_integer('tokens', 356, 'Tokens per answer.')
SECONDS = flags.DEFINE_float(
    'seconds', 8, 'Seconds during which requests start.'
)
DRAIN_TIMEOUT_S = 20.0
STEADY_S = 2.0
READ_SIZE_BYTES = 262144


@dataclasses.dataclass(slots=True)
class Call:
    """A request and the arrival times of its content events."""

    sock: socket.socket
    started_at: float
    event_times: list[float]
    partial_line: bytes = b''
    status: int = 0
    complete: bool = False


def encode_request(address: str, number: int) -> bytes:
    """Return the HTTP bytes of a request."""
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


def start_call(number: int, selector: selectors.BaseSelector) -> Call:
    """Connect, send a request and register its socket for reading."""
    address = ADDRESSES.value[number % len(ADDRESSES.value)]
    host, _, port = address.partition(':')
    started_at = time.monotonic()
    sock = socket.create_connection((host, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.sendall(encode_request(address, number))
    call = Call(sock, started_at, [])
    selector.register(sock, selectors.EVENT_READ, call)
    return call


def read_events(call: Call, selector: selectors.BaseSelector) -> None:
    """Read available bytes, record new events and close an ended call."""
    try:
        block = call.sock.recv(READ_SIZE_BYTES)
    except OSError:
        block = b''
    now = time.monotonic()
    if not call.status and block:
        call.status = int(block[9:12])
    buffered = call.partial_line + block
    count = buffered.count(b'"content": "')
    call.event_times.extend(itertools.repeat(now, count))
    last_newline = buffered.rfind(b'\n')
    call.partial_line = buffered[last_newline + 1 :]
    if b'[DONE]' in buffered or not block:
        call.complete = b'[DONE]' in buffered
        selector.unregister(call.sock)
        call.sock.close()


def run_calls() -> list[Call]:
    """Make all calls and return them, also those still open at the end."""
    selector = selectors.DefaultSelector()
    calls: list[Call] = []
    started_at = time.monotonic()
    total = int(RATE.value * SECONDS.value)
    deadline = started_at + SECONDS.value + DRAIN_TIMEOUT_S
    while time.monotonic() < deadline:
        due = started_at + len(calls) / RATE.value
        now = time.monotonic()
        if len(calls) < total and now >= due:
            calls.append(start_call(len(calls), selector))
            continue
        wait = max(0, due - now) if len(calls) < total else 0.1
        for key, _mask in selector.select(wait):
            read_events(key.data, selector)
        if len(calls) == total and not selector.get_map():
            break
    return calls


def percentile(samples: list[float], fraction: float) -> float:
    """Return the value that a fraction of the samples does not exceed.

    Returns:
      0 without samples.
    """
    ordered = sorted(samples)
    return ordered[int(fraction * (len(ordered) - 1))] if ordered else 0


def main(_argv: list[str]) -> None:
    """Run the load and print the figures."""
    calls = run_calls()
    completed = [call for call in calls if call.complete and call.event_times]
    first_token_ms = [
        (call.event_times[0] - call.started_at) * 1000 for call in completed
    ]
    inter_token_ms = [
        (later - earlier) * 1000
        for call in completed
        for earlier, later in zip(
            call.event_times, call.event_times[1:], strict=False
        )
    ]
    # The token rate covers the last `STEADY_S` seconds in which requests start,
    # when the number of open streams is steady.
    end = calls[0].started_at + SECONDS.value
    steady_tokens = sum(
        end - STEADY_S <= at < end for call in calls for at in call.event_times
    )
    figures = {
        'calls': len(calls),
        'whole': len(completed),
        'first_token_p95_ms': percentile(first_token_ms, 0.95),
        'inter_token_p95_ms': percentile(inter_token_ms, 0.95),
        'tokens_per_second': steady_tokens / STEADY_S,
        'refused': sum(call.status == 503 for call in calls),
    }
    sys.stdout.write(json.dumps(figures) + '\n')


if __name__ == '__main__':
    app.run(main)
