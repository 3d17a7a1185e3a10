"""The platform's pages: readiness and the directory."""

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import parse_qs

from bronzeglade.forwarding.settings import Address
from bronzeglade.platform.settings import LISTING_TTL_S

READINESS_PATH = '/api/readiness'
RESOLVE_PATH = '/api/resolve'

Environ = Mapping[str, Any]
Start = Callable[..., Any]
# Addresses by failure domain and region of the caller.
Addresses = Callable[[str, str], list[Address]]


def readiness(
    is_ready: Callable[[], bool],
) -> Callable[[Environ, Start], Iterable[bytes]]:
    """Return the application that tells whether the node is ready."""

    def application(environ: Environ, start: Start) -> Iterable[bytes]:
        if environ['PATH_INFO'] != READINESS_PATH:
            return _send(start, '404 Not Found', {})
        status = '200 OK' if is_ready() else '503 Service Unavailable'
        return _send(start, status, {})

    return application


def directory(
    addresses: Addresses,
) -> Callable[[Environ, Start], Iterable[bytes]]:
    """Return the application that tells callers where to connect."""

    def application(environ: Environ, start: Start) -> Iterable[bytes]:
        if environ['PATH_INFO'] != RESOLVE_PATH:
            return _send(start, '404 Not Found', {})
        query = parse_qs(environ.get('QUERY_STRING', ''))
        found = addresses(_first(query, 'zone'), _first(query, 'region'))
        if not found:
            return _send(start, '503 Service Unavailable', {})
        document = {
            'addresses': [f'{host}:{port}' for host, port in found],
            'ttl-s': LISTING_TTL_S,
        }
        return _send(start, '200 OK', document)

    return application


def _first(query: Mapping[str, list[str]], name: str) -> str:
    return query.get(name, [''])[0]


def _send(
    start: Start, status: str, document: Mapping[str, Any]
) -> Iterable[bytes]:
    body = json.dumps(document).encode()
    start(
        status,
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return (body,)
