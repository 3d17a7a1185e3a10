"""Open-loop load: calls are sent when they are due, whatever came before."""

from concurrent import futures
import dataclasses
import random
import time
from collections.abc import Callable, Iterable, Sequence

import urllib3
from hdrh.histogram import HdrHistogram

from fleet.caller import Caller, Directory
from fleet.deployments import Deployment
from fleet.history import Call, Kind, Outcome, Planned

MAX_OPEN_CALLS = 768  # each has a thread
LARGEST_US = 120_000_000
DIGITS = 3
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Calls of one kind that arrive at random at a mean rate.

    `sessions` is the number of sessions among which a team's calls are
    spread; 0 means none. Times are in seconds from the start.
    """

    kind: Kind
    rate: float
    teams: tuple[str, ...]
    rank: str
    target: str
    tokens: int = 16
    sessions: int = 0
    keyed_share: float = 0  # part of the calls with an Idempotency-Key
    stream_share: float = 1
    start: float = 0
    end: float | None = None


def plan(sources: Iterable[Source], seconds: float, seed: int) -> list[Planned]:
    """Return the calls of a run, by time.

    Args:
      sources: what arrives.
      seconds: length of the run.
      seed: of the random source; the same seed gives the same plan.
    """
    calls: list[Planned] = []
    for index, source in enumerate(sources):
        draw = random.Random(f'{seed}/{index}')
        calls.extend(_arrivals(source, seconds, draw, f'{seed}-{index}'))
    ordered = sorted(calls, key=lambda call: call.at)
    return [
        dataclasses.replace(call, number=number)
        for number, call in enumerate(ordered)
    ]


def _arrivals(
    source: Source, seconds: float, draw: random.Random, name: str
) -> list[Planned]:
    calls: list[Planned] = []
    end = seconds if source.end is None else min(seconds, source.end)
    at = source.start + draw.expovariate(source.rate)
    while at < end:
        calls.append(_call(source, draw, at, f'{name}-{len(calls)}'))
        at += draw.expovariate(source.rate)
    return calls


def _call(source: Source, draw: random.Random, at: float, name: str) -> Planned:
    team = draw.choice(source.teams)
    session = ''
    if source.sessions:
        session = f'session-{draw.randrange(source.sessions)}'
    return Planned(
        number=0,
        at=at,
        kind=source.kind,
        team=team,
        rank=source.rank,
        target=source.target,
        prompt=name,
        tokens=draw.randint(max(1, source.tokens // 2), source.tokens),
        stream=draw.random() < source.stream_share,
        session=session,
        key=f'key-{name}' if draw.random() < source.keyed_share else '',
    )


def callers(deployment: Deployment, seeds: Sequence[str]) -> dict[str, Caller]:
    """Return a caller for each team, spread over the failure domains.

    Args:
      deployment: whose teams they are.
      seeds: addresses of entry processes.
    """
    http = urllib3.PoolManager(num_pools=256, maxsize=256, retries=False)
    domains = deployment.failure_domains
    one_way_s = deployment.caller_one_way_ms / 1000
    return {
        team: Caller(
            Directory(list(seeds), http, domains[index % len(domains)]),
            http,
            one_way_s,
        )
        for index, team in enumerate(deployment.team_names)
    }


def run_calls(
    calls: Sequence[Planned],
    by_team: dict[str, Caller],
    report: Callable[[Call], None],
) -> list[Call]:
    """Make every call when it is due and return them when all have ended.

    Args:
      calls: by time.
      by_team: who makes them.
      report: called with each call that has ended, from any thread.
    """
    started_at = time.monotonic()

    def make(planned: Planned) -> Call:
        caller = by_team[planned.team]
        call = caller.make(planned, started_at + planned.at)
        report(call)
        return call

    with futures.ThreadPoolExecutor(MAX_OPEN_CALLS) as pool:
        pending: list[futures.Future[Call]] = []
        for planned in calls:
            time.sleep(max(0, started_at + planned.at - time.monotonic()))
            pending.append(pool.submit(make, planned))
        return [one.result() for one in pending]


@dataclasses.dataclass(frozen=True, slots=True)
class RankSummary:
    """Service that one rank got; times to the first token in ms."""

    rank: str
    asked: int
    whole: int
    refused: int
    unknown: int
    p50_ms: float
    p95_ms: float


def summarise(rank: str, calls: Iterable[Call]) -> RankSummary:
    """Return the service of a rank's chat completions."""
    mine = [
        call
        for call in calls
        if call.planned.rank == rank and call.planned.kind is Kind.CHAT
    ]
    histogram = HdrHistogram(1, LARGEST_US, DIGITS)
    for call in mine:
        if call.first_token_s is not None:
            histogram.record_value(int(call.first_token_s * US_PER_S))
    return RankSummary(
        rank,
        len(mine),
        _count(mine, Outcome.WHOLE),
        _count(mine, Outcome.REFUSED),
        _count(mine, Outcome.UNKNOWN) + _count(mine, Outcome.TRUNCATED),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(95) / 1000,
    )


def _count(calls: Iterable[Call], outcome: Outcome) -> int:
    return sum(1 for call in calls if call.outcome is outcome)
