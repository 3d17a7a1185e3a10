"""Guards that no document of another writer ends in an exception.

A document either decodes, and then every later step can use it, or it is an
error with a short reason.
"""

import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Result

from bronzeglade import malformed
from bronzeglade.adapters.table import Row
from bronzeglade.platform import documents

ENTRY = {
    'service': 'huvo',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'sequence': 4,
    'born': 17,
}
ROUTE = {
    'name': 'r',
    'hostname': 'api.example',
    'prefix': '/a/',
    'kind': 'streaming',
    'timeout-ms': 10000,
    'target-latency-ms': 6000,
    'gap-aim-ms': 2000,
    'priority': 2,
    'sizes': ['s', 'l'],
    'service': 'x',
    'weighted-backends': [{'service': 'x', 'weight': 90}],
    'max-attempts': 3,
}
CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 'x', 'max-connections': 370}],
    'limits': {
        'max-header-bytes': 16384,
        'max-body-bytes': 4194304,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    },
    'tenants': [{'name': 't', 'api-keys': ['k'], 'priority': 1}],
}
ORDER = {'service': 'huvo', 'target': 'v2', 'duration-s': 12}
MAX_REASON_CHARS = 400

Decode = Callable[[Row], Result[Any, str]]
DECODERS: dict[str, tuple[Decode, dict[str, Any]]] = {
    'servers/i-1': (documents.read_endpoint, ENTRY),
    'op/config': (documents.read_configuration, CONFIGURATION),
    'op/rollout/huvo': (documents.read_order, ORDER),
}
GENERATED = {
    key: malformed.json_like(document)
    for key, (_decode, document) in DECODERS.items()
}


@pytest.mark.parametrize('key', DECODERS)
def test_document_with_one_malformed_value(key: str) -> None:
    """A port of 5000 digits ended the step that follows all endpoints."""
    decode, document = DECODERS[key]
    for body in malformed.json_variants(document):
        outcome = decode(Row(key, 1, body))
        assert outcome.is_ok() or len(outcome.unwrap_err()) < MAX_REASON_CHARS


@settings(max_examples=150)
@given(st.data())
@pytest.mark.parametrize('key', DECODERS)
def test_document_with_generated_values(key: str, data: st.DataObject) -> None:
    """No combination of malformed values may end in an exception."""
    decode, _document = DECODERS[key]
    body = data.draw(GENERATED[key])
    outcome = decode(Row(key, 1, body))
    assert outcome.is_ok() or len(outcome.unwrap_err()) < MAX_REASON_CHARS


@pytest.mark.parametrize('port', ['9' * 5000, '\u0665', '\u00b2', '65536', ''])
def test_text_that_is_no_port(port: str) -> None:
    """An entry without a usable port must not become an endpoint."""
    entry = {**ENTRY, 'address': f'10.0.0.9:{port}'}
    row = Row('servers/i-1', 1, json.dumps(entry).encode())
    assert documents.read_endpoint(row).is_err()
