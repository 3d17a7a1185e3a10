"""The state of a router process and its background loops."""

import random
import secrets
from collections.abc import Callable

import eventlet
import urllib3
from prometheus_client import CollectorRegistry
from result import Err

from bronzeglade.adapters import bounded_response
from bronzeglade.adapters.breaker import CircuitBreakerTable
from bronzeglade.adapters.orders import HttpOrders
from bronzeglade.adapters.rating import (
    HttpRatingService,
    NoRatings,
    RatingService,
)
from bronzeglade.adapters.table import HttpTable
from bronzeglade.adapters.vms import HttpVmList, Vm
from bronzeglade.catalog import Catalog
from bronzeglade.clock import Clock, SystemClock
from bronzeglade.coordination.head import Published
from bronzeglade.coordination.membership import Membership
from bronzeglade.coordination.publication import Publication
from bronzeglade.decisions.cascade import Cascade, CascadeSettings
from bronzeglade.decisions.retry import RetryBudget, RetrySettings
from bronzeglade.decisions.routing import Routing, RoutingSettings
from bronzeglade.entry import model_rollouts
from bronzeglade.entry.admission import TICK_S, Admission
from bronzeglade.entry.allowances import EXCHANGE_INTERVAL_S, NodeAllowances
from bronzeglade.entry.billing import Billing
from bronzeglade.entry.cascade_metrics import CascadeMetrics
from bronzeglade.entry.configuration import Distribution, DistributionServices
from bronzeglade.entry.feeds import EnginePoller
from bronzeglade.entry.heartbeats import (
    Heartbeats,
    HeartbeatServices,
    new_member,
)
from bronzeglade.entry.idempotency_claims import IdempotencyClaims
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.loading import CandidateLoader
from bronzeglade.entry.model_rollouts import ModelRollouts, RolloutContext
from bronzeglade.entry.peers import Gossip, Peers
from bronzeglade.entry.ratings import RATE_INTERVAL, RatingSampler
from bronzeglade.entry.sessions import Sessions
from bronzeglade.entry.telemetry import Telemetry
from bronzeglade.entry.versions import VersionAssignment
from bronzeglade.entry.workers import (
    Worker,
    failure_domain_delays,
    live_workers,
)
from bronzeglade.loops import spawn_loop
from bronzeglade.manifest import Rollout
from bronzeglade.outcome import require
from bronzeglade.settings import EntrySettings

# Width of the random variation of a loop's interval, as a fraction of it; it
# keeps the nodes from polling the same service at the same moment.
JITTER = 0.2


