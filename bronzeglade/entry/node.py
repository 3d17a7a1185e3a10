"""State of the router process and the loops that keep it current."""

import random
import secrets
from collections.abc import Callable

import eventlet
import urllib3
from result import Err

from bronzeglade import catalog as catalogs
from bronzeglade.adapters import transport
from bronzeglade.adapters.breaker import BreakingTable
from bronzeglade.adapters.table import HttpTable
from bronzeglade.adapters.vms import ENTRY_GROUP, HttpVmList, Vm, VmState
from bronzeglade.catalog import Catalog
from bronzeglade.clock import Clock, SystemClock
from bronzeglade.coordination.head import Published, read_published
from bronzeglade.decisions.retry import RetryBudget, RetrySettings
from bronzeglade.entry.admission import Admission
from bronzeglade.entry.billing import Billing, Place
from bronzeglade.entry.idempotency import Idempotency
from bronzeglade.entry.peers import Gossip, Peers
from bronzeglade.entry.sessions import Sessions
from bronzeglade.entry.versions import Versions
from bronzeglade.entry.workers import Worker, live_workers
from bronzeglade.settings import EntrySettings

JITTER = 0.2  # part of an interval by which loops of nodes are spread


class Node:
    """Everything that the request handlers share."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create a node that knows no configuration yet.

        Args:
          settings: checked settings.
        """
        self.settings = settings
        self.clock: Clock = SystemClock()
        self.random = random.Random(secrets.randbits(64))
        self.origin = f'{settings.vm}-{secrets.token_hex(4)}'
        self.pool: urllib3.PoolManager = transport.new_pool()
        self.table = HttpTable(
            settings.table_url, self.pool, settings.table_timeout
        )
        self.vm_list = HttpVmList(
            settings.vm_list_url, self.pool, settings.table_timeout
        )
        self.catalog: Catalog | None = None
        self.vms: tuple[Vm, ...] = ()
        self.workers: tuple[Worker, ...] = ()
        self.peers = Peers(settings, self.pool)
        self.billing = Billing(
            Place(self.origin, settings.vm, settings.failure_domain),
            self.table,
            self.peers,
            self.clock,
            self.random,
        )
        self.guarded_table = BreakingTable(self.table, self.clock)
        self.idempotency = Idempotency(
            self.guarded_table,
            self.clock,
            self.random,
            settings.request_timeout,
            lambda: len(self.peers.live()),
        )
        self.gossip = Gossip(self.origin)
        self.sessions = Sessions(self.guarded_table, self.peers.keys)
        self.versions = Versions(self.gossip)
        self.admission = Admission()
        self.in_flight: dict[str, int] = {}
        self.retries = RetryBudget(RetrySettings())
        self.draining = False
        self.open_requests = 0

    def start(self) -> None:
        """Start the loops of the node."""
        self._every(
            self.settings.vm_poll_interval.total_seconds(), self.read_vms
        )
        self._every(
            self.settings.head_poll_interval.total_seconds(), self.read_head
        )
        self.billing.start()
        self.idempotency.start()

    def read_vms(self) -> None:
        """Read the VM list; the last list stays when that fails."""
        outcome = self.vm_list.read()
        if isinstance(outcome, Err):
            return
        self.vms = outcome.ok_value
        self.peers.update(self.vms)
        self._refresh_workers()

    def read_head(self) -> None:
        """Adopt the generation of the table when it is higher."""
        outcome = read_published(self.table, self.generation())
        if not isinstance(outcome, Err) and outcome.ok_value is not None:
            self.adopt(outcome.ok_value)

    def adopt(self, published: Published) -> None:
        """Put a generation in force unless a higher one is.

        Args:
          published: a committed generation.
        """
        if published.configuration.generation <= self.generation():
            return
        catalog, _errors = catalogs.build(published.configuration)
        if catalog is not None:
            self.catalog = catalog
            self._refresh_workers()

    def generation(self) -> int:
        """Return the generation in force; 0 when there is none."""
        if self.catalog is None:
            return 0
        return self.catalog.configuration.generation

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the entry VMs that callers may be sent to."""
        return tuple(
            vm
            for vm in self.vms
            if vm.group == ENTRY_GROUP
            and vm.state is VmState.LIVE
            and not (self.draining and vm.name == self.settings.vm)
        )

    def _refresh_workers(self) -> None:
        if self.catalog is not None:
            self.workers = live_workers(self.catalog, self.vms)

    def _every(self, seconds: float, action: Callable[[], None]) -> None:
        def loop() -> None:
            while True:
                action()
                spread = 1 + JITTER * (self.random.random() - 0.5)
                eventlet.sleep(seconds * spread)

        eventlet.spawn(loop)
