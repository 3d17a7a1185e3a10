"""WSGI applications for the platform: readiness and directory."""

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import parse_qs

from bronzeglade.forwarding.settings import Address
from bronzeglade.platform.settings import DIRECTORY_TTL_S

READINESS_PATH = '/api/readiness'
RESOLVE_PATH = '/api/resolve'

Environ = Mapping[str, Any]
StartResponse = Callable[..., Any]
# Returns router addresses for a caller's failure domain and region.
FindAddresses = Callable[[str, str], list[Address]]


def readiness(
    is_ready: Callable[[], bool],
) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    """Return the application that reports whether the node is ready."""

    def application(environ: Environ, start: StartResponse) -> Iterable[bytes]:
        if environ['PATH_INFO'] != READINESS_PATH:
            return _respond(start, '404 Not Found', {})
        status = '200 OK' if is_ready() else '503 Service Unavailable'
        return _respond(start, status, {})

    return application


def directory(
    addresses: FindAddresses,
) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    """Return the application that lists router addresses for callers."""

    def application(environ: Environ, start: StartResponse) -> Iterable[bytes]:
        if environ['PATH_INFO'] != RESOLVE_PATH:
            return _respond(start, '404 Not Found', {})
        query = parse_qs(environ.get('QUERY_STRING', ''))
        router_addresses = addresses(
            _first_value(query, 'zone'), _first_value(query, 'region')
        )
        if not router_addresses:
            return _respond(start, '503 Service Unavailable', {})
        document = {
            'addresses': [f'{host}:{port}' for host, port in router_addresses],
            'ttl-s': DIRECTORY_TTL_S,
        }
        return _respond(start, '200 OK', document)

    return application


def _first_value(query: Mapping[str, list[str]], name: str) -> str:
    return query.get(name, [''])[0]


def _respond(
    start: StartResponse, status: str, document: Mapping[str, Any]
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
