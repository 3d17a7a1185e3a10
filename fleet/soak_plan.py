"""Faults of a soak: which, where, when and for how long, drawn from a seed."""

import dataclasses
import random
from collections.abc import Sequence

SHORTEST_S = 0.2
LONGEST_S = 4.0
PAUSE_S = 0.25  # mean pause between the beginnings of two faults
SERIES = 0.25  # chance that a fault is followed by others of its kind
SERIES_PAUSE_S = 0.15

ROUTER_FAULTS = ('kill', 'terminate', 'freeze', 'reload')
WORKER_FAULTS = ('kill', 'freeze', 'leave', 'refuse', 'fail', 'lose', 'cut')
STORE_FAULTS = ('outage', 'silent', 'lost_replies', 'slow', 'compact')
LINK_FAULTS = ('delay', 'reset', 'silent', 'hold_up', 'hold_down')
OPERATOR_FAULTS = ('revoke', 'grant', 'timeout')


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault; `target` is a process or a link, times are in seconds."""

    at_s: float
    lasts_s: float
    group: str
    kind: str
    target: str


def draw(
    seed: int, seconds: float, routers: Sequence[str], workers: Sequence[str]
) -> list[Fault]:
    """Return the faults of a run in the order in which they begin.

    Args:
      seed: the same seed gives the same faults.
      seconds: the last fault begins before.
      routers: names of the router processes.
      workers: names of the workers.
    """
    source = random.Random(seed)
    links = [
        *(f'store-{name}' for name in routers),
        *(f'callers-{name}' for name in routers),
        *(f'worker-{name}' for name in workers),
    ]
    groups = (
        ('router', ROUTER_FAULTS, routers),
        ('worker', WORKER_FAULTS, workers),
        ('store', STORE_FAULTS, ('store',)),
        ('link', LINK_FAULTS, links),
        ('operator', OPERATOR_FAULTS, ('store',)),
    )
    faults: list[Fault] = []
    now = source.expovariate(1 / PAUSE_S)
    while now < seconds:
        group, kinds, targets = source.choice(groups)
        kind = source.choice(kinds)
        count = 1
        if source.random() < SERIES:
            count = source.randint(2, 4)
        for _ in range(count):
            lasts = source.uniform(SHORTEST_S, LONGEST_S)
            target = source.choice(list(targets))
            faults.append(Fault(now, lasts, group, kind, target))
            now += source.expovariate(1 / SERIES_PAUSE_S)
        now += source.expovariate(1 / PAUSE_S)
    return sorted(one for one in faults if one.at_s < seconds)
