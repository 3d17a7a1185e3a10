"""Tests that a violated invariant terminates the process."""

import subprocess  # noqa: S404
import sys

import pytest

IN_GREEN_THREAD = 'eventlet.spawn(broken); eventlet.sleep(5)'
IN_HANDLER = """
import urllib3
listener = eventlet.listen(('127.0.0.1', 0))
url = f'http://127.0.0.1:{listener.getsockname()[1]}/'
eventlet.spawn(wsgi.server, listener, http.wsgi(broken), log_output=False)
urllib3.PoolManager(retries=False).request('GET', url, timeout=5)
"""


@pytest.mark.parametrize('place', [IN_GREEN_THREAD, IN_HANDLER])
def test_broken_invariant_ends_the_process(place: str) -> None:
    """An exception would be swallowed by eventlet's hub or the WSGI server."""
    program = f"""
from bronzeglade import green
green.patch()
import eventlet
from eventlet import wsgi
from bronzeglade.entry import http, invariants
from bronzeglade.outcome import require
invariants.install()
def broken(*_arguments):
    require(False, 'ledger-cursor', (3, 2))
{place}
"""
    process = subprocess.run(  # noqa: S603
        [sys.executable, '-c', program], capture_output=True, timeout=60
    )
    assert process.returncode == 70
    assert b'"invariant": "ledger-cursor"' in process.stderr
