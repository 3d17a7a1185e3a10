"""The burn report as text and as JSON."""

import dataclasses
import json
from collections.abc import Iterator

from bronzeglade.report.burn import GroupBurn, Latency, Report, WindowBurn

_MS_PER_S = 1000
NANODOLLARS_PER_DOLLAR = 1_000_000_000


def to_json(report: Report) -> str:
    """Return the report as JSON; durations are in seconds."""
    return json.dumps(dataclasses.asdict(report), indent=2)


def to_text(report: Report) -> str:
    """Return the report as plain text, fast-burning groups first."""
    return '\n'.join(_lines(report)) + '\n'


def _lines(report: Report) -> Iterator[str]:
    fast_burning = [group for group in report.groups if group.is_burning_fast()]
    yield from _summary(report, fast_burning)
    yield ''
    yield (
        f'{"group":<34}{"burn 1m":>9}{"5m":>7}{"30m":>7}{"1h":>7}'
        f'{"first p95":>12}{"target":>9}{"gap p95":>9}{"cost $":>10}'
    )
    for group in sorted(
        report.groups, key=lambda entry: not entry.is_burning_fast()
    ):
        yield _row(group)
        if group.refusals:
            causes = ', '.join(
                f'{cause} {count}' for cause, count in group.refusals.items()
            )
            yield f'    refusals since start: {causes}'
    for rollout, count in report.exposure.items():
        yield f'roll-out {rollout}: {count} requests on the candidate'


def _summary(report: Report, fast_burning: list[GroupBurn]) -> Iterator[str]:
    if fast_burning:
        for group in fast_burning:
            cause = main_cause(group)
            yield f'BURNING FAST: {group.grouping} {group.name} ({cause})'
    else:
        yield 'no group burns its error budget fast'
    generations = (
        ', '.join(str(number) for number in report.generation) or 'none'
    )
    yield f'generations active: {generations}'
    yield f'nodes read: {len(report.nodes_read)}'
    for node, error in report.nodes_unread:
        yield f'NOT READ: {node}: {error}; its requests are missing below'
    if report.short_history:
        names = ', '.join(report.short_history)
        yield f'nodes with less than 1 h of history: {names}'


def main_cause(group: GroupBurn) -> str:
    """Return the most likely cause of a group's missed requests.

    The most frequent refusal is the cause if its count since start is at
    least half of the misses in the shortest window; otherwise the latency
    that exceeds its target, if any.
    """
    window = group.windows[0]
    if group.refusals:
        cause = max(group.refusals, key=lambda code: group.refusals[code])
        if group.refusals[cause] * 2 >= window.missed:
            return f'refusals: {cause}'
    if _exceeds_target(group.first_token):
        return 'first token over its target'
    if _exceeds_target(group.inter_token):
        return 'time between tokens over its target'
    return 'requests over their targets'


def _exceeds_target(latency: Latency) -> bool:
    return (
        latency.target is not None
        and latency.p95 is not None
        and latency.p95 > latency.target
    )


def _row(group: GroupBurn) -> str:
    rates = [_format_rate(window) for window in group.windows]
    name = f'{group.grouping} {group.name}'
    return (
        f'{name:<34}{rates[0]:>9}{rates[1]:>7}{rates[2]:>7}{rates[3]:>7}'
        f'{_format_ms(group.first_token.p95):>12}'
        f'{_format_ms(group.first_token.target):>9}'
        f'{_format_ms(group.inter_token.p95):>9}'
        f'{group.cost_nanodollars / NANODOLLARS_PER_DOLLAR:>10.4f}'
    )


def _format_rate(window: WindowBurn) -> str:
    return '-' if window.burn_rate is None else f'{window.burn_rate:.1f}'


def _format_ms(seconds: float | None) -> str:
    return '-' if seconds is None else f'{seconds * _MS_PER_S:.0f} ms'
