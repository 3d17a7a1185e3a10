"""How long a caller waits for its answer."""

import datetime as dt

from result import Err, Ok, Result

from bronzeglade.entry.http import Request
from bronzeglade.outcome import Refusal

_LONGEST_DIGITS = 12  # of a number of milliseconds, about 30 years


def time_limit(
    request: Request, longest: dt.timedelta
) -> Result[dt.timedelta, Refusal]:
    """Return the time limit of a request.

    Args:
      request: with an X-Deadline-Ms header, at will.
      longest: limit without the header, and its upper bound.

    Returns:
      The limit, or a refusal with status 400.
    """
    wanted = request.header('X-Deadline-Ms')
    if wanted is None:
        return Ok(longest)
    digits = wanted.isascii() and wanted.isdecimal()
    if not digits or len(wanted) > _LONGEST_DIGITS or not int(wanted):
        message = 'X-Deadline-Ms: a whole number of milliseconds above 0'
        return Err(Refusal(400, 'invalid_deadline', message))
    return Ok(min(longest, dt.timedelta(milliseconds=int(wanted))))
