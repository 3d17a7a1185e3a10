"""The time limit that a caller sets for its request."""

import datetime as dt

from result import Err, Ok, Result

from bronzeglade.entry.http import Request
from bronzeglade.outcome import Refusal

_MAX_DIGITS = 12  # of a number of milliseconds: about 30 years


def time_limit(
    request: Request, max_limit: dt.timedelta
) -> Result[dt.timedelta, Refusal]:
    """Return the time limit of a request.

    Args:
      request: has an optional X-Deadline-Ms header.
      max_limit: the upper bound, which is also the limit without the header.

    Returns:
      The limit, or a refusal with status 400.
    """
    requested = request.header('X-Deadline-Ms')
    if requested is None:
        return Ok(max_limit)
    is_number = requested.isascii() and requested.isdecimal()
    if not is_number or len(requested) > _MAX_DIGITS or not int(requested):
        message = 'X-Deadline-Ms: a whole number of milliseconds above 0'
        return Err(Refusal(400, 'invalid_deadline', message))
    return Ok(min(max_limit, dt.timedelta(milliseconds=int(requested))))
