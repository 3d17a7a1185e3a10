"""Durable billing: a request is recorded before its answer ends.

A record is durable once a replica holder, which is a peer in another failure
domain, or the ledger in the table has it.
"""

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
from bronzeglade.coordination import billing_journal
from bronzeglade.coordination.bill import Bill
from bronzeglade.coordination.billing_journal import (
    Journal,
    JournalSettings,
    Replicas,
    Window,
)
from bronzeglade.entry.identity import NodeIdentity
from bronzeglade.entry.peers import Peer, Peers
from bronzeglade.manifest import Rank
from bronzeglade.outcome import Refusal

JOURNAL_HANDLER = 'journal'
# A peer that failed or is full receives no records for this time.
AVOID_TIME = dt.timedelta(seconds=10)
# Minimum pause between flushes, before jitter, while no peer holds replicas.
DIRECT_FLUSH_INTERVAL = dt.timedelta(milliseconds=50)
RETRY_PAUSE = dt.timedelta(milliseconds=200)
IDLE_WAIT = dt.timedelta(seconds=1)


class Billing:
    """Replicates the journal of this process and flushes it to the ledger.

    It also flushes the records that it holds for lost nodes.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        table: Table,
        peers: Peers,
        clock: Clock,
        rng: Random,
        settings: JournalSettings = billing_journal.DEFAULTS,
    ) -> None:
        """Create the billing of one process.

        Args:
          identity: this process.
          table: stores the ledger.
          peers: hold replicas of records until these are in the ledger.
          clock: times retries and flushes.
          rng: spreads the flushes of the nodes.
          settings: bounds of the journal.
        """
        self.identity = identity
        self.table = table
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.settings = settings
        self.journal = Journal(identity.origin, identity.vm, settings)
        self.replicas = Replicas(settings)
        self.avoided_until: dict[str, dt.timedelta] = {}
        self.pending: collections.deque[tuple[int, Event]] = collections.deque()
        self.wakeup = LightQueue(1)
        self.flush_lock = Semaphore(1)
        self.table_failures = 0
        # Highest flushed record number that the replica holder was sent.
        self.reported_flushed = 0
        self.reported_at = clock.monotonic()
        peers.handlers[JOURNAL_HANDLER] = self.hold

    def start(self) -> None:
        """Start the replication and flush loops."""
        eventlet.spawn(self._replicate_forever)
        eventlet.spawn(self._flush_forever)

    def record(self, bill: Bill, timeout: dt.timedelta) -> Result[None, str]:
        """Append a record and wait until it survives the loss of this node.

        Args:
          bill: the record.
          timeout: how long to wait.

        Returns:
          None, or why the record is not known to be durable; it is still
          flushed if this process keeps running.
        """
        number = self.journal.append(bills.pack(bill))
        durable_event = Event()
        self.pending.append((number, durable_event))
        self._wake_replication()
        with eventlet.Timeout(timeout.total_seconds(), False):
            durable_event.wait()
            return Ok(None)
        return Err('neither a peer nor the ledger has confirmed the record')

    def refusal(self, rank: Rank) -> Refusal | None:
        """Return why new billable work of a rank is refused now, or None."""
        if self.journal.is_shedding(rank):
            message = 'too many billing records are waiting for the ledger'
            return Refusal(
                503,
                'billing_backlog',
                message,
                retry_after=self.settings.max_interval,
            )
        if self.table_failures and not self._holder_candidates():
            message = 'neither a peer nor the ledger can hold billing records'
            return Refusal(
                503, 'billing_unavailable', message, retry_after=IDLE_WAIT
            )
        return None

    def hold(self, document: list[object]) -> list[object]:
        """Hold records of another node; handles peer calls."""
        batch = billing_journal.parse_batch(document)
        return list(self.replicas.hold(batch, self.clock.monotonic()))

    def close(self, timeout: dt.timedelta) -> bool:
        """Flush all records before a planned shutdown.

        Args:
          timeout: how long to retry the flush.

        Returns:
          Whether the ledger has every record of this node.
        """
        deadline = self.clock.monotonic() + timeout
        while self.journal.window.records:
            if self.clock.monotonic() >= deadline:
                return False
            if isinstance(self.flush(), Err):
                self.clock.sleep(RETRY_PAUSE)
        return True

    def flush(self) -> Result[None, str]:
        """Move a batch of this node's records into the ledger."""
        with self.flush_lock:
            outcome = self.journal.flush(self.table, self.clock.now())
        if isinstance(outcome, Err):
            self.table_failures += 1
            _log(
                'billing:flush_failed', self.identity.origin, outcome.err_value
            )
        else:
            self.table_failures = 0
        self._notify_durable()
        return outcome

    def replicate(self) -> None:
        """Send new records to the replica holder, or flush if there is none."""
        holder = self._choose_holder()
        if holder is None:
            if self.journal.window.records:
                pause = self._direct_flush_pause()
                self.clock.sleep(pause)
                self.flush()
            return
        batch = self.journal.unsent()
        if not batch.records and not self._flushed_report_due(batch.flushed):
            return
        reply = self.peers.call(holder, JOURNAL_HANDLER, batch.document())
        if isinstance(reply, Err):
            self._avoid(holder, reply.err_value.detail)
            return
        held_upto, full = reply.ok_value
        self.journal.acknowledge(holder.vm, held_upto)
        self.reported_flushed = batch.flushed
        self.reported_at = self.clock.monotonic()
        if full:
            self._avoid(holder, 'its replica storage is full')
        self._notify_durable()

    def flush_for_lost_nodes(self) -> None:
        """Flush the replicas that this node holds for lost nodes."""
        live = {peer.vm for peer in self.peers.live()}
        due = self.replicas.due(live, self.clock.monotonic())
        # A failure ends the round. The order is random, so that an origin
        # whose records cannot be flushed does not block the others.
        self.rng.shuffle(due)
        for window in due:
            if not self._flush_replica(window):
                return
            self.replicas.remove_if_flushed(window)

    def _flush_replica(self, window: Window) -> bool:
        while window.records:
            outcome = billing_journal.flush(
                self.table, window, self.settings.batch, self.clock.now()
            )
            if isinstance(outcome, Err):
                _log('billing:flush_failed', window.origin, outcome.err_value)
                return False
        return True

    def _replicate_forever(self) -> None:
        while True:
            if not self.journal.unsent().records:
                self._wait_for_records()
            self.replicate()

    def _flush_forever(self) -> None:
        while True:
            if self.journal.window.records:
                self.flush()
                self._wake_replication()
            elif self.table_failures or not self._holder_candidates():
                self._probe_table()
            self.flush_for_lost_nodes()
            nodes = len(self.peers.live()) + 1
            self.clock.sleep(
                billing_journal.flush_interval(
                    nodes, self.table_failures, self.rng, self.settings
                )
            )

    def _probe_table(self) -> None:
        # Without a peer, the table decides whether work is admitted, so its
        # state has to be known before the first record needs it.
        outcome = self.table.read(
            [billing_journal.cursor_key(self.identity.origin)]
        )
        self.table_failures = (
            self.table_failures + 1 if isinstance(outcome, Err) else 0
        )

    def _direct_flush_pause(self) -> dt.timedelta:
        nodes = len(self.peers.live()) + 1
        shared_interval = dt.timedelta(
            seconds=nodes / self.settings.writes_per_second
        )
        min_pause = (
            RETRY_PAUSE if self.table_failures else DIRECT_FLUSH_INTERVAL
        )
        return max(min_pause, shared_interval) * self.rng.uniform(0.5, 1.5)

    def _holder_candidates(self) -> list[Peer]:
        now = self.clock.monotonic()
        return [
            peer
            for peer in self.peers.live()
            if peer.failure_domain != self.identity.failure_domain
            and self.avoided_until.get(peer.vm, now) <= now
        ]

    def _choose_holder(self) -> Peer | None:
        candidates = self._holder_candidates()
        holder = min(candidates, key=self._preference, default=None)
        self.journal.assign(holder.vm if holder else None)
        return holder

    def _preference(self, peer: Peer) -> tuple[bool, bytes]:
        # The current holder comes first. The others are ranked by a hash that
        # differs by origin, so that the replicas are spread over the peers.
        text = f'{self.identity.origin} {peer.vm}'.encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return peer.vm != self.journal.holder, digest

    def _avoid(self, peer: Peer, reason: str) -> None:
        now = self.clock.monotonic()
        self.avoided_until = {
            vm: until for vm, until in self.avoided_until.items() if until > now
        }
        self.avoided_until[peer.vm] = now + AVOID_TIME
        _log('billing:holder_avoided', peer.vm, reason)

    def _flushed_report_due(self, flushed: int) -> bool:
        if flushed > self.reported_flushed:
            return True
        elapsed = self.clock.monotonic() - self.reported_at
        unflushed = bool(self.journal.window.records)
        return unflushed and elapsed >= self.settings.keepalive

    def _notify_durable(self) -> None:
        durable = self.journal.durable()
        while self.pending and self.pending[0][0] <= durable:
            self.pending.popleft()[1].send()

    def _wake_replication(self) -> None:
        if self.wakeup.empty():
            self.wakeup.put_nowait(None)

    def _wait_for_records(self) -> None:
        try:
            self.wakeup.get(timeout=IDLE_WAIT.total_seconds())
        except Empty:
            return


def _log(message_type: str, subject: str, detail: str) -> None:
    eliot.log_message(message_type, subject=subject, detail=detail)
