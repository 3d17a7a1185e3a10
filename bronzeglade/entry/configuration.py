"""Fetches published configurations and distributes them to peers."""

import dataclasses
import datetime as dt
import random
from collections.abc import Callable, Mapping
from typing import Any

import eventlet
from eliot import log_message
from result import Err, Result

from bronzeglade import catalog as catalogs
from bronzeglade.adapters.table import Table
from bronzeglade.catalog import Catalog, Configuration
from bronzeglade.clock import Clock
from bronzeglade.coordination import head as heads
from bronzeglade.coordination.head import Published, PublishError
from bronzeglade.coordination.datagram import DIGEST_BYTES
from bronzeglade.coordination.publication import Holder, Publication
from bronzeglade.entry.peers import Peer, Peers

MAX_PUSH_PEERS = 3
# How long an operator's call waits for nodes in two failure domains to hold the
# configuration. It allows two rounds of pushes to unreachable peers, each
# limited by table_timeout.
ACCEPT_TIMEOUT = dt.timedelta(seconds=5)
ACCEPT_POLL_INTERVAL = dt.timedelta(milliseconds=50)
# Time between two rounds of pushes while an operator's call waits.
PUSH_INTERVAL = dt.timedelta(seconds=1)
UNCONFIRMED_AGE = -1  # value of `age_ms` without a confirmation

_MILLISECOND = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class DistributionServices:
    """Dependencies of a Distribution; `spawn` starts a green thread."""

    table: Table
    peers: Peers
    clock: Clock
    rng: random.Random
    spawn: Callable[..., Any] = eventlet.spawn


