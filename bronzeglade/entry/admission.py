"""Admission control over this node's share of the fleet's slots.

Nodes exchange their demand by gossip, and each computes from it how many slots
of a model it may use. Requests wait for a slot in a queue.
"""

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
from bronzeglade.decisions import admission
from bronzeglade.decisions.admission import (
    AdmissionRequest,
    AdmissionSettings,
    Admitted,
    Decision,
    Ticket,
)
from bronzeglade.decisions.shares import Demand, capacities, free_slots
from bronzeglade.entry.peers import Gossip
from bronzeglade.entry.workers import Worker
from bronzeglade.manifest import Rank, Team
from bronzeglade.outcome import Refusal

TOPIC = 'demand'
DISCONNECT_CHECK_INTERVAL_S = 0.25
TICK_S = 0.1
PUBLISH_TICKS = 5
SHARE_DELAY_TICKS = 20  # a higher share is used once it has lasted 2 s

CALLER_DISCONNECTED = Refusal(
    503, 'caller_gone', 'the caller disconnected while queued'
)


class Admission:
    """Admission control of a node.

    Each request waits in its own green thread.
    """

    def __init__(
        self, gossip: Gossip, clock: Clock, rng: random.Random
    ) -> None:
        """Create admission control without slots.

        Args:
          gossip: carries the demand of all nodes.
          clock: monotonic time.
          rng: random generator for the jitter of retry times.
        """
        self.gossip = gossip
        self.clock = clock
        self.queue = admission.AdmissionQueue(AdmissionSettings(), clock, rng)
        self.events: dict[int, Event] = {}
        self.admitted = 0
        self.slots: dict[str, int] = {}
        self.weights: dict[str, float] = {}
        self.peer_vms: tuple[str, ...] = ()
        self.recent_shares: dict[str, collections.deque[int]] = {}
        self.ticks = 0

    def admit(
        self,
        team: Team,
        rank: Rank,
        model: str,
        deadline: dt.timedelta,
        is_disconnected: Callable[[], bool] = bool,
    ) -> Result[Ticket, Refusal]:
        """Wait until a request is admitted or refused.

        Args:
          team: team of the caller.
          rank: rank of the request.
          model: model that is to answer.
          deadline: monotonic time.
          is_disconnected: returns whether the caller has disconnected; polled
            while the request is queued.

        Returns:
          A ticket, to be released by `release`, or a refusal; the request has
          not run.
        """
        ticket, decided = self.queue.submit(
            AdmissionRequest(
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
        self._notify(decided)
        decision = self._wait(ticket, event, is_disconnected)
        if isinstance(decision, Refusal):
            return Err(decision)
        self.admitted += 1
        return Ok(ticket)

    def release(self, ticket: Ticket) -> None:
        """Free the slot of a request that has ended."""
        self.admitted -= 1
        self._notify(self.queue.release(ticket))

    def update(
        self,
        catalog: Catalog,
        workers: Iterable[Worker],
        peer_vms: Iterable[str],
    ) -> None:
        """Update slots, weights and floors, and this node's capacities.

        Args:
          catalog: the active configuration.
          workers: endpoints that may receive work.
          peer_vms: VMs of the live peers.
        """
        slots: collections.Counter[str] = collections.Counter()
        for worker in workers:
            if worker.model is not None:
                slots[worker.model] += worker.slots
        for model in catalog.models:
            # Peers cannot be using slots of a model that had none, so its
            # first share applies at once. With the usual delay, nodes would
            # refuse requests for 2 s after their start.
            if not self.slots.get(model):
                self.recent_shares.pop(model, None)
        self.slots = {model: slots[model] for model in catalog.models}
        self.peer_vms = tuple(peer_vms)
        self.weights = {
            team.name: team.weight for team in catalog.manifest.teams
        }
        self.queue.set_floors(
            {rank.priority: rank.floor for rank in catalog.manifest.ranks}
        )
        self._update_capacities()

    def tick(self) -> None:
        """Expire and admit queued requests.

        Every `PUBLISH_TICKS` ticks, publish this node's demand and update its
        capacities.
        """
        self._notify(self.queue.expire_and_admit())
        self.ticks += 1
        if self.ticks % PUBLISH_TICKS == 0:
            self.gossip.publish(TOPIC, self._demand())
        self._update_capacities()

    def _wait(
        self, ticket: Ticket, event: Event, is_disconnected: Callable[[], bool]
    ) -> Refusal | None:
        try:
            refusal = self._await_decision(event, is_disconnected)
        except BaseException:
            self._abandon(ticket, event)
            raise
        self.events.pop(ticket.number)
        if refusal is CALLER_DISCONNECTED:
            self._notify(self.queue.release(ticket))
        return refusal

    def _await_decision(
        self, event: Event, is_disconnected: Callable[[], bool]
    ) -> Refusal | None:
        while not event.ready():
            with eventlet.Timeout(DISCONNECT_CHECK_INTERVAL_S, False):
                event.wait()
            if not event.ready() and is_disconnected():
                return CALLER_DISCONNECTED
        refusal: Refusal | None = event.wait()
        return refusal

    def _abandon(self, ticket: Ticket, event: Event) -> None:
        self.events.pop(ticket.number, None)
        if not event.ready() or event.wait() is None:
            self._notify(self.queue.release(ticket))

    def _notify(self, decided: Iterable[Decision]) -> None:
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

    def _update_capacities(self) -> None:
        if self.ticks % PUBLISH_TICKS:
            return
        documents = dict(self.gossip.read(TOPIC))
        documents[self.gossip.origin] = self._demand()
        # Live peers whose demand is unknown have a share too.
        reported = {origin.rpartition('-')[0] for origin in documents}
        unreported = [vm for vm in self.peer_vms if vm not in reported]
        for model, slots in self.slots.items():
            demands = {
                node: _read_demand(document, model)
                for node, document in documents.items()
            }
            self._update_capacity(model, slots, demands, unreported)

    def _update_capacity(
        self,
        model: str,
        slots: int,
        demands: Mapping[str, Demand],
        unreported: Sequence[str],
    ) -> None:
        nodes = {**demands, **{vm: {} for vm in unreported}}
        share = capacities(slots, nodes, self.queue.floors, self.weights)[
            self.gossip.origin
        ]
        # A lower share applies at once, a higher one only after a delay, so
        # that a node does not use slots that a peer has not given up yet.
        recent_shares = self.recent_shares.setdefault(
            model, collections.deque(maxlen=SHARE_DELAY_TICKS // PUBLISH_TICKS)
        )
        recent_shares.append(share)
        peer_demands = [
            demand
            for node, demand in demands.items()
            if node != self.gossip.origin
        ]
        free = free_slots(slots, peer_demands, len(unreported), len(nodes))
        capacity = max(min(recent_shares), free)
        self._notify(self.queue.set_capacity(model, capacity))


def _read_demand(document: Mapping[str, Any], model: str) -> Demand:
    return {
        (int(priority), str(team)): float(amount)
        for priority, team, amount in document.get(model, ())
    }
