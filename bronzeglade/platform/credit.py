"""Prints a summary of benchmark reports.

`python3 -m bronzeglade.platform.credit REPORT...` reads the files that the
platform's benchmark writes with `--report`, one for each simulated day. For
each report it prints the results by kind of request, the load and the wasted
runs of the endpoints, and the deductions (`prices`) from the score. A score
(`worth`) is the achieved fraction of the maximum, from 0 to 1.
"""

import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade.platform.model import PlatformDocument

EXIT_UNREADABLE = 2
MIN_SHOWN_PRICE = 0.0005  # smaller deductions are not printed


class KindCredit(PlatformDocument):
    """Results of the requests of one kind.

    `in_time` counts answers within the target, `not_owed` requests that
    were not owed an answer.
    """

    name: str
    asked: int = Field(alias='n')
    in_time: int = Field(alias='in_aim')
    late: int
    refused: int
    failed: int
    not_owed: int
    worth: float


class ServiceWork(PlatformDocument):
    """Requests that the endpoints of a service received.

    `further` counts attempts after the first of each request, `in_vain` runs
    whose answer was not delivered.
    """

    name: str
    arrivals: int
    refused: int = Field(alias='not_run')
    in_vain: int = Field(alias='ran_badly')
    further: int = Field(alias='again')


class DayCredit(PlatformDocument):
    """Report of one day; `worth` is `earned` less the deductions."""

    worth: float = Field(alias='G')
    earned: float = Field(alias='served')
    kinds: tuple[KindCredit, ...] = Field(alias='classes')
    services: tuple[ServiceWork, ...]
    # Deductions: name, amount and, in some rows only, deducted score.
    prices: tuple[tuple[Any, ...], ...]
    # Requests without any score: cause, number and examples.
    unserved: tuple[tuple[Any, ...], ...] = Field((), alias='unserved_by')


def read_report(path: Path) -> Result[DayCredit, str]:
    """Read the report of one day.

    Args:
      path: path of the file.
    """
    try:
        return Ok(DayCredit.model_validate_json(path.read_bytes()))
    except (OSError, pd.ValidationError) as error:
        return Err(f'{path}: {error}')


def format_report(name: str, day: DayCredit) -> list[str]:
    """Return the lines to print for the report of one day."""
    lines = [
        f'{name}: worth {day.worth:.3f}, earned {day.earned:.3f}',
        f'{"kind":<18}{"asked":>7}{"in time":>9}{"late":>6}{"failed":>8}'
        f'{"refused":>9}{"not owed":>10}{"worth":>7}',
    ]
    lines.extend(
        f'{kind.name:<18}{kind.asked:>7}{kind.in_time:>9}{kind.late:>6}'
        f'{kind.failed:>8}{kind.refused:>9}{kind.not_owed:>10}'
        f'{kind.worth:>7.3f}'
        for kind in day.kinds
    )
    lines.extend(
        f'{service.name}: {service.arrivals} arrivals, '
        f'{service.further} further attempts, {service.in_vain} wasted runs, '
        f'{service.refused} refused'
        for service in day.services
    )
    causes = ', '.join(f'{cause} {count}' for cause, count, *_ in day.unserved)
    lines.append(f'earned nothing: {causes or "none"}')
    lines.append(f'prices: {_format_prices(day.prices) or "none"}')
    return lines


def _format_prices(rows: Iterable[Sequence[Any]]) -> str:
    deductions = sorted(
        ((row[2], row[0]) for row in rows if len(row) > 2),
        reverse=True,
    )
    return ', '.join(
        f'{name} {worth:.4f}'
        for worth, name in deductions
        if worth > MIN_SHOWN_PRICE
    )


def main(arguments: Sequence[str]) -> int:
    """Print the summaries of reports.

    Args:
      arguments: paths of the reports.

    Returns:
      The exit code; 2 when a report cannot be read.
    """
    for argument in arguments:
        path = Path(argument)
        outcome = read_report(path)
        if isinstance(outcome, Err):
            sys.stderr.write(f'error: {outcome.err_value}\n')
            return EXIT_UNREADABLE
        lines = format_report(path.stem, outcome.ok_value)
        sys.stdout.write('\n'.join(lines) + '\n\n')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
