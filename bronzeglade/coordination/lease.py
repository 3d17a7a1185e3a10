"""Leader election by a lease row in the table service, with fencing tokens.

The caller reads the row, passes it to `observe`, commits the transaction that
`request` returns and reads the row again. A node becomes leader only when it
reads its own write back, so a commit whose reply was lost needs no special
handling.
"""

import dataclasses
import datetime as dt
import hashlib
from collections.abc import Iterable

import msgpack

from bronzeglade.adapters.table import ABSENT, Check, Put, Row, Transaction
from bronzeglade.clock import Clock

ROLLOUT_LEASE_KEY = 'lease/rollout'
MAX_TRACKED_WRITES = 8  # recent writes whose send time is kept


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Key and timing of a lease.

    The holder stops `holder_margin` before its term ends, to cover clock drift
    and the last operation that it starts. Other nodes wait `takeover_margin`
    longer than a term before they take over, to cover drift of their clocks.
    """

    key: str = ROLLOUT_LEASE_KEY
    term: dt.timedelta = dt.timedelta(seconds=10)
    holder_margin: dt.timedelta = dt.timedelta(seconds=2)
    takeover_margin: dt.timedelta = dt.timedelta(seconds=2)
    renew_after: dt.timedelta = dt.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Content of the lease row.

    `holder` is empty after the last holder resigned. `write_number` identifies
    a write among those of one holder.
    """

    holder: str
    token: int
    write_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Leadership confirmed by reading the lease row back.

    Every transaction of the leader includes `check`, so that it is rejected
    once another node holds the lease. Every order to an engine carries
    `token`, the fencing token. `until` is the monotonic time at which the
    leader must stop.
    """

    token: int
    check: Check
    until: dt.timedelta


def decode(body: bytes) -> LeaseRow:
    """Decode the body of a lease row."""
    return LeaseRow(*msgpack.unpackb(body))


class Lease:
    """One node's view of the lease row."""

    def __init__(
        self, settings: LeaseSettings, clock: Clock, holder: str
    ) -> None:
        """Create a view that has not read the row yet.

        Args:
          settings: key and timing of the lease.
          clock: measures all durations by its monotonic time.
          holder: name of this process; must never be reused by another one.
        """
        self.settings = settings
        self.clock = clock
        self.holder = holder
        self.version: int | None = None
        self.content: LeaseRow | None = None
        self.observed_at = dt.timedelta()
        self.write_times: dict[int, dt.timedelta] = {}
        self.write_number = 0

    def observe(self, row: Row | None) -> None:
        """Update the view from a read of the row.

        Reads that are not newer than the known version are ignored.

        Args:
          row: the row, or None when it is absent.
        """
        version = ABSENT if row is None else row.version
        if self.version is not None and version <= self.version:
            return
        self.version = version
        self.content = None if row is None else decode(row.body)
        # The row was written before this read, so the holder's term ends
        # before a term counted from now.
        self.observed_at = self.clock.monotonic()

    def held(self) -> Tenure | None:
        """Return the tenure of this node, or None when it is not leader."""
        sent_at = self._own_write_sent_at()
        if sent_at is None or self.content is None or self.version is None:
            return None
        until = sent_at + self.settings.term - self.settings.holder_margin
        if self.clock.monotonic() >= until:
            return None
        check = Check(self.settings.key, self.version)
        return Tenure(self.content.token, check, until)

    def request(self) -> Transaction | None:
        """Return the write that takes or renews the lease, or None if not due.

        The term starts at this call, before the write is sent.
        """
        if self.version is None or not self._due():
            return None
        token = self.content.token if self.content else 0
        if self._own_write_sent_at() is None:
            token += 1
        return self._write(self.holder, token)

    def resign(self) -> Transaction | None:
        """Return the write that releases the lease, or None if not held."""
        if self.held() is None or self.content is None:
            return None
        token = self.content.token
        release = self._write('', token)
        # Tenure ends before the write is sent, because another node may lead
        # as soon as it is applied.
        self.write_times.clear()
        return release

    def _own_write_sent_at(self) -> dt.timedelta | None:
        content = self.content
        if content is None or content.holder != self.holder:
            return None
        return self.write_times.get(content.write_number)

    def _due(self) -> bool:
        now = self.clock.monotonic()
        sent_at = self._own_write_sent_at()
        if sent_at is not None:
            return now >= sent_at + self.settings.renew_after
        if self.content is None or not self.content.holder:
            return True
        wait = self.settings.term + self.settings.takeover_margin
        return now >= self.observed_at + wait

    def _write(self, holder: str, token: int) -> Transaction:
        self.write_number += 1
        self.write_times[self.write_number] = self.clock.monotonic()
        self.write_times.pop(self.write_number - MAX_TRACKED_WRITES, None)
        body = msgpack.packb([holder, token, self.write_number])
        return Transaction(
            checks=(Check(self.settings.key, self.version or ABSENT),),
            puts=(Put(self.settings.key, body),),
        )


def candidates(
    live: Iterable[tuple[str, str]], key: str, count: int
) -> tuple[str, ...]:
    """Choose the nodes that compete for a lease.

    Nodes are ordered by a hash, first one of each failure domain and then the
    rest, so that the loss of a failure domain leaves candidates.

    Args:
      live: name and failure domain of each live node.
      key: key of the lease row.
      count: maximum number of candidates.
    """
    ordered = sorted(live, key=lambda node: _hash_of(key, node[0]))
    domains: set[str] = set()
    domain_first: list[str] = []
    others: list[str] = []
    for name, domain in ordered:
        (others if domain in domains else domain_first).append(name)
        domains.add(domain)
    return tuple([*domain_first, *others][:count])


def _hash_of(key: str, name: str) -> bytes:
    return hashlib.sha256(f'{key} {name}'.encode()).digest()
