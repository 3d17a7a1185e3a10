"""Starts router processes against stand-ins of the platform, on loopback.

The stand-ins are the metadata store (`standins.rows`) and the workers
(`standins.worker`).
"""

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
from typing import Any, BinaryIO

import urllib3

from fleet.ports import HOST, PortAllocator

API_KEY = 'key-1'
TENANT = 'atlas'
API_HOST = 'api.example'
WAIT_TIMEOUT_S = 30  # long enough that tests also pass on a busy machine
POLL_INTERVAL_S = 0.05
# Interpreter and import path of the router processes; by default they run on
# the interpreter of the tests.
ROUTER_PYTHON = os.environ.get('ROUTER_PYTHON', sys.executable)
ROUTER_PYTHON_PATH = os.environ.get('ROUTER_PYTHONPATH', '')
HTTP_POOL = urllib3.PoolManager(retries=False, maxsize=32)

Document = dict[str, Any]


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Poll a condition until it holds.

    Args:
      condition: called every `POLL_INTERVAL_S`.
      description: condition in words, the text of the error.

    Raises:
      TimeoutError: the condition did not hold within `WAIT_TIMEOUT_S`.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(description)
        time.sleep(POLL_INTERVAL_S)


@dataclasses.dataclass(frozen=True, slots=True)
class RouterPorts:
    """Ports of one router process, all TCP except `exchange`."""

    name: str
    callers: int
    ready: int
    directory: int
    control: int
    metrics: int
    exchange: int  # UDP


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer of a router to a caller."""

    status: int
    headers: Mapping[str, str]
    body: str


class PlatformFleet:
    """A store, workers and routers, each in a process of its own.

    Ends and signals only processes that it has started.
    """

    worker_options: tuple[str, ...] = ()

    def __init__(self, folder: Path) -> None:
        """Start the store.

        Args:
          folder: where settings files and logs are written.
        """
        self.folder = folder
        self.ports = PortAllocator()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.store_port = self.ports.allocate(1)[0]
        self.workers: dict[str, int] = {}
        self.started_ms: dict[str, int] = {}  # Unix milliseconds
        self.routers: dict[str, RouterPorts] = {}
        self.written: dict[str, Document | None] = {}
        self._spawn('store', 'standins.rows', f'--port={self.store_port}')
        wait_until(
            lambda: self._is_listening(self.store_port), 'the store listens'
        )

    def close(self) -> None:
        """Kill every process and wait until all have ended."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.ports.close()

    def put(self, documents: Mapping[str, Document | None]) -> None:
        """Write rows to the store as the operator; None removes a row."""
        self.written.update(documents)
        self.post(self.store_port, '/admin/put', documents)

    def restore_store(self, age_s: float) -> None:
        """Return the store to an earlier state, without its last writes."""
        self.post(self.store_port, '/admin/restore', {'age_s': age_s})

    def repeat_writes(self) -> None:
        """Write all that the operator and the workers wrote again."""
        self.put(dict(self.written))

    def post(self, port: int, path: str, document: object) -> Any:
        """Post to an administrative path of a stand-in; return its reply."""
        url = f'http://{HOST}:{port}{path}'
        return HTTP_POOL.request('POST', url, json=document).json()

    def set_faults(self, port: int, **values: float) -> None:
        """Set faults of a stand-in by name; see `standins.faults.Faults`."""
        self.post(port, '/faults', values)

    def start_worker(
        self, name: str, service: str = 'plain', version: str = 'v1'
    ) -> None:
        """Start a worker on a new port and register it in the store."""
        self.workers[name] = self.ports.allocate(1)[0]
        self.restart_worker(name, service, version)

    def restart_worker(
        self, name: str, service: str = 'plain', version: str = 'v1'
    ) -> None:
        """Start a worker that has ended, on the port that it had before."""
        port = self.workers[name]
        self._spawn(
            name,
            'standins.worker',
            f'--port={port}',
            f'--name={name}',
            *self.worker_options,
        )
        wait_until(lambda: self._is_listening(port), name)
        self.started_ms[name] = int(time.time() * 1000)
        self.register(name, service, version)

    def register(
        self,
        name: str,
        service: str = 'plain',
        version: str = 'v1',
        state: str = 'ready',
    ) -> None:
        """Write the entry of a worker to the store."""
        entry = {
            'service': service,
            'address': f'{HOST}:{self.worker_port_of(name)}',
            'zone': 'a',
            'version': version,
            'slots': 8,
            'state': state,
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': self.started_ms[name],
        }
        self.put({f'servers/{name}': entry})

    def fetch_runs(self, name: str) -> list[Document]:
        """Return the requests that a worker has executed."""
        url = f'http://{HOST}:{self.workers[name]}/admin/seen'
        runs: list[Document] = HTTP_POOL.request('GET', url).json()
        return runs

    def start_router(self, name: str) -> None:
        """Start a router process; a restart keeps its ports."""
        if name not in self.routers:
            free_ports = self.ports.allocate(6)
            self.routers[name] = RouterPorts(name, *free_ports)
        ports = self.routers[name]
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(self._settings(ports)))
        self._spawn(
            name,
            'bronzeglade.platform',
            f'--metrics_port={ports.metrics}',
            f'--settings={path}',
            python=ROUTER_PYTHON,
            python_path=ROUTER_PYTHON_PATH,
        )

    def wait_until_ready(self, name: str) -> None:
        """Wait until a router process is ready."""
        wait_until(lambda: self.is_ready(name), f'{name} is ready')

    def is_ready(self, name: str) -> bool:
        """Return whether the readiness page of a router answers 200."""
        return (
            self.page_status(self.routers[name].ready, '/api/readiness') == 200
        )

    def page_status(self, port: int, path: str) -> int:
        """Return the HTTP status of a page; 0 without an answer."""
        try:
            return HTTP_POOL.request(
                'GET', f'http://{HOST}:{port}{path}', timeout=5
            ).status
        except urllib3.exceptions.HTTPError:
            return 0

    def listed_addresses(self, name: str) -> set[str]:
        """Return the caller addresses that the directory of a router lists."""
        port = self.routers[name].directory
        path = f'/api/resolve?name={API_HOST}&region=r&zone=a'
        reply = HTTP_POOL.request('GET', f'http://{HOST}:{port}{path}')
        if reply.status != 200:
            return set()
        return set(reply.json()['addresses'])

    def send_request(
        self,
        name: str,
        path: str,
        request_id: str,
        key: str = API_KEY,
        body: str = 'b',
        **headers: str,
    ) -> Reply:
        """Send a request through a router.

        Args:
          name: the router.
          path: path of the URL.
          request_id: id that the router and the worker return.
          key: API key of the caller.
          body: body of the request.
          headers: further headers, with `_` in place of `-`.
        """
        request_headers = {
            'Host': API_HOST,
            'Request-Id': request_id,
            'Credential': key,
            'Deadline-Ms': '5000',
            **{
                header.replace('_', '-'): text
                for header, text in headers.items()
            },
        }
        url = f'http://{HOST}:{self.routers[name].callers}{path}'
        reply = HTTP_POOL.request(
            'POST', url, headers=request_headers, body=body, timeout=20
        )
        return Reply(reply.status, dict(reply.headers), reply.data.decode())

    def store_port_of(self, _router: str) -> int:
        """Return the port at which a router reaches the store."""
        return self.store_port

    def worker_port_of(self, name: str) -> int:
        """Return the port at which routers reach a worker."""
        return self.workers[name]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this fleet."""
        self.processes[name].send_signal(number)

    def open_output(self, name: str) -> BinaryIO:
        """Return the standard output for a new process."""
        return (self.folder / f'{name}.log').open('ab')

    def log_entries(self, name: str) -> list[Document]:
        """Return the parsed log lines of a router process."""
        text = (self.folder / f'{name}.log').read_text()
        return [json.loads(line) for line in text.splitlines()]

    def _spawn(
        self,
        name: str,
        module: str,
        *arguments: str,
        python: str = sys.executable,
        python_path: str = '',
    ) -> None:
        output = self.open_output(name)
        self.processes[name] = subprocess.Popen(  # noqa: S603
            [python, '-m', module, *arguments],
            stdout=output,
            stderr=subprocess.STDOUT,
            env={
                **os.environ,
                'PYTHONUNBUFFERED': '1',
                'PYTHONPATH': python_path,
            },
        )
        output.close()

    def _is_listening(self, port: int) -> bool:
        try:
            socket.create_connection((HOST, port), 1).close()
        except OSError:
            return False
        return True

    def _settings(self, ports: RouterPorts) -> Document:
        seeds = [f'{HOST}:{router.control}' for router in self.routers.values()]
        return {
            'node-name': ports.name,
            'zone': 'a',
            'region': 'r',
            'zones': {'a': 'r'},
            'listen': {
                'front': f'{HOST}:{ports.callers}',
                'ready': f'{HOST}:{ports.ready}',
                'directory': f'{HOST}:{ports.directory}',
                'control': f'{HOST}:{ports.control}',
            },
            'internal-ports': [ports.exchange, ports.exchange],
            'seeds': seeds[:3],
            'bounds': {'grace-s': 8},
            'platform': {'address': f'{HOST}:{self.store_port_of(ports.name)}'},
        }


def route(name: str, kind: str, service: str, **options: object) -> Document:
    """Return a route of a configuration, with the prefix `/NAME/`.

    Args:
      name: name of the route.
      kind: kind of its requests, for example `idempotent`.
      service: service that executes them.
      options: further settings, with `_` in place of `-`.
    """
    return {
        'name': name,
        'hostname': API_HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 5000,
        'target-latency-ms': 2000,
        'max-attempts': 3,
        'service': service,
        **{key.replace('_', '-'): value for key, value in options.items()},
    }


def configuration(
    version: int, **tenant_keys: list[str]
) -> dict[str, Document]:
    """Return the row of a configuration with three routes.

    Args:
      version: version of the configuration.
      tenant_keys: API keys by tenant; by default one tenant with one key.
    """
    tenants = tenant_keys or {TENANT: [API_KEY]}
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
                {'name': name, 'api-keys': api_keys}
                for name, api_keys in tenants.items()
            ],
        }
    }
