"""Draws the faults of a soak run from a seed: kind, target, start, duration."""

import dataclasses
import random
from collections.abc import Sequence

MIN_DURATION_S = 0.2
MAX_DURATION_S = 4.0
MEAN_PAUSE_S = 0.25  # between the starts of two faults
# Probability that a fault starts a burst: 2 to 4 faults of the same kind.
BURST_PROBABILITY = 0.25
MEAN_BURST_PAUSE_S = 0.15  # between the starts of two faults of a burst

ROUTER_FAULTS = ('kill', 'terminate', 'freeze', 'reload')
WORKER_FAULTS = (
    *('kill', 'freeze', 'leave'),
    *('refuse', 'fail', 'lose', 'cut', 'limit'),
)
STORE_FAULTS = (
    *('outage', 'silent', 'lost_replies', 'slow', 'compact'),
    'restore',
)
LINK_FAULTS = ('delay', 'reset', 'silent', 'hold_up', 'hold_down')
OPERATOR_FAULTS = ('revoke', 'grant', 'timeout')


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Fault:
    """A fault of one process or link, the `target`.

    `start_s` is relative to the start of the run.
    """

    start_s: float
    duration_s: float
    group: str
    kind: str
    target: str


def draw_faults(
    seed: int, seconds: float, routers: Sequence[str], workers: Sequence[str]
) -> list[Fault]:
    """Return the faults of a run in the order of their starts.

    Args:
      seed: the same arguments give the same faults.
      seconds: time after the start within which all faults start.
      routers: names of the router processes.
      workers: names of the workers.
    """
    rng = random.Random(seed)
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
    start_s = rng.expovariate(1 / MEAN_PAUSE_S)
    while start_s < seconds:
        group, kinds, targets = rng.choice(groups)
        kind = rng.choice(kinds)
        count = 1
        if rng.random() < BURST_PROBABILITY:
            count = rng.randint(2, 4)
        for _ in range(count):
            duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
            target = rng.choice(list(targets))
            faults.append(Fault(start_s, duration_s, group, kind, target))
            start_s += rng.expovariate(1 / MEAN_BURST_PAUSE_S)
        start_s += rng.expovariate(1 / MEAN_PAUSE_S)
    return sorted(fault for fault in faults if fault.start_s < seconds)
