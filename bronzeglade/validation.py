"""Short descriptions of documents that are not valid."""

import pydantic as pd

_MAX_CHARS = 200


def first_error(error: pd.ValidationError) -> str:
    """Return the first error with the field that it concerns."""
    first = error.errors(include_url=False, include_input=False)[0]
    location = '.'.join(str(part) for part in first['loc'])
    return f'{location}: {first["msg"]}'[:_MAX_CHARS]
