"""Tests that bodies of callers are read only while there is room."""

import io
from typing import Any

from bronzeglade.builders import ManualClock
from bronzeglade.decisions.memory_account import (
    NO_ROOM,
    MemoryAccount,
    MemorySettings,
)
from bronzeglade.entry import body_reader
from bronzeglade.entry.body_reader import BodyReader

BODY = b'x' * 40_000


def environ_with(memory: MemoryAccount) -> dict[str, Any]:
    """Return the environment of a request with a body."""
    return {
        'wsgi.input': io.BytesIO(BODY),
        body_reader.MEMORY_KEY: memory,
        'eventlet.posthooks': [],
    }


def respond(environ: dict[str, Any]) -> None:
    """Do what the server does after a response."""
    for hook, arguments, options in environ['eventlet.posthooks']:
        hook(environ, *arguments, **options)


def test_body_is_counted_until_the_response() -> None:
    """A body that was read is not given up for another one."""
    memory = MemoryAccount(MemorySettings(capacity=50_000), ManualClock())
    first, second = environ_with(memory), environ_with(memory)
    assert BodyReader(first).read(len(BODY)).ok() == BODY
    assert memory.used == len(BODY)
    refused = BodyReader(second).read(len(BODY)).err()
    assert refused == NO_ROOM
    respond(second)
    respond(first)
    assert not memory.used
    assert BodyReader(environ_with(memory)).read(len(BODY)).ok() == BODY


def test_body_that_is_alone_may_exceed_the_capacity() -> None:
    """A request within the limits is served in calm."""
    memory = MemoryAccount(MemorySettings(capacity=1000), ManualClock())
    assert BodyReader(environ_with(memory)).read(len(BODY)).ok() == BODY
