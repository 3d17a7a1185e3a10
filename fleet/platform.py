"""Starts router processes on the platform's stand-ins, on loopback."""

import dataclasses
import json
import os
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import urllib3

from fleet.ports import HOST, Ports

KEY = 'key-1'
TENANT = 'atlas'
API_HOST = 'api.example'
LIMIT_S = 30  # of each wait; generous, so that a busy machine is no failure
POLL_S = 0.05
# The interpreter and the libraries of the router processes, when they are not
# those of the tests.
ROUTER_PYTHON = os.environ.get('ROUTER_PYTHON', sys.executable)
ROUTER_PYTHON_PATH = os.environ.get('ROUTER_PYTHONPATH', '')
HTTP = urllib3.PoolManager(retries=False, maxsize=32)

Document = dict[str, Any]


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait for a condition.

    Raises:
      TimeoutError: it did not hold within the limit.
    """
    deadline = time.monotonic() + LIMIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(what)
        time.sleep(POLL_S)


@dataclasses.dataclass(frozen=True, slots=True)
class RouterAddresses:
    """Ports of one router process."""

    name: str
    callers: int
    ready: int
    directory: int
    control: int
    metrics: int
    exchange: int  # for datagrams


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer to a caller."""

    status: int
    headers: Mapping[str, str]
    body: str


