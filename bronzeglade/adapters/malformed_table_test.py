"""Guards that no answer of the table service ends a call in an exception."""

import datetime as dt
import io
from typing import Any

import urllib3
from result import Err

from bronzeglade import malformed
from bronzeglade.adapters.table import (
    Check,
    HttpTable,
    Put,
    StoreError,
    Transaction,
)

ROWS = {'rows': [{'key': 'a', 'version': 3, 'body': 'aGk='}]}
CONFLICT = {'key': 'a', 'version': 3}
WRITE = Transaction((Check('a', 1),), (Put('a', b''),))


class Pool:
    """Answers each call with the same status and body."""

    def __init__(self, body: bytes, status: int) -> None:
        """Create a pool with its answer."""
        self.body = body
        self.status = status

    def request(self, *_arguments: Any, **_options: Any) -> Any:
        """Return an answer."""
        return urllib3.HTTPResponse(
            io.BytesIO(self.body), status=self.status, preload_content=False
        )


def table(body: bytes, status: int = 200) -> HttpTable:
    """Return a client of a service with one answer to all calls."""
    pool: Any = Pool(body, status)
    return HttpTable('http://10.0.0.1:1', pool, dt.timedelta(seconds=1))


def test_malformed_rows_are_a_failed_read() -> None:
    """A row without a key ended the loop that reads the table."""
    for body in malformed.json_variants(ROWS):
        for outcome in (table(body).read(['a']), table(body).scan('a', 9)):
            if isinstance(outcome, Err):
                assert isinstance(outcome.err_value, StoreError)


def test_malformed_conflict_is_not_applied() -> None:
    """A write whose answer cannot be read must not count as applied."""
    for body in malformed.json_variants(CONFLICT):
        assert isinstance(table(body, 409).commit(WRITE), Err)
