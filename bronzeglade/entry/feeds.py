"""Loops that read the engines' load pages and cache events."""

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

# A read of both pages takes about 1 ms of processor time and 2 KB: at 6 a
# second the loop stays within 1% of a core and 16 KB/s at any fleet size.
SHORTEST_INTERVAL = dt.timedelta(seconds=1) / 6
READ_TIMEOUT = dt.timedelta(milliseconds=500)


class Feeds:
    """Reads one engine after the other."""

    def __init__(
        self,
        settings: EntrySettings,
        pool: urllib3.PoolManager,
        routing: Routing,
    ) -> None:
        """Know no engines yet.

        Args:
          settings: time between two reads of an engine in a small fleet.
          pool: connections to use.
          routing: what is told of loads and caches.
        """
        self.settings = settings
        self.pool = pool
        self.routing = routing
        self.engines: dict[str, Worker] = {}
        self.order: list[str] = []
        self.next_events: dict[str, int] = {}

    def update(self, workers: Iterable[Worker]) -> None:
        """Take the engines that are read from now on."""
        found = {one.vm: one for one in workers if one.model is not None}
        for vm, known in self.engines.items():
            if vm not in found or found[vm].address != known.address:
                self.routing.forget(vm)
                self.next_events.pop(vm, None)
        self.engines = found

    def read_next(self) -> None:
        """Read the pages of one engine and wait for the next one's turn."""
        if not self.order:
            self.order = list(self.engines)
            self.routing.rng.shuffle(self.order)
        engine = self.engines.get(self.order.pop()) if self.order else None
        if engine is not None:
            eventlet.spawn(self._read, engine)
        turn = self.settings.load_poll_interval / max(1, len(self.engines))
        eventlet.sleep(max(turn, SHORTEST_INTERVAL).total_seconds())

    def _read(self, engine: Worker) -> None:
        page = engines.read_load(self.pool, engine.address, READ_TIMEOUT)
        if page is None:
            # The engine may have restarted with an empty cache, and its
            # sequence numbers with it.
            if self.next_events.pop(engine.vm, None) is not None:
                self.routing.prefixes.forget(engine.vm)
            return
        load = Load(engine.group, page.running, page.waiting)
        self.routing.loads.report(engine.vm, load)
        self._read_events(engine)

    def _read_events(self, engine: Worker) -> None:
        since = self.next_events.get(engine.vm, 0)
        page = engines.read_cache_events(
            self.pool, engine.address, since, READ_TIMEOUT
        )
        if page is None:
            return
        for sequence, block, added in page.events:
            self.routing.prefixes.apply(
                CacheEvent(engine.vm, sequence, block, added)
            )
        self.next_events[engine.vm] = page.next