class Node:
    """The state and services that all request handlers of a process share."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create a node without an active configuration.

        Args:
          settings: validated settings.
        """
        self.settings = settings
        self.clock: Clock = SystemClock()
        self.rng = random.Random(secrets.randbits(64))
        self.origin = f'{settings.vm}-{secrets.token_hex(4)}'
        self.pool: urllib3.PoolManager = bounded_response.new_pool()
        self.table = HttpTable(
            settings.table_url, self.pool, settings.table_timeout
        )
        self.vm_list = HttpVmList(
            settings.vm_list_url, self.pool, settings.table_timeout
        )
        self.telemetry = Telemetry(self.clock, CollectorRegistry())
        self.catalog: Catalog | None = None
        self.vms: tuple[Vm, ...] = ()
        self.workers: tuple[Worker, ...] = ()
        self.peers = Peers(settings, self.pool)
        identity = NodeIdentity(
            settings.vm, self.origin, settings.failure_domain
        )
        self.billing = Billing(
            identity,
            self.table,
            self.peers,
            self.clock,
            self.rng,
        )
        self.breaker_table = CircuitBreakerTable(self.table, self.clock)
        self.idempotency = IdempotencyClaims(
            self.breaker_table,
            self.clock,
            self.rng,
            settings.request_timeout,
            lambda: len(self.peers.live()),
        )
        self.gossip = Gossip(self.origin, self.clock)
        local_member = new_member(settings, self.origin, self.clock.now())
        self.membership = Membership(
            local_member, settings.probe_interval, self.clock, self.rng
        )
        self.publication = Publication(settings, local_member, self.clock)
        self.distribution = Distribution(
            self.publication,
            DistributionServices(self.table, self.peers, self.clock, self.rng),
            self._activate,
        )
        self.heartbeats = Heartbeats(
            HeartbeatServices(
                self.membership,
                self.gossip,
                self.peers,
                self.distribution,
                self.clock,
            )
        )
        self.sessions = Sessions(self.breaker_table, self.peers.keys)
        self.versions = VersionAssignment(self.gossip, self.publication)
        self.rollouts = ModelRollouts(
            identity,
            self.clock,
            self.table,
            self.versions,
            RolloutContext(
                lambda: self.catalog, self.live_nodes, self._load_candidate
            ),
        )
        self.loading = CandidateLoader(
            HttpOrders(self.pool, settings.table_timeout),
            self.rollouts.lease,
            self.clock,
            eventlet.spawn,
        )
        self.cascade_metrics = CascadeMetrics(self.telemetry.registry)
        self.cascade = Cascade(CascadeSettings(), self.clock)
        self.rating_service: RatingService = NoRatings()
        if settings.rating_url is not None:
            self.rating_service = HttpRatingService(
                settings.rating_url, self.pool
            )
        self.rating_sampler = RatingSampler(
            self.rating_service,
            self.clock,
            self.versions,
            lambda: len(self.peers.live()) + 1,
        )
        self.admission = Admission(self.gossip, self.clock, self.rng)
        self.allowances = NodeAllowances(self.gossip, self.clock)
        self.routing = Routing(RoutingSettings(), self.clock, self.rng)
        self.engine_poller = EnginePoller(settings, self.pool, self.routing)
        self.retries = RetryBudget(RetrySettings())
        self.on_drain: list[Callable[[], None]] = [self.rollouts.resign]
        self.draining = False
        self.refuses_requests = False
        self.open_requests = 0

    def start(self) -> None:
        """Start the background loops."""
        self._run_periodically(
            self.settings.vm_poll_interval.total_seconds(), self.read_vms
        )
        self._run_periodically(
            self.settings.head_poll_interval.total_seconds(),
            self.distribution.poll,
        )
        self.heartbeats.start(self.settings.host, self.settings.control_port)
        self.billing.start()
        self.idempotency.start()
        self._run_periodically(0, self.engine_poller.read_next)
        for interval, action in (
            (model_rollouts.JUDGE_INTERVAL, self.rollouts.judge),
            (model_rollouts.COORDINATE_INTERVAL, self.rollouts.coordinate),
            (model_rollouts.POLL_INTERVAL, self.rollouts.poll),
            (RATE_INTERVAL, self.rating_sampler.rate_next),
        ):
            self._run_periodically(interval.total_seconds(), action)
        self._run_periodically(TICK_S, self.admission.tick)
        self._run_periodically(EXCHANGE_INTERVAL_S, self.allowances.exchange)

    def read_vms(self) -> None:
        """Read the VM list; on failure keep the last one."""
        outcome = self.vm_list.read()
        if isinstance(outcome, Err):
            return
        self.vms = outcome.ok_value
        self.peers.update(self.vms)
        self._refresh_workers()

    def adopt(self, published: Published) -> None:
        """Activate a generation unless one at least as high is active.

        Args:
          published: a generation that was just committed to the table.
        """
        self.publication.table_answered = True
        self.distribution.adopt(published, self.clock.monotonic())

    def ready(self) -> bool:
        """Return whether the node may serve.

        That needs an active configuration and an answer from the table or,
        while the table is unavailable, from peers.
        """
        return self.publication.ready(len(self.membership.candidates))

    def generation(self) -> int:
        """Return the active generation; 0 when there is none."""
        if self.catalog is None:
            return 0
        return self.catalog.configuration.generation

    def _activate(self, catalog: Catalog) -> None:
        generation = catalog.configuration.generation
        require(
            generation > self.generation(),
            'configuration-never-reverts',
            (self.generation(), generation),
        )
        self.catalog = catalog
        self.telemetry.generation.set(generation)
        self._refresh_workers()

    def live_nodes(self) -> list[tuple[str, str]]:
        """Return the VM name and failure domain of each live peer."""
        return [(peer.vm, peer.failure_domain) for peer in self.peers.live()]

    def _load_candidate(self, rollout: Rollout) -> bool:
        groups = self.catalog.groups if self.catalog else {}
        return self.loading.advance(
            rollout, self.workers, lambda name: groups[name].checks_fencing
        )

    def _refresh_workers(self) -> None:
        if self.catalog is not None:
            self.workers = live_workers(self.catalog, self.vms)
            self.engine_poller.update(self.workers)
            self.allowances.configure(self.catalog, len(self.peers.live()) + 1)
            self.admission.update(
                self.catalog,
                self.workers,
                [peer.vm for peer in self.peers.live()],
            )
            self.routing.delays = failure_domain_delays(
                self.catalog, self.settings.failure_domain
            )

    def _run_periodically(
        self, seconds: float, action: Callable[[], None]
    ) -> None:
        def run_once() -> None:
            action()
            factor = 1 + JITTER * (self.rng.random() - 0.5)
            eventlet.sleep(seconds * factor)

        spawn_loop(run_once)
