"""Admission of requests to this node's part of the fleet's capacity."""

import collections
import datetime as dt
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import eventlet
from eventlet.event import Event
from result import Err, Ok, Result

from bronzeglade.catalog import Catalog
from bronzeglade.clock import Clock
from bronzeglade.decisions import admission as decisions
from bronzeglade.decisions.admission import (
    Admitted,
    AdmissionSettings,
    Decision,
    Ticket,
    Work,
)
from bronzeglade.decisions.shares import Demand, capacities, free_slots
from bronzeglade.entry.peers import Gossip
from bronzeglade.entry.workers import Worker
from bronzeglade.manifest import Rank, Team
from bronzeglade.outcome import Refusal

TOPIC = 'demand'
GONE_CHECK_S = 0.25  # time between looks whether a waiting caller has left
TICK_S = 0.1
PUBLISH_TICKS = 5
SETTLE_TICKS = 20  # a higher share is used when it has lasted for 2 s

GONE = Refusal(503, 'caller_gone', 'the caller disconnected while queued')


class Admission:
    """Lets requests wait for their turn; one green thread for each."""

    def __init__(
        self, gossip: Gossip, clock: Clock, source: random.Random
    ) -> None:
        """Create an admission that knows no workers.

        Args:
          gossip: carries the demand of all nodes.
          clock: monotonic time.
          source: random numbers.
        """
        self.gossip = gossip
        self.clock = clock
        self.queue = decisions.Admission(AdmissionSettings(), clock, source)
        self.events: dict[int, Event] = {}
        self.open = 0
        self.slots: dict[str, int] = {}
        self.weights: dict[str, float] = {}
        self.others: tuple[str, ...] = ()
        self.recent: dict[str, collections.deque[int]] = {}
        self.ticks = 0

    def enter(
        self,
        team: Team,
        rank: Rank,
        model: str,
        deadline: dt.timedelta,
        is_gone: Callable[[], bool] = bool,
    ) -> Result[Ticket, Refusal]:
        """Wait for leave to run a request.

        Args:
          team: who asks.
          rank: rank of the request.
          model: model that is to answer.
          deadline: monotonic time by which the answer is needed.
          is_gone: whether the caller has disconnected.

        Returns:
          A ticket, or a refusal as soon as it is certain; nothing has run.
        """
        ticket, decided = self.queue.submit(
            Work(
                team=team.name,
                weight=team.weight,
                rank=rank.name,
                priority=rank.priority,
                model=model,
                deadline=deadline,
                max_wait=dt.timedelta(milliseconds=rank.first_token_ms),
            )
        )
        event = Event()
        self.events[ticket.number] = event
        self._announce(decided)
        decision = self._wait(ticket, event, is_gone)
        if isinstance(decision, Refusal):
            return Err(decision)
        self.open += 1
        return Ok(ticket)

    def leave(self, ticket: Ticket) -> None:
        """Return a ticket when its request has ended."""
        self.open -= 1
        self._announce(self.queue.release(ticket))

    def update(
        self, catalog: Catalog, workers: Iterable[Worker], others: Iterable[str]
    ) -> None:
        """Take the configuration and the workers in force.

        Args:
          catalog: ranks and teams.
          workers: endpoints that may receive work.
          others: VMs of the other live nodes.
        """
        slots: collections.Counter[str] = collections.Counter()
        for worker in workers:
            if worker.model is not None:
                slots[worker.model] += worker.slots
        for model in catalog.models:
            # A share of no slots is no share that others could still use, so
            # the first slots of a model count at once. Nodes refused work
            # for two seconds after their start before this rule.
            if not self.slots.get(model):
                self.recent.pop(model, None)
        self.slots = {model: slots[model] for model in catalog.models}
        self.others = tuple(others)
        self.weights = {one.name: one.weight for one in catalog.manifest.teams}
        self.queue.set_floors(
            {one.priority: one.floor for one in catalog.manifest.ranks}
        )
        self._divide()

    def tick(self) -> None:
        """Refuse who waited too long; now and then divide the slots anew."""
        self._announce(self.queue.expire_and_admit())
        self.ticks += 1
        if self.ticks % PUBLISH_TICKS == 0:
            self.gossip.publish(TOPIC, self._demand())
        self._divide()

    def _wait(
        self, ticket: Ticket, event: Event, is_gone: Callable[[], bool]
    ) -> Refusal | None:
        try:
            refusal = self._decision(event, is_gone)
        except BaseException:
            self._abandon(ticket, event)
            raise
        self.events.pop(ticket.number)
        if refusal is GONE:
            self._announce(self.queue.release(ticket))
        return refusal

    def _decision(
        self, event: Event, is_gone: Callable[[], bool]
    ) -> Refusal | None:
        while not event.ready():
            with eventlet.Timeout(GONE_CHECK_S, False):
                event.wait()
            if not event.ready() and is_gone():
                return GONE
        refusal: Refusal | None = event.wait()
        return refusal

    def _abandon(self, ticket: Ticket, event: Event) -> None:
        self.events.pop(ticket.number, None)
        if not event.ready() or event.wait() is None:
            self._announce(self.queue.release(ticket))

    def _announce(self, decided: Iterable[Decision]) -> None:
        for decision in decided:
            event = self.events.get(decision.ticket.number)
            if event is None:
                continue
            if isinstance(decision, Admitted):
                event.send(None)
            else:
                event.send(decision.refusal)

    def _demand(self) -> dict[str, list[list[Any]]]:
        demand: dict[str, list[list[Any]]] = {}
        for model in self.slots:
            entries = [
                [priority, team, round(amount, 1)]
                for (priority, team), amount in self.queue.demand(model).items()
            ]
            if entries:
                demand[model] = entries
        return demand

    def _divide(self) -> None:
        if self.ticks % PUBLISH_TICKS:
            return
        known = dict(self.gossip.read(TOPIC))
        known[self.gossip.origin] = self._demand()
        # A node that is live but has not told its demand has a share too.
        told = {origin.rpartition('-')[0] for origin in known}
        silent = [vm for vm in self.others if vm not in told]
        for model, slots in self.slots.items():
            demands = {
                node: _read_demand(document, model)
                for node, document in known.items()
            }
            self._set(model, slots, demands, silent)

    def _set(
        self,
        model: str,
        slots: int,
        demands: Mapping[str, Demand],
        silent: Sequence[str],
    ) -> None:
        nodes = {**demands, **{vm: {} for vm in silent}}
        share = capacities(slots, nodes, self.queue.floors, self.weights)[
            self.gossip.origin
        ]
        # A lower share counts at once and a higher one only when it has
        # lasted, so that nodes that give and nodes that take do not overlap.
        recent = self.recent.setdefault(
            model, collections.deque(maxlen=SETTLE_TICKS // PUBLISH_TICKS)
        )
        recent.append(share)
        others = [
            demand
            for node, demand in demands.items()
            if node != self.gossip.origin
        ]
        free = free_slots(slots, others, len(silent), len(nodes))
        capacity = max(min(recent), free)
        self._announce(self.queue.set_capacity(model, capacity))


def _read_demand(document: Mapping[str, Any], model: str) -> Demand:
    return {
        (int(priority), str(team)): float(amount)
        for priority, team, amount in document.get(model, ())
    }
