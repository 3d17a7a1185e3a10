"""Builders of test data, and a clock that tests move."""

import datetime as dt
import json
from typing import Any

from bronzeglade import catalog as catalogs
from bronzeglade.catalog import Catalog, Configuration
from bronzeglade.manifest import Rollout


class ManualClock:
    """A clock that stands still until a test moves it."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.elapsed = dt.timedelta(seconds=1000)

    def now(self) -> dt.datetime:
        """Return the wall time."""
        return dt.datetime(2026, 1, 1, tzinfo=dt.UTC) + self.elapsed

    def monotonic(self) -> dt.timedelta:
        """Return the time since the origin."""
        return self.elapsed

    def sleep(self, duration: dt.timedelta) -> None:
        """Move the clock instead of waiting."""
        self.elapsed += duration

    def advance(self, seconds: float) -> None:
        """Move the clock.

        Args:
          seconds: how far.
        """
        self.elapsed += dt.timedelta(seconds=seconds)


def rollout(**changes: Any) -> Rollout:
    """Return a roll-out of `m` from `v1` to `v2` in three steps."""
    document: dict[str, Any] = {
        'name': 'r',
        'model': 'm',
        'from_version': 'v1',
        'to_version': 'v2',
        'steps': [
            {'share': share, 'min_requests': 10, 'min_seconds': 5}
            for share in (0.1, 0.5, 1)
        ],
    }
    return Rollout.model_validate({**document, **changes})


def catalog(*rollouts: Rollout) -> Catalog:
    """Return a catalog of model `m` with `v1` serving and two allowed."""
    states = {'v1': 'serving', 'v2': 'allowed', 'v3': 'allowed'}
    document = {
        'deployment': 'test',
        'failure_domains': [{'name': 'd0', 'region': 'r0'}],
        'ranks': [
            {
                'name': 'standard',
                'priority': 1,
                'first_token_ms': 800,
                'inter_token_ms': 26,
            }
        ],
        'models': [
            {
                'name': 'm',
                'prompt_cost': 1,
                'completion_cost': 4,
                'versions': [
                    {'name': name, 'state': state}
                    for name, state in states.items()
                ],
            }
        ],
        'rollouts': [one.model_dump(mode='json') for one in rollouts],
        'operators': [{'name': 'o', 'key_hashes': ['0' * 64]}],
    }
    text = json.dumps(document).encode()
    built, errors = catalogs.build(Configuration(1, 'digest', text))
    if built is None:
        raise ValueError(errors)
    return built
