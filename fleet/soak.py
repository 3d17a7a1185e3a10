"""Soak run: router processes under injected faults and constant load.

Faults are injected into processes, stand-ins and network links. The rules are
checked only on what callers and workers observe.
"""

import collections
import dataclasses
import functools
import heapq
import json
import signal
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from fleet.platform import (
    API_KEY,
    HTTP_POOL,
    TENANT,
    PlatformFleet,
    configuration,
    wait_until,
)
from fleet.ports import HOST
from fleet.soak_callers import Callers
from fleet.soak_plan import Fault, draw_faults
from fleet.soak_limits import find_exceeded_limits
from fleet.soak_rules import READ, CallerRecord, WorkerRun, find_violations

OTHER_KEY, OTHER_TENANT, FINAL_KEY, WRONG_KEY = 'key-2', 'survey', 'key-3', 'no'
TENANTS = {API_KEY: TENANT, OTHER_KEY: OTHER_TENANT, FINAL_KEY: TENANT}
# `OTHER_KEY` is also used while it is revoked; `WRONG_KEY` is never valid.
USED_KEYS = (API_KEY, API_KEY, API_KEY, OTHER_KEY, WRONG_KEY)
CALLER_COUNT = 10
# Time after the end of a fault during which it may still affect requests.
RECOVERY_S = 3.0
DRAIN_S = 2.0  # from the report that a worker is draining to its removal
SHUTDOWN_S = 10.0  # a graceful stop takes up to the grace period
STORE_DELAY_S = 0.4
# What a restored store has lost, and when its writers repeat it.
LOST_S = 3.0
REPEAT_S = 0.5
LINK_DELAY_S = 0.15
FAULT_FRACTION = 0.3  # of a stand-in's calls, for faults of single calls
TIMEOUTS_MS = (2000, 5000)
# Requests per second that a worker names, one after the other, and for how long
# it names each.
LIMITS_PER_S = (3, 1, 2)
LIMIT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of processes of a soak run."""

    routers: int = 4
    plain_workers: int = 3
    model_workers: int = 2


class SoakFleet(PlatformFleet):
    """Fleet whose connections pass through the fault proxy `fleet.links`."""

    worker_options = ('--print_runs',)

    def __init__(self, folder: Path) -> None:
        """Start the store and the proxy.

        Args:
          folder: where settings files and logs are written.
        """
        self.links: dict[str, int] = {}
        super().__init__(folder)
        self.proxy_port = self.ports.allocate(1)[0]
        self._spawn('proxy', 'fleet.links', f'--port={self.proxy_port}')
        wait_until(
            lambda: self._is_listening(self.proxy_port), 'the proxy listens'
        )

    def link_port(self, name: str, target: int) -> int:
        """Return the proxy's port to a target; open the link if it is new."""
        if name not in self.links:
            self.links[name] = self.ports.allocate(1)[0]
            document = {name: [self.links[name], target]}
            self.post(self.proxy_port, '/links', document)
        return self.links[name]

    def set_link_fault(self, name: str, mode: str, delay_s: float = 0) -> None:
        """Set the mode and delay of a link; see `fleet.links`."""
        document = {name: {'mode': mode, 'delay_s': delay_s}}
        self.post(self.proxy_port, '/modes', document)

    def is_running(self, name: str) -> bool:
        """Return whether a process, possibly frozen, has not ended."""
        return self.processes[name].poll() is None

    def worker_runs(self) -> list[WorkerRun]:
        """Return the runs of all workers, including killed ones.

        Reads them from the logs, which outlast the processes.
        """
        runs: list[WorkerRun] = []
        for name in self.workers:
            for line in (self.folder / f'{name}.log').read_text().splitlines():
                if line.startswith('{"id"'):
                    run = json.loads(line)
                    runs.append(
                        WorkerRun(
                            run['id'],
                            name,
                            run['path'],
                            run['body'],
                            run['tenant'],
                            run['credential'],
                            run['at_s'],
                            run['limit'],
                        )
                    )
        return runs

    def store_port_of(self, router: str) -> int:
        """Return the port of a router's link to the store."""
        return self.link_port(f'store-{router}', self.store_port)

    def worker_port_of(self, name: str) -> int:
        """Return the port of the link to a worker."""
        return self.link_port(f'worker-{name}', self.workers[name])


