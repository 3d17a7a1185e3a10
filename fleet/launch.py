"""Starts a deployment as separate processes on loopback and stops it."""

import base64
import copy
import dataclasses
import datetime as dt
import json
import os
import secrets
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from fleet import deployments
from fleet.deployments import Deployment, EndpointPlan
from fleet.ports import HOST, PortAllocator

START_LIMIT = dt.timedelta(seconds=60)
STOP_LIMIT = dt.timedelta(seconds=20)
DRAIN_LIMIT = dt.timedelta(minutes=4)  # above the drain limit of an entry
POLL_S = 0.05
MS_PER_S = 1000
SEED_COUNT = 3
PLATFORM = ('table', 'vms', 'ratings', 'objects', 'weights')


@dataclasses.dataclass(frozen=True, slots=True)
class Program:
    """A process that the launcher started."""

    name: str
    role: str
    failure_domain: str
    port: int
    process: subprocess.Popen[bytes]
    control_port: int = 0

    @property
    def address(self) -> str:
        """IP address and port towards callers."""
        return f'{HOST}:{self.port}'

    @property
    def control_address(self) -> str:
        """IP address and port towards operators."""
        return f'{HOST}:{self.control_port}'


# Callers of a stand-in fleet ask again for entry addresses after this time, so
# that a graceful stop takes seconds.
SHORT_MAX_AGE = {'entries_max_age': '3s'}


