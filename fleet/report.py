"""Tables of a run, for people."""

import collections
from collections.abc import Iterable, Sequence

from bronzeglade.coordination.bill import Bill, cost_of
from fleet.checker import Evidence, Verdict
from fleet.deployments import RANKS
from fleet.history import Call, Kind, Outcome, Publication
from fleet.load import summarise

NANO_PER_CENT = 10_000_000


def ranks(calls: Sequence[Call]) -> list[str]:
    """Return the service that each rank got."""
    lines = [
        f'{"rank":<10}{"asked":>7}{"whole":>7}{"refused":>9}{"unknown":>9}'
        f'{"first token p50":>17}{"p95":>9}{"target p95":>12}'
    ]
    for rank in RANKS:
        one = summarise(str(rank['name']), calls)
        lines.append(
            f'{one.rank:<10}{one.asked:>7}{one.whole:>7}{one.refused:>9}'
            f'{one.unknown:>9}{one.p50_ms:>14.0f} ms{one.p95_ms:>6.0f} ms'
            f'{rank["first_token_ms"]:>9} ms'
        )
    return lines


def orders(calls: Iterable[Call]) -> str:
    """Return one line on the orders of plain services."""
    outcomes = collections.Counter(
        call.outcome for call in calls if call.planned.kind is Kind.ORDER
    )
    return (
        f'orders     asked {outcomes.total()}, '
        f'confirmed {outcomes[Outcome.WHOLE]}, '
        f'refused not run {outcomes[Outcome.REFUSED]}, '
        f'unknown {outcomes[Outcome.UNKNOWN]}'
    )


def cost(bills: Iterable[Bill], prices: dict[str, tuple[int, int]]) -> str:
    """Return one line on the cost against the most expensive model.

    Args:
      bills: the ledger.
      prices: prompt and completion price of each model.
    """
    kept = list(bills)
    highest = max(prices.values(), default=(0, 0))
    spent = sum(bill.cost for bill in kept)
    always = sum(cost_of(bill.usage, *highest) for bill in kept)
    part = spent / always if always else 0
    return (
        f'cost       {spent / NANO_PER_CENT:.2f} cents, {part:.0%} of always '
        f'using the expensive model ({always / NANO_PER_CENT:.2f} cents)'
    )


def shares(evidence: Evidence) -> list[str]:
    """Return the share of each version in what the engines executed."""
    counts = collections.Counter(
        (run.model, run.version) for run in evidence.engine_runs
    )
    models = collections.Counter(run.model for run in evidence.engine_runs)
    return [
        f'{model}@{version:<12}{count:>6} requests '
        f'{count / models[model]:>6.1%}'
        for (model, version), count in sorted(counts.items())
    ]


def resumed(evidence: Evidence) -> str:
    """Return one line on streams that went on with another worker."""
    count = sum(1 for run in evidence.engine_runs if run.resumed_from)
    return f'streams resumed on another worker: {count}'


def activation(evidence: Evidence) -> str:
    """Return one line on the time until publications were active everywhere.

    Processes report twice a second; one that did not report at the time, such
    as a paused one, counts when it reports again.
    """
    delays = [
        _activation_s(evidence, publication)
        for publication in evidence.publications
        if publication.accepted
    ]
    longest = max(delays, default=0)
    return (
        f'{len(delays)} publications accepted, last report of an older '
        f'generation {longest:.1f} s after (reports every 0.5 s)'
    )


def _activation_s(evidence: Evidence, publication: Publication) -> float:
    behind = [
        seen.at
        for seen in evidence.statuses
        if seen.at > publication.at
        and 0 < seen.generation < publication.generation
    ]
    return max(behind, default=publication.at) - publication.at


def verdicts(found: Iterable[Verdict]) -> list[str]:
    """Return a line for each promise, and its first violations."""
    lines: list[str] = []
    for verdict in found:
        state = 'kept' if verdict.checked else 'not exercised'
        if verdict.violations:
            state = f'BROKEN {len(verdict.violations)} times'
        lines.append(
            f'{verdict.promise:<38}{state} ({verdict.checked} checked)'
        )
        lines.extend(f'    {text}' for text in verdict.violations[:5])
    return lines


def ending(evidence: Evidence, found: Iterable[Verdict]) -> list[str]:
    """Return the last part of a report: versions and verdicts."""
    return [
        'executed by version',
        *shares(evidence),
        '',
        *verdicts(found),
        '',
    ]
