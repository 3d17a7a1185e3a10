"""Latency that the router adds to a direct connection, and its throughput.

Both kinds of connection are measured in the same run.
"""

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

SOURCE_COUNT = 4
REQUEST_RATE = 8.0  # requests/s
ANSWER_TOKENS = 356  # 2,850 tokens/s at 8 requests/s
DURATION_S = 6.0
SATURATION_RATE = 80.0  # requests/s
SATURATION_TOKENS = 400  # 32,000 tokens/s offered
SATURATION_DURATION_S = 8.0

DEPLOYMENT = dataclasses.replace(
    deployments.BROLGA,
    entry_count=2,  # a manifest must be accepted in two failure domains
    endpoints=(
        EndpointPlan(
            'sources',
            SOURCE_COUNT,
            model='guide-small',
            versions=('v1',),
            slots=512,
        ),
    ),
    models=deployments.BROLGA.models[:1],
    services=(),
    routes=(),
)


class SourceFleet(Fleet):
    """Fleet whose endpoints are token sources instead of engines."""

    def start_endpoint(self, plan: EndpointPlan, index: int) -> Program:
        """Start a token source in place of an engine."""
        port = self.ports.allocate(1)[0]
        return self.spawn(
            f'source-{index}',
            plan.group,
            ['fleet.token_source', f'--port={port}'],
            self.failure_domain_at(index),
        )

    def sources(self) -> list[str]:
        """Return the addresses of the token sources."""
        return [
            program.address for program in self.programs_with_role('sources')
        ]


@contextlib.contextmanager
def running_fleet() -> Iterator[SourceFleet]:
    """Run the fleet with its files in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = SourceFleet(DEPLOYMENT, Path(directory))
        with fleet:
            yield fleet


def measure(
    addresses: Sequence[str], rate: float, tokens: int, seconds: float
) -> dict[str, float]:
    """Run a streaming client in its own process and return its figures.

    Args:
      addresses: addresses that the client calls in turn.
      rate: requests/s.
      tokens: tokens of each answer.
      seconds: time during which requests start.

    Raises:
      CalledProcessError: if the client fails.
      TimeoutExpired: if it runs for more than 120 s.
    """
    joined_addresses = ','.join(addresses)
    api_key = deployments.api_key_of(DEPLOYMENT.team_names[0])
    finished = subprocess.run(  # noqa: S603
        [
            sys.executable,
            '-m',
            'fleet.stream_client',
            f'--addresses={joined_addresses}',
            f'--key={api_key}',
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
    """Measure alternately with and without the router, once for each seed."""
    direct: list[dict[str, float]] = []
    routed: list[dict[str, float]] = []
    saturated: list[dict[str, float]] = []
    with running_fleet() as fleet:
        router_addresses = [fleet.entries()[0].address]
        for _seed in seeds:
            direct.append(
                measure(
                    fleet.sources(), REQUEST_RATE, ANSWER_TOKENS, DURATION_S
                )
            )
            routed.append(
                measure(
                    router_addresses, REQUEST_RATE, ANSWER_TOKENS, DURATION_S
                )
            )
            saturated.append(
                measure(
                    router_addresses,
                    SATURATION_RATE,
                    SATURATION_TOKENS,
                    SATURATION_DURATION_S,
                )
            )
    figures = [
        _latency_figure(name, max_added_ms, direct, routed)
        for name, max_added_ms in (
            ('first_token_p95_ms', 5.0),
            ('inter_token_p95_ms', 1.0),
        )
    ]
    tokens_per_s = _median(saturated, 'tokens_per_second')
    figures.append(
        Figure(
            'router',
            'tokens through one process',
            '1/s',
            None,
            tokens_per_s,
            20_000,
            tokens_per_s >= 20_000,
        )
    )
    return figures


def _latency_figure(
    name: str,
    max_added_ms: float,
    direct: list[dict[str, float]],
    routed: list[dict[str, float]],
) -> Figure:
    baseline = _median(direct, name)
    ours = _median(routed, name)
    target = baseline + max_added_ms
    return Figure('router', name, 'ms', baseline, ours, target, ours <= target)


def _median(runs: list[dict[str, float]], name: str) -> float:
    return percentile([figures[name] for figures in runs], 0.5)
