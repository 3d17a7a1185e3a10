"""Settings of a router process for opaque requests."""

import dataclasses
import datetime as dt
from collections.abc import Mapping

from bronzeglade.forwarding.address import Address as Address


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBounds:
    """Bounds on the retries of all nodes together to one service.

    In any `window`, there may be `ratio` retries per request plus `slack`.
    """

    ratio: float
    slack: float
    window: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Bounds on a roll-out.

    A faulty candidate version may get the fraction `share` of a service's
    requests from the order to the deadline, plus `slack` requests.
    """

    share: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBounds:
    """Bounds on the requests to a cold endpoint.

    In any second it may get `ratio` times the rate that its service bears while
    cold, plus `slack` requests, from all nodes together.
    """

    ratio: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopBounds:
    """Times for a graceful shutdown, counted from the signal.

    The process is killed after `grace`. `listing` is the maximum time for
    which callers keep using the addresses that they got from the directory.
    """

    grace: dt.timedelta
    listing: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class MachineLimits:
    """What the machine grants the process; None where that is not stated.

    `memory` is in bytes, `sockets` a number of descriptors.
    """

    memory: int | None = None
    sockets: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings that a process reads at its start and on each reload.

    `callers`, `readiness`, `directory`, `control` and `exchange` are the
    addresses to listen on; `exchange` is for datagrams. `peers` lists the
    control addresses of other nodes and may be stale. `failure_domains` maps
    each failure domain to its region. Without `cold`, cold endpoints get as
    many requests as others.
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
    cold: ColdBounds | None = None
    machine: MachineLimits = MachineLimits()