class Distribution:
    """Keeps a node's configuration current and pushes it to peers."""

    def __init__(
        self,
        publication: Publication,
        services: DistributionServices,
        activate: Callable[[Catalog], None],
    ) -> None:
        """Register the handlers that peers call.

        Args:
          publication: the active generation and its known holders.
          services: the dependencies.
          activate: activates a catalog on this node.
        """
        self.publication = publication
        self.services = services
        self.activate = activate
        self.pulling = False
        handlers = services.peers.handlers
        handlers['configuration'] = self.handle_pull
        handlers['configuration/offer'] = self.handle_offer
        handlers['configuration/push'] = self.handle_push

    def poll(self) -> None:
        """Read the head row; adopt its generation or confirm the active one."""
        requested_at = self.services.clock.monotonic()
        outcome = heads.read_head(self.services.table)
        if isinstance(outcome, Err):
            return
        head = outcome.ok_value
        if head.generation > self.publication.generation():
            self._fetch(head.generation, requested_at)
        elif head.generation:
            digest = bytes.fromhex(head.digest)[:DIGEST_BYTES]
            self.publication.confirm(head.generation, digest, requested_at)
        self.publication.table_answered = True

    def adopt(
        self, published: Published, confirmed_at: dt.timedelta | None
    ) -> bool:
        """Activate a generation unless one at least as high is active.

        Args:
          published: a committed generation.
          confirmed_at: monotonic time at which the table is known to have
            had it as its head; None if that is unknown.

        Returns:
          Whether it was activated.
        """
        generation = published.configuration.generation
        if generation <= self.publication.generation():
            return False
        catalog, errors = catalogs.build(published.configuration)
        if catalog is None:
            log_message(
                'configuration:invalid', generation=generation, errors=errors
            )
            return False
        self.publication.adopt_if_newer(published, confirmed_at)
        self.activate(catalog)
        log_message('configuration:adopted', generation=generation)
        self.services.spawn(self.push)
        return True

    def commit(self, published: Published) -> Result[Published, PublishError]:
        """Commit a generation to the table and activate it.

        Args:
          published: the new generation.

        Returns:
          The committed publication, or why it is not known to be committed.
        """
        requested_at = self.services.clock.monotonic()
        outcome = heads.publish(self.services.table, published)
        if not isinstance(outcome, Err):
            self.publication.table_answered = True
            self.adopt(outcome.ok_value, requested_at)
        return outcome

    def wait_accepted(self, generation: int) -> bool:
        """Wait until nodes in two failure domains hold a generation.

        Args:
          generation: a committed generation that this node holds.

        Returns:
          Whether they hold it within ACCEPT_TIMEOUT.
        """
        clock = self.services.clock
        deadline = clock.monotonic() + ACCEPT_TIMEOUT
        next_round = clock.monotonic() + PUSH_INTERVAL
        while not self.publication.is_accepted(generation):
            now = clock.monotonic()
            if now >= deadline:
                return False
            if now >= next_round:
                next_round = now + PUSH_INTERVAL
                self.services.spawn(self.push)
            clock.sleep(ACCEPT_POLL_INTERVAL)
        return True

    def pull(self, peer: Peer) -> None:
        """Fetch the configuration of a peer that has a higher generation.

        Returns at once while another pull is running.
        """
        if self.pulling:
            return
        self.pulling = True
        try:
            reply = self.services.peers.call(peer, 'configuration', {})
        finally:
            self.pulling = False
        if not isinstance(reply, Err):
            self._adopt_document(reply.ok_value)

    def push(self) -> None:
        """Push the configuration to up to MAX_PUSH_PEERS peers that lack it."""
        generation = self.publication.generation()
        for peer in self._push_targets(generation):
            self.services.spawn(self._push_to, peer)

    def handle_pull(self, _argument: Any) -> Any:
        """Return the active configuration to a peer that pulls it."""
        published = self.publication.current()
        age = self.publication.confirmed_age()
        return None if published is None else _encode(published, age)

    def handle_offer(self, argument: Any) -> Any:
        """Answer a peer's offer with the generation that this node has."""
        self._record_holder(argument)
        return {'generation': self.publication.generation()}

    def handle_push(self, argument: Any) -> Any:
        """Adopt a configuration that a peer pushes."""
        self._adopt_document(argument)
        return {'generation': self.publication.generation()}

    def _fetch(self, generation: int, requested_at: dt.timedelta) -> None:
        outcome = heads.read_generation(self.services.table, generation)
        if not isinstance(outcome, Err):
            self.adopt(outcome.ok_value, requested_at)

    def _adopt_document(self, document: Any) -> None:
        if document is None:
            return
        published, age = _decode(document)
        confirmed_at = None
        if age is not None:
            confirmed_at = self.services.clock.monotonic() - age
        self.adopt(published, confirmed_at)

    def _push_targets(self, generation: int) -> list[Peer]:
        holder_addresses = {
            holder.address for holder in self.publication.holders_of(generation)
        }
        lacking = [
            peer
            for peer in self.services.peers.live()
            if peer.control_address not in holder_addresses
        ]
        self.services.rng.shuffle(lacking)
        own_domain = self.publication.local_member.failure_domain
        # Peers in other failure domains come first: once one of them holds the
        # configuration, it survives the loss of this failure domain.
        lacking.sort(key=lambda peer: peer.failure_domain == own_domain)
        return lacking[:MAX_PUSH_PEERS]

    def _push_to(self, peer: Peer) -> None:
        published = self.publication.current()
        if published is None:
            return
        generation = published.configuration.generation
        local_member = self.publication.local_member
        offer = {
            'vm': local_member.vm,
            'address': local_member.address,
            'failure_domain': local_member.failure_domain,
            'generation': generation,
        }
        reply = self.services.peers.call(peer, 'configuration/offer', offer)
        if isinstance(reply, Err):
            return
        held_generation = _generation(reply.ok_value)
        if held_generation < generation:
            age = self.publication.confirmed_age()
            document = _encode(published, age)
            reply = self.services.peers.call(
                peer, 'configuration/push', document
            )
            held_generation = (
                0 if isinstance(reply, Err) else _generation(reply.ok_value)
            )
        self.publication.record_holder(
            Holder(
                peer.vm,
                peer.control_address,
                peer.failure_domain,
                held_generation,
            )
        )

    def _record_holder(self, argument: Mapping[str, Any]) -> None:
        self.publication.record_holder(
            Holder(
                str(argument['vm']),
                str(argument['address']),
                str(argument['failure_domain']),
                _generation(argument),
            )
        )


def _generation(document: Mapping[str, Any]) -> int:
    generation = document['generation']
    if not isinstance(generation, int):
        raise TypeError('a generation is an integer')
    return generation


def _encode(published: Published, age: dt.timedelta | None) -> dict[str, Any]:
    return {
        'generation': published.configuration.generation,
        'text': published.configuration.text,
        'publication_id': published.publication_id,
        'operator': published.operator,
        'age_ms': UNCONFIRMED_AGE if age is None else age // _MILLISECOND,
    }


def _decode(
    document: Mapping[str, Any],
) -> tuple[Published, dt.timedelta | None]:
    text = document['text']
    if not isinstance(text, bytes):
        raise TypeError('the text of a manifest is bytes')
    configuration = Configuration(
        _generation(document), catalogs.digest_of(text), text
    )
    age = document['age_ms']
    return (
        Published(
            configuration,
            str(document['publication_id']),
            str(document['operator']),
        ),
        None if age < 0 else age * _MILLISECOND,
    )
