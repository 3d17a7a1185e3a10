"""Guards the selection of route and service."""

import collections
import dataclasses

from bronzeglade.forwarding import builders
from bronzeglade.forwarding.route import RouteKind, WeightedService


def test_longest_prefix_wins() -> None:
    """A narrower route must take precedence over a wider one."""
    wide = dataclasses.replace(builders.route(), name='wide', prefix='/')
    narrow = dataclasses.replace(
        builders.route(), name='narrow', prefix='/a/b/'
    )
    table = builders.table(wide, narrow)
    found = {
        path: table.find(builders.HOST, path)
        for path in ('/a/b/c', '/a/b/', '/a/b', '/a/bc/d', '/')
    }
    names = {
        path: route.name for path, route in found.items() if route is not None
    }
    assert names == {
        '/a/b/c': 'narrow',
        '/a/b/': 'narrow',
        '/a/b': 'wide',
        '/a/bc/d': 'wide',
        '/': 'wide',
    }


def test_other_host_has_no_route() -> None:
    """Routes of one host must not apply to another host."""
    table = builders.table(builders.route())
    assert table.find('other.example', '/idempotent/x') is None
    assert table.find(builders.HOST.upper(), '/idempotent/x') is not None


def test_weights_divide_requests() -> None:
    """Each service of a route gets its fraction of the requests."""
    route = dataclasses.replace(
        builders.route(RouteKind.IDEMPOTENT),
        services=(WeightedService('old', 3), WeightedService('new', 1)),
    )
    counts = collections.Counter(
        route.service_of(f'r{number}') for number in range(4000)
    )
    assert 900 < counts['new'] < 1100
    assert counts['old'] + counts['new'] == 4000
