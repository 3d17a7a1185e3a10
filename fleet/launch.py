"""Starts and stops a test deployment as separate processes on loopback."""

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

START_TIMEOUT = dt.timedelta(seconds=60)
STOP_TIMEOUT = dt.timedelta(seconds=20)
DRAIN_TIMEOUT = dt.timedelta(minutes=4)  # above the router's own drain limit
POLL_INTERVAL_S = 0.05
MS_PER_S = 1000
SEED_COUNT = 3  # addresses that a router asks for its peers at start
PLATFORM_SERVICES = ('table', 'vms', 'ratings', 'objects', 'weights')


@dataclasses.dataclass(frozen=True, slots=True)
class Program:
    """A started process and its addresses."""

    name: str
    role: str
    failure_domain: str
    port: int
    process: subprocess.Popen[bytes]
    control_port: int = 0

    @property
    def address(self) -> str:
        """Address for callers, as `HOST:PORT`."""
        return f'{HOST}:{self.port}'

    @property
    def control_address(self) -> str:
        """Address for operators and peers, as `HOST:PORT`."""
        return f'{HOST}:{self.control_port}'


# Entry option: maximum age of the entry addresses that callers cache. A
# draining router waits for this time; with 3 s, a graceful stop ends within
# seconds.
SHORT_DRAIN_OPTIONS = {'entries_max_age': '3s'}


