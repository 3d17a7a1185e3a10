"""Guards that every endpoint entry that decodes can be used.

An entry is written by an endpoint. What it names goes into headers, messages to
other nodes, evidence and logs.
"""

import datetime as dt
import json

import h11
import msgpack
import pytest
from hypothesis import given
from result import Ok

from bronzeglade import malformed
from bronzeglade.adapters.table import Row
from bronzeglade.decisions.duration_histograms import Phase, Stratum
from bronzeglade.decisions.load import Load
from bronzeglade.decisions.placement import PlacedRequest, SharedSegment
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.endpoint import EndpointEntry
from bronzeglade.forwarding.message import Dispatch, RequestHead
from bronzeglade.platform import documents
from bronzeglade.platform.headers import PlatformHeaders
from bronzeglade.platform.malformed_documents_test import ENTRY

HEAD = RequestHead(b'POST', b'/', ((b'Host', b'h'), (b'Request-Id', b'r')))
# Sizes that the store and the endpoints accept for a row and a head.
MAX_ROW_BYTES = 4096
MAX_HEAD_BYTES = 4096


def use(entry: EndpointEntry) -> None:
    """Use an entry in every step of a request, as a node does."""
    router = builders.router(builders.route())
    good = builders.entry('good')
    router.update_endpoints([good, entry])
    assert set(router.registry.endpoints) == {'good', entry.name}
    router.placement.report(entry.name, Load(entry.service, 3, 1))
    for placed in (
        PlacedRequest(),
        PlacedRequest((SharedSegment('s', 9),), 90, 10),
    ):
        router.placement.choose(
            list(router.registry.endpoints.values()), placed
        )
    assert 1 / entry.slots + 0.5 / entry.slots > 0
    dispatch = Dispatch(entry.name, dt.timedelta(seconds=1))
    head = h11.Connection(h11.CLIENT).send(
        h11.Request(
            method='POST',
            target='/',
            headers=PlatformHeaders().endpoint_headers(HEAD, dispatch, 0),
        )
    )
    assert head is not None
    assert len(head) < MAX_HEAD_BYTES
    row = [
        Stratum(Phase.FIRST, entry.service, 1, 0.1),
        entry.failure_domain,
        entry.version,
        entry.name,
    ]
    assert len(json.dumps(row)) < MAX_ROW_BYTES
    incarnation = entry.incarnation
    assert msgpack.packb([incarnation.name, incarnation.started])
    router.mark_leaving(incarnation, 'answer')


@pytest.mark.parametrize('key', ['i-1', '\u65e5', 'a b'])
def test_entry_with_one_malformed_value_is_unusable_or_usable(key: str) -> None:
    """A number of slots beyond a float failed every choice of an endpoint."""
    used = 0
    for body in malformed.json_variants(ENTRY):
        outcome = documents.read_endpoint(Row(f'servers/{key}', 1, body))
        if isinstance(outcome, Ok):
            use(outcome.ok_value)
            used += 1
    assert used


@given(malformed.json_like(ENTRY))
def test_entry_with_generated_values(body: bytes) -> None:
    """No combination of values may decode to an unusable entry."""
    outcome = documents.read_endpoint(Row('servers/i-1', 1, body))
    if isinstance(outcome, Ok):
        use(outcome.ok_value)


@pytest.mark.parametrize('key', [*malformed.TEXTS, 'a\rb', 'a\tb', '\x7f'])
def test_entry_with_an_odd_key(key: str) -> None:
    """A key that no header can carry closed the connections of callers."""
    row = Row(f'servers/{key}', 1, json.dumps(ENTRY).encode())
    outcome = documents.read_endpoint(row)
    if isinstance(outcome, Ok):
        use(outcome.ok_value)
