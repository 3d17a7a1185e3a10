"""Durable billing: a request's record is kept before its answer ends."""

import collections
import datetime as dt
import hashlib
from random import Random

import eliot
import eventlet
from eventlet.event import Event
from eventlet.queue import Empty, LightQueue
from eventlet.semaphore import Semaphore
from result import Err, Ok, Result

from bronzeglade.adapters.table import Table
from bronzeglade.clock import Clock
from bronzeglade.coordination import bill as bills
from bronzeglade.coordination import journal as journals
from bronzeglade.coordination.bill import Bill
from bronzeglade.coordination.journal import (
    Journal,
    JournalSettings,
    Replicas,
    Window,
)
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.peers import Peer, Peers
from bronzeglade.manifest import Rank
from bronzeglade.outcome import Refusal

HANDLER = 'journal'
# A peer that failed or is full gets no records for this time.
AVOID_TIME = dt.timedelta(seconds=10)
# Time between commits while the table is the only other holder of records.
DIRECT_INTERVAL = dt.timedelta(milliseconds=50)
RETRY_PAUSE = dt.timedelta(milliseconds=200)
IDLE_WAIT = dt.timedelta(seconds=1)


class Billing:
    """Drives the journal: replication, flushes and take-over."""

    def __init__(
        self,
        identity: NodeIdentity,
        table: Table,
        peers: Peers,
        clock: Clock,
        random: Random,
        settings: JournalSettings = journals.DEFAULTS,
    ) -> None:
        """Create the ledger of one process.

        Args:
          identity: this process.
          table: where records last.
          peers: where records are held until then.
          clock: times of retries and take-overs.
          random: spreads the flushes of the nodes.
          settings: bounds of the journal.
        """
        self.identity = identity
        self.table = table
        self.peers = peers
        self.clock = clock
        self.random = random
        self.settings = settings
        self.journal = Journal(identity.origin, identity.vm, settings)
        self.replicas = Replicas(settings)
        self.avoided: dict[str, dt.timedelta] = {}
        self.waiting: collections.deque[tuple[int, Event]] = collections.deque()
        self.signal = LightQueue(1)
        self.flushing = Semaphore(1)
        self.failures = 0
        self.told = 0  # highest flushed number that the holder was told
        self.told_at = clock.monotonic()
        peers.handlers[HANDLER] = self.hold

    def start(self) -> None:
        """Start the loops."""
        eventlet.spawn(self._replicate_forever)
        eventlet.spawn(self._flush_forever)

    def record(self, bill: Bill, limit: dt.timedelta) -> Result[None, str]:
        """Keep a record; return when it survives the loss of this node.

        Args:
          bill: the record.
          limit: how long to wait.

        Returns:
          None, or why the record is not known to be durable; it is still
          flushed if this process lives on.
        """
        number = self.journal.append(bills.pack(bill))
        done = Event()
        self.waiting.append((number, done))
        self._wake()
        with eventlet.Timeout(limit.total_seconds(), False):
            done.wait()
            return Ok(None)
        return Err('neither a peer nor the ledger has confirmed the record')

    def refusal(self, rank: Rank) -> Refusal | None:
        """Return why new billable work of a rank is refused now, if it is."""
        if self.journal.sheds(rank):
            message = 'too many billing records wait for the ledger'
            return Refusal(
                503,
                'billing_backlog',
                message,
                retry_after=self.settings.max_interval,
            )
        if self.failures and not self._candidates():
            message = 'neither a peer nor the ledger can hold billing records'
            return Refusal(
                503, 'billing_unavailable', message, retry_after=IDLE_WAIT
            )
        return None

    def hold(self, document: list[object]) -> list[object]:
        """Keep records of another node; the handler of peer calls."""
        batch = journals.parse_batch(document)
        return list(self.replicas.hold(batch, self.clock.monotonic()))

    def close(self, limit: dt.timedelta) -> bool:
        """Flush everything before a planned stop.

        Args:
          limit: how long to try.

        Returns:
          Whether the ledger has every record of this node.
        """
        deadline = self.clock.monotonic() + limit
        while self.journal.window.records:
            if self.clock.monotonic() >= deadline:
                return False
            if isinstance(self.flush(), Err):
                self.clock.sleep(RETRY_PAUSE)
        return True

    def flush(self) -> Result[None, str]:
        """Move records of this node into the ledger."""
        with self.flushing:
            outcome = self.journal.flush(self.table, self.clock.now())
        if isinstance(outcome, Err):
            self.failures += 1
            _log(
                'billing:flush_failed', self.identity.origin, outcome.err_value
            )
        else:
            self.failures = 0
        self._settle()
        return outcome

    def replicate(self) -> None:
        """Send the holder what it does not have, or flush without one."""
        holder = self._holder()
        if holder is None:
            if self.journal.window.records:
                pause = self._direct_pause()
                self.clock.sleep(pause)
                self.flush()
            return
        batch = self.journal.unsent()
        if not batch.records and not self._owes_word(batch.flushed):
            return
        reply = self.peers.call(holder, HANDLER, batch.document())
        if isinstance(reply, Err):
            self._avoid(holder, reply.err_value.detail)
            return
        upto, full = reply.ok_value
        self.journal.acknowledge(holder.vm, upto)
        self.told = batch.flushed
        self.told_at = self.clock.monotonic()
        if full:
            self._avoid(holder, 'it is full')
        self._settle()

    def take_over(self) -> None:
        """Flush the records of nodes that are gone."""
        live = {peer.vm for peer in self.peers.live()}
        due = self.replicas.due(live, self.clock.monotonic())
        # A failure ends the round; the order changes so that one origin whose
        # records cannot be flushed does not hold up the others.
        self.random.shuffle(due)
        for window in due:
            if not self._flush_for(window):
                return
            self.replicas.remove_if_flushed(window)

    def _flush_for(self, window: Window) -> bool:
        while window.records:
            outcome = journals.flush(
                self.table, window, self.settings.batch, self.clock.now()
            )
            if isinstance(outcome, Err):
                _log('billing:flush_failed', window.origin, outcome.err_value)
                return False
        return True

    def _replicate_forever(self) -> None:
        while True:
            if not self.journal.unsent().records:
                self._await_signal()
            self.replicate()

    def _flush_forever(self) -> None:
        while True:
            if self.journal.window.records:
                self.flush()
                self._wake()
            elif self.failures or not self._candidates():
                self._probe()
            self.take_over()
            nodes = len(self.peers.live()) + 1
            self.clock.sleep(
                journals.flush_interval(
                    nodes, self.failures, self.random, self.settings
                )
            )

    def _probe(self) -> None:
        # Without a peer the table decides whether work is admitted, so its
        # state has to be known before the first record needs it.
        outcome = self.table.read([journals.cursor_key(self.identity.origin)])
        self.failures = self.failures + 1 if isinstance(outcome, Err) else 0

    def _direct_pause(self) -> dt.timedelta:
        nodes = len(self.peers.live()) + 1
        spread = dt.timedelta(seconds=nodes / self.settings.writes_per_second)
        least = RETRY_PAUSE if self.failures else DIRECT_INTERVAL
        return max(least, spread) * self.random.uniform(0.5, 1.5)

    def _candidates(self) -> list[Peer]:
        now = self.clock.monotonic()
        return [
            peer
            for peer in self.peers.live()
            if peer.failure_domain != self.identity.failure_domain
            and self.avoided.get(peer.vm, now) <= now
        ]

    def _holder(self) -> Peer | None:
        candidates = self._candidates()
        chosen = min(candidates, key=self._preference, default=None)
        self.journal.assign(chosen.vm if chosen else None)
        return chosen

    def _preference(self, peer: Peer) -> tuple[bool, bytes]:
        # The holder stays while it is live; a new one is chosen by a hash
        # that differs for each origin, so that records are spread.
        text = f'{self.identity.origin} {peer.vm}'.encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return peer.vm != self.journal.holder, digest

    def _avoid(self, peer: Peer, reason: str) -> None:
        now = self.clock.monotonic()
        self.avoided = {
            vm: until for vm, until in self.avoided.items() if until > now
        }
        self.avoided[peer.vm] = now + AVOID_TIME
        _log('billing:holder_avoided', peer.vm, reason)

    def _owes_word(self, flushed: int) -> bool:
        if flushed > self.told:
            return True
        waited = self.clock.monotonic() - self.told_at
        unflushed = bool(self.journal.window.records)
        return unflushed and waited >= self.settings.keepalive

    def _settle(self) -> None:
        durable = self.journal.durable()
        while self.waiting and self.waiting[0][0] <= durable:
            self.waiting.popleft()[1].send()

    def _wake(self) -> None:
        if self.signal.empty():
            self.signal.put_nowait(None)

    def _await_signal(self) -> None:
        try:
            self.signal.get(timeout=IDLE_WAIT.total_seconds())
        except Empty:
            return


def _log(message_type: str, subject: str, detail: str) -> None:
    eliot.log_message(message_type, subject=subject, detail=detail)
