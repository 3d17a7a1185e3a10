"""Router process for opaque requests: sockets, loops, signals, shutdown."""

import dataclasses
import datetime as dt
import functools
import gc
import random
import secrets
import signal
import sys
from collections.abc import Callable
from typing import Any

import eventlet
from prometheus_client import CollectorRegistry, generate_latest
from result import Err, Ok

from bronzeglade import listeners, serving
from bronzeglade.adapters import transport
from bronzeglade.clock import BootClock
from bronzeglade.coordination.liveness import (
    FailureDetector,
    FailureDetectorSettings,
)
from bronzeglade.decisions import (
    crashing_segments,
    memory_account,
    pause,
    rate_limit,
)
from bronzeglade.decisions.latency import Latencies, LatencySettings
from bronzeglade.decisions.placement import Placement, PlacementSettings
from bronzeglade.decisions.shutdown import LongestDurations, Shutdown
from bronzeglade.forwarding import (
    cold_endpoints,
    copies,
    node_registration,
    request_handler,
    resources,
    roster,
)
from bronzeglade.forwarding.caller_directory import (
    CallerDirectory,
    LocalState,
)
from bronzeglade.forwarding.caller_listener import CallerListener
from bronzeglade.forwarding.decoding import RowDecoder
from bronzeglade.forwarding.endpoint import Registry
from bronzeglade.forwarding.follower import FollowerContext
from bronzeglade.forwarding.load_exchange import LoadExchange
from bronzeglade.forwarding.log import Log
from bronzeglade.forwarding.metrics import Metrics
from bronzeglade.forwarding.node_registration import NodeRegistration
from bronzeglade.forwarding.platform_interface import (
    Application,
    PlatformAdapter,
)
from bronzeglade.forwarding.router import Router
from bronzeglade.forwarding.service_rollouts import TICK, ServiceRollouts
from bronzeglade.forwarding.settings import Address, RouterSettings
from bronzeglade.forwarding.tables import Handlers, Tables
from bronzeglade.loops import spawn_loop

PAGE_BACKLOG = 512
# Delay between attempts to register or to unregister this node.
REGISTER_RETRY_DELAY = dt.timedelta(milliseconds=300)
HOUSEKEEPING_INTERVAL = dt.timedelta(seconds=1)
# Interval between direct calls while this node hears no other one.
UNHEARD_CALL_INTERVAL = dt.timedelta(milliseconds=500)
SETTINGS_CHECK_INTERVAL = dt.timedelta(seconds=2)
STOP_POLL_INTERVAL = dt.timedelta(milliseconds=50)
PAGE_TIMEOUT_S = 15
# Longer than a page takes, except where a node waits for changes.
PAGE_STOP_TIMEOUT = dt.timedelta(milliseconds=500)
PAGE_STOP_TIME = listeners.HANDSHAKE_TIME + PAGE_STOP_TIMEOUT
# Limits of the time that the last lines of the log may wait for its reader.
MIN_FLUSH_TIME = dt.timedelta(milliseconds=100)
MAX_FLUSH_TIME = dt.timedelta(milliseconds=500)
MILLISECOND = dt.timedelta(milliseconds=1)
EXIT_INVALID_SETTINGS = 2


