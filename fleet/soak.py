"""Real router processes under faults from outside, checked from outside."""

import collections
import dataclasses
import heapq
import json
import signal
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from fleet.platform import (
    HTTP,
    KEY,
    TENANT,
    PlatformFleet,
    configuration,
    wait_until,
)
from fleet.ports import HOST
from fleet.soak_callers import Callers
from fleet.soak_plan import Fault, draw
from fleet.soak_rules import READ, Asked, Ran, broken_rules

OTHER_KEY, OTHER_TENANT, FINAL_KEY, WRONG_KEY = 'key-2', 'survey', 'key-3', 'no'
TENANTS = {KEY: TENANT, OTHER_KEY: OTHER_TENANT, FINAL_KEY: TENANT}
# The second key is used also while it is revoked.
USED_KEYS = (KEY, KEY, KEY, OTHER_KEY, WRONG_KEY)
CALLERS = 10
# A fault may still be felt this long after its end.
AFTERMATH_S = 3.0
LEAVING_S = 2.0  # a worker goes on after it has told that it leaves
STOP_S = 10.0  # a planned stop takes up to the grace period
SLOW_STORE_S = 0.4
LINK_DELAY_S = 0.15
SHARE = 0.3  # of the calls that a fault of a stand-in strikes
TIMEOUTS_MS = (2000, 5000)


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How many processes take part."""

    routers: int = 4
    plain_workers: int = 3
    model_workers: int = 2


class SoakFleet(PlatformFleet):
    """The fleet with a proxy on each link that may fail."""

    worker_options = ('--print_runs',)

    def __init__(self, folder: Path) -> None:
        """Start the store and the proxy."""
        self.links: dict[str, int] = {}
        super().__init__(folder)
        self.proxy_port = self.ports.take(1)[0]
        self._spawn('proxy', 'fleet.links', f'--port={self.proxy_port}')
        wait_until(lambda: self._listens(self.proxy_port), 'the proxy')

    def link(self, name: str, target: int) -> int:
        """Return the port of a link, which is made at the first call."""
        if name not in self.links:
            self.links[name] = self.ports.take(1)[0]
            document = {name: [self.links[name], target]}
            self.post(self.proxy_port, '/links', document)
        return self.links[name]

    def change_link(self, name: str, mode: str, delay_s: float = 0) -> None:
        """Set the fault of a link."""
        document = {name: {'mode': mode, 'delay_s': delay_s}}
        self.post(self.proxy_port, '/modes', document)

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self.processes[name].poll() is None

    def runs(self) -> list[Ran]:
        """Return what the workers have run, also those that were killed."""
        found: list[Ran] = []
        for name in self.workers:
            for line in (self.folder / f'{name}.log').read_text().splitlines():
                if line.startswith('{"id"'):
                    run = json.loads(line)
                    found.append(
                        Ran(
                            run['id'],
                            name,
                            run['path'],
                            run['body'],
                            run['tenant'],
                            run['credential'],
                        )
                    )
        return found

    def store_port_of(self, router: str) -> int:
        """Return where a router reaches the store."""
        return self.link(f'store-{router}', self.store_port)

    def worker_port_of(self, name: str) -> int:
        """Return where routers reach a worker."""
        return self.link(f'worker-{name}', self.workers[name])


class Soak:
    """One run: faults by plan, callers all the while, rules at the end."""

    def __init__(self, folder: Path, seed: int, seconds: float, size: Size):
        """Start every process.

        Args:
          folder: for settings files and logs.
          seed: of faults and callers.
          seconds: the last fault begins before.
          size: number of processes.
        """
        self.seconds = seconds
        self.fleet = SoakFleet(folder)
        self.version = 10
        self.keys = {TENANT: [KEY], OTHER_TENANT: [OTHER_KEY]}
        self.timeout_ms = TIMEOUTS_MS[1]
        self.routers = [f'node-{one}' for one in range(size.routers)]
        self.services = {
            **{f'plain-{one}': 'plain' for one in range(size.plain_workers)},
            **{f'model-{one}': 'models' for one in range(size.model_workers)},
        }
        self.busy: dict[str, float] = collections.defaultdict(float)
        self.disturbed: list[tuple[str, float, float]] = []
        self.pending: list[tuple[float, int, Callable[[], None]]] = []
        self.actions = 0
        self.struck: collections.Counter[str] = collections.Counter()
        self.faults = draw(seed, seconds, self.routers, list(self.services))
        self._configure()
        for name, service in self.services.items():
            self.fleet.start_worker(name, service)
        ports = {name: self._start_router(name) for name in self.routers}
        for name in self.routers:
            self.fleet.wait_ready(name)
        self.callers = Callers(seed, CALLERS, ports, USED_KEYS)

    def run(self) -> list[str]:
        """Play the faults; return the broken rules."""
        self.callers.start()
        began = time.monotonic()
        try:
            for fault in self.faults:
                self._wait_until(began + fault.at_s)
                self._strike(fault)
            self._wait_until(began + self.seconds)
            while self.pending:
                self._wait_until(self.pending[0][0])
            broken = self._unsettled()
        finally:
            self.callers.stop()
        asked = [
            dataclasses.replace(one, calm=self._is_calm(one))
            for one in self.callers.asked
        ]
        return broken + broken_rules(asked, self.fleet.runs(), TENANTS)

    def close(self) -> None:
        """End every process."""
        for process in self.fleet.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        self.fleet.close()

    def _strike(self, fault: Fault) -> None:
        now = time.monotonic()
        busy = f'{fault.group} {fault.target}'
        if self.busy[busy] > now:
            return
        self.struck[f'{fault.group} {fault.kind}'] += 1
        until = now + fault.lasts_s
        self.busy[busy] = until + LEAVING_S
        self.disturbed.append((fault.target, now, until + AFTERMATH_S))
        strikes = {
            'router': self._strike_router,
            'worker': self._strike_worker,
            'store': self._strike_store,
            'link': self._strike_link,
            'operator': self._strike_operator,
        }
        strikes[fault.group](fault, until)

    def _strike_router(self, fault: Fault, until: float) -> None:
        name = fault.target
        if fault.kind == 'reload':
            path = self.fleet.folder / f'{name}.json'
            path.write_text(path.read_text() + '\n')
            self.fleet.signal(name, signal.SIGHUP)
        elif fault.kind == 'freeze':
            self._freeze(name, until)
        elif fault.kind == 'kill':
            self.fleet.signal(name, signal.SIGKILL)
            self._later(until, lambda: self._restart_router(name))
        else:
            self.fleet.signal(name, signal.SIGTERM)
            self.busy[f'router {name}'] = until + STOP_S
            self._later(until, lambda: self._restart_router(name))

    def _strike_worker(self, fault: Fault, until: float) -> None:
        name = fault.target
        if fault.kind == 'freeze':
            self._freeze(name, until)
        elif fault.kind == 'kill':
            self.fleet.signal(name, signal.SIGKILL)
            self._later(until, lambda: self._restart_worker(name))
        elif fault.kind == 'leave':
            service = self.services[name]
            self.fleet.register(name, service, state='draining')
            gone = time.monotonic() + LEAVING_S
            self.busy[f'worker {name}'] = max(until, gone) + LEAVING_S
            self._later(gone, lambda: self._remove_worker(name))
            self._later(
                max(until, gone + 0.1), lambda: self._restart_worker(name)
            )
        else:
            self._set_fault(name, fault.kind, SHARE)
            self._later(until, lambda: self._set_fault(name, fault.kind, 0))

    def _strike_store(self, fault: Fault, until: float) -> None:
        port = self.fleet.store_port
        if fault.kind == 'compact':
            self.fleet.post(port, '/admin/compact', {})
            return
        names = {
            'slow': ('slow_s', SLOW_STORE_S),
            'lost_replies': ('lost_replies', SHARE),
        }
        name, level = names.get(fault.kind, (fault.kind, 1))
        self.fleet.fault(port, **{name: level})
        self._later(until, lambda: self.fleet.fault(port, **{name: 0}))

    def _strike_link(self, fault: Fault, until: float) -> None:
        if fault.kind == 'delay':
            self.fleet.change_link(fault.target, 'open', LINK_DELAY_S)
        else:
            self.fleet.change_link(fault.target, fault.kind)
        self._later(until, lambda: self.fleet.change_link(fault.target, 'open'))

    def _strike_operator(self, fault: Fault, _until: float) -> None:
        if fault.kind == 'timeout':
            self.timeout_ms = sum(TIMEOUTS_MS) - self.timeout_ms
        self.keys[OTHER_TENANT] = [] if fault.kind == 'revoke' else [OTHER_KEY]
        self._configure()

    def _configure(self) -> None:
        self.version += 3
        document = configuration(self.version, **self.keys)
        for route in document['op/config']['routes']:
            route['timeout-ms'] = self.timeout_ms
        self.fleet.put(document)

    def _start_router(self, name: str) -> int:
        self.fleet.start_router(name)
        port = self.fleet.routers[name].callers
        return self.fleet.link(f'callers-{name}', port)

    def _restart_router(self, name: str) -> None:
        if self.fleet.is_running(name):
            self._later(
                time.monotonic() + 0.1, lambda: self._restart_router(name)
            )
            return
        self.fleet.start_router(name)
        self.disturbed.append(
            (name, time.monotonic(), time.monotonic() + AFTERMATH_S)
        )

    def _restart_worker(self, name: str) -> None:
        self.fleet.processes[name].wait()
        self.fleet.restart_worker(name, self.services[name])

    def _remove_worker(self, name: str) -> None:
        self.fleet.put({f'servers/{name}': None})
        self.fleet.signal(name, signal.SIGKILL)

    def _freeze(self, name: str, until: float) -> None:
        self.fleet.signal(name, signal.SIGSTOP)
        self._later(until, lambda: self.fleet.signal(name, signal.SIGCONT))

    def _set_fault(self, worker: str, kind: str, level: float) -> None:
        if self.fleet.is_running(worker):
            self.fleet.fault(self.fleet.workers[worker], **{kind: level})

    def _later(self, at: float, action: Callable[[], None]) -> None:
        self.actions += 1
        heapq.heappush(self.pending, (at, self.actions, action))

    def _wait_until(self, moment: float) -> None:
        while True:
            due = min([moment, *(one[0] for one in self.pending[:1])])
            time.sleep(max(0, due - time.monotonic()))
            if self.pending and self.pending[0][0] <= due:
                heapq.heappop(self.pending)[2]()
            else:
                return

    def _is_calm(self, asked: Asked) -> bool:
        near = {asked.router, f'callers-{asked.router}'}
        return not any(
            target in near and start <= asked.ended_s and asked.sent_s <= end
            for target, start, end in self.disturbed
        )

    def _unsettled(self) -> list[str]:
        """Return what does not come right after the last fault."""
        self.keys = {TENANT: [KEY, FINAL_KEY]}
        self._configure()
        broken: list[str] = []
        listed = {
            f'{HOST}:{self.fleet.routers[name].callers}'
            for name in self.routers
        }
        for name in self.routers:
            broken.extend(self._unsettled_at(name, listed))
        return broken

    def _unsettled_at(self, name: str, listed: set[str]) -> list[str]:
        checks = {
            'is not ready': lambda: self.fleet.is_ready(name),
            'refuses a new key': lambda: self._status(name, FINAL_KEY) == 200,
            'takes a revoked key': lambda: self._status(name, OTHER_KEY) == 401,
            'does not list all nodes': lambda: (
                self.fleet.addresses(name) == listed
            ),
        }
        broken: list[str] = []
        for text, check in checks.items():
            try:
                wait_until(check, text)
            except TimeoutError:
                broken.append(f'SETTLED {name} {text}')
        return broken

    def _status(self, name: str, key: str) -> int:
        self.version += 1  # makes the id of the request unique
        request_id = f'settled-{self.version}'
        reply = self.fleet.ask(name, '/read/x', request_id, key, request_id)
        now = time.monotonic()
        self.callers.asked.append(
            Asked(request_id, READ, name, key, now, now, 0, reply.status)
        )
        return reply.status


def play(
    folder: Path, seed: int, seconds: float, size: Size
) -> tuple[Sequence[str], str]:
    """Play one soak.

    Args:
      folder: for settings files and logs.
      seed: of faults and callers.
      seconds: the last fault begins before.
      size: number of processes.

    Returns:
      The broken rules, and a line on what was played.
    """
    soak = Soak(folder, seed, seconds, size)
    try:
        broken = soak.run()
    finally:
        soak.close()
        HTTP.clear()
    statuses = collections.Counter(one.status for one in soak.callers.asked)
    told = (
        f'seed {seed}: {len(soak.callers.asked)} requests, answers '
        f'{dict(sorted(statuses.items()))}, faults '
        f'{sum(soak.struck.values())} {dict(sorted(soak.struck.items()))}'
    )
    return broken, told
