"""Tests operator commands, graceful shutdown and bounds on requests."""

import json
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3

from fleet import deployments
from fleet.launch import Fleet, Program
from fleet.ports import HOST

TIMEOUT_S = 30.0
UNREACHABLE = '127.0.0.1:1'


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run the fleet of the `brolga` deployment with short time limits."""
    directory: Path = tmp_path_factory.mktemp('logs')
    options = {'entries_max_age': '2s', 'receive_timeout': '1s'}
    with Fleet(deployments.BROLGA, directory, options) as running:
        yield running


def run_command(*arguments: str) -> 'subprocess.CompletedProcess[str]':
    """Run the command-line program."""
    return subprocess.run(  # noqa: S603
        [sys.executable, '-m', 'bronzeglade.main', *arguments],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


def publish(
    fleet: Fleet, path: Path, replaces: int, name: str, index: int
) -> 'subprocess.CompletedProcess[str]':
    """Publish through the n-th node, after trying an unreachable address."""
    path.write_text(json.dumps(deployments.manifest(deployments.BROLGA)))
    return run_command(
        'manifest',
        'publish',
        str(path),
        f'--entries={UNREACHABLE},{fleet.entries()[index].control_address}',
        f'--replaces={replaces}',
        f'--operator_key={deployments.OPERATOR_KEY}',
        f'--publication_id={name}',
        f'--operator={name}',
    )


def entries_of(program: Program) -> list[str]:
    """Return the addresses in a node's directory for callers."""
    url = f'http://{program.address}/v1/entries'
    document = urllib3.request('GET', url).json()
    return [entry['address'] for entry in document['entries']]


def exchange(address: str, request: bytes) -> bytes:
    """Send raw bytes and return the bytes received until the end."""
    host, _, port = address.partition(':')
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        connection.sendall(request)
        received = b''
        while block := connection.recv(65536):
            received += block
        return received


def test_second_operator_is_rejected_with_reason(
    fleet: Fleet, tmp_path: Path
) -> None:
    """Of two concurrent publications the second is rejected, with a reason."""
    path = tmp_path / 'manifest.json'
    first = publish(fleet, path, 1, 'first', 0)
    assert first.returncode == 0, first.stderr
    rejected = publish(fleet, path, 1, 'second', 1)
    assert rejected.returncode == 1
    assert "operator 'first' published first" in rejected.stderr
    assert 'start again from generation 2' in rejected.stderr
    assert publish(fleet, path, 2, 'second', 1).returncode == 0
    # Repeating the first publication, as after a lost reply, still reports that
    # it was accepted although another has replaced it.
    repeated = publish(fleet, path, 1, 'first', 2)
    assert repeated.returncode == 0
    assert repeated.stdout == 'accepted as generation 2\n'


def test_status_lists_every_node(fleet: Fleet) -> None:
    """The status lists all nodes, so that an outdated one is visible."""
    arguments = (
        f'--entries={UNREACHABLE},{fleet.entries()[0].control_address}',
        f'--operator_key={deployments.OPERATOR_KEY}',
    )
    document: Any = json.loads(
        run_command('status', '--json', *arguments).stdout
    )
    assert len(document['nodes']) == deployments.BROLGA.entry_count
    assert all(node['digest'] for node in document['nodes'])
    text = run_command('status', *arguments).stdout
    assert text.count('serving, current') == deployments.BROLGA.entry_count


def test_invalid_command_reports_all_errors() -> None:
    """All errors of a command line are reported at once."""
    outcome = run_command('manifest', 'publish', '--nothing=1', '--replaces=x')
    assert outcome.returncode == 2
    for name in ('nothing', 'replaces', 'entries', 'operator_key'):
        assert f'--{name}' in outcome.stderr
    assert 'FILE' in outcome.stderr


def test_stopping_node_is_delisted_refuses_and_exits(fleet: Fleet) -> None:
    """A stopping node leaves the directory, refuses requests, then exits.

    Callers are neither directed to it nor disconnected during a request.
    """
    leaving = fleet.entries()[-1]
    leaving.process.send_signal(signal.SIGTERM)
    others = fleet.entries()[:-1]
    deadline = time.monotonic() + TIMEOUT_S
    while any(leaving.address in entries_of(other) for other in others):
        assert time.monotonic() < deadline
    leaving.process.send_signal(signal.SIGTERM)
    assert leaving.address not in entries_of(leaving)
    # A request whose body has not arrived keeps the process running.
    host, _, port = leaving.address.partition(':')
    head = b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
    refused = b''
    while b' 503 ' not in refused and time.monotonic() < deadline:
        refused = exchange(
            leaving.address,
            head + b'Content-Length: 0\r\nConnection: close\r\n\r\n',
        )
    assert b'"not_run"' in refused
    assert b'Connection: close' in refused
    assert b'Retry-After' in refused
    assert leaving.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (b'GET /v1/models HTTP/1.1\r\nHost: a\r\nX: ', 408),
        (b'GET / HTTP/1.1\r\n' + b'X: ' + b'a' * 9000 + b'\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\n' + b'X: a\r\n' * 20_000 + b'\r\n', 431),
        (b'GET /' + b'a' * 9000 + b' HTTP/1.1\r\n\r\n', 414),
        (b'GET /%ff HTTP/1.1\r\nConnection: close\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nX: \xff\r\nConnection: close\r\n\r\n', 400),
    ],
    ids=['slow', 'header', 'headers', 'path', 'path-bytes', 'header-bytes'],
)
def test_bad_heads_get_an_error(
    fleet: Fleet, request_bytes: bytes, status: int
) -> None:
    """Slow, oversized and malformed request heads get an error response.

    An unbounded head would occupy memory and a connection forever.
    """
    received = exchange(fleet.entries()[0].address, request_bytes)
    assert received.split(b' ')[1] == str(status).encode()


@pytest.mark.parametrize(
    ('length', 'body', 'status'),
    [
        (10, b'{', 408),
        (10**12, b'{', 413),
        (2, b'\xff\xff', 400),
        (-1, b'', 400),
    ],
    ids=['slow', 'too large', 'not text', 'negative'],
)
def test_bad_bodies_get_an_error(
    fleet: Fleet, length: int, body: bytes, status: int
) -> None:
    """Slow, oversized and malformed bodies get an error response.

    An unbounded body would occupy a connection forever.
    """
    head = (
        f'POST /v1/chat/completions HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Authorization: Bearer {fleet.api_key()}\r\n'
        f'Content-Length: {length}\r\nConnection: close\r\n\r\n'
    )
    address = fleet.entries()[0].address
    received = exchange(address, head.encode() + body)
    assert received.split(b' ')[1] == str(status).encode()
