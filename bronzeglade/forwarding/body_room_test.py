"""Tests that bodies of callers are read only while there is room for them."""

import eventlet

from bronzeglade.decisions.memory_account import MemorySettings
from bronzeglade.forwarding.builders import Client
from bronzeglade.forwarding.inbound_test import HEAD, serving
from bronzeglade.forwarding.route import RouteKind


# The rest of such a body was received up to the limit before it was refused.
def test_announced_length_over_the_limit_is_refused_at_the_head() -> None:
    """Nothing is held for a body that is refused anyway."""
    router, endpoint, port = serving()
    client = Client(port)
    client.sock.sendall(
        f'{HEAD}\r\nContent-Length: 99999999999\r\n\r\n'.encode()
    )
    assert client.read().status == 413
    assert not router.memory.used
    assert not endpoint.requests


def test_refusal_arrives_though_the_caller_goes_on_sending() -> None:
    """A connection that is closed with unread input loses the answer."""
    _router, _endpoint, port = serving()
    client = Client(port)
    client.sock.sendall(
        f'{HEAD}\r\nContent-Length: 9999999\r\n\r\n'.encode() + b'x' * 100_000
    )
    eventlet.sleep(0.1)
    answer = client.read()
    assert answer.status == 413
    assert answer.complete


def test_body_without_room_is_refused_as_not_run() -> None:
    """The refusal tells when to return, and small requests are served."""
    router, endpoint, port = serving()
    router.memory.settings = MemorySettings(capacity=30_000, small=1000)
    held = router.memory.open('other', lambda: None)
    assert router.memory.grow(held, 29_000)
    router.memory.keep(held)
    client = Client(port)
    client.send(RouteKind.IDEMPOTENT, body='x' * 20_000)
    refused = client.read()
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0
    assert not endpoint.requests
    small = Client(port)
    small.send(RouteKind.IDEMPOTENT, body='x' * 900)
    assert small.read().status == 200
    assert router.memory.used == 29_000


def test_memory_of_a_body_is_held_until_the_answer() -> None:
    """It is needed for a second attempt, and no longer than that."""
    router, endpoint, port = serving()
    client = Client(port)
    client.send(RouteKind.IDEMPOTENT, body='x' * 40_000)
    assert client.read().status == 200
    eventlet.sleep(0)
    assert endpoint.requests[0]['body'] == 'x' * 40_000
    assert not router.memory.used


def test_body_that_gives_way_ends_its_connection() -> None:
    """Its request was not complete, so it has not run."""
    router, endpoint, port = serving()
    client = Client(port)
    client.sock.sendall(
        f'{HEAD}\r\nContent-Length: 60000\r\n\r\n'.encode() + b'x' * 50_000
    )
    while router.memory.used < 50_000:
        eventlet.sleep(0.01)
    holding = next(iter(router.memory.holdings))
    router.memory.close(holding)
    holding.give_way()
    assert not client._receive(5)
    assert not endpoint.requests
    assert not router.memory.used
