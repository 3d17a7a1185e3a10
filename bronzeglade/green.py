"""Set-up of eventlet: import it before modules that use sockets."""

import os
import warnings

# Nodes address each other by IP address, so eventlet's DNS resolver is not
# needed; it would add a quarter of a second and 7 MB to each start.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')
# Eventlet is a requirement of the users; without the filter, its deprecation
# notice appears at every start (docs/design.md, section 8.1, gives the
# trade-off).
warnings.filterwarnings('ignore', message=r'(?s).*Eventlet is deprecated')

import eventlet  # noqa: E402


def patch() -> None:
    """Replace blocking calls of the standard library with green versions."""
    eventlet.monkey_patch()
