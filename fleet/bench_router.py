"""The router's own cost, against a direct connection in the same run."""

import contextlib
import dataclasses
import json
import subprocess  # noqa: S404
import sys
import tempfile
from collections.abc import Iterator, Sequence
from pathlib import Path

from fleet import deployments
from fleet.bench import Figure, scenario
from fleet.deployments import EndpointPlan
from fleet.launch import Fleet, Program
from fleet.simulation import percentile

SOURCES = 4
RATE = 8.0
TOKENS = 356  # 2,850 tokens/s at 8 requests/s
SECONDS = 6.0
FULL_RATE = 80.0
FULL_TOKENS = 400  # 32,000 tokens/s offered
FULL_SECONDS = 8.0

ROUTED = dataclasses.replace(
    deployments.BROLGA,
    entry_count=2,  # a manifest is accepted in two failure domains
    endpoints=(
        EndpointPlan(
            'sources', SOURCES, model='guide-small', versions=('v1',), slots=512
        ),
    ),
    models=deployments.BROLGA.models[:1],
    services=(),
    routes=(),
)


class SourceFleet(Fleet):
    """One router in front of token sources."""

    def start_endpoint(self, plan: EndpointPlan, index: int) -> Program:
        """Start a source in place of an engine."""
        port = self.ports.take(1)[0]
        return self.spawn(
            f'source-{index}',
            plan.group,
            ['fleet.token_source', f'--port={port}'],
            self.domain(index),
        )

    def sources(self) -> list[str]:
        """Return the addresses of the sources."""
        return [one.address for one in self.programs_with_role('sources')]


@contextlib.contextmanager
def running() -> Iterator[SourceFleet]:
    """Run the fleet."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = SourceFleet(ROUTED, Path(directory))
        with fleet:
            yield fleet


def measure(
    addresses: Sequence[str], rate: float, tokens: int, seconds: float
) -> dict[str, float]:
    """Return the figures of a client process."""
    joined = ','.join(addresses)
    team = deployments.api_key_of(ROUTED.team_names[0])
    finished = subprocess.run(  # noqa: S603
        [
            sys.executable,
            '-m',
            'fleet.stream_client',
            f'--addresses={joined}',
            f'--key={team}',
            '--model=guide-small',
            f'--rate={rate}',
            f'--tokens={tokens}',
            f'--seconds={seconds}',
        ],
        stdout=subprocess.PIPE,
        check=True,
        timeout=120,
    )
    figures: dict[str, float] = json.loads(finished.stdout)
    return figures


@scenario('router')
def bench(seeds: tuple[int, ...]) -> list[Figure]:
    """Measure with and without the router in turn, once for each seed."""
    direct: list[dict[str, float]] = []
    routed: list[dict[str, float]] = []
    full: list[dict[str, float]] = []
    with running() as fleet:
        entry = [fleet.entries()[0].address]
        for _seed in seeds:
            direct.append(measure(fleet.sources(), RATE, TOKENS, SECONDS))
            routed.append(measure(entry, RATE, TOKENS, SECONDS))
            full.append(measure(entry, FULL_RATE, FULL_TOKENS, FULL_SECONDS))
    figures = [
        _added(name, limit, direct, routed)
        for name, limit in (
            ('first_token_p95_ms', 5.0),
            ('inter_token_p95_ms', 1.0),
        )
    ]
    speed = _median(full, 'tokens_per_second')
    figures.append(
        Figure(
            'router',
            'tokens through one process',
            '1/s',
            None,
            speed,
            20_000,
            speed >= 20_000,
        )
    )
    return figures


def _added(
    name: str,
    limit: float,
    direct: list[dict[str, float]],
    routed: list[dict[str, float]],
) -> Figure:
    baseline = _median(direct, name)
    ours = _median(routed, name)
    target = baseline + limit
    return Figure('router', name, 'ms', baseline, ours, target, ours <= target)


def _median(runs: list[dict[str, float]], name: str) -> float:
    return percentile([one[name] for one in runs], 0.5)
