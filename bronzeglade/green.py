"""Start of eventlet: green threads in place of threads."""

import warnings

# The users ask for eventlet; its deprecation notice would stand on every
# start (docs/decisions.md gives the trade-off).
warnings.filterwarnings('ignore', message=r'(?s).*Eventlet is deprecated')

import eventlet  # noqa: E402


def patch() -> None:
    """Replace blocking calls of the standard library by green ones."""
    eventlet.monkey_patch()
