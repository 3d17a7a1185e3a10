"""Where the worth of played days goes: a table from reports of the bench.

`python3 -m bronzeglade.platform.credit REPORT...` reads the files that the
bench writes with `--report` and prints, for each day, what callers of each kind
of request got, what the endpoints were asked and did in vain, and what was
taken off. Worth is a part of what was owed, 0 to 1.
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
LEAST_PRICE = 0.0005  # smaller prices are left out


class KindCredit(PlatformDocument):
    """What callers of one kind of request got."""

    name: str
    asked: int = Field(alias='n')
    in_time: int = Field(alias='in_aim')
    late: int
    refused: int
    failed: int
    not_owed: int
    worth: float


class ServiceWork(PlatformDocument):
    """What the endpoints of a service were sent.

    `further` counts arrivals beyond the first of each request, `in_vain` runs
    whose answer nobody got.
    """

    name: str
    arrivals: int
    refused: int = Field(alias='not_run')
    in_vain: int = Field(alias='ran_badly')
    further: int = Field(alias='again')


class DayCredit(PlatformDocument):
    """One day; `worth` is what is left after the prices."""

    worth: float = Field(alias='G')
    earned: float = Field(alias='served')
    kinds: tuple[KindCredit, ...] = Field(alias='classes')
    services: tuple[ServiceWork, ...]
    # Name, amount and worth taken off; some rows have no worth.
    prices: tuple[tuple[Any, ...], ...]
    # How requests that earned nothing ended: cause, number, examples.
    unserved: tuple[tuple[Any, ...], ...] = Field((), alias='unserved_by')


def read(path: Path) -> Result[DayCredit, str]:
    """Read the report of one day.

    Args:
      path: of the file.
    """
    try:
        return Ok(DayCredit.model_validate_json(path.read_bytes()))
    except (OSError, pd.ValidationError) as error:
        return Err(f'{path}: {error}')


def table(name: str, day: DayCredit) -> list[str]:
    """Return the lines of one day."""
    lines = [
        f'{name}: worth {day.worth:.3f}, earned {day.earned:.3f}',
        f'{"kind":<18}{"asked":>7}{"in time":>9}{"late":>6}{"failed":>8}'
        f'{"refused":>9}{"not owed":>10}{"worth":>7}',
    ]
    lines.extend(
        f'{one.name:<18}{one.asked:>7}{one.in_time:>9}{one.late:>6}'
        f'{one.failed:>8}{one.refused:>9}{one.not_owed:>10}{one.worth:>7.3f}'
        for one in day.kinds
    )
    lines.extend(
        f'{one.name}: {one.arrivals} arrivals, {one.further} further tries, '
        f'{one.in_vain} runs in vain, {one.refused} turned away'
        for one in day.services
    )
    ends = ', '.join(f'{cause} {count}' for cause, count, *_ in day.unserved)
    lines.append(f'earned nothing: {ends or "none"}')
    lines.append(f'prices: {_prices(day.prices) or "none"}')
    return lines


def _prices(rows: Iterable[Sequence[Any]]) -> str:
    charged = sorted(
        ((row[2], row[0]) for row in rows if len(row) > 2),
        reverse=True,
    )
    return ', '.join(
        f'{name} {worth:.4f}' for worth, name in charged if worth > LEAST_PRICE
    )


def main(arguments: Sequence[str]) -> int:
    """Print the tables of reports.

    Args:
      arguments: paths of the reports.

    Returns:
      The exit code; 2 when a report cannot be read.
    """
    for argument in arguments:
        path = Path(argument)
        outcome = read(path)
        if isinstance(outcome, Err):
            sys.stderr.write(f'error: {outcome.err_value}\n')
            return EXIT_UNREADABLE
        lines = table(path.stem, outcome.ok_value)
        sys.stdout.write('\n'.join(lines) + '\n\n')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