class RouterProcess:
    """A router process: its state, listeners and background loops."""

    def __init__(
        self,
        platform: PlatformAdapter,
        settings: RouterSettings,
        metrics_port: int,
    ) -> None:
        """Create a process without a configuration.

        Args:
          platform: interface to the platform.
          settings: validated settings.
          metrics_port: port of the metrics page.
        """
        self.platform = platform
        self.metrics_port = metrics_port
        self.clock = BootClock()
        self.rng = random.Random(secrets.randbits(64))
        self.log = Log(sys.stdout.fileno(), settings.name, self.clock)
        metrics = Metrics(CollectorRegistry())
        self.log.on_drop = metrics.dropped_lines.inc
        self.pool = transport.new_pool()
        self.store = platform.open_store(
            settings,
            lambda call, end: metrics.store_calls.labels(call, end).inc(),
        )
        documents = platform.documents
        self.tables = Tables(documents, self.clock)
        self.configuration_decoder = RowDecoder(
            documents.read_configuration, 'unreadable_configuration', self.log
        )
        self.entry_decoder = RowDecoder(
            documents.read_endpoint, 'unreadable_entry', self.log
        )
        self.node_decoder = RowDecoder(
            roster.decode, 'unreadable_node', self.log
        )
        self.roster = roster.Roster(
            _local_node(settings), settings.peers, self.clock
        )
        self.directory = CallerDirectory(
            self.roster, self._has_lost_store, self.log
        )
        self.rollouts = ServiceRollouts(
            self.store,
            self.tables.operator,
            self.tables.router,
            documents,
            self.roster,
            self.log,
        )
        self.rollouts.bounds = settings.rollout
        self.resident = resources.resident_bytes()
        self.router = Router(
            settings=settings,
            clock=self.clock,
            rng=self.rng,
            dialect=platform.dialect,
            log=self.log,
            metrics=metrics,
            placement=Placement(
                PlacementSettings(),
                settings.failure_domain,
                self.clock,
                self.rng,
            ),
            registry=Registry(self.clock),
            rollouts=self.rollouts,
            latencies=Latencies(LatencySettings(), self.clock),
            roster=self.roster,
            pauses=pause.Pauses(pause.PauseSettings(), self.clock),
            rate_limits=rate_limit.RateLimits(rate_limit.RateLimitSettings()),
            durations=LongestDurations(self.clock),
            crashes=crashing_segments.new(self.clock),
            cold=cold_endpoints.new(
                settings.name, self.clock, self.log, metrics
            ),
            memory=memory_account.MemoryAccount(
                resources.memory_settings(settings.machine, self.resident),
                self.clock,
            ),
        )
        self.exchange = LoadExchange(
            self.roster,
            self.router.placement,
            self.clock,
            self.log,
            self.rng,
        )
        self.node_registration = NodeRegistration(
            self.roster,
            FailureDetector(FailureDetectorSettings(), self.clock),
            self.tables.router,
            self.store,
            self._is_alive,
            self.log,
            self.rng,
        )
        self.exchange.on_load_message = self.node_registration.record_message
        self.exchange.crashes = self.router.crashes
        self.router.on_departure = self.exchange.announce_departure
        self.exchange.on_departure = self.router.mark_leaving
        self.router.on_cold = self.exchange.announce_cold
        self.exchange.on_cold = self.router.mark_cold
        self.page_servers: list[serving.Server] = []
        self.callers = CallerListener(
            self.router,
            resources.max_connections(
                settings.machine, self.resident, resources.CALLERS
            ),
        )
        self.stopped = eventlet.event.Event()

    def run(self) -> int:
        """Serve until a stop signal, then shut down; return the exit code."""
        self.log.start()
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        settings = self.router.settings
        self.log.event(
            'start',
            failure_domain=settings.failure_domain,
            callers=settings.callers,
            store=settings.store,
        )
        self.callers.start(settings.callers)
        self._serve(
            settings.readiness,
            self.platform.readiness(self.is_ready),
            resources.READINESS,
        )
        self._serve(
            settings.directory,
            self.platform.directory(self.addresses),
            resources.DIRECTORY,
        )
        self._serve(
            settings.control,
            self.tables.copy_source.application,
            resources.CONTROL,
        )
        self._serve(
            (settings.callers[0], self.metrics_port),
            self._metrics_page,
            resources.METRICS,
        )
        self.exchange.open()
        self._start_loops()
        self.stopped.wait()
        self.log.event('stop')
        self.log.flush(self._flush_limit())
        return 0

    def _flush_limit(self) -> dt.timedelta:
        remaining = MAX_FLUSH_TIME
        if self.router.shutdown is not None:
            remaining = self.router.shutdown.exit_at - self.clock.monotonic()
        return min(MAX_FLUSH_TIME, max(MIN_FLUSH_TIME, remaining))

    def is_ready(self) -> bool:
        """Return whether this node can serve new requests."""
        return (
            self.router.table is not None
            and bool(self.router.registry.endpoints)
            and not self.router.draining
        )

    def addresses(self, failure_domain: str, region: str) -> list[Address]:
        """Return the node addresses that a caller should use.

        Args:
          failure_domain: failure domain of the caller.
          region: region of the caller.
        """
        return self.directory.addresses(
            failure_domain,
            region,
            self.router.settings.failure_domains,
            self._local_state(),
        )

    def _local_state(self) -> LocalState:
        if self.router.draining:
            return LocalState.STOPPING
        return LocalState.READY if self.is_ready() else LocalState.STARTING

    def _start_loops(self) -> None:
        context = FollowerContext(
            self.store, self.log, self.rng, self.roster.store_followers
        )
        self.tables.follow(
            context,
            self.roster,
            functools.partial(copies.fetch, self.pool),
            Handlers(
                self._operator_rows_changed,
                self._endpoint_rows_changed,
                self._node_rows_changed,
            ),
        )
        spawn_loop(self.exchange.receive_next)
        spawn_loop(self.exchange.send_next)
        spawn_loop(self._periodic_step(TICK, self.rollouts.tick))
        spawn_loop(self._periodic_step(HOUSEKEEPING_INTERVAL, self._keep_house))
        spawn_loop(
            self._periodic_step(
                node_registration.CHECK_INTERVAL, self._check_nodes
            )
        )
        spawn_loop(
            self._periodic_step(UNHEARD_CALL_INTERVAL, self._call_unheard)
        )
        spawn_loop(self._periodic_step(SETTINGS_CHECK_INTERVAL, self.reload))
        eventlet.spawn(self._register)

    def _periodic_step(
        self, interval: dt.timedelta, action: Callable[[], None]
    ) -> Callable[[], None]:
        def run_once() -> None:
            jitter = 0.9 + 0.2 * self.rng.random()
            eventlet.sleep(interval.total_seconds() * jitter)
            action()

        return run_once

    def _call_unheard(self) -> None:
        for node in self.roster.unheard_nodes(self.rng):
            eventlet.spawn(self._record_if_alive, node)

    def _record_if_alive(self, node: roster.RouterNode) -> None:
        if self._is_alive(node):
            self.roster.presence.record_message(node.name)

    def _has_lost_store(self) -> bool:
        return self.tables.router.failing_since is not None

    def _check_nodes(self) -> None:
        if not self.router.draining:
            self.node_registration.run_checks()

    def _is_alive(self, node: roster.RouterNode) -> bool:
        """Probe the control address of a node."""
        outcome = copies.fetch(
            self.pool, node.control, self.tables.positions(), dt.timedelta()
        )
        return isinstance(outcome, Ok)

    def _keep_house(self) -> None:
        self.router.registry.close_idle()
        self.callers.log_turned_away()

    def _operator_rows_changed(self) -> None:
        row = self.tables.operator.rows.get(
            self.platform.documents.configuration_key
        )
        self.router.evacuate(self._evacuated_domains())
        rows = () if row is None else (row,)
        for table in self.configuration_decoder.read(rows):
            self.router.activate(table)
        self.rollouts.refresh()

    def _evacuated_domains(self) -> frozenset[str]:
        prefix = self.platform.documents.evacuation_prefix
        return frozenset(
            key.removeprefix(prefix)
            for key in self.tables.operator.current()
            if key.startswith(prefix)
        )

    def _endpoint_rows_changed(self) -> None:
        rows = self.tables.endpoints.current().values()
        self.router.update_endpoints(self.entry_decoder.read(rows))

    def _node_rows_changed(self) -> None:
        rows = self.tables.router.rows.items()
        decoded = self.node_decoder.read(
            row for key, row in rows if key.startswith(roster.NODE_PREFIX)
        )
        nodes = {node.name: node for node in decoded}
        previous = self.roster.nodes.keys()
        if nodes.keys() != previous:
            self.log.event(
                'nodes',
                count=len(nodes),
                joined=sorted(nodes.keys() - previous),
                left=sorted(previous - nodes.keys()),
            )
        self.roster.update(nodes)
        self.router.cold.membership.update(nodes)
        self.router.update_connection_limits()
        self.router.update_retry_limits()
        self.rollouts.refresh()

    def _register(self) -> None:
        while (
            not self.router.draining and not self.node_registration.write_row()
        ):
            eventlet.sleep(REGISTER_RETRY_DELAY.total_seconds())

    def _unregister(self) -> None:
        deadline = self.clock.monotonic() + self.router.settings.stop.listing
        while self.clock.monotonic() < deadline:
            if self.node_registration.remove_row():
                return
            eventlet.sleep(REGISTER_RETRY_DELAY.total_seconds())

    def _serve(
        self,
        address: Address,
        application: Application,
        share: resources.PortShare,
    ) -> None:
        server = serving.Server(
            listeners.listen(
                address, PAGE_BACKLOG, resources.PAGE_RECEIVE_BUFFER
            ),
            application,
            self.clock,
            protocol=serving.PageProtocol,
            max_connections=resources.max_connections(
                self.router.settings.machine, self.resident, share
            ),
            socket_timeout=PAGE_TIMEOUT_S,
        )
        server.start()
        self.page_servers.append(server)

    def _metrics_page(self, environ: dict[str, Any], start: Any) -> Any:
        body = generate_latest(self.router.metrics.registry)
        start(
            '200 OK',
            [
                ('Content-Type', 'text/plain; version=0.0.4'),
                ('Content-Length', str(len(body))),
            ],
        )
        return (body,)

    def reload(self) -> None:
        """Apply the settings if they have changed."""
        outcome = self.platform.read_settings()
        if isinstance(outcome, Err):
            self.log.event('unreadable_settings', reason=outcome.err_value)
            return
        if outcome.ok_value != self.router.settings:
            has_moved = outcome.ok_value.store != self.router.settings.store
            self.router.settings = outcome.ok_value
            if has_moved:
                self.store.move(outcome.ok_value.store)
                self.tables.restart_calls()
            self.rollouts.bounds = outcome.ok_value.rollout
            self.router.update_cold_limits()
            self.roster.seeds = outcome.ok_value.peers
            self.log.event('reload', store=outcome.ok_value.store)

    def _on_reload(self, _signal: int, _frame: Any) -> None:
        eventlet.spawn(self.reload)

    def _on_stop(self, _signal: int, _frame: Any) -> None:
        if not self.router.draining:
            eventlet.spawn(self._stop, self.router.begin_shutdown())

    def _stop(self, shutdown: Shutdown) -> None:
        """Shut down gracefully.

        Unregisters this node, keeps accepting connections while callers may
        still use its address, and then waits for open connections to finish.
        """
        self.log.event('stopping', in_flight=len(self.router.running))
        eventlet.spawn(self._unregister)
        self._wait_until(shutdown.listed_until)
        self.callers.stop()
        # Connections without a request in progress close themselves.
        self._wait_until(shutdown.abandon_at, self._has_no_connections)
        request_handler.interrupt_running(self.router)
        self._wait_until(shutdown.exit_at, self._has_no_connections)
        duration = self.clock.monotonic() - shutdown.started_at
        self.log.event(
            'stopped',
            in_flight=len(self.router.running),
            connections=self.callers.open_count(),
            after_ms=duration // MILLISECOND,
        )
        if self.clock.monotonic() + PAGE_STOP_TIME < shutdown.exit_at:
            self._stop_pages()
        self.stopped.send()

    def _stop_pages(self) -> None:
        pages = serving.stop(self.page_servers, self.clock, PAGE_STOP_TIMEOUT)
        self.log.event('pages_closed', **dataclasses.asdict(pages))

    def _wait_until(
        self, deadline: dt.timedelta, is_done: Callable[[], bool] = bool
    ) -> None:
        """Wait until a monotonic time, or until a condition holds before it."""
        while not is_done() and self.clock.monotonic() < deadline:
            eventlet.sleep(STOP_POLL_INTERVAL.total_seconds())

    def _has_no_connections(self) -> bool:
        return not self.callers.open_count()


def run(platform: PlatformAdapter, metrics_port: int) -> int:
    """Run a router process until it is stopped.

    Args:
      platform: interface to the platform.
      metrics_port: port of the metrics page.

    Returns:
      The exit code; 2 if the settings are invalid.
    """
    settings = platform.read_settings()
    if isinstance(settings, Err):
        sys.stderr.write(f'error: settings: {settings.err_value}\n')
        return EXIT_INVALID_SETTINGS
    process = RouterProcess(platform, settings.ok_value, metrics_port)
    # Modules and models live as long as the process. Without this, each full
    # collection of garbage, in the middle of requests, looks at all of them.
    gc.collect()
    gc.freeze()
    return process.run()


def _local_node(settings: RouterSettings) -> roster.RouterNode:
    return roster.RouterNode(
        settings.name,
        settings.failure_domain,
        settings.callers,
        settings.control,
        settings.exchange,
    )
