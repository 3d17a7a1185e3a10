"""Retries: a budget against retrying three times."""

import random

from bronzeglade.decisions.retry import Failure, RetryBudget, RetrySettings
from fleet.bench import Figure, scenario
from fleet.simulation import percentile

REQUESTS = 4000
FAILING = 3  # of ten endpoints
ENDPOINTS = 10
LIMIT = 1.1


def run(budget: RetryBudget | None, seed: int) -> float:
    """Return tries a request; without a budget each may take four.

    Endpoints are chosen at random: detection of failing ones is left out, so
    the figure is an upper bound.

    Args:
      budget: the product's, or None for three retries each.
      seed: of the choice of endpoints.
    """
    source = random.Random(seed)
    tries = 0
    for _request in range(REQUESTS):
        attempt = 0
        if budget is not None:
            budget.earn()
        while True:
            attempt += 1
            tries += 1
            if source.randrange(ENDPOINTS) >= FAILING:
                break
            if budget is None:
                if attempt > 3:
                    break
                continue
            if not budget.may_retry(attempt, Failure.NOT_CONNECTED, True):
                break
            budget.spend()
    return tries / REQUESTS


@scenario('retry')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Compare the amplification with 30% of the endpoints failing."""
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
            LIMIT,
            ours <= LIMIT,
        )
    ]
