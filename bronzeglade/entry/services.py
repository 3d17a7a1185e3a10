"""/services/NAME/...: plain services beside the model engines."""

from urllib.parse import quote

from result import Err

from bronzeglade.adapters import transport
from bronzeglade.entry import access, http
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.entry.workers import serving
from bronzeglade.manifest import Operation, Service
from bronzeglade.outcome import Refusal, RunState

PREFIX = '/services/'


def handle(node: Node, request: Request) -> Response:
    """Pass a call to an endpoint of a plain service.

    Args:
      node: state of this process.
      request: the request of a caller.

    Returns:
      The endpoint's response, or an error in the OpenAI shape.
    """
    caller = access.identify(node, request)
    if isinstance(caller, Err):
        return http.refuse(caller.err_value, request.request_id)
    name, _, rest = request.path[len(PREFIX) :].partition('/')
    path = f'/{rest}'
    service = caller.ok_value.catalog.services.get(name)
    if service is None or name not in caller.ok_value.team.services:
        message = f'there is no service {name!r} for this team'
        refusal = Refusal(404, 'service_not_found', message)
        return http.refuse(refusal, request.request_id)
    operation = find_operation(service, request.method, path)
    if operation is None:
        message = f'{name!r} has no operation {request.method} {path}'
        refusal = Refusal(404, 'operation_not_found', message)
        return http.refuse(refusal, request.request_id)
    body = http.read_body(request, node.settings)
    if isinstance(body, Err) and request.header('Content-Length'):
        return http.refuse(body.err_value, request.request_id)
    return _call(node, request, service, path, body.unwrap_or(b''))


def find_operation(
    service: Service, method: str, path: str
) -> Operation | None:
    """Return the operation of a service with the longest matching prefix."""
    matching = [
        operation
        for operation in service.operations
        if operation.method == method and path.startswith(operation.path)
    ]
    return max(matching, key=lambda one: len(one.path), default=None)


def _call(
    node: Node, request: Request, service: Service, path: str, body: bytes
) -> Response:
    workers = list(serving(node.workers, service.name))
    if not workers:
        message = f'no endpoint of {service.name!r} is live'
        refusal = Refusal(503, 'no_endpoint', message)
        return http.refuse(refusal, request.request_id)
    worker = node.random.choice(workers)
    query = f'?{request.query}' if request.query else ''
    answer = transport.call(
        node.pool,
        request.method,
        f'http://{worker.address}{quote(path)}{query}',
        node.settings.request_timeout,
        body,
        {
            'Content-Type': request.header('Content-Type') or 'text/plain',
            'X-Request-Id': request.request_id,
            'X-Idempotency-Key': request.header('Idempotency-Key') or '',
        },
    )
    if isinstance(answer, Err):
        sent = answer.err_value.sent
        state = RunState.UNKNOWN if sent else RunState.NOT_RUN
        message = f'the endpoint did not answer: {answer.err_value.detail}'
        refusal = Refusal(502, 'endpoint_failed', message, state)
        return http.refuse(refusal, request.request_id)
    reply = answer.ok_value
    return Response(
        reply.status,
        (reply.body,),
        {
            'Content-Type': reply.headers.get('Content-Type', 'text/plain'),
            'Content-Length': str(len(reply.body)),
            'X-Request-Id': request.request_id,
        },
    )