class PlatformFleet:
    """A store, workers and router processes; each ended by its id."""

    worker_options: tuple[str, ...] = ()

    def __init__(self, folder: Path) -> None:
        """Start the store.

        Args:
          folder: for settings files and logs.
        """
        self.folder = folder
        self.ports = Ports()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.store_port = self.ports.take(1)[0]
        self.workers: dict[str, int] = {}
        self.born: dict[str, int] = {}  # Unix milliseconds
        self.routers: dict[str, RouterAddresses] = {}
        self._spawn('store', 'standins.rows', f'--port={self.store_port}')
        wait_until(lambda: self._listens(self.store_port), 'the store')

    def close(self) -> None:
        """End every process."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def put(self, documents: Mapping[str, Document | None]) -> None:
        """Write rows as the operator does; None removes a row."""
        self.post(self.store_port, '/admin/put', documents)

    def post(self, port: int, path: str, document: object) -> Any:
        """Post to an administrative page of a stand-in."""
        url = f'http://{HOST}:{port}{path}'
        return HTTP.request('POST', url, json=document).json()

    def fault(self, port: int, **values: float) -> None:
        """Set faults of a stand-in."""
        self.post(port, '/faults', values)

    def start_worker(
        self, name: str, service: str = 'plain', version: str = 'v1'
    ) -> None:
        """Start a worker and register it."""
        self.workers[name] = self.ports.take(1)[0]
        self.restart_worker(name, service, version)

    def restart_worker(
        self, name: str, service: str = 'plain', version: str = 'v1'
    ) -> None:
        """Start a worker that has ended again, at its port."""
        port = self.workers[name]
        self._spawn(
            name,
            'standins.worker',
            f'--port={port}',
            f'--name={name}',
            *self.worker_options,
        )
        wait_until(lambda: self._listens(port), name)
        self.born[name] = int(time.time() * 1000)
        self.register(name, service, version)

    def register(
        self,
        name: str,
        service: str = 'plain',
        version: str = 'v1',
        state: str = 'ready',
    ) -> None:
        """Write the entry of a worker."""
        entry = {
            'service': service,
            'address': f'{HOST}:{self.worker_port_of(name)}',
            'zone': 'a',
            'version': version,
            'slots': 8,
            'state': state,
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': self.born[name],
        }
        self.put({f'servers/{name}': entry})

    def seen(self, name: str) -> list[Document]:
        """Return what a worker has run."""
        url = f'http://{HOST}:{self.workers[name]}/admin/seen'
        found: list[Document] = HTTP.request('GET', url).json()
        return found

    def start_router(self, name: str) -> None:
        """Start a router process, again at its ports when it ran before."""
        if name not in self.routers:
            ports = self.ports.take(6)
            self.routers[name] = RouterAddresses(name, *ports)
        addresses = self.routers[name]
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(self._settings(addresses)))
        self._spawn(
            name,
            'bronzeglade.platform',
            f'--metrics_port={addresses.metrics}',
            f'--settings={path}',
            python=ROUTER_PYTHON,
            python_path=ROUTER_PYTHON_PATH,
        )

    def wait_ready(self, name: str) -> None:
        """Wait until a router process is ready."""
        wait_until(lambda: self.is_ready(name), f'{name} is ready')

    def is_ready(self, name: str) -> bool:
        """Return what the readiness page of a router says."""
        return self.page(self.routers[name].ready, '/api/readiness') == 200

    def page(self, port: int, path: str) -> int:
        """Return the status of a page; 0 when nothing answers."""
        try:
            return HTTP.request(
                'GET', f'http://{HOST}:{port}{path}', timeout=5
            ).status
        except urllib3.exceptions.HTTPError:
            return 0

    def addresses(self, name: str) -> set[str]:
        """Return the addresses that a router tells callers."""
        port = self.routers[name].directory
        path = f'/api/resolve?name={API_HOST}&region=r&zone=a'
        reply = HTTP.request('GET', f'http://{HOST}:{port}{path}')
        if reply.status != 200:
            return set()
        return set(reply.json()['addresses'])

    def ask(
        self,
        name: str,
        path: str,
        request_id: str,
        key: str = KEY,
        body: str = 'b',
        **headers: str,
    ) -> Reply:
        """Send a request through a router."""
        sent = {
            'Host': API_HOST,
            'Request-Id': request_id,
            'Credential': key,
            'Deadline-Ms': '5000',
            **{one.replace('_', '-'): text for one, text in headers.items()},
        }
        url = f'http://{HOST}:{self.routers[name].callers}{path}'
        reply = HTTP.request('POST', url, headers=sent, body=body, timeout=20)
        return Reply(reply.status, dict(reply.headers), reply.data.decode())

    def store_port_of(self, _router: str) -> int:
        """Return where a router reaches the store."""
        return self.store_port

    def worker_port_of(self, name: str) -> int:
        """Return where routers reach a worker."""
        return self.workers[name]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        self.processes[name].send_signal(number)

    def log(self, name: str) -> list[Document]:
        """Return the log lines of a router process."""
        text = (self.folder / f'{name}.log').read_text()
        return [json.loads(line) for line in text.splitlines()]

    def _spawn(
        self,
        name: str,
        module: str,
        *words: str,
        python: str = sys.executable,
        python_path: str = '',
    ) -> None:
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(  # noqa: S603
            [python, '-m', module, *words],
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                **os.environ,
                'PYTHONUNBUFFERED': '1',
                'PYTHONPATH': python_path,
            },
        )
        log.close()

    def _listens(self, port: int) -> bool:
        try:
            socket.create_connection((HOST, port), 1).close()
        except OSError:
            return False
        return True

    def _settings(self, addresses: RouterAddresses) -> Document:
        seeds = [f'{HOST}:{one.control}' for one in self.routers.values()]
        return {
            'node-name': addresses.name,
            'zone': 'a',
            'region': 'r',
            'zones': {'a': 'r'},
            'listen': {
                'front': f'{HOST}:{addresses.callers}',
                'ready': f'{HOST}:{addresses.ready}',
                'directory': f'{HOST}:{addresses.directory}',
                'control': f'{HOST}:{addresses.control}',
            },
            'internal-ports': [addresses.exchange, addresses.exchange],
            'seeds': seeds[:3],
            'bounds': {'grace-s': 8},
            'platform': {
                'address': f'{HOST}:{self.store_port_of(addresses.name)}'
            },
        }


def route(name: str, kind: str, service: str, **more: object) -> Document:
    """Return a route of a configuration, below `/NAME/`."""
    return {
        'name': name,
        'hostname': API_HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 5000,
        'target-latency-ms': 2000,
        'max-attempts': 3,
        'service': service,
        **{one.replace('_', '-'): content for one, content in more.items()},
    }


def configuration(version: int, **keys: list[str]) -> dict[str, Document]:
    """Return the row of a configuration; `keys` by tenant."""
    tenants = keys or {TENANT: [KEY]}
    return {
        'op/config': {
            'version': version,
            'routes': [
                route('read', 'idempotent', 'plain'),
                route('order', 'non_idempotent', 'plain'),
                route(
                    'chat',
                    'streaming',
                    'models',
                    resumable=True,
                    sizes=['small', 'large'],
                ),
            ],
            'services': [{'name': 'plain'}, {'name': 'models'}],
            'limits': {},
            'tenants': [
                {'name': name, 'api-keys': given}
                for name, given in tenants.items()
            ],
        }
    }
