"""Simulation of a retry budget, compared with three retries per request."""

import random

from bronzeglade.decisions.retry import Failure, RetryBudget, RetrySettings
from fleet.bench import Figure, scenario
from fleet.simulation import percentile

REQUESTS = 4000
FAILING_ENDPOINTS = 3
ENDPOINTS = 10
MAX_AMPLIFICATION = 1.1  # attempts per request


def run(budget: RetryBudget | None, seed: int) -> float:
    """Return the mean number of attempts per request.

    Endpoints are chosen at random. The detection of failing endpoints is not
    simulated, so the figure is an upper bound.

    Args:
      budget: budget of the retries, or None for up to three retries each.
      seed: seed of the choice of endpoints.
    """
    rng = random.Random(seed)
    total_attempts = 0
    for _request in range(REQUESTS):
        attempt = 0
        if budget is not None:
            budget.earn()
        while True:
            attempt += 1
            total_attempts += 1
            if rng.randrange(ENDPOINTS) >= FAILING_ENDPOINTS:
                break
            if budget is None:
                if attempt > 3:
                    break
                continue
            if not budget.may_retry(attempt, Failure.NOT_CONNECTED, True):
                break
            budget.spend()
    return total_attempts / REQUESTS


@scenario('retry')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Compare the amplification while 30% of the endpoints fail."""
    ours = percentile(
        [run(RetryBudget(RetrySettings()), seed) for seed in seeds], 0.5
    )
    baseline = percentile([run(None, seed) for seed in seeds], 0.5)
    return [
        Figure(
            'retry',
            'tries a request, 30% of endpoints failing',
            'tries',
            baseline,
            ours,
            MAX_AMPLIFICATION,
            ours <= MAX_AMPLIFICATION,
        )
    ]
