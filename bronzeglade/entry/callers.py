"""The application towards callers."""

from result import Err

from bronzeglade import catalog as catalogs
from bronzeglade.adapters.vms import Vm
from bronzeglade.entry import access, chat, http, services
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.outcome import Refusal


def handle(node: Node, request: Request) -> Response:
    """Answer a request of a caller.

    Args:
      node: state of this process.
      request: any request on the caller port.

    Returns:
      The response.
    """
    if request.path.startswith(services.PREFIX):
        return services.handle(node, request)
    route = (request.method, request.path)
    if route == ('POST', '/v1/chat/completions'):
        return chat.handle(node, request)
    if route == ('GET', '/v1/models'):
        return _models(node, request)
    if route == ('GET', '/v1/entries'):
        return _entries(node, request)
    message = f'there is no {request.method} {request.path}'
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
    entries = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'bronzeglade'}
        for name in names
    ]
    return http.json_response({'object': 'list', 'data': entries})


def _entries(node: Node, request: Request) -> Response:
    seconds = int(node.settings.entries_max_age.total_seconds())
    addresses = [
        {'address': vm.address, 'failure_domain': vm.failure_domain}
        for vm in ordered_entries(node, _wanted_domain(request))
    ]
    return http.json_response(
        {'entries': addresses, 'max_age_s': seconds},
        headers={'Cache-Control': f'max-age={seconds}'},
    )


def _wanted_domain(request: Request) -> str:
    return request.header('X-Failure-Domain') or ''


def ordered_entries(node: Node, failure_domain: str) -> list[Vm]:
    """Return the entry VMs, those of a failure domain first.

    The order inside a failure domain is random, so that callers spread.

    Args:
      node: state of this process.
      failure_domain: the caller's, or empty for this node's.
    """
    wanted = failure_domain or node.settings.failure_domain
    vms = list(node.entry_vms())
    node.random.shuffle(vms)
    return sorted(vms, key=lambda vm: vm.failure_domain != wanted)
