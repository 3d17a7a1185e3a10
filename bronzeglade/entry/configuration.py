"""Fetching, adopting and passing on of published configurations."""

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

PUSH_PEERS = 3
# How long an operator's call waits for holders in two failure domains. Two
# rounds of pushes to unreachable peers fit, each limited by table_timeout.
ACCEPT_LIMIT = dt.timedelta(seconds=5)
ACCEPT_POLL = dt.timedelta(milliseconds=50)
# A round of pushes waits this long before peers are tried again.
PUSH_ROUND = dt.timedelta(seconds=1)
NO_AGE = -1

_MILLISECOND = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Services:
    """What the distribution of configurations works with."""

    table: Table
    peers: Peers
    clock: Clock
    random: random.Random
    spawn: Callable[..., Any] = eventlet.spawn


class Distribution:
    """Keeps a node's configuration current and passes it on."""

    def __init__(
        self,
        publication: Publication,
        services: Services,
        use: Callable[[Catalog], None],
    ) -> None:
        """Register the handlers that peers call.

        Args:
          publication: the generation in force.
          services: table, peers, clock and random source.
          use: puts a catalog in force.
        """
        self.publication = publication
        self.services = services
        self.use = use
        self.pulling = False
        handlers = services.peers.handlers
        handlers['configuration'] = self.give
        handlers['configuration/offer'] = self.offered
        handlers['configuration/push'] = self.pushed

    def poll(self) -> None:
        """Read the head row; adopt or confirm what it names."""
        asked_at = self.services.clock.monotonic()
        outcome = heads.read_head(self.services.table)
        if isinstance(outcome, Err):
            return
        head = outcome.ok_value
        if head.generation > self.publication.generation():
            self._fetch(head.generation, asked_at)
        elif head.generation:
            digest = bytes.fromhex(head.digest)[:DIGEST_BYTES]
            self.publication.confirm(head.generation, digest, asked_at)
        self.publication.table_answered = True

    def adopt(
        self, published: Published, confirmed_at: dt.timedelta | None
    ) -> bool:
        """Put a generation in force unless one as high is.

        Args:
          published: a committed generation.
          confirmed_at: monotonic time at which the table is known to have
            had it as its head.

        Returns:
          Whether it was adopted.
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
        self.publication.offer(published, confirmed_at)
        self.use(catalog)
        log_message('configuration:adopted', generation=generation)
        self.services.spawn(self.push)
        return True

    def commit(self, published: Published) -> Result[Published, PublishError]:
        """Commit a generation to the table and put it in force.

        Args:
          published: the new generation.

        Returns:
          The publication, or why it is not known to be committed.
        """
        asked_at = self.services.clock.monotonic()
        outcome = heads.publish(self.services.table, published)
        if not isinstance(outcome, Err):
            self.publication.table_answered = True
            self.adopt(outcome.ok_value, asked_at)
        return outcome

    def wait_accepted(self, generation: int) -> bool:
        """Wait until nodes in two failure domains hold a generation.

        Args:
          generation: a committed one that this node holds.

        Returns:
          Whether they do within ACCEPT_LIMIT.
        """
        clock = self.services.clock
        limit = clock.monotonic() + ACCEPT_LIMIT
        next_round = clock.monotonic() + PUSH_ROUND
        while not self.publication.accepted(generation):
            now = clock.monotonic()
            if now >= limit:
                return False
            if now >= next_round:
                next_round = now + PUSH_ROUND
                self.services.spawn(self.push)
            clock.sleep(ACCEPT_POLL)
        return True

    def pull(self, peer: Peer) -> None:
        """Fetch the configuration of a peer that has a higher one."""
        if self.pulling:
            return
        self.pulling = True
        try:
            reply = self.services.peers.call(peer, 'configuration', {})
        finally:
            self.pulling = False
        if not isinstance(reply, Err):
            self._take(reply.ok_value)

    def push(self) -> None:
        """Pass the configuration to PUSH_PEERS peers that lack it."""
        generation = self.publication.generation()
        for peer in self._push_targets(generation):
            self.services.spawn(self._push_to, peer)

    def give(self, _argument: Any) -> Any:
        """Return the configuration in force to a peer that pulls it."""
        published = self.publication.current()
        age = self.publication.confirmed_age()
        return None if published is None else _encode(published, age)

    def offered(self, argument: Any) -> Any:
        """Tell a peer that offers a generation which one this node has."""
        self._held(argument)
        return {'generation': self.publication.generation()}

    def pushed(self, argument: Any) -> Any:
        """Take a configuration that a peer pushes."""
        self._take(argument)
        return {'generation': self.publication.generation()}

    def _fetch(self, generation: int, asked_at: dt.timedelta) -> None:
        found = heads.read_generation(self.services.table, generation)
        if not isinstance(found, Err):
            self.adopt(found.ok_value, asked_at)

    def _take(self, document: Any) -> None:
        if document is None:
            return
        published, age = _decode(document)
        confirmed_at = None
        if age is not None:
            confirmed_at = self.services.clock.monotonic() - age
        self.adopt(published, confirmed_at)

    def _push_targets(self, generation: int) -> list[Peer]:
        holding = {
            holder.address for holder in self.publication.holding(generation)
        }
        lacking = [
            peer
            for peer in self.services.peers.live()
            if peer.control_address not in holding
        ]
        self.services.random.shuffle(lacking)
        mine = self.publication.myself.failure_domain
        # Peers in other failure domains first: one of them makes it safe.
        lacking.sort(key=lambda peer: peer.failure_domain == mine)
        return lacking[:PUSH_PEERS]

    def _push_to(self, peer: Peer) -> None:
        published = self.publication.current()
        if published is None:
            return
        generation = published.configuration.generation
        myself = self.publication.myself
        offer = {
            'vm': myself.vm,
            'address': myself.address,
            'failure_domain': myself.failure_domain,
            'generation': generation,
        }
        reply = self.services.peers.call(peer, 'configuration/offer', offer)
        if isinstance(reply, Err):
            return
        held = _generation(reply.ok_value)
        if held < generation:
            age = self.publication.confirmed_age()
            document = _encode(published, age)
            reply = self.services.peers.call(
                peer, 'configuration/push', document
            )
            held = 0 if isinstance(reply, Err) else _generation(reply.ok_value)
        self.publication.held(
            Holder(peer.vm, peer.control_address, peer.failure_domain, held)
        )

    def _held(self, argument: Mapping[str, Any]) -> None:
        self.publication.held(
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
        'age_ms': NO_AGE if age is None else age // _MILLISECOND,
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
