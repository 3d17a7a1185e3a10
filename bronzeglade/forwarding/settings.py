"""Settings of a router process that serves opaque requests."""

import dataclasses
import datetime as dt
from collections.abc import Mapping

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBounds:
    """Tries beyond the first that all nodes together may send a service.

    At most `ratio` for each request, and `slack` more, in any `window`.
    """

    ratio: float
    slack: float
    window: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutBounds:
    """The part of a service's requests that a bad version may get."""

    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopBounds:
    """Times of a planned stop: `grace` ends with a kill."""

    grace: dt.timedelta
    listing: dt.timedelta  # longest time that callers keep the addresses


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """What a process learns at its start and at each reload.

    Addresses are those that it listens on, `exchange` for datagrams. `peers`
    are control addresses of other nodes that may be stale. `failure_domains`
    maps each to its region.
    """

    name: str
    failure_domain: str
    region: str
    failure_domains: Mapping[str, str]
    callers: Address
    readiness: Address
    directory: Address
    control: Address
    exchange: Address
    peers: tuple[Address, ...]
    store: Address
    retry: RetryBounds
    rollout: RolloutBounds
    stop: StopBounds