class Soak:
    """A soak run: inject planned faults under load, then check the rules."""

    def __init__(
        self, folder: Path, seed: int, seconds: float, size: FleetSize
    ):
        """Draw the plan and start every process.

        Args:
          folder: where settings files and logs are written.
          seed: seed of faults and callers.
          seconds: time after the start within which all faults start.
          size: number of processes.
        """
        self.seconds = seconds
        self.fleet = SoakFleet(folder)
        self.version = 10
        self.keys = {TENANT: [API_KEY], OTHER_TENANT: [OTHER_KEY]}
        self.timeout_ms = TIMEOUTS_MS[1]
        self.routers = [f'node-{number}' for number in range(size.routers)]
        self.services = {
            **{f'plain-{n}': 'plain' for n in range(size.plain_workers)},
            **{f'model-{n}': 'models' for n in range(size.model_workers)},
        }
        # By fault group and target: monotonic time until which further faults
        # of the target are skipped.
        self.busy_until: dict[str, float] = collections.defaultdict(float)
        # Target, start and end (monotonic times, recovery included).
        self.disturbances: list[tuple[str, float, float]] = []
        # Those disturbances that are planned stops.
        self.stops: list[tuple[str, float, float]] = []
        # Monotonic time from which each time-out of the routes applies.
        self.timeouts_ms: list[tuple[float, int]] = []
        # Heap of due time, sequence number and action.
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled_count = 0
        self.injected: collections.Counter[str] = collections.Counter()
        self.faults = draw_faults(
            seed, seconds, self.routers, list(self.services)
        )
        self._configure()
        for name, service in self.services.items():
            self.fleet.start_worker(name, service)
        ports = {name: self._start_router(name) for name in self.routers}
        for name in self.routers:
            self.fleet.wait_until_ready(name)
        self.callers = Callers(seed, CALLER_COUNT, ports, USED_KEYS)

    def run(self) -> list[str]:
        """Inject the planned faults; return the violations of the rules."""
        self.callers.start()
        started_at = time.monotonic()
        try:
            for fault in self.faults:
                self._run_scheduled_until(started_at + fault.start_s)
                self._inject(fault)
            self._run_scheduled_until(started_at + self.seconds)
            while self.scheduled:
                self._run_scheduled_until(self.scheduled[0][0])
            violations = self._find_unrecovered()
        finally:
            self.callers.stop()
        runs = self.fleet.worker_runs()
        workers: dict[str, set[str]] = collections.defaultdict(set)
        for run in runs:
            workers[run.request_id].add(run.worker)
        records = [
            dataclasses.replace(
                record,
                undisturbed=self._is_undisturbed(record),
                stopped_s=self._planned_stop(record, workers),
                limit_s=self._limit_s(record),
            )
            for record in self.callers.records
        ]
        return [
            *violations,
            *find_violations(records, runs, TENANTS),
            *find_exceeded_limits(records, runs, self.disturbances),
        ]

    def close(self) -> None:
        """Resume frozen processes and kill all of them."""
        for process in self.fleet.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        self.fleet.close()

    def _inject(self, fault: Fault) -> None:
        now = time.monotonic()
        target_key = f'{fault.group} {fault.target}'
        if self.busy_until[target_key] > now:
            return
        self.injected[f'{fault.group} {fault.kind}'] += 1
        until = now + fault.duration_s
        self.busy_until[target_key] = until + DRAIN_S
        if fault.kind != 'limit':
            disturbance = (fault.target, now, until + RECOVERY_S)
            self.disturbances.append(disturbance)
            if fault.kind == 'terminate':
                self.stops.append(disturbance)
        injectors = {
            'router': self._inject_router_fault,
            'worker': self._inject_worker_fault,
            'store': self._inject_store_fault,
            'link': self._inject_link_fault,
            'operator': self._inject_operator_change,
        }
        injectors[fault.group](fault, until)

    def _inject_router_fault(self, fault: Fault, until: float) -> None:
        name = fault.target
        if fault.kind == 'reload':
            path = self.fleet.folder / f'{name}.json'
            path.write_text(path.read_text() + '\n')
            self.fleet.send_signal(name, signal.SIGHUP)
        elif fault.kind == 'freeze':
            self._freeze(name, until)
        elif fault.kind == 'kill':
            self.fleet.send_signal(name, signal.SIGKILL)
            self._schedule(until, lambda: self._restart_router(name))
        else:
            self.fleet.send_signal(name, signal.SIGTERM)
            self.busy_until[f'router {name}'] = until + SHUTDOWN_S
            self._schedule(until, lambda: self._restart_router(name))

    def _inject_worker_fault(self, fault: Fault, until: float) -> None:
        name = fault.target
        if fault.kind == 'freeze':
            self._freeze(name, until)
        elif fault.kind == 'kill':
            self.fleet.send_signal(name, signal.SIGKILL)
            self._schedule(until, lambda: self._restart_worker(name))
        elif fault.kind == 'leave':
            service = self.services[name]
            self.fleet.register(name, service, state='draining')
            removed_at = time.monotonic() + DRAIN_S
            self.busy_until[f'worker {name}'] = max(until, removed_at) + DRAIN_S
            self._schedule(removed_at, lambda: self._remove_worker(name))
            self._schedule(
                max(until, removed_at + 0.1), lambda: self._restart_worker(name)
            )
        elif fault.kind == 'limit':
            self._name_limits(name)
        else:
            self._set_worker_fault(name, fault.kind, FAULT_FRACTION)
            self._schedule(
                until, lambda: self._set_worker_fault(name, fault.kind, 0)
            )

    def _name_limits(self, name: str) -> None:
        changes = (*LIMITS_PER_S, 0)
        start = time.monotonic()
        for number, limit in enumerate(changes):
            self._schedule(
                start + number * LIMIT_S,
                functools.partial(self._set_worker_fault, name, 'limit', limit),
            )
        self.busy_until[f'worker {name}'] = start + len(changes) * LIMIT_S

    def _inject_store_fault(self, fault: Fault, until: float) -> None:
        port = self.fleet.store_port
        if fault.kind == 'compact':
            self.fleet.post(port, '/admin/compact', {})
            return
        if fault.kind == 'restore':
            self._restore_store(until)
            return
        settings = {
            'slow': ('slow_s', STORE_DELAY_S),
            'lost_replies': ('lost_replies', FAULT_FRACTION),
        }
        name, value = settings.get(fault.kind, (fault.kind, 1))
        self.fleet.set_faults(port, **{name: value})
        self._schedule(until, lambda: self.fleet.set_faults(port, **{name: 0}))

    def _restore_store(self, until: float) -> None:
        """Take the store away, and bring it back without its last writes."""
        port = self.fleet.store_port
        self.fleet.set_faults(port, outage=1)

        def come_back() -> None:
            self.fleet.restore_store(LOST_S)
            self.fleet.set_faults(port, outage=0)

        self._schedule(until, come_back)
        self._schedule(until + REPEAT_S, self.fleet.repeat_writes)

    def _inject_link_fault(self, fault: Fault, until: float) -> None:
        if fault.kind == 'delay':
            self.fleet.set_link_fault(fault.target, 'open', LINK_DELAY_S)
        else:
            self.fleet.set_link_fault(fault.target, fault.kind)
        self._schedule(
            until, lambda: self.fleet.set_link_fault(fault.target, 'open')
        )

    def _inject_operator_change(self, fault: Fault, _until: float) -> None:
        if fault.kind == 'timeout':
            self.timeout_ms = sum(TIMEOUTS_MS) - self.timeout_ms
        self.keys[OTHER_TENANT] = [] if fault.kind == 'revoke' else [OTHER_KEY]
        self._configure()

    def _configure(self) -> None:
        self.version += 3
        document = configuration(self.version, **self.keys)
        for route in document['op/config']['routes']:
            route['timeout-ms'] = self.timeout_ms
        self.timeouts_ms.append((time.monotonic(), self.timeout_ms))
        self.fleet.put(document)

    def _start_router(self, name: str) -> int:
        self.fleet.start_router(name)
        port = self.fleet.routers[name].callers
        return self.fleet.link_port(f'callers-{name}', port)

    def _restart_router(self, name: str) -> None:
        if self.fleet.is_running(name):
            self._schedule(
                time.monotonic() + 0.1, lambda: self._restart_router(name)
            )
            return
        self.fleet.start_router(name)
        self.disturbances.append(
            (name, time.monotonic(), time.monotonic() + RECOVERY_S)
        )

    def _restart_worker(self, name: str) -> None:
        self.fleet.processes[name].wait()
        self.fleet.restart_worker(name, self.services[name])

    def _remove_worker(self, name: str) -> None:
        self.fleet.put({f'servers/{name}': None})
        self.fleet.send_signal(name, signal.SIGKILL)

    def _freeze(self, name: str, until: float) -> None:
        self.fleet.send_signal(name, signal.SIGSTOP)
        self._schedule(
            until, lambda: self.fleet.send_signal(name, signal.SIGCONT)
        )

    def _set_worker_fault(self, worker: str, kind: str, value: float) -> None:
        if self.fleet.is_running(worker):
            self.fleet.set_faults(self.fleet.workers[worker], **{kind: value})

    def _schedule(self, due: float, action: Callable[[], None]) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (due, self.scheduled_count, action))

    def _run_scheduled_until(self, deadline: float) -> None:
        while True:
            due = min([deadline, *(entry[0] for entry in self.scheduled[:1])])
            time.sleep(max(0, due - time.monotonic()))
            if self.scheduled and self.scheduled[0][0] <= due:
                heapq.heappop(self.scheduled)[2]()
            else:
                return

    def _is_undisturbed(self, record: CallerRecord) -> bool:
        targets = {record.router, f'callers-{record.router}'}
        return not any(
            target in targets
            and start <= record.ended_s
            and record.sent_s <= end
            for target, start, end in self.disturbances
        )

    def _planned_stop(
        self, record: CallerRecord, workers: Mapping[str, set[str]]
    ) -> float | None:
        """Return when the router was signalled, if only that disturbed."""
        targets = {record.router, f'callers-{record.router}'}
        for worker in workers.get(record.request_id, ()):
            targets |= {worker, f'worker-{worker}'}
        affecting = [
            disturbance
            for disturbance in self.disturbances
            if disturbance[0] in targets
            and record.sent_s <= disturbance[2]
            and disturbance[1] <= record.ended_s
        ]
        if len(affecting) != 1 or affecting[0] not in self.stops:
            return None
        return affecting[0][1]

    def _limit_s(self, record: CallerRecord) -> float:
        """Return the lowest time limit that may have applied to a request."""
        limits_s = [record.deadline_s]
        for number, (start_s, timeout_ms) in enumerate(self.timeouts_ms):
            later = self.timeouts_ms[number + 1 :]
            ended_s = later[0][0] + RECOVERY_S if later else record.ended_s
            if start_s <= record.ended_s and record.sent_s <= ended_s:
                limits_s.append(timeout_ms / 1000)
        return min(limits_s)

    def _find_unrecovered(self) -> list[str]:
        """Return which routers have not recovered after the last fault."""
        self.keys = {TENANT: [API_KEY, FINAL_KEY]}
        self._configure()
        violations: list[str] = []
        expected_addresses = {
            f'{HOST}:{self.fleet.routers[name].callers}'
            for name in self.routers
        }
        for name in self.routers:
            violations.extend(
                self._find_unrecovered_at(name, expected_addresses)
            )
        return violations

    def _find_unrecovered_at(
        self, name: str, expected_addresses: set[str]
    ) -> list[str]:
        checks = {
            'is not ready': lambda: self.fleet.is_ready(name),
            'refuses a new key': lambda: (
                self._request_status(name, FINAL_KEY) == 200
            ),
            'accepts a revoked key': lambda: (
                self._request_status(name, OTHER_KEY) == 401
            ),
            'does not list all nodes': lambda: (
                self.fleet.listed_addresses(name) == expected_addresses
            ),
        }
        violations: list[str] = []
        for text, check in checks.items():
            try:
                wait_until(check, text)
            except TimeoutError:
                violations.append(f'SETTLED {name} {text}')
        return violations

    def _request_status(self, name: str, key: str) -> int:
        self.version += 1  # makes the request id unique
        request_id = f'settled-{self.version}'
        reply = self.fleet.send_request(
            name, '/read/x', request_id, key, request_id
        )
        now = time.monotonic()
        self.callers.records.append(
            CallerRecord(request_id, READ, name, key, now, now, 0, reply.status)
        )
        return reply.status


def run_soak(
    folder: Path, seed: int, seconds: float, size: FleetSize
) -> tuple[Sequence[str], str]:
    """Run a soak test.

    Args:
      folder: where settings files and logs are written.
      seed: seed of faults and callers.
      seconds: time after the start within which all faults start.
      size: number of processes.

    Returns:
      The violations, and a summary of requests, answers and faults.
    """
    soak = Soak(folder, seed, seconds, size)
    try:
        violations = soak.run()
    finally:
        soak.close()
        HTTP_POOL.clear()
    statuses = collections.Counter(
        record.status for record in soak.callers.records
    )
    summary = (
        f'seed {seed}: {len(soak.callers.records)} requests, answers '
        f'{dict(sorted(statuses.items()))}, faults '
        f'{sum(soak.injected.values())} {dict(sorted(soak.injected.items()))}'
    )
    return violations, summary
