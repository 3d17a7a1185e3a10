"""The WSGI application for callers."""

import dataclasses

from result import Err

from bronzeglade import catalog as catalogs
from bronzeglade.entry import access, chat, entries, http, services
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.outcome import Refusal

SHUTTING_DOWN = Refusal(
    503, 'stopping', 'this node is shutting down; use another entry address'
)


def handle(node: Node, request: Request) -> Response:
    """Handle a request of a caller.

    Args:
      node: state of this process.
      request: any request on the caller port.

    Returns:
      The response.
    """
    if node.refuses_requests:
        refusal = dataclasses.replace(
            SHUTTING_DOWN, retry_after=node.settings.probe_interval
        )
        return http.refuse(
            refusal, request.request_id, {http.CONNECTION_HEADER: 'close'}
        )
    if request.path.startswith(services.PREFIX):
        return services.handle(node, request)
    route = (request.method, request.path)
    if route == ('POST', chat.PATH):
        return chat.handle(node, request)
    if route == ('GET', '/v1/models'):
        return _models(node, request)
    if route == ('GET', '/v1/entries'):
        return _entries(node, request)
    message = f'no such route: {request.method} {request.path}'
    return http.refuse(Refusal(404, 'not_found', message), request.request_id)


def _models(node: Node, request: Request) -> Response:
    caller = access.identify(node, request)
    if isinstance(caller, Err):
        return http.refuse(caller.err_value, request.request_id)
    team = caller.ok_value.team
    catalog = caller.ok_value.catalog
    names: list[str] = []
    for model in catalog.models:
        versions = catalogs.usable_versions(catalog, team, model)
        if versions:
            names.append(model)
        names.extend(f'{model}@{version}' for version in versions)
    for route in catalog.manifest.routes:
        steps = [step.model for step in route.steps]
        if any(
            catalogs.usable_versions(catalog, team, model) for model in steps
        ):
            names.append(route.name)
    listed = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'bronzeglade'}
        for name in names
    ]
    return http.json_response({'object': 'list', 'data': listed})


def _entries(node: Node, request: Request) -> Response:
    seconds = int(node.settings.entries_max_age.total_seconds())
    failure_domain = request.header('X-Failure-Domain')
    addresses = [
        {'address': entry.address, 'failure_domain': entry.failure_domain}
        for entry in entries.ordered(node, failure_domain)
    ]
    return http.json_response(
        {'entries': addresses, 'max_age_s': seconds},
        headers={'Cache-Control': f'max-age={seconds}'},
    )
