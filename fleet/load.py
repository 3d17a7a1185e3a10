"""Open-loop load: each call is sent when due, even if earlier ones are open."""

from concurrent import futures
import dataclasses
import random
import time
from collections.abc import Callable, Iterable, Sequence

import urllib3
from hdrh.histogram import HdrHistogram

from fleet.caller import Caller, EntryDirectory
from fleet.deployments import Deployment
from fleet.history import Call, Kind, Outcome, PlannedCall

MAX_OPEN_CALLS = 768  # each has a thread
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSource:
    """Calls of one kind with Poisson arrivals at `rate` calls per second.

    `sessions` is the number of sessions over which the calls are spread;
    0 means calls without a session. Times are in seconds from the start.
    """

    kind: Kind
    rate: float
    teams: tuple[str, ...]
    rank: str
    target: str
    tokens: int = 16
    sessions: int = 0
    keyed_fraction: float = 0  # fraction of the calls with an Idempotency-Key
    streamed_fraction: float = 1
    start: float = 0
    end: float | None = None


def plan_calls(
    sources: Iterable[LoadSource], seconds: float, seed: int
) -> list[PlannedCall]:
    """Return the calls of a run in the order of their time.

    Args:
      sources: the load.
      seconds: length of the run.
      seed: seed of the random generators; equal seeds give equal plans.
    """
    calls: list[PlannedCall] = []
    for index, source in enumerate(sources):
        rng = random.Random(f'{seed}/{index}')
        calls.extend(_arrivals(source, seconds, rng, f'{seed}-{index}'))
    ordered = sorted(calls, key=lambda call: call.at)
    return [
        dataclasses.replace(call, number=number)
        for number, call in enumerate(ordered)
    ]


def _arrivals(
    source: LoadSource, seconds: float, rng: random.Random, id_prefix: str
) -> list[PlannedCall]:
    calls: list[PlannedCall] = []
    end = seconds if source.end is None else min(seconds, source.end)
    at = source.start + rng.expovariate(source.rate)
    while at < end:
        calls.append(_call(source, rng, at, f'{id_prefix}-{len(calls)}'))
        at += rng.expovariate(source.rate)
    return calls


def _call(
    source: LoadSource, rng: random.Random, at: float, call_id: str
) -> PlannedCall:
    team = rng.choice(source.teams)
    session = ''
    if source.sessions:
        session = f'session-{rng.randrange(source.sessions)}'
    return PlannedCall(
        number=0,
        at=at,
        kind=source.kind,
        team=team,
        rank=source.rank,
        target=source.target,
        prompt=call_id,
        tokens=rng.randint(max(1, source.tokens // 2), source.tokens),
        stream=rng.random() < source.streamed_fraction,
        session=session,
        key=f'key-{call_id}' if rng.random() < source.keyed_fraction else '',
    )


def create_callers(
    deployment: Deployment, seeds: Sequence[str]
) -> dict[str, Caller]:
    """Return a caller for each team, spread over the failure domains.

    Args:
      deployment: defines the teams and failure domains.
      seeds: addresses of entry processes.
    """
    http = urllib3.PoolManager(num_pools=256, maxsize=256, retries=False)
    domains = deployment.failure_domains
    one_way_s = deployment.caller_one_way_ms / 1000
    return {
        team: Caller(
            EntryDirectory(list(seeds), http, domains[index % len(domains)]),
            http,
            one_way_s,
        )
        for index, team in enumerate(deployment.team_names)
    }


def run_calls(
    calls: Sequence[PlannedCall],
    by_team: dict[str, Caller],
    report: Callable[[Call], None],
) -> list[Call]:
    """Make each call when it is due and return all after the last has ended.

    Args:
      calls: in the order of their time.
      by_team: the caller of each team.
      report: called with each finished call, from any thread.
    """
    started_at = time.monotonic()

    def make_call(planned: PlannedCall) -> Call:
        caller = by_team[planned.team]
        call = caller.make_call(planned, started_at + planned.at)
        report(call)
        return call

    with futures.ThreadPoolExecutor(MAX_OPEN_CALLS) as pool:
        pending: list[futures.Future[Call]] = []
        for planned in calls:
            time.sleep(max(0, started_at + planned.at - time.monotonic()))
            pending.append(pool.submit(make_call, planned))
        return [future.result() for future in pending]


@dataclasses.dataclass(frozen=True, slots=True)
class RankSummary:
    """Outcomes of the calls of one rank, and percentiles of the first token.

    `unknown` includes truncated responses.
    """

    rank: str
    total: int
    complete: int
    refused: int
    unknown: int
    p50_ms: float
    p95_ms: float


def summarise_rank(rank: str, calls: Iterable[Call]) -> RankSummary:
    """Return the outcomes and latency of a rank's chat completions."""
    matching = [
        call
        for call in calls
        if call.planned.rank == rank and call.planned.kind is Kind.CHAT
    ]
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for call in matching:
        if call.first_token_s is not None:
            histogram.record_value(int(call.first_token_s * US_PER_S))
    return RankSummary(
        rank,
        len(matching),
        _count(matching, Outcome.COMPLETE),
        _count(matching, Outcome.REFUSED),
        _count(matching, Outcome.UNKNOWN) + _count(matching, Outcome.TRUNCATED),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(95) / 1000,
    )


def _count(calls: Iterable[Call], outcome: Outcome) -> int:
    return sum(1 for call in calls if call.outcome is outcome)