def interrupt_on_signals() -> None:
    """Raise KeyboardInterrupt on SIGINT and SIGTERM.

    A shell starts background commands with SIGINT ignored.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, signal.default_int_handler)


class Fleet:
    """The processes of one deployment."""

    def __init__(
        self, deployment: Deployment, log_directory: Path, options: Any = None
    ) -> None:
        """Create a fleet that is not started.

        Args:
          deployment: what to start.
          log_directory: where each process writes its log.
          options: further flags of entry processes, by name.
        """
        self.deployment = deployment
        self.log_directory = log_directory
        self.options: dict[str, str] = dict(options or {})
        self.programs: list[Program] = []
        self.ports = PortAllocator()
        self.document = deployments.manifest(deployment)
        self.urls: dict[str, str] = {}
        self.ended: set[str] = set()  # programs that were stopped
        self.peer_key = f'1:{secrets.token_hex(32)}'
        self.http = urllib3.PoolManager(maxsize=8, retries=False)

    def __enter__(self) -> 'Fleet':
        """Start everything."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything."""
        self.stop()

    def start(self) -> None:
        """Start all processes, publish the manifest and wait until ready."""
        self.log_directory.mkdir(parents=True, exist_ok=True)
        for name, port in zip(PLATFORM, self.ports.allocate(len(PLATFORM))):
            self.spawn(name, name, [f'standins.{name}', f'--port={port}'])
            self.urls[name] = f'http://{HOST}:{port}'
        for plan in self.deployment.endpoints:
            for index in range(plan.count):
                self.start_endpoint(plan, index)
        for index in range(self.deployment.entry_count):
            self.start_entry(f'entry-{index}', self.domain(index))
        self.wait_until_listening()
        self.register(self.programs)
        self.publish(self.manifest(), 0)
        self.wait_until_ready()

    def domain(self, index: int) -> str:
        """Return the failure domain of the n-th VM of a kind."""
        names = self.deployment.failure_domains
        return names[index % len(names)]

    def spawn(
        self,
        name: str,
        role: str,
        words: list[str],
        failure_domain: str = '',
        ports: tuple[int, int] = (0, 0),
    ) -> Program:
        """Start one process of a module.

        Args:
          name: its VM or service.
          role: `entry`, an endpoint group, or a platform service.
          words: module and flags.
          failure_domain: where its VM stands.
          ports: towards callers and operators.

        Returns:
          The started program.
        """
        log = (self.log_directory / f'{name}.log').open('ab')
        with log:
            process = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', *words],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
            )
        port = ports[0] or int(words[1].rpartition('=')[2])
        program = Program(name, role, failure_domain, port, process, ports[1])
        self.programs.append(program)
        return program

    def start_endpoint(self, plan: EndpointPlan, index: int) -> Program:
        """Start the n-th endpoint of a group."""
        port = self.ports.allocate(1)[0]
        one_way_s = self.deployment.one_way_ms / MS_PER_S
        words = [f'--port={port}', f'--one_way={one_way_s}']
        if plan.model is None:
            words.insert(0, 'standins.service')
        else:
            words.insert(0, 'standins.engine')
            words.extend(
                [
                    f'--slots={plan.slots}',
                    f'--first_token={plan.first_token_s}',
                    f'--token={plan.token_s}',
                    f'--quality={plan.quality}',
                    f'--skill={plan.skill}',
                    f'--checks_fencing={plan.checks_fencing}',
                    f'--load={plan.load_s}',
                    '--loaded={0}'.format(_loaded(plan)),
                ]
            )
        name = f'{plan.group}-{index}'
        return self.spawn(name, plan.group, words, self.domain(index))

    def start_entry(self, name: str, failure_domain: str) -> Program:
        """Start a router process."""
        port, control_port = self.ports.allocate(2)
        flags = {
            'vm': name,
            'host': HOST,
            'port': port,
            'control_port': control_port,
            'failure_domain': failure_domain,
            'vm_list_url': self.urls['vms'],
            'table_url': self.urls['table'],
            'rating_url': self.urls['ratings'],
            'peer_keys': self.peer_key,
            'seeds': ','.join(self.seeds()),
            **self.options,
        }
        words = [f'--{flag}={given}' for flag, given in flags.items()]
        return self.spawn(
            name,
            'entry',
            ['bronzeglade.main', 'entry', *words],
            failure_domain,
            (port, control_port),
        )

    def seeds(self) -> list[str]:
        """Return control addresses that a new router process may ask."""
        return [entry.control_address for entry in self.entries()][:SEED_COUNT]

    def wait_until_listening(self) -> None:
        """Wait until every process accepts connections."""
        limit = time.monotonic() + START_LIMIT.total_seconds()
        for program in self.running():
            while not _accepts(program.port):
                if program.process.poll() is not None:
                    raise RuntimeError(f'{program.name} ended; see its log')
                if time.monotonic() > limit:
                    raise RuntimeError(f'{program.name} does not listen')
                time.sleep(POLL_S)

    def register(self, programs: list[Program], state: str = 'live') -> None:
        """Put VMs on the VM list, or change their state there.

        Args:
          programs: the VMs' programs; others are left out.
          state: `live`, `leaving` or `gone`.
        """
        vms = [
            {
                'name': program.name,
                'group': program.role,
                'address': program.address,
                'failure_domain': program.failure_domain,
                'state': state,
                'control_address': program.control_address
                if program.control_port
                else '',
            }
            for program in programs
            if program.failure_domain
        ]
        self.post('{0}/vms'.format(self.urls['vms']), {'vms': vms})

    def cause(self, program: Program, faults: dict[str, Any]) -> None:
        """Set faults of a stand-in.

        Args:
          program: the stand-in.
          faults: its fault values by name (docs/standins.md).
        """
        self.post(f'http://{program.address}/faults', faults)

    def table_row(self, key: str) -> bytes | None:
        """Return the body of a row; None without one or without a reply."""
        table = self.urls['table']
        try:
            rows = self.post(f'{table}/read', {'keys': [key]})['rows']
        except (RuntimeError, HTTPError):
            return None
        return base64.b64decode(rows[0]['body']) if rows else None

    def of_role(self, role: str) -> list[Program]:
        """Return the programs of an endpoint group or platform service."""
        return [program for program in self.programs if program.role == role]

    def manifest(self) -> dict[str, Any]:
        """Return the first manifest, as a document of its own."""
        return copy.deepcopy(self.document)

    def publish(self, document: dict[str, Any], replaces: int) -> Any:
        """Publish a manifest through the first entry process."""
        entry = self.entries()[0]
        return self.post(
            f'http://{entry.control_address}/operator/manifest',
            document,
            {
                'Authorization': f'Bearer {deployments.OPERATOR_KEY}',
                'X-Replaces-Generation': str(replaces),
            },
        )

    def post(
        self, url: str, document: Any, headers: dict[str, str] | None = None
    ) -> Any:
        """Send JSON and return the decoded reply."""
        reply = self.http.request(
            'POST', url, json=document, headers=headers or {}, timeout=10
        )
        decoded = json.loads(reply.data)
        if reply.status != 200:
            raise RuntimeError(f'{url}: {reply.status} {decoded}')
        return decoded

    def running(self) -> list[Program]:
        """Return the programs that run or ended by themselves."""
        return [one for one in self.programs if one.name not in self.ended]

    def entries(self) -> list[Program]:
        """Return the router processes that run."""
        return [
            program
            for program in self.programs
            if program.role == 'entry' and program.process.poll() is None
        ]

    def kill(self, program: Program) -> None:
        """End a program with SIGKILL."""
        self.ended.add(program.name)
        program.process.send_signal(signal.SIGKILL)
        program.process.wait(STOP_LIMIT.total_seconds())

    def drain(self, program: Program) -> None:
        """Stop a router process as operators do, and wait for its end."""
        self.ended.add(program.name)
        self.register([program], 'leaving')
        program.process.send_signal(signal.SIGTERM)
        program.process.wait(DRAIN_LIMIT.total_seconds())
        self.register([program], 'gone')

    def add_entry(self, failure_domain: str) -> Program:
        """Start one more router process and put it on the VM list."""
        number = sum(one.role == 'entry' for one in self.programs)
        program = self.start_entry(f'entry-{number}', failure_domain)
        self.wait_until_listening()
        self.register([program])
        return program

    def wait_until_ready(self) -> None:
        """Wait until every router process serves a request."""
        limit = time.monotonic() + START_LIMIT.total_seconds()
        for entry in self.entries():
            while not self.serves(entry):
                if time.monotonic() > limit:
                    raise RuntimeError(f'{entry.name} does not serve')
                time.sleep(POLL_S)

    def serves(self, entry: Program) -> bool:
        """Return whether a router process answers a request."""
        reply = self.http.request(
            'POST',
            f'http://{entry.address}/v1/chat/completions',
            json={
                'model': self.model(),
                'messages': [{'role': 'user', 'content': 'ready?'}],
                'max_tokens': 1,
            },
            headers={'Authorization': f'Bearer {self.api_key()}'},
            timeout=10,
        )
        return reply.status == 200

    def model(self) -> str:
        """Return the name of a model for a first request."""
        return str(self.deployment.models[0]['name'])

    def api_key(self) -> str:
        """Return the key of the first team."""
        return deployments.key_of(self.deployment.team_names[0])

    def stop_gracefully(self) -> None:
        """Let every router process finish its requests, then stop all."""
        leaving = self.entries()
        self.register(leaving, 'leaving')
        for program in leaving:
            program.process.send_signal(signal.SIGTERM)
        for program in leaving:
            program.process.wait(DRAIN_LIMIT.total_seconds())
        self.stop()

    def stop(self) -> None:
        """Stop every process that this fleet started."""
        for program in self.programs:
            if program.process.poll() is None:
                program.process.send_signal(signal.SIGKILL)
        for program in self.programs:
            program.process.wait(STOP_LIMIT.total_seconds())


def _loaded(plan: EndpointPlan) -> str:
    versions = plan.preloaded or plan.versions
    return ','.join(f'{plan.model}@{version}' for version in versions)


def _accepts(port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(1)
        return probe.connect_ex((HOST, port)) == 0
