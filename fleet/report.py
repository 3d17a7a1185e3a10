"""Formats the results of a run as text tables."""

import collections
from collections.abc import Iterable, Sequence

from bronzeglade.coordination.bill import Bill, cost_of
from fleet.checker import Evidence, Verdict
from fleet.deployments import RANKS
from fleet.history import Call, Kind, Outcome, Publication
from fleet.load import summarise_rank

NANO_PER_CENT = 10_000_000


def rank_table(calls: Sequence[Call]) -> list[str]:
    """Return a table of outcomes and latency by rank."""
    lines = [
        f'{"rank":<10}{"asked":>7}{"whole":>7}{"refused":>9}{"unknown":>9}'
        f'{"first token p50":>17}{"p95":>9}{"target p95":>12}'
    ]
    for rank in RANKS:
        summary = summarise_rank(str(rank['name']), calls)
        lines.append(
            f'{summary.rank:<10}{summary.total:>7}{summary.complete:>7}'
            f'{summary.refused:>9}{summary.unknown:>9}'
            f'{summary.p50_ms:>14.0f} ms{summary.p95_ms:>6.0f} ms'
            f'{rank["first_token_ms"]:>9} ms'
        )
    return lines


def order_line(calls: Iterable[Call]) -> str:
    """Return one line with the outcomes of orders to plain services."""
    outcomes = collections.Counter(
        call.outcome for call in calls if call.planned.kind is Kind.ORDER
    )
    return (
        f'orders     asked {outcomes.total()}, '
        f'confirmed {outcomes[Outcome.COMPLETE]}, '
        f'refused not run {outcomes[Outcome.REFUSED]}, '
        f'unknown {outcomes[Outcome.UNKNOWN]}'
    )


def cost_line(bills: Iterable[Bill], prices: dict[str, tuple[int, int]]) -> str:
    """Return one line that compares the cost with the most expensive model.

    Args:
      bills: all billing records.
      prices: prompt and completion cost of each model.
    """
    records = list(bills)
    most_expensive = max(prices.values(), default=(0, 0))
    actual = sum(bill.cost for bill in records)
    baseline = sum(cost_of(bill.usage, *most_expensive) for bill in records)
    ratio = actual / baseline if baseline else 0
    return (
        f'cost       {actual / NANO_PER_CENT:.2f} cents, {ratio:.0%} of always '
        f'using the expensive model ({baseline / NANO_PER_CENT:.2f} cents)'
    )


def version_share_lines(evidence: Evidence) -> list[str]:
    """Return each version's share of the requests executed by its model."""
    counts = collections.Counter(
        (run.model, run.version) for run in evidence.engine_runs
    )
    models = collections.Counter(run.model for run in evidence.engine_runs)
    return [
        f'{model}@{version:<12}{count:>6} requests '
        f'{count / models[model]:>6.1%}'
        for (model, version), count in sorted(counts.items())
    ]


def resumed_line(evidence: Evidence) -> str:
    """Return one line with the number of streams resumed on another worker."""
    count = sum(1 for run in evidence.engine_runs if run.resumed_from)
    return f'streams resumed on another worker: {count}'


def activation_line(evidence: Evidence) -> str:
    """Return one line on the time until publications were active everywhere.

    Processes are polled twice a second. A process that does not answer, such
    as a paused process, is taken into account from its next report on.
    """
    delays = [
        _activation_s(evidence, publication)
        for publication in evidence.publications
        if publication.accepted
    ]
    max_delay = max(delays, default=0)
    return (
        f'{len(delays)} publications accepted, last report of an older '
        f'generation {max_delay:.1f} s after acceptance (polled every 0.5 s)'
    )


def _activation_s(evidence: Evidence, publication: Publication) -> float:
    outdated = [
        status.at
        for status in evidence.statuses
        if status.at > publication.at
        and 0 < status.generation < publication.generation
    ]
    return max(outdated, default=publication.at) - publication.at


def verdict_lines(verdicts: Iterable[Verdict]) -> list[str]:
    """Return a line for each invariant, with its first five violations."""
    lines: list[str] = []
    for verdict in verdicts:
        state = 'kept' if verdict.checked else 'not exercised'
        if verdict.violations:
            state = f'BROKEN {len(verdict.violations)} times'
        lines.append(
            f'{verdict.invariant:<38}{state} ({verdict.checked} checked)'
        )
        lines.extend(f'    {text}' for text in verdict.violations[:5])
    return lines


def closing_lines(evidence: Evidence, verdicts: Iterable[Verdict]) -> list[str]:
    """Return the end of a report: requests by version, and verdicts."""
    return [
        'executed by version',
        *version_share_lines(evidence),
        '',
        *verdict_lines(verdicts),
        '',
    ]
