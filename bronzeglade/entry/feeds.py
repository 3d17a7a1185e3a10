"""Polls the load and the cache events of the model engines."""

import datetime as dt
from collections.abc import Iterable

import eventlet
import urllib3

from bronzeglade.adapters import engine as engines
from bronzeglade.decisions.load import Load
from bronzeglade.decisions.prefix import CacheEvent
from bronzeglade.decisions.routing import Routing
from bronzeglade.entry.workers import Worker
from bronzeglade.settings import EntrySettings

# Reading both pages of an engine takes about 1 ms of CPU time and 2 KB. With at
# most 6 reads a second the loop stays within 1% of a core and 16 KB/s at any
# fleet size.
MIN_INTERVAL = dt.timedelta(seconds=1) / 6
READ_TIMEOUT = dt.timedelta(milliseconds=500)


class EnginePoller:
    """Polls one engine after another and reports the results to the routing."""

    def __init__(
        self,
        settings: EntrySettings,
        pool: urllib3.PoolManager,
        routing: Routing,
    ) -> None:
        """Create a poller without engines.

        Args:
          settings: `load_poll_interval` is the time between two reads of
            the same engine, unless MIN_INTERVAL makes it longer.
          pool: connection pool for the reads.
          routing: receives the loads and cache events.
        """
        self.settings = settings
        self.pool = pool
        self.routing = routing
        self.engines: dict[str, Worker] = {}
        self.order: list[str] = []
        self.next_sequences: dict[str, int] = {}

    def update(self, workers: Iterable[Worker]) -> None:
        """Replace the polled engines; discard data on removed or moved ones."""
        polled = {
            worker.vm: worker for worker in workers if worker.model is not None
        }
        for vm, previous in self.engines.items():
            if vm not in polled or polled[vm].address != previous.address:
                self.routing.forget(vm)
                self.next_sequences.pop(vm, None)
        self.engines = polled

    def read_next(self) -> None:
        """Start to read one engine, then wait until the next read is due."""
        if not self.order:
            self.order = list(self.engines)
            self.routing.rng.shuffle(self.order)
        engine = self.engines.get(self.order.pop()) if self.order else None
        if engine is not None:
            eventlet.spawn(self._read, engine)
        interval = self.settings.load_poll_interval / max(1, len(self.engines))
        eventlet.sleep(max(interval, MIN_INTERVAL).total_seconds())

    def _read(self, engine: Worker) -> None:
        page = engines.read_load(self.pool, engine.address, READ_TIMEOUT)
        if page is None:
            # The engine may have restarted, with an empty cache and new
            # sequence numbers.
            if self.next_sequences.pop(engine.vm, None) is not None:
                self.routing.prefixes.forget(engine.vm)
            return
        load = Load(engine.group, page.running, page.waiting)
        self.routing.loads.report(engine.vm, load)
        self._read_events(engine)

    def _read_events(self, engine: Worker) -> None:
        since = self.next_sequences.get(engine.vm, 0)
        page = engines.read_cache_events(
            self.pool, engine.address, since, READ_TIMEOUT
        )
        if page is None:
            return
        for sequence, block, added in page.events:
            self.routing.prefixes.apply(
                CacheEvent(engine.vm, sequence, block, added)
            )
        self.next_sequences[engine.vm] = page.next
