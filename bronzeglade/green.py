"""Start of eventlet: green threads in place of threads."""

import os
import warnings

# Nodes reach each other by IP numbers; the resolver would cost each start a
# quarter of a second and 7 MB.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')
# The users ask for eventlet; its deprecation notice would stand on every
# start (docs/decisions.md gives the trade-off).
warnings.filterwarnings('ignore', message=r'(?s).*Eventlet is deprecated')

import eventlet  # noqa: E402


def patch() -> None:
    """Replace blocking calls of the standard library by green ones."""
    eventlet.monkey_patch()