def interrupt_on_signals() -> None:
    """Raise KeyboardInterrupt on SIGINT and SIGTERM.

    SIGINT is set explicitly because a shell starts background commands with
    SIGINT ignored.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, signal.default_int_handler)


class Fleet:
    """Processes of one deployment."""

    def __init__(
        self, deployment: Deployment, log_directory: Path, options: Any = None
    ) -> None:
        """Create a fleet without starting it.

        Args:
          deployment: the processes to start and their manifest.
          log_directory: where the log file of each process is written.
          options: additional flags of entry processes, by flag name.
        """
        self.deployment = deployment
        self.log_directory = log_directory
        self.options: dict[str, str] = dict(options or {})
        self.programs: list[Program] = []
        self.ports = PortAllocator()
        self.initial_manifest = deployments.manifest(deployment)
        self.urls: dict[str, str] = {}
        self.stopped_names: set[str] = set()  # of stopped programs
        self.peer_key = f'1:{secrets.token_hex(32)}'
        self.http = urllib3.PoolManager(maxsize=8, retries=False)

    def __enter__(self) -> 'Fleet':
        """Start all processes; stop them again if the start fails."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.stop()

    def start(self) -> None:
        """Start all processes, publish the manifest and wait until ready.

        Raises:
          RuntimeError: a process ended or is not ready in time.
        """
        self.log_directory.mkdir(parents=True, exist_ok=True)
        for name, port in zip(
            PLATFORM_SERVICES, self.ports.allocate(len(PLATFORM_SERVICES))
        ):
            self.spawn(name, name, [f'standins.{name}', f'--port={port}'])
            self.urls[name] = f'http://{HOST}:{port}'
        for plan in self.deployment.endpoints:
            for index in range(plan.count):
                self.start_endpoint(plan, index)
        for index in range(self.deployment.entry_count):
            self.start_entry(f'entry-{index}', self.failure_domain_at(index))
        self.wait_until_listening()
        self.register(self.programs)
        self.publish(self.manifest(), 0)
        self.wait_until_ready()

    def failure_domain_at(self, index: int) -> str:
        """Return the failure domain of the n-th VM of a group."""
        names = self.deployment.failure_domains
        return names[index % len(names)]

    def spawn(
        self,
        name: str,
        role: str,
        arguments: list[str],
        failure_domain: str = '',
        ports: tuple[int, int] = (0, 0),
    ) -> Program:
        """Start a Python module as a process.

        Args:
          name: name of its VM or service.
          role: `entry`, an endpoint group, or a platform service.
          arguments: module and flags; the first flag is `--port=PORT` unless
            `ports` is given.
          failure_domain: failure domain of its VM; empty for a service that
            is not on the VM list.
          ports: the ports for callers and for operators.
        """
        log = (self.log_directory / f'{name}.log').open('ab')
        with log:
            process = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
            )
        port = ports[0] or int(arguments[1].rpartition('=')[2])
        program = Program(name, role, failure_domain, port, process, ports[1])
        self.programs.append(program)
        return program

    def start_endpoint(self, plan: EndpointPlan, index: int) -> Program:
        """Start the n-th endpoint of a group."""
        port = self.ports.allocate(1)[0]
        one_way_s = self.deployment.one_way_ms / MS_PER_S
        arguments = [f'--port={port}', f'--one_way={one_way_s}']
        if plan.model is None:
            arguments.insert(0, 'standins.service')
        else:
            arguments.insert(0, 'standins.engine')
            arguments.extend(
                [
                    f'--slots={plan.slots}',
                    f'--first_token={plan.first_token_s}',
                    f'--token={plan.token_s}',
                    f'--quality={plan.quality}',
                    f'--skill={plan.skill}',
                    f'--checks_fencing={plan.checks_fencing}',
                    f'--load={plan.load_s}',
                    '--loaded={0}'.format(_loaded_versions(plan)),
                ]
            )
        name = f'{plan.group}-{index}'
        return self.spawn(
            name, plan.group, arguments, self.failure_domain_at(index)
        )

    def start_entry(self, name: str, failure_domain: str) -> Program:
        """Start a router process, without adding it to the VM list."""
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
        arguments = [f'--{flag}={value}' for flag, value in flags.items()]
        return self.spawn(
            name,
            'entry',
            ['bronzeglade.main', 'entry', *arguments],
            failure_domain,
            (port, control_port),
        )

    def seeds(self) -> list[str]:
        """Return the control addresses through which a new router joins."""
        return [entry.control_address for entry in self.entries()][:SEED_COUNT]

    def wait_until_listening(self) -> None:
        """Wait until every process accepts connections.

        Raises:
          RuntimeError: a process ended or does not listen in time.
        """
        deadline = time.monotonic() + START_TIMEOUT.total_seconds()
        for program in self.programs_not_stopped():
            while not _accepts_connections(program.port):
                if program.process.poll() is not None:
                    raise RuntimeError(f'{program.name} exited; see its log')
                if time.monotonic() > deadline:
                    raise RuntimeError(f'{program.name} does not listen')
                time.sleep(POLL_INTERVAL_S)

    def register(self, programs: list[Program], state: str = 'live') -> None:
        """Add VMs to the VM list, or change their state in it.

        Args:
          programs: those without a failure domain are not VMs and are skipped.
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

    def inject_faults(self, program: Program, faults: dict[str, Any]) -> None:
        """Inject faults into a stand-in.

        Args:
          program: the stand-in.
          faults: fault settings by name (docs/standins.md).
        """
        self.post(f'http://{program.address}/faults', faults)

    def table_row(self, key: str) -> bytes | None:
        """Return the body of a row in the table service.

        Returns:
          None if the row does not exist or the table does not answer.
        """
        table = self.urls['table']
        try:
            rows = self.post(f'{table}/read', {'keys': [key]})['rows']
        except (RuntimeError, HTTPError):
            return None
        return base64.b64decode(rows[0]['body']) if rows else None

    def programs_with_role(self, role: str) -> list[Program]:
        """Return the programs of `entry`, an endpoint group or a service."""
        return [program for program in self.programs if program.role == role]

    def manifest(self) -> dict[str, Any]:
        """Return a copy of the manifest that the fleet starts with."""
        return copy.deepcopy(self.initial_manifest)

    def publish(self, document: dict[str, Any], replaces: int) -> Any:
        """Publish a manifest through the first entry process.

        Args:
          document: the manifest.
          replaces: generation that it replaces; 0 for the first manifest.

        Returns:
          The decoded reply.
        """
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
        """Send JSON and return the decoded reply.

        Raises:
          RuntimeError: the status is not 200.
        """
        reply = self.http.request(
            'POST', url, json=document, headers=headers or {}, timeout=10
        )
        decoded = json.loads(reply.data)
        if reply.status != 200:
            raise RuntimeError(f'{url}: {reply.status} {decoded}')
        return decoded

    def programs_not_stopped(self) -> list[Program]:
        """Return all programs but those that `kill` or `drain` has stopped.

        Programs that have crashed are included.
        """
        return [
            program
            for program in self.programs
            if program.name not in self.stopped_names
        ]

    def entries(self) -> list[Program]:
        """Return the router processes that are running."""
        return [
            program
            for program in self.programs
            if program.role == 'entry' and program.process.poll() is None
        ]

    def kill(self, program: Program) -> None:
        """Kill a program with SIGKILL and wait until it has exited."""
        self.stopped_names.add(program.name)
        program.process.send_signal(signal.SIGKILL)
        program.process.wait(STOP_TIMEOUT.total_seconds())

    def drain(self, program: Program) -> None:
        """Stop a router process gracefully, as operators do.

        Marks the VM as `leaving`, sends SIGTERM, waits until the process has
        exited and marks the VM as `gone`.
        """
        self.stopped_names.add(program.name)
        self.register([program], 'leaving')
        program.process.send_signal(signal.SIGTERM)
        program.process.wait(DRAIN_TIMEOUT.total_seconds())
        self.register([program], 'gone')

    def add_entry(self, failure_domain: str) -> Program:
        """Start another router process and add it to the VM list."""
        number = sum(program.role == 'entry' for program in self.programs)
        program = self.start_entry(f'entry-{number}', failure_domain)
        self.wait_until_listening()
        self.register([program])
        return program

    def wait_until_ready(self) -> None:
        """Wait until every router process serves a request.

        Raises:
          RuntimeError: a router does not serve in time.
        """
        deadline = time.monotonic() + START_TIMEOUT.total_seconds()
        for entry in self.entries():
            while not self.serves(entry):
                if time.monotonic() > deadline:
                    raise RuntimeError(f'{entry.name} does not serve')
                time.sleep(POLL_INTERVAL_S)

    def serves(self, entry: Program) -> bool:
        """Return whether a router process completes a one-token request."""
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
        """Return the first model of the manifest, for readiness requests."""
        return str(self.deployment.models[0]['name'])

    def api_key(self) -> str:
        """Return the API key of the first team."""
        return deployments.api_key_of(self.deployment.team_names[0])

    def stop_gracefully(self) -> None:
        """Drain all router processes, then stop the remaining processes."""
        routers = self.entries()
        self.register(routers, 'leaving')
        for program in routers:
            program.process.send_signal(signal.SIGTERM)
        for program in routers:
            program.process.wait(DRAIN_TIMEOUT.total_seconds())
        self.stop()

    def stop(self) -> None:
        """Kill every process that this fleet started."""
        for program in self.programs:
            if program.process.poll() is None:
                program.process.send_signal(signal.SIGKILL)
        for program in self.programs:
            program.process.wait(STOP_TIMEOUT.total_seconds())
        self.ports.close()


def _loaded_versions(plan: EndpointPlan) -> str:
    versions = plan.preloaded or plan.versions
    return ','.join(f'{plan.model}@{version}' for version in versions)


def _accepts_connections(port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(1)
        return probe.connect_ex((HOST, port)) == 0
