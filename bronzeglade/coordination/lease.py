"""Leadership by a row of the table service, with a fencing token.

The caller reads the row, passes it to `observe`, commits the transaction of
`request` and reads the row again. Only a row that was read back makes a
leader, so a commit whose reply was lost needs no case of its own.
"""

import dataclasses
import datetime as dt
import hashlib
from collections.abc import Iterable

import msgpack

from bronzeglade.adapters.table import ABSENT, Check, Put, Row, Transaction
from bronzeglade.clock import Clock

ROLLOUT_LEASE_KEY = 'lease/rollout'
KEPT_ATTEMPTS = 8  # sent requests whose start is remembered


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Times of a lease.

    `reserve` covers the drift between two monotonic clocks and the last step
    that a leader begins; `margin` covers the drift on the other side.
    """

    key: str = ROLLOUT_LEASE_KEY
    term: dt.timedelta = dt.timedelta(seconds=10)
    reserve: dt.timedelta = dt.timedelta(seconds=2)
    margin: dt.timedelta = dt.timedelta(seconds=2)
    renew_after: dt.timedelta = dt.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Content of the row; an empty holder has resigned.

    `attempt` tells the writes of one holder apart.
    """

    holder: str
    token: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Leadership that was read back.

    Every write by the leader has `check` in its transaction: it is not
    applied once another node holds the lease. Every order to an engine
    carries `token`.
    """

    token: int
    check: Check
    until: dt.timedelta


def decode(body: bytes) -> LeaseRow:
    """Return the content of a lease row."""
    return LeaseRow(*msgpack.unpackb(body))


class Lease:
    """One node's view of the lease row."""

    def __init__(
        self, settings: LeaseSettings, clock: Clock, holder: str
    ) -> None:
        """Know nothing of the row.

        Args:
          settings: times of the lease.
          clock: its monotonic time counts every duration.
          holder: name of this process, never used by another one.
        """
        self.settings = settings
        self.clock = clock
        self.holder = holder
        self.version: int | None = None
        self.content: LeaseRow | None = None
        self.seen_at = dt.timedelta()
        self.attempts: dict[int, dt.timedelta] = {}
        self.attempt = 0

    def observe(self, row: Row | None) -> None:
        """Take in a read of the row.

        Args:
          row: the row, or None when it is absent.
        """
        version = ABSENT if row is None else row.version
        if self.version is not None and version <= self.version:
            return
        self.version = version
        self.content = None if row is None else decode(row.body)
        # The write came before this read, so its writer's term ends earlier
        # than a term counted from here.
        self.seen_at = self.clock.monotonic()

    def held(self) -> Tenure | None:
        """Return the leadership of this node, or None."""
        sent_at = self._own_attempt()
        if sent_at is None or self.content is None or self.version is None:
            return None
        until = sent_at + self.settings.term - self.settings.reserve
        if self.clock.monotonic() >= until:
            return None
        check = Check(self.settings.key, self.version)
        return Tenure(self.content.token, check, until)

    def request(self) -> Transaction | None:
        """Return the write that takes or renews the lease when it is due.

        The term counts from this call, before the write is sent.
        """
        if self.version is None or not self._due():
            return None
        token = self.content.token if self.content else 0
        if self._own_attempt() is None:
            token += 1
        return self._write(self.holder, token)

    def resign(self) -> Transaction | None:
        """Return the write that gives up the lease, or None if not held."""
        if self.held() is None or self.content is None:
            return None
        token = self.content.token
        wanted = self._write('', token)
        # This node stops before the write is sent: another one may lead as
        # soon as it is applied.
        self.attempts.clear()
        return wanted

    def _own_attempt(self) -> dt.timedelta | None:
        content = self.content
        if content is None or content.holder != self.holder:
            return None
        return self.attempts.get(content.attempt)

    def _due(self) -> bool:
        now = self.clock.monotonic()
        sent_at = self._own_attempt()
        if sent_at is not None:
            return now >= sent_at + self.settings.renew_after
        if self.content is None or not self.content.holder:
            return True
        wait = self.settings.term + self.settings.margin
        return now >= self.seen_at + wait

    def _write(self, holder: str, token: int) -> Transaction:
        self.attempt += 1
        self.attempts[self.attempt] = self.clock.monotonic()
        self.attempts.pop(self.attempt - KEPT_ATTEMPTS, None)
        body = msgpack.packb([holder, token, self.attempt])
        return Transaction(
            checks=(Check(self.settings.key, self.version or ABSENT),),
            puts=(Put(self.settings.key, body),),
        )


def candidates(
    live: Iterable[tuple[str, str]], key: str, count: int
) -> tuple[str, ...]:
    """Return the nodes that watch a lease row.

    Nodes are in the order of a hash, one for each failure domain first, so
    that the loss of a failure domain leaves candidates.

    Args:
      live: name and failure domain of each live node.
      key: key of the lease row.
      count: how many candidates.
    """
    ordered = sorted(live, key=lambda node: _position(key, node[0]))
    domains: set[str] = set()
    first: list[str] = []
    others: list[str] = []
    for name, domain in ordered:
        (others if domain in domains else first).append(name)
        domains.add(domain)
    return tuple([*first, *others][:count])


def _position(key: str, name: str) -> bytes:
    return hashlib.sha256(f'{key} {name}'.encode()).digest()
